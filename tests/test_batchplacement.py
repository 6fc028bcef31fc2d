"""Who owns a partition while nodes lose the store, each at a moment of its own."""

from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace
from typing import cast

from chivespan.batchplacement import (
    PARTITIONS,
    SETTLE_TIME,
    BatchPlacement,
    Member,
    choose_owner,
)
from chivespan.clock import ManualClock
from chivespan.fleetlinks import NO_REPORT, FleetLinks, Peer
from tests.factories import node

STEP = timedelta(milliseconds=50)
LINK_MBPS = 30.0
ALL = frozenset(range(PARTITIONS))


class Fleet:
    """Nodes that tell each other at once what they own and whom they reach."""

    def __init__(self, vms: Iterable[str]) -> None:
        self.clock = ManualClock()
        self.reached = dict.fromkeys(vms, True)
        self.gateways = set(self.reached)
        self._peers = {vm: Peer(node(vm), "1") for vm in self.reached}
        self.placements = {
            vm: BatchPlacement(self._links_of(vm), self.clock) for vm in self.reached
        }

    def _links_of(self, vm: str) -> FleetLinks:
        peers = {other: peer for other, peer in self._peers.items() if other != vm}
        gateways = self.gateways
        own = node(vm, link_mbps=LINK_MBPS)
        links = SimpleNamespace(own=own, peers=peers, gateways=gateways)
        return cast(FleetLinks, links)

    def run(self, time: timedelta) -> set[str]:
        """Let time pass; return the nodes that took a partition over meanwhile."""
        took: set[str] = set()
        for _ in range(time // STEP):
            self.clock.advance(STEP)
            for vm, placement in self.placements.items():
                if placement.update(self.reached[vm], leaving=False).taken:
                    took.add(vm)
                self._peers[vm].report = replace(
                    NO_REPORT,
                    store_reached=self.reached[vm],
                    owned=sorted(placement.owned),
                    link_mbps=LINK_MBPS,
                )
        return took

    def owners(self) -> dict[str, frozenset[int]]:
        return {
            vm: placement.owned
            for vm, placement in self.placements.items()
            if placement.owned
        }


def settled_fleet() -> Fleet:
    fleet = Fleet(["10.0.0.1", "10.0.0.2", "10.0.0.3"])
    fleet.run(SETTLE_TIME + 10 * STEP)
    assert frozenset().union(*fleet.owners().values()) == ALL
    return fleet


def test_an_outage_that_nodes_notice_one_after_the_other_moves_nothing() -> None:
    fleet = settled_fleet()
    before = fleet.owners()
    took: set[str] = set()
    for vm in fleet.reached:
        fleet.reached[vm] = False
        took |= fleet.run(timedelta(milliseconds=400))
    took |= fleet.run(timedelta(seconds=5))
    for vm in reversed(fleet.reached):
        fleet.reached[vm] = True
        took |= fleet.run(timedelta(milliseconds=400))
    assert not took
    assert fleet.owners() == before


def test_an_owner_that_alone_has_lost_the_store_hands_over() -> None:
    fleet = settled_fleet()
    lost = next(iter(fleet.owners()))
    fleet.reached[lost] = False
    fleet.run(timedelta(seconds=3))
    assert lost not in fleet.owners()
    assert frozenset().union(*fleet.owners().values()) == ALL


def test_an_owner_that_reaches_the_store_keeps_what_two_claim() -> None:
    fleet = settled_fleet()
    first, second, third = fleet.reached
    for vm, owned in ((first, ALL), (second, ALL), (third, frozenset[int]())):
        fleet.placements[vm]._owned = owned
        fleet._peers[vm].report = replace(
            NO_REPORT,
            store_reached=vm == second,
            owned=sorted(owned),
            link_mbps=LINK_MBPS,
        )
    fleet.reached[first] = False
    fleet.run(STEP)
    assert fleet.placements[second].owned == ALL
    assert not fleet.placements[first].owned


def test_a_partition_without_owner_goes_to_a_node_with_a_wide_link() -> None:
    narrow = [Member(f"10.0.0.{n}", True, frozenset(), 30.0) for n in range(1, 30)]
    wide = Member("10.0.0.99", True, frozenset(), 600.0)
    owners = {choose_owner(number, [*narrow, wide]) for number in range(PARTITIONS)}
    assert owners == {wide.vm}


def test_only_gateways_become_owners_of_a_large_fleet() -> None:
    fleet = Fleet(["10.0.0.1", "10.0.0.2", "10.0.0.3"])
    fleet.gateways.discard("10.0.0.2")
    fleet.run(SETTLE_TIME + 10 * STEP)
    owners = fleet.owners()
    assert "10.0.0.2" not in owners
    assert frozenset().union(*owners.values()) == ALL


def test_an_owner_keeps_its_partitions_when_it_is_no_gateway_any_more() -> None:
    fleet = settled_fleet()
    before = fleet.owners()
    fleet.gateways.clear()
    assert fleet.run(20 * STEP) == set()
    assert fleet.owners() == before
