"""Partition ownership while nodes lose the store at different times."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import cast

from chivespan.batchownership import (
    PARTITIONS,
    SETTLE_TIME,
    Member,
    PartitionOwnership,
    choose_owner,
)
from chivespan.clock import ManualClock
from chivespan.fleetlinks import NO_REPORT, FleetLinks, Peer
from chivespan.nodemessages import NodeValue
from tests.factories import node

STEP = timedelta(milliseconds=50)
LINK_MBPS = 30.0
ALL = frozenset(range(PARTITIONS))


@dataclass(frozen=True)
class Links:
    """Fake links of one node of a fleet."""

    own: NodeValue
    peers: dict[str, Peer]
    gateways: set[str]

    @property
    def is_gateway(self) -> bool:
        return self.own.vm in self.gateways


class Fleet:
    """Nodes whose reports on ownership and store reachability arrive without delay."""

    def __init__(self, vms: Iterable[str]) -> None:
        self.clock = ManualClock()
        self.reached = dict.fromkeys(vms, True)
        self.gateways = set(self.reached)
        self._peers = {vm: Peer(node(vm), "1") for vm in self.reached}
        self.ownerships = {
            vm: PartitionOwnership(self._links_of(vm), self.clock)
            for vm in self.reached
        }

    def _links_of(self, vm: str) -> FleetLinks:
        peers = {other: peer for other, peer in self._peers.items() if other != vm}
        own = node(vm, link_mbps=LINK_MBPS)
        return cast(FleetLinks, Links(own, peers, self.gateways))

    def run(self, time: timedelta) -> set[str]:
        """Advance the clock; return the nodes that took over a partition meanwhile."""
        new_owners: set[str] = set()
        for _ in range(time // STEP):
            self.clock.advance(STEP)
            for vm, ownership in self.ownerships.items():
                if ownership.update(self.reached[vm], leaving=False).taken:
                    new_owners.add(vm)
                self._peers[vm].report = replace(
                    NO_REPORT,
                    store_reached=self.reached[vm],
                    owned=sorted(ownership.owned),
                    link_mbps=LINK_MBPS,
                )
        return new_owners

    def owners(self) -> dict[str, frozenset[int]]:
        return {
            vm: ownership.owned
            for vm, ownership in self.ownerships.items()
            if ownership.owned
        }


def settled_fleet() -> Fleet:
    fleet = Fleet(["10.0.0.1", "10.0.0.2", "10.0.0.3"])
    fleet.run(SETTLE_TIME + 10 * STEP)
    assert frozenset().union(*fleet.owners().values()) == ALL
    return fleet


def test_outage_that_nodes_detect_one_after_another_moves_no_partition() -> None:
    fleet = settled_fleet()
    before = fleet.owners()
    new_owners: set[str] = set()
    for vm in fleet.reached:
        fleet.reached[vm] = False
        new_owners |= fleet.run(timedelta(milliseconds=400))
    new_owners |= fleet.run(timedelta(seconds=5))
    for vm in reversed(fleet.reached):
        fleet.reached[vm] = True
        new_owners |= fleet.run(timedelta(milliseconds=400))
    assert not new_owners
    assert fleet.owners() == before


def test_owner_that_alone_loses_the_store_hands_over() -> None:
    fleet = settled_fleet()
    cut_off = next(iter(fleet.owners()))
    fleet.reached[cut_off] = False
    fleet.run(timedelta(seconds=3))
    assert cut_off not in fleet.owners()
    assert frozenset().union(*fleet.owners().values()) == ALL


def test_owner_that_reaches_the_store_wins_a_double_claim() -> None:
    fleet = settled_fleet()
    first, second, third = fleet.reached
    for vm, owned in ((first, ALL), (second, ALL), (third, frozenset[int]())):
        fleet.ownerships[vm]._owned = owned
        fleet._peers[vm].report = replace(
            NO_REPORT,
            store_reached=vm == second,
            owned=sorted(owned),
            link_mbps=LINK_MBPS,
        )
    fleet.reached[first] = False
    fleet.run(STEP)
    assert fleet.ownerships[second].owned == ALL
    assert not fleet.ownerships[first].owned


def test_unowned_partition_goes_to_a_node_with_high_bandwidth() -> None:
    low_bandwidth = [
        Member(f"10.0.0.{n}", True, frozenset(), 30.0) for n in range(1, 30)
    ]
    high_bandwidth = Member("10.0.0.99", True, frozenset(), 600.0)
    owners = {
        choose_owner(number, [*low_bandwidth, high_bandwidth])
        for number in range(PARTITIONS)
    }
    assert owners == {high_bandwidth.vm}


def test_only_gateways_become_owners_in_a_large_fleet() -> None:
    fleet = Fleet(["10.0.0.1", "10.0.0.2", "10.0.0.3"])
    fleet.gateways.discard("10.0.0.2")
    fleet.run(SETTLE_TIME + 10 * STEP)
    owners = fleet.owners()
    assert "10.0.0.2" not in owners
    assert frozenset().union(*owners.values()) == ALL


def test_owner_keeps_its_partitions_when_it_stops_being_a_gateway() -> None:
    fleet = settled_fleet()
    before = fleet.owners()
    fleet.gateways.clear()
    assert fleet.run(20 * STEP) == set()
    assert fleet.owners() == before
