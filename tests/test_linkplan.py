"""Links of a large fleet: those within a data centre, and few between them."""

from chivespan.linkplan import (
    GATEWAYS_PER_CENTRE,
    gateways,
    group_by_centre,
    nodes_to_dial,
)
from chivespan.nodemessages import NodeValue
from tests.factories import node

CENTRES = ("a", "b", "c")
EACH = 130


def large_fleet() -> list[NodeValue]:
    return [
        node(f"10.{place}.0.{n}", centre, link_mbps=15 + n % 10)
        for place, centre in enumerate(CENTRES)
        for n in range(1, EACH + 1)
    ]


FLEET = large_fleet()
OWN = FLEET[0]
CENTRE_NODES = group_by_centre(FLEET)


def to_dial(failing: set[str], owners: set[str]) -> frozenset[str]:
    return nodes_to_dial(OWN, CENTRE_NODES, failing, owners)


def test_links_grow_with_a_data_centre_and_not_with_the_fleet() -> None:
    dialled = to_dial(set(), set())
    assert len(dialled) == EACH - 1 + (len(CENTRES) - 1) * GATEWAYS_PER_CENTRE


def test_the_widest_links_are_dialled_in_the_same_order_everywhere() -> None:
    dialled = to_dial(set(), set())
    far = [each for each in FLEET if each.vm in dialled and each.data_centre != "a"]
    assert {each.link_mbps for each in far} == {24}
    live = {each.vm for each in FLEET}
    assert {each.vm for each in far} <= gateways(CENTRE_NODES, live)


def test_others_stand_in_for_gateways_that_fail_and_are_tried_on() -> None:
    wanted = to_dial(set(), set())
    failing = {vm for vm in wanted if vm.startswith("10.1.")}
    dialled = to_dial(failing, set())
    assert wanted < dialled
    assert len(dialled - wanted) == len(failing)


def test_gateways_are_live_ones() -> None:
    live = {each.vm for each in FLEET}
    first = gateways(CENTRE_NODES, live)
    second = gateways(CENTRE_NODES, live - first)
    assert len(first) == len(second) == GATEWAYS_PER_CENTRE * len(CENTRES)
    assert not first & second


def test_owners_of_partitions_are_dialled_wherever_they_are() -> None:
    owner = next(each.vm for each in FLEET if each.link_mbps == 15 and each.vm != "a")
    assert owner in to_dial(set(), {owner})


def test_a_seed_whose_data_centre_is_not_known_yet_is_dialled() -> None:
    seed = node("10.9.0.1", "")
    centres = group_by_centre([*FLEET, seed])
    assert seed.vm in nodes_to_dial(OWN, centres, set(), set())
