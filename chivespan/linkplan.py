"""Topology of the links of a large fleet: which other nodes a node dials.

In a small fleet all nodes are linked to each other. In a large one the few nodes of a
data centre with the highest bandwidth are its gateways. A node is linked to the
gateways of its own data centre and to the owners of batch partitions, and only the
gateways are linked to those of other data centres. The number of links of an ordinary
node is then constant, and that of a gateway grows with the size of its data centre.
Both ends dial, so that a new gateway is linked before the other nodes have read its
entry in the list of nodes.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from typing import TypeAlias

from chivespan.nodemessages import NodeValue

# With three, one gateway can be lost while another one restarts.
GATEWAYS_PER_CENTRE = 3
# Most other nodes of a data centre with which a node exchanges reports directly.
MAX_DIRECT_PEERS = 6

Centres: TypeAlias = Mapping[str, Sequence[NodeValue]]


def bandwidth_rank(link_mbps: float, vm: str) -> tuple[float, str]:
    """Return the sort key of nodes as gateways and relays: highest bandwidth first.

    >>> bandwidth_rank(300, "10.0.0.2") < bandwidth_rank(15, "10.0.0.1")
    True
    """
    return (-link_mbps, vm)


def relay_among(link_mbps: Mapping[str, float]) -> str:
    """Return the relay of nodes with the given bandwidths, by IP number.

    >>> relay_among({"10.0.0.1": 15, "10.0.0.3": 300, "10.0.0.2": 300})
    '10.0.0.2'
    """
    return min(link_mbps, key=lambda vm: bandwidth_rank(link_mbps[vm], vm))


def group_by_centre(nodes: Iterable[NodeValue]) -> Centres:
    """Return the nodes of each data centre, in the order of preference as gateways."""
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
    >>> sorted(gateways(group_by_centre(nodes), live))
    ['10.0.0.1', '10.0.0.2', '10.0.0.3']
    """
    found: set[str] = set()
    for centre in centres.values():
        found.update(
            [node.vm for node in centre if node.vm in live][:GATEWAYS_PER_CENTRE]
        )
    return frozenset(found)


def designated_gateways(
    centre: Iterable[NodeValue], unreachable: Collection[str]
) -> frozenset[str]:
    """Return the gateways of a data centre, live or not.

    Unreachable ones are retried, so as many others stand in for them.

    :param centre: the nodes of the data centre, in the order of preference.
    """
    return frozenset(_gateways_to_dial(centre, unreachable))


def nodes_to_dial(
    own: NodeValue,
    centres: Centres,
    unreachable: Collection[str],
    owners: Collection[str],
) -> frozenset[str]:
    """Return the nodes to which a node of a large fleet maintains links.

    :param centres: all listed nodes; those whose data centre is not yet known are
        included.
    :param unreachable: nodes that could not be dialled for a while. They are still
        retried, and as many others are dialled in addition.
    :param owners: nodes that own batch partitions, to which all nodes need a link.
    """
    local = centres.get(own.data_centre, ())
    local_gateways = designated_gateways(local, unreachable)
    found = set(local_gateways)
    if own.vm in local_gateways or len(local) <= MAX_DIRECT_PEERS + 1:
        found.update(node.vm for node in local)
    for name, centre in centres.items():
        found.update(node.vm for node in centre if node.vm in owners)
        if name == "":
            found.update(node.vm for node in centre)
        elif own.vm in local_gateways:
            found.update(designated_gateways(centre, unreachable))
    return frozenset(found - {own.vm})


def _gateways_to_dial(
    centre: Iterable[NodeValue], unreachable: Collection[str]
) -> Iterator[str]:
    remaining = GATEWAYS_PER_CENTRE
    for node in centre:
        if remaining == 0:
            return
        yield node.vm
        if node.vm not in unreachable:
            remaining -= 1
