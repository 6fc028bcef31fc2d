"""Link topology of a large fleet: full within a data centre, gateways between."""

from chivespan.linkplan import (
    GATEWAYS_PER_CENTRE,
    gateways,
    group_by_centre,
    nodes_to_dial,
)
from chivespan.nodemessages import NodeValue
from tests.factories import node

CENTRES = ("a", "b", "c")
NODES_PER_CENTRE = 130


def large_fleet() -> list[NodeValue]:
    return [
        node(f"10.{place}.0.{n}", centre, link_mbps=15 + n % 10)
        for place, centre in enumerate(CENTRES)
        for n in range(1, NODES_PER_CENTRE + 1)
    ]


FLEET = large_fleet()
OWN = FLEET[0]
CENTRE_NODES = group_by_centre(FLEET)


def to_dial(unreachable: set[str], owners: set[str]) -> frozenset[str]:
    return nodes_to_dial(OWN, CENTRE_NODES, unreachable, owners)


def test_links_scale_with_the_data_centre_and_not_with_the_fleet() -> None:
    dialled = to_dial(set(), set())
    assert (
        len(dialled) == NODES_PER_CENTRE - 1 + (len(CENTRES) - 1) * GATEWAYS_PER_CENTRE
    )


def test_nodes_with_highest_bandwidth_are_dialled_as_gateways() -> None:
    dialled = to_dial(set(), set())
    remote = [each for each in FLEET if each.vm in dialled and each.data_centre != "a"]
    assert {each.link_mbps for each in remote} == {24}
    live = {each.vm for each in FLEET}
    assert {each.vm for each in remote} <= gateways(CENTRE_NODES, live)


def test_unreachable_gateways_are_retried_and_supplemented() -> None:
    wanted = to_dial(set(), set())
    unreachable = {vm for vm in wanted if vm.startswith("10.1.")}
    dialled = to_dial(unreachable, set())
    assert wanted < dialled
    assert len(dialled - wanted) == len(unreachable)


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
