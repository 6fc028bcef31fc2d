"""Which node owns a partition of batch jobs, as this node sees it.

Ownership is a hint that keeps work in one place; the conditions of appends decide. An
owner stays one while it is live, so that a node which joins takes nothing over. It
gives up only when others reach the store and it does not for a while: nodes notice an
outage one after the other, and moving partitions then would lose what owners know.
In a large fleet only gateways become owners, as all nodes have links with them.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from chivespan.clock import Clock
from chivespan.fleetlinks import FleetLinks
from chivespan.placement import owner, weight

PARTITIONS = 4
SETTLE_TIME = timedelta(milliseconds=800)
# All bodies and results of a partition go through its owner, so that it needs a link
# with at least this share of the widest one's bandwidth.
WIDE_LINK_SHARE = 0.5
# Nodes notice the begin and the end of an outage up to a second apart.
HANDOVER_DELAY = timedelta(seconds=1.5)


@dataclass(frozen=True, slots=True)
class Member:
    """One live node as an owner.

    :param store_reached: whether it reaches the store.
    :param owned: partitions that it says are its own.
    :param link_mbps: bandwidth of its link.
    """

    vm: str
    store_reached: bool
    owned: frozenset[int]
    link_mbps: float = 0.0


def partition_of(host: str) -> int:
    """Return the partition of a host's jobs."""
    return weight("batch", host) % PARTITIONS


def choose_owner(partition: int, members: list[Member]) -> str | None:
    """Return the owner of a partition; None without members.

    >>> first = Member("10.0.0.1", True, frozenset())
    >>> second = Member("10.0.0.2", True, frozenset({3}))
    >>> choose_owner(3, [first, second])
    '10.0.0.2'
    """
    claiming = [member for member in members if partition in member.owned]
    pool = claiming or members
    pool = [member for member in pool if member.store_reached] or pool
    widest = max((member.link_mbps for member in pool), default=0.0)
    enough = widest * WIDE_LINK_SHARE
    names = [member.vm for member in pool if member.link_mbps >= enough]
    return owner(f"batch/{partition}", names)


@dataclass(frozen=True, slots=True)
class OwnershipChange:
    """Partitions that this node owns from now on, or no longer."""

    taken: frozenset[int]
    released: frozenset[int]

    def __bool__(self) -> bool:
        return bool(self.taken or self.released)


class PartitionOwnership:
    """Says who owns each partition."""

    def __init__(self, links: FleetLinks, clock: Clock) -> None:
        self._links = links
        self._clock = clock
        self._started = clock.monotonic()
        self._owned: frozenset[int] = frozenset()
        self._outreached_since: timedelta | None = None

    @property
    def owned(self) -> frozenset[int]:
        """The partitions that this node owns."""
        return self._owned

    @property
    def _must_hand_over(self) -> bool:
        since = self._outreached_since
        if since is None:
            return False
        return self._clock.monotonic() - since >= HANDOVER_DELAY

    @property
    def _may_own(self) -> bool:
        return bool(self._owned) or self._links.own.vm in self._links.gateways

    def update(self, store_reached: bool, leaving: bool) -> OwnershipChange:
        """Work out anew what this node owns; return what has changed."""
        settled = self._clock.monotonic() - self._started >= SETTLE_TIME
        self._compare_reach(store_reached)
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
        """Return the IP number of the node to ask; None when nobody is known."""
        if partition in self._owned:
            return self._links.own.vm
        return choose_owner(partition, list(self._peers()))

    def _members(self, store_reached: bool) -> Iterator[Member]:
        claimed = frozenset[int]() if self._must_hand_over else self._owned
        own = self._links.own
        if claimed or own.vm in self._links.gateways:
            yield Member(own.vm, store_reached, claimed, own.link_mbps)
        yield from self._peers()

    def _compare_reach(self, store_reached: bool) -> None:
        """Note since when peers reach the store that this node doesn't reach."""
        if store_reached or not any(peer.store_reached for peer in self._peers()):
            self._outreached_since = None
        elif self._outreached_since is None:
            self._outreached_since = self._clock.monotonic()

    def _peers(self) -> Iterator[Member]:
        gateways = self._links.gateways
        for peer in self._links.peers.values():
            report = peer.report
            vm = peer.node.vm
            if not report.leaving and (report.owned or vm in gateways):
                owned = frozenset(report.owned)
                yield Member(vm, report.store_reached, owned, report.link_mbps)
