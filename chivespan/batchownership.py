"""Determines which node owns each partition of batch jobs, from this node's view.

Ownership is only a hint that concentrates the work of a partition on one node;
correctness rests on conditional appends to the store. A live owner keeps its
partitions, so that a joining node takes nothing over. It hands over only when other
nodes have reached the store for a while and it has not: nodes detect a store outage at
different times, and moving partitions at that moment would lose the owners' in-memory
state. In a large fleet only gateways become owners, because they are linked to each
other; all other nodes link to an owner once they have learnt of it.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from chivespan.clock import Clock
from chivespan.fleetlinks import FleetLinks
from chivespan.placement import select_owner, weight

PARTITIONS = 4
# A node owns no partition for this long after it has started.
SETTLE_TIME = timedelta(milliseconds=800)
# All bodies and results of a partition pass through its owner, which therefore needs at
# least this share of the highest link bandwidth of any candidate.
MIN_BANDWIDTH_SHARE = 0.5
# Nodes detect the start and the end of an outage up to a second apart.
HANDOVER_DELAY = timedelta(seconds=1.5)


@dataclass(frozen=True, slots=True)
class Member:
    """A live node that is a candidate for ownership.

    :param store_reached: whether it reaches the store.
    :param owned: partitions that it claims.
    :param link_mbps: bandwidth of its link in Mbit/s.
    """

    vm: str
    store_reached: bool
    owned: frozenset[int]
    link_mbps: float = 0.0


def partition_of(host: str) -> int:
    """Return the partition that holds the jobs of a host."""
    return weight("batch", host) % PARTITIONS


def choose_owner(partition: int, members: list[Member]) -> str | None:
    """Return the owner of a partition; None if there are no members.

    Prefers members that claim the partition, then those that reach the store, then
    those with enough bandwidth.

    >>> first = Member("10.0.0.1", True, frozenset())
    >>> second = Member("10.0.0.2", True, frozenset({3}))
    >>> choose_owner(3, [first, second])
    '10.0.0.2'
    """
    claiming = [member for member in members if partition in member.owned]
    candidates = claiming or members
    candidates = [each for each in candidates if each.store_reached] or candidates
    highest_mbps = max((each.link_mbps for each in candidates), default=0.0)
    min_mbps = highest_mbps * MIN_BANDWIDTH_SHARE
    names = [each.vm for each in candidates if each.link_mbps >= min_mbps]
    return select_owner(f"batch/{partition}", names)


@dataclass(frozen=True, slots=True)
class OwnershipChange:
    """The partitions that this node has taken over and released."""

    taken: frozenset[int]
    released: frozenset[int]

    def __bool__(self) -> bool:
        return bool(self.taken or self.released)


class PartitionOwnership:
    """Tracks the owner of each partition and which of them this node owns."""

    def __init__(self, links: FleetLinks, clock: Clock) -> None:
        self._links = links
        self._clock = clock
        self._started = clock.monotonic()
        self._owned: frozenset[int] = frozenset()
        self._cut_off_since: timedelta | None = None

    @property
    def owned(self) -> frozenset[int]:
        """The partitions that this node owns."""
        return self._owned

    @property
    def others_reach_store(self) -> bool:
        """Whether the store serves another node that this node is linked to."""
        return any(peer.report.store_reached for peer in self._links.peers.values())

    @property
    def _must_hand_over(self) -> bool:
        """Whether peers have reached the store for long enough without this node."""
        since = self._cut_off_since
        if since is None:
            return False
        return self._clock.monotonic() - since >= HANDOVER_DELAY

    @property
    def _may_own(self) -> bool:
        """Whether this node already owns partitions or is a gateway."""
        return bool(self._owned) or self._links.is_gateway

    def update(self, store_reached: bool, leaving: bool) -> OwnershipChange:
        """Recompute the partitions that this node owns and return the changes."""
        settled = self._clock.monotonic() - self._started >= SETTLE_TIME
        self._update_cut_off(store_reached)
        owned: frozenset[int] = frozenset()
        if settled and not leaving and self._may_own:
            members = list(self._members(store_reached))
            owned = frozenset(
                partition
                for partition in range(PARTITIONS)
                if choose_owner(partition, members) == self._links.own.vm
            )
        before, self._owned = self._owned, owned
        return OwnershipChange(taken=owned - before, released=before - owned)

    def owner_of(self, partition: int) -> str | None:
        """Return the IP address of a partition's owner; None if no owner is known."""
        if partition in self._owned:
            return self._links.own.vm
        return choose_owner(partition, list(self._peers()))

    def claimant_of(self, partition: int) -> str:
        """Return the node that claims a partition; empty if none is known to do so.

        Of several claimants, returns the one that all nodes are to prefer.
        """
        if partition in self._owned:
            return self._links.own.vm
        claiming = [peer for peer in self._peers() if partition in peer.owned]
        return choose_owner(partition, claiming) or ""

    def _members(self, store_reached: bool) -> Iterator[Member]:
        claimed = frozenset[int]() if self._must_hand_over else self._owned
        own = self._links.own
        if claimed or self._links.is_gateway:
            yield Member(own.vm, store_reached, claimed, own.link_mbps)
        yield from self._peers()

    def _update_cut_off(self, store_reached: bool) -> None:
        """Record since when peers reach the store while this node does not."""
        if store_reached or not any(peer.store_reached for peer in self._peers()):
            self._cut_off_since = None
        elif self._cut_off_since is None:
            self._cut_off_since = self._clock.monotonic()

    def _peers(self) -> Iterator[Member]:
        # A node that is no gateway isn't linked to all candidates, only to owners.
        candidates = self._links.gateways if self._links.is_gateway else frozenset()
        for peer in self._links.peers.values():
            report = peer.report
            vm = peer.node.vm
            if not report.leaving and (report.owned or vm in candidates):
                owned = frozenset(report.owned)
                yield Member(vm, report.store_reached, owned, report.link_mbps)
