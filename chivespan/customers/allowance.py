"""Reserves part of a customer's quota for nodes whose reports are late.

A sudden flood that begins as reports stop would otherwise be admitted in full by each
node, until the nodes no longer count each other as heard. A node therefore assumes that
each node whose report is late uses its part of what was left of the quota when levels
were last exchanged, and its part of the rate since. A node's part is the mean of its
share of the customer's level and of its share of the nodes, so the parts of all nodes
add up to 1. While reports arrive in time nothing is reserved, and one node may use the
whole burst.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from datetime import timedelta

from chivespan.clock import Clock

# A reporter whose last report has levels sends the next one within about 0.1 s, since
# levels change as they drain. Its weight as late grows from 0 at this age to 1 at the
# age that reports usually don't exceed.
LATE_FROM = timedelta(seconds=0.1)
LATE_AFTER = timedelta(seconds=0.25)
# A reporter without levels only repeats its report, every 0.2 to 0.26 s.
QUIET_LATE_FROM = timedelta(seconds=0.25)
QUIET_LATE_AFTER = timedelta(seconds=0.3)
# Late reports are searched for at most once in this time.
SEARCH_INTERVAL = timedelta(milliseconds=5)


@dataclass(frozen=True, slots=True)
class _Reporter:
    """The last report of one reporter: a node, or a relay that sends sums.

    :ivar reported: monotonic time at which it arrived.
    :ivar nodes: number of other nodes that it covers.
    :ivar is_quiet: whether it has no levels.
    """

    reported: timedelta
    nodes: int
    is_quiet: bool

    def weight_of_age(self, age: timedelta) -> float:
        """Return to what extent the reporter counts as late, from 0 to 1."""
        begin, end = LATE_FROM, LATE_AFTER
        if self.is_quiet:
            begin, end = QUIET_LATE_FROM, QUIET_LATE_AFTER
        return min(1.0, max(0.0, (age - begin) / (end - begin)))


@dataclass(frozen=True, slots=True)
class LateReport:
    """A reporter whose report is late.

    :ivar weight: extent to which it counts as late, above 0 and up to 1.
    :ivar age: time since it was received or expected.
    :ivar nodes: number of nodes that it covers.
    """

    reporter: str
    weight: float
    age: timedelta
    nodes: int


@dataclass(frozen=True, slots=True)
class Reserve:
    """What is reserved of a quota for nodes whose reports are late.

    :ivar part: their part of the quota, from 0 to 1.
    :ivar requests: number of requests that they are assumed to have admitted beyond
        their reported levels.
    """

    part: float = 0.0
    requests: float = 0.0


NO_RESERVE = Reserve()


class ReportAges:
    """Tracks whose reports are late.

    Reports are sent on changes only, except while usage of quotas is known: then they
    are also repeated. Only reports that are repeated can be late.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reporters: dict[str, _Reporter] = {}
        self._expected_since: timedelta | None = None
        self._searched: timedelta | None = None
        self._late: list[LateReport] = []
        self._late_share = 0.0
        self._nodes = 1

    @property
    def late(self) -> list[LateReport]:
        """The reports that are late."""
        self._search_if_due()
        return self._late

    @property
    def late_share(self) -> float:
        """The share of all nodes whose reports are late, by their weights."""
        self._search_if_due()
        return self._late_share

    @property
    def nodes(self) -> int:
        """Number of nodes whose levels are counted, this one included."""
        self._search_if_due()
        return self._nodes

    def expect(self, since: timedelta | None) -> None:
        """Set whether reports are repeated.

        :param since: monotonic time from which on; None if they aren't.
        """
        self._expected_since = since
        self._searched = None

    def record(self, reporter: str, nodes: int, is_quiet: bool) -> None:
        """Record a report.

        :param nodes: number of other nodes that it covers.
        :param is_quiet: whether it has no levels.
        """
        now = self._clock.monotonic()
        self._reporters[reporter] = _Reporter(now, nodes, is_quiet)
        self._searched = None

    def forget(self, reporter: str) -> None:
        """Forget a reporter that has left or no longer counts."""
        self._reporters.pop(reporter, None)
        self._searched = None

    def reserve(
        self,
        levels: Mapping[str, float],
        known: float,
        limit: float,
        rate_per_s: float,
        slow_drain_level: float,
    ) -> Reserve:
        """Return what is reserved of one customer's quota for late reporters.

        Their reported levels are kept without draining, which already assumes that they
        admit requests at the rate at which these levels would drain. ``requests`` adds
        the difference between that rate and their part of the quota's rate. Sums leave
        out low levels, so a level below ``slow_drain_level`` is taken to be missing the
        levels of other nodes, and the difference is divided among them.

        :param levels: levels that the reporters last reported, by reporter.
        :param known: level of the whole fleet when levels were last exchanged.
        :param limit: level up to which requests are admitted.
        :param rate_per_s: the customer's rate, as far as this node may use it.
        :param slow_drain_level: level of the whole fleet below which it drains more
            slowly than ``rate_per_s``.
        """
        fleet = max(known, slow_drain_level)
        part = requests = 0.0
        unknown = max(0.0, 1 - known / fleet) if fleet else 1.0
        for each in self.late:
            level_share = levels.get(each.reporter, 0.0) / fleet if fleet else 0.0
            level_share += unknown * each.nodes / max(1, self._nodes - 1)
            reporter_part = (level_share + each.nodes / self._nodes) / 2
            per_s = (reporter_part - level_share) * rate_per_s
            part += each.weight * reporter_part
            requests += each.weight * per_s * each.age.total_seconds()
        part = min(1.0, part)
        return Reserve(part, part * max(0.0, limit - known) + requests)

    def _search_if_due(self) -> None:
        now = self._clock.monotonic()
        if self._searched is not None and now - self._searched < SEARCH_INTERVAL:
            return
        self._searched = now
        self._late = list(self._find_late(now))
        self._nodes = 1 + sum(each.nodes for each in self._reporters.values())
        late = sum(each.weight * each.nodes for each in self._late)
        self._late_share = late / self._nodes

    def _find_late(self, now: timedelta) -> Iterator[LateReport]:
        if self._expected_since is None:
            return
        for name, each in self._reporters.items():
            age = now - max(each.reported, self._expected_since)
            weight = each.weight_of_age(age)
            if weight > 0:
                yield LateReport(name, weight, age, each.nodes)
