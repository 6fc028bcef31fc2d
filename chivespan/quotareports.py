"""The usage of quotas in load reports.

Levels are added up like other counts, except while a node takes over as relay: the
reports of other nodes reach it one after the other then, and a sum over only some of
them would lower the levels in its whole data centre. It therefore keeps the last sum of
the relay before it until the others have had time to report.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from chivespan.clock import Clock
from chivespan.customers.quotausage import QuotaUsage
from chivespan.nodemessages import CustomerUsage

# Nodes report to a new relay at once, and relays of other data centres within 100 ms.
TAKEOVER_TIME = timedelta(milliseconds=500)


@dataclass(frozen=True, slots=True)
class _Levels:
    """Levels as reported.

    :ivar own: the part of ``levels`` that comes from this node.
    :ivar nodes: number of other nodes that they cover.
    """

    levels: list[CustomerUsage]
    own: list[CustomerUsage]
    nodes: int


@dataclass(frozen=True, slots=True)
class _Takeover:
    """A change of relays, with the reports received since it began.

    :ivar kept: reporter whose last sum is used until the end.
    """

    kept: str
    until: timedelta
    received: dict[str, _Levels]


class QuotaReports:
    """Applies reported levels to the usage of quotas, and fills reports."""

    def __init__(self, usage: QuotaUsage, clock: Clock) -> None:
        self._usage = usage
        self._clock = clock
        self._reporters_with_usage: set[str] = set()
        self._takeover: _Takeover | None = None

    @property
    def is_any_known(self) -> bool:
        """Whether levels above the reporting threshold are known, of any node."""
        self._end_takeover_if_due()
        return bool(self._reporters_with_usage or self._usage.own_levels())

    def set_nodes(self, count: int) -> None:
        """Set how many nodes the fleet has, which sets the reporting threshold."""
        self._usage.set_nodes(count)

    def expect_reports(self, since: timedelta | None) -> None:
        """Set whether other nodes repeat their reports.

        :param since: monotonic time from which on; None if they don't.
        """
        self._usage.expect_reports(since)

    def own_levels(self) -> list[CustomerUsage]:
        """Return the levels for this node's own reports."""
        return self._usage.own_levels()

    def totals(self) -> list[CustomerUsage]:
        """Return the levels for a sum over all nodes."""
        self._end_takeover_if_due()
        return self._usage.totals()

    def sum_with_own(
        self, reports: Iterable[list[CustomerUsage]]
    ) -> list[CustomerUsage]:
        """Return the levels for a sum over this node and the given reports."""
        return self._usage.sum_levels([self._usage.own_levels(), *reports])

    def apply(
        self,
        reporter: str,
        levels: list[CustomerUsage],
        own: list[CustomerUsage],
        nodes: int = 1,
    ) -> None:
        """Replace the levels of a reporter: a node or a sum.

        :param nodes: number of other nodes that the report covers.
        """
        self._end_takeover_if_due()
        if self._takeover is not None and reporter == self._takeover.kept:
            # Another node has become the relay instead of this one.
            self._takeover = None
        if self._takeover is not None:
            self._takeover.received[reporter] = _Levels(levels, own, nodes)
        else:
            self._replace(reporter, _Levels(levels, own, nodes))

    def remove(self, reporter: str) -> None:
        """Drop the levels of a reporter that has left or is counted in a sum."""
        self._end_takeover_if_due()
        if self._takeover is not None:
            self._takeover.received.pop(reporter, None)
            if reporter == self._takeover.kept:
                return
        self._drop(reporter)

    def stop_counting(self, reporter: str) -> None:
        """Leave out the levels of a reporter until it reports again.

        Unlike removed ones they stay known, so silence still counts as a failure.
        """
        self._usage.remove_peer(reporter)

    def take_over_from(self, reporter: str) -> None:
        """Keep the last sum of the relay before this one for a while."""
        if reporter in self._reporters_with_usage:
            until = self._clock.monotonic() + TAKEOVER_TIME
            self._takeover = _Takeover(reporter, until, {})

    def _end_takeover_if_due(self) -> None:
        takeover = self._takeover
        if takeover is None or self._clock.monotonic() < takeover.until:
            return
        self._takeover = None
        self._drop(takeover.kept)
        for reporter, levels in takeover.received.items():
            self._replace(reporter, levels)

    def _replace(self, reporter: str, reported: _Levels) -> None:
        self._usage.report(reporter, reported.levels, reported.own, reported.nodes)
        if reported.levels:
            self._reporters_with_usage.add(reporter)
        else:
            self._reporters_with_usage.discard(reporter)

    def _drop(self, reporter: str) -> None:
        self._usage.remove_peer(reporter)
        self._reporters_with_usage.discard(reporter)
