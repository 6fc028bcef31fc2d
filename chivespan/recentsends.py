"""Counts of the requests that all nodes have recently sent to targets with a limit.

A node's count of its own requests decays exponentially, so the counts of several nodes
can be added up, and a count that is gone with its node leaves no trace. What peers
reported is kept unchanged until they report again: if their reports are held up, this
node goes on as if they sent at the same rate.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import timedelta
from math import exp

from chivespan.clock import NO_WAIT, Clock
from chivespan.nodemessages import TargetSends

# A count falls to 1/e in this time. A longer one lets larger bursts through.
DECAY_TIME = timedelta(seconds=1.5)
NEGLIGIBLE_COUNT = 0.05
# Counts are reported in steps of this size.
REPORTED_DECIMALS = 1


@dataclass(slots=True)
class _DecayingCount:
    """This node's count for one target.

    :ivar value: the count at the time of its last update.
    :ivar updated: that time, on the monotonic clock.
    """

    value: float
    updated: timedelta

    def at(self, now: timedelta) -> float:
        """Return the count at some time."""
        return self.value * exp((self.updated - now) / DECAY_TIME)

    def add(self, now: timedelta) -> None:
        """Count one more request."""
        self.value = self.at(now) + 1
        self.updated = now


@dataclass(frozen=True, slots=True)
class _PeerCounts:
    """The counts that one peer has reported.

    :ivar reported: when, on the monotonic clock.
    """

    counts: Mapping[str, float]
    reported: timedelta


class RecentSends:
    """Decaying counts of requests: those of this node and those of its peers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: dict[str, _DecayingCount] = {}
        self._peers: dict[str, _PeerCounts] = {}

    def record(self, target_id: str) -> None:
        """Count a request that this node sends."""
        now = self._clock.monotonic()
        count = self._own.setdefault(target_id, _DecayingCount(0.0, now))
        count.add(now)

    def total(self, target_id: str) -> float:
        """Return the count of all nodes for a target."""
        peers = self._peers.values()
        others = sum(peer.counts.get(target_id, 0.0) for peer in peers)
        own = self._own.get(target_id)
        return others if own is None else others + own.at(self._clock.monotonic())

    def report_age(self, target_id: str) -> timedelta:
        """Return the age of the oldest report of recent requests to a target.

        Counts change with time, so a new report is due soon.
        """
        now = self._clock.monotonic()
        peers = self._peers.values()
        ages = (now - peer.reported for peer in peers if peer.counts.get(target_id))
        return max(ages, default=NO_WAIT)

    def own_sends(self) -> list[TargetSends]:
        """Return this node's counts, in the form used in its reports."""
        now = self._clock.monotonic()
        current = {target_id: count.at(now) for target_id, count in self._own.items()}
        for target_id, count in current.items():
            if count < NEGLIGIBLE_COUNT:
                del self._own[target_id]
        return list(_messages(current))

    def totals(self) -> list[TargetSends]:
        """Return the counts of all nodes, in the form used in reports."""
        targets = self._own.keys() | {
            target_id for peer in self._peers.values() for target_id in peer.counts
        }
        return list(_messages({name: self.total(name) for name in targets}))

    def report(
        self, peer: str, sends: Iterable[TargetSends], own: Iterable[TargetSends] = ()
    ) -> None:
        """Replace the counts of one peer.

        :param own: the part of ``sends`` that comes from this node.
        """
        counts = {each.target_id: each.count for each in sends}
        for each in own:
            left = counts.get(each.target_id, 0.0) - each.count
            counts[each.target_id] = max(0.0, left)
        self._peers[peer] = _PeerCounts(counts, self._clock.monotonic())

    def remove_peer(self, peer: str) -> None:
        """Drop the counts of a peer that has left or is now counted in a sum."""
        self._peers.pop(peer, None)


def sum_sends(reports: Iterable[Iterable[TargetSends]]) -> list[TargetSends]:
    """Return the sum of several nodes' counts for each target.

    >>> one = TargetSends(target_id="t", count=0.5)
    >>> sum_sends([[one], [one]])
    [TargetSends(target_id='t', count=1.0)]
    """
    counts: dict[str, float] = {}
    for report in reports:
        for each in report:
            counts[each.target_id] = counts.get(each.target_id, 0.0) + each.count
    return list(_messages(counts))


def _messages(counts: Mapping[str, float]) -> Iterator[TargetSends]:
    for target_id in sorted(counts):
        if counts[target_id] >= NEGLIGIBLE_COUNT:
            count = round(counts[target_id], REPORTED_DECIMALS)
            yield TargetSends(target_id=target_id, count=count)
