"""Which other nodes a node dials.

In a small fleet all nodes have links with each other. In a large one a node has links
with all of its data centre, and with the gateways of the others: the few nodes there
that have the widest links. Links then grow with the nodes of a data centre, and with
the number of data centres, rather than with the fleet.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator

from chivespan.nodemessages import NodeValue

# Of each data centre; one can be lost while another restarts.
GATEWAYS = 3


def _by_width(nodes: Iterable[NodeValue]) -> list[NodeValue]:
    """Return nodes in the order in which they are gateways: widest link first."""
    return sorted(nodes, key=lambda node: (-node.link_mbps, node.vm))


def gateways(nodes: Iterable[NodeValue], live: Collection[str]) -> frozenset[str]:
    """Return the live gateways of each data centre.

    >>> nodes = [
    ...     NodeValue(vm=f"10.0.0.{n}", data_centre="a", link_mbps=n % 5,
    ...               front_address="", control_address="")
    ...     for n in range(1, 7)
    ... ]
    >>> sorted(gateways(nodes, {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.5"}))
    ['10.0.0.1', '10.0.0.2', '10.0.0.3']
    """
    found: set[str] = set()
    for centre in _by_centre(nodes).values():
        found.update([node.vm for node in centre if node.vm in live][:GATEWAYS])
    return frozenset(found)


def nodes_to_dial(
    own: NodeValue,
    others: Collection[NodeValue],
    failing: Collection[str],
    owners: Collection[str],
) -> frozenset[str]:
    """Return the nodes to have a link with in a large fleet.

    :param others: all other nodes that are listed; those whose data centre isn't known
        yet are dialled.
    :param failing: nodes that could not be dialled for a while. They are tried on, and
        as many more beside them.
    :param owners: nodes that own batch partitions, which all have to reach.
    """
    found = {node.vm for node in others if node.vm in owners}
    for name, centre in _by_centre(others).items():
        if name in ("", own.data_centre):
            found.update(node.vm for node in centre)
        else:
            found.update(_gateways_to_dial(centre, failing))
    return frozenset(found)


def _gateways_to_dial(
    centre: Iterable[NodeValue], failing: Collection[str]
) -> Iterator[str]:
    left = GATEWAYS
    for node in centre:
        if left == 0:
            return
        yield node.vm
        if node.vm not in failing:
            left -= 1


def _by_centre(nodes: Iterable[NodeValue]) -> dict[str, list[NodeValue]]:
    found: dict[str, list[NodeValue]] = defaultdict(list)
    for node in _by_width(nodes):
        found[node.data_centre].append(node)
    return found
