"""Link topology of a large fleet: nodes to their gateways, and these to each other."""

import pytest

from chivespan.linkplan import (
    GATEWAYS_PER_CENTRE,
    MAX_DIRECT_PEERS,
    gateways,
    group_by_centre,
    nodes_to_dial,
)
from chivespan.nodemessages import NodeValue
from tests.factories import node

CENTRES = ("a", "b", "c")
NODES_PER_CENTRE = 130


def large_fleet(nodes_per_centre: int = NODES_PER_CENTRE) -> list[NodeValue]:
    return [
        node(f"10.{place}.0.{n}", centre, link_mbps=15 + n % 10)
        for place, centre in enumerate(CENTRES)
        for n in range(1, nodes_per_centre + 1)
    ]


FLEET = large_fleet()
OWN = FLEET[0]
CENTRE_NODES = group_by_centre(FLEET)
GATEWAY, *OTHER_GATEWAYS = CENTRE_NODES["a"][:GATEWAYS_PER_CENTRE]
STAND_IN = CENTRE_NODES["a"][GATEWAYS_PER_CENTRE]


def to_dial(
    unreachable: set[str], owners: set[str], own: NodeValue = OWN
) -> frozenset[str]:
    return nodes_to_dial(own, CENTRE_NODES, unreachable, owners)


# Guards against: a node without work costs more as the fleet grows, since it sends
# heartbeats on links to all nodes of its data centre and to gateways of all others.
@pytest.mark.parametrize("nodes", [30, 100, 195, 390])
def test_links_of_an_ordinary_node_do_not_grow_with_the_fleet(nodes: int) -> None:
    fleet = large_fleet(nodes // len(CENTRES))
    dialled = nodes_to_dial(fleet[0], group_by_centre(fleet), set(), set())
    assert len(dialled) == GATEWAYS_PER_CENTRE


def test_nodes_with_highest_bandwidth_of_the_data_centre_are_dialled() -> None:
    dialled = to_dial(set(), set())
    gateway_nodes = [each for each in FLEET if each.vm in dialled]
    assert {each.data_centre for each in gateway_nodes} == {OWN.data_centre}
    assert {each.link_mbps for each in gateway_nodes} == {24}
    live = {each.vm for each in FLEET}
    assert dialled <= gateways(CENTRE_NODES, live)


# Guards against: nodes that have not read the list since a gateway joined have another
# relay than that gateway has.
def test_gateways_dial_their_data_centre_and_the_gateways_of_all_others() -> None:
    dialled = to_dial(set(), set(), GATEWAY)
    live = {each.vm for each in FLEET}
    local = {each.vm for each in FLEET if each.data_centre == GATEWAY.data_centre}
    assert dialled == (gateways(CENTRE_NODES, live) | local) - {GATEWAY.vm}


@pytest.mark.parametrize(("own", "place"), [(OWN, "10.0."), (GATEWAY, "10.1.")])
def test_unreachable_gateways_are_retried_and_supplemented(
    own: NodeValue, place: str
) -> None:
    wanted = to_dial(set(), set(), own)
    unreachable = {vm for vm in wanted if vm.startswith(place)}
    dialled = to_dial(unreachable, set(), own)
    assert wanted < dialled
    assert len(dialled - wanted) == len(unreachable)


# Guards against: a data centre that loses its gateways is cut off from the others.
def test_node_that_stands_in_for_a_gateway_links_to_other_data_centres() -> None:
    assert not any(vm.startswith("10.1.") for vm in to_dial(set(), set(), STAND_IN))
    lost = {each.vm for each in (GATEWAY, *OTHER_GATEWAYS)}
    dialled = to_dial(lost, set(), STAND_IN)
    for place in ("10.1.", "10.2."):
        assert sum(vm.startswith(place) for vm in dialled) == GATEWAYS_PER_CENTRE


def test_nodes_of_a_small_data_centre_are_linked_to_each_other() -> None:
    small = [node(f"10.9.0.{n}", "d") for n in range(MAX_DIRECT_PEERS + 1)]
    dialled = nodes_to_dial(small[-1], group_by_centre([*FLEET, *small]), set(), set())
    assert dialled == {each.vm for each in small[:-1]}


def test_only_live_nodes_are_gateways() -> None:
    live = {each.vm for each in FLEET}
    first = gateways(CENTRE_NODES, live)
    second = gateways(CENTRE_NODES, live - first)
    assert len(first) == len(second) == GATEWAYS_PER_CENTRE * len(CENTRES)
    assert not first & second


def test_partition_owners_of_all_data_centres_are_dialled() -> None:
    owner = next(each.vm for each in FLEET if each.link_mbps == 15 and each.vm != "a")
    assert owner in to_dial(set(), {owner})


def test_seed_with_unknown_data_centre_is_dialled() -> None:
    seed = node("10.9.0.1", "")
    centres = group_by_centre([*FLEET, seed])
    assert seed.vm in nodes_to_dial(OWN, centres, set(), set())
