"""Which other nodes a node dials.

In a small fleet all nodes have links with each other. In a large one a node has links
with all of its data centre, and with the gateways of the others: the few nodes there
that have the widest links. Links then grow with the nodes of a data centre, and with
the number of data centres, rather than with the fleet.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from typing import TypeAlias

from chivespan.nodemessages import NodeValue

# Of each data centre; one can be lost while another restarts.
GATEWAYS_PER_CENTRE = 3


Centres: TypeAlias = Mapping[str, Sequence[NodeValue]]


def bandwidth_rank(link_mbps: float, vm: str) -> tuple[float, str]:
    """Return what nodes are ordered by as gateways and as relays: widest link first.

    >>> width_rank(300, "10.0.0.2") < width_rank(15, "10.0.0.1")
    True
    """
    return (-link_mbps, vm)


def group_by_centre(nodes: Iterable[NodeValue]) -> Centres:
    """Return the nodes of each data centre, in the order in which they are gateways."""
    found: dict[str, list[NodeValue]] = defaultdict(list)
    for node in sorted(nodes, key=lambda each: bandwidth_rank(each.link_mbps, each.vm)):
        found[node.data_centre].append(node)
    return found


def gateways(centres: Centres, live: Collection[str]) -> frozenset[str]:
    """Return the live gateways of each data centre.

    >>> nodes = [
    ...     NodeValue(vm=f"10.0.0.{n}", data_centre="a", link_mbps=n % 5,
    ...               front_address="", control_address="")
    ...     for n in range(1, 7)
    ... ]
    >>> live = {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.5"}
    >>> sorted(gateways(by_centre(nodes), live))
    ['10.0.0.1', '10.0.0.2', '10.0.0.3']
    """
    found: set[str] = set()
    for centre in centres.values():
        found.update(
            [node.vm for node in centre if node.vm in live][:GATEWAYS_PER_CENTRE]
        )
    return frozenset(found)


def nodes_to_dial(
    own: NodeValue,
    centres: Centres,
    failing: Collection[str],
    owners: Collection[str],
) -> frozenset[str]:
    """Return the nodes to have a link with in a large fleet.

    :param centres: all nodes that are listed; those whose data centre isn't known yet
        are dialled.
    :param failing: nodes that could not be dialled for a while. They are tried on, and
        as many more beside them.
    :param owners: nodes that own batch partitions, which all have to reach.
    """
    found: set[str] = set()
    for name, centre in centres.items():
        found.update(node.vm for node in centre if node.vm in owners)
        if name in ("", own.data_centre):
            found.update(node.vm for node in centre)
        else:
            found.update(_gateways_to_dial(centre, failing))
    return frozenset(found - {own.vm})


def _gateways_to_dial(
    centre: Iterable[NodeValue], failing: Collection[str]
) -> Iterator[str]:
    left = GATEWAYS_PER_CENTRE
    for node in centre:
        if left == 0:
            return
        yield node.vm
        if node.vm not in failing:
            left -= 1
