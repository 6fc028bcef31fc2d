"""Counts the refused callers that this and other nodes have told when to retry.

Callers are counted in buckets of 0.1 s of this node's monotonic clock. Reports give the
buckets relative to their sending, so no clocks are compared. A report without returns
says that none were added: those reported before stay, and are dropped as their time
passes.
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TypeAlias

from chivespan.clock import MILLISECOND, Clock
from chivespan.nodemessages import ServiceReturns
from chivespan.sentchanges import NOTHING_SENT
from chivespan.sentreports import MAX_KEPT_REPORTS

BUCKET = timedelta(milliseconds=100)
# Longest time for which returns are counted in advance.
HORIZON = timedelta(seconds=2)
HORIZON_MS = HORIZON // MILLISECOND
MAX_BUCKETS = HORIZON // BUCKET + 1
# Time that reports usually take through the relays.
USUAL_REPORT_DELAY = timedelta(milliseconds=250)
# Time from the sending of a report to that of the relay's next sum, which includes it.
USUAL_WAIT_FOR_SUM = timedelta(milliseconds=100)
# Without any report for this long, the returns of other nodes count as unknown.
REPORT_TIMEOUT = 2 * USUAL_REPORT_DELAY
MAX_REPORTED_SERVICES = 64

# Numbers of callers by bucket, by service.
_Counts: TypeAlias = dict[str, Counter[int]]


@dataclass(frozen=True, slots=True)
class KnownReturns:
    """What is known of the returns to one service.

    :ivar own: promised by this node, by bucket.
    :ivar unconfirmed: the part of ``own`` that is newer than what others reported.
    :ivar others: promised by other nodes, by bucket.
    """

    own: Counter[int]
    unconfirmed: Counter[int]
    others: Counter[int]


@dataclass(slots=True)
class ReturnChanges:
    """Returns with the number of their last change, as ``SentChanges`` uses them.

    :param read: returns the messages with all returns, whether changed or not.
    """

    read: Callable[[], list[ServiceReturns]]
    version: int = NOTHING_SENT

    @property
    def own_version(self) -> int:
        """Number of the last change."""
        return self.version

    def changes_since(self, version: int) -> list[ServiceReturns]:
        """Return all returns, as a list replaces the one before it."""
        del version
        return self.read()


@dataclass(frozen=True, slots=True)
class _Promise:
    """A caller that was told when to retry.

    :ivar made: monotonic time at which it was told.
    """

    service: str
    bucket: int
    made: timedelta


@dataclass(slots=True)
class _Reporters:
    """The counts that each of some reporters has sent, and their sums.

    A removed count stays in the sums as 0 until its time has passed, so that reports
    with the sums tell of it.
    """

    counts: dict[str, _Counts] = field(default_factory=dict)
    totals: _Counts = field(default_factory=dict)

    def replace(self, reporter: str, counts: _Counts) -> None:
        """Replace the counts of one reporter."""
        self.remove(reporter)
        self.counts[reporter] = counts
        for service, buckets in counts.items():
            self.totals.setdefault(service, Counter()).update(buckets)

    def remove(self, reporter: str) -> bool:
        """Drop the counts of one reporter; return whether it had any."""
        known = self.counts.pop(reporter, {})
        for service, buckets in known.items():
            self.totals.setdefault(service, Counter()).subtract(buckets)
        return bool(known)


class PromisedReturns:
    """Returns that this node has promised, and those that others have reported.

    :ivar own_changes: returns promised by this node, for its own reports.
    :ivar centre_changes: the sum over this data centre.
    :ivar fleet_changes: the sum over all nodes.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: _Counts = {}
        self._unconfirmed: _Counts = {}
        self._unconfirmed_promises: deque[_Promise] = deque()
        self._nodes = _Reporters()
        self._sums = _Reporters()
        self._sent: OrderedDict[int, timedelta] = OrderedDict()
        self._last_report: timedelta | None = None
        nodes, sums = self._nodes.totals, self._sums.totals
        self.own_changes = ReturnChanges(lambda: self._messages(self._own))
        self.centre_changes = ReturnChanges(lambda: self._messages(self._own, nodes))
        self.fleet_changes = ReturnChanges(
            lambda: self._messages(self._own, nodes, sums)
        )

    @property
    def hears_others(self) -> bool:
        """Whether a report of other nodes has arrived within ``REPORT_TIMEOUT``."""
        if self._last_report is None:
            return False
        return self._clock.monotonic() - self._last_report <= REPORT_TIMEOUT

    def add(self, service: str, bucket: int) -> None:
        """Count a caller that this node tells to retry in a bucket."""
        made = self._clock.monotonic()
        # Keeps the queue short while no reports arrive; these returns have passed.
        self._confirm_until(made - HORIZON)
        self._unconfirmed_promises.append(_Promise(service, bucket, made))
        for counts in (self._own, self._unconfirmed):
            counts.setdefault(service, Counter())[bucket] += 1
        self.own_changes.version += 1
        self._record_change(in_centre=True)

    def known(self, service: str) -> KnownReturns:
        """Return what is known of the returns to a service from now on."""
        others = self._current(service, self._nodes.totals)
        others.update(self._current(service, self._sums.totals))
        return KnownReturns(
            self._current(service, self._own),
            self._current(service, self._unconfirmed),
            others,
        )

    def record_sent(self, sequence: int) -> None:
        """Record that an own report is sent now, which sums may include later."""
        self._sent[sequence] = self._clock.monotonic()
        if len(self._sent) > MAX_KEPT_REPORTS:
            self._sent.popitem(last=False)

    def apply_node(self, vm: str, returns: list[ServiceReturns]) -> None:
        """Apply the report of a node."""
        now = self._clock.monotonic()
        self._record_report(now, now - USUAL_REPORT_DELAY)
        if returns:
            self._nodes.replace(vm, self._counts(returns, now))
            self._record_change(in_centre=True)

    def apply_sum(
        self, name: str, returns: list[ServiceReturns], own_sequence: int | None
    ) -> None:
        """Apply a sum over several nodes.

        :param own_sequence: number of this node's own report that it includes.
        """
        now = self._clock.monotonic()
        sent = self._sent.get(own_sequence) if own_sequence is not None else None
        self._record_report(now, now - USUAL_REPORT_DELAY if sent is None else sent)
        if not returns:
            return
        # Buckets are relative to the sending of the sum. If it was delayed on the way,
        # it was sent earlier than its arrival suggests.
        summed = now if sent is None else min(now, sent + USUAL_WAIT_FOR_SUM)
        counts = self._counts(returns, summed)
        if sent is not None:
            self._subtract_confirmed(counts)
        self._sums.replace(name, counts)
        self._record_change(in_centre=False)

    def remove(self, reporter: str) -> None:
        """Drop the returns of a reporter that is lost or included in another sum."""
        if self._nodes.remove(reporter):
            self._record_change(in_centre=True)
        if self._sums.remove(reporter):
            self._record_change(in_centre=False)

    @property
    def _bucket_now(self) -> int:
        return self._clock.monotonic() // BUCKET

    def _record_change(self, in_centre: bool) -> None:
        self.fleet_changes.version += 1
        if in_centre:
            self.centre_changes.version += 1

    def _record_report(self, now: timedelta, known_until: timedelta) -> None:
        """Record that others have reported what they knew at some time."""
        self._last_report = now
        self._confirm_until(known_until)

    def _confirm_until(self, known_until: timedelta) -> None:
        """Count own promises up to some time as confirmed."""
        promises = self._unconfirmed_promises
        while promises and promises[0].made <= known_until:
            promise = promises.popleft()
            self._unconfirmed[promise.service][promise.bucket] -= 1

    def _current(self, service: str, counts: _Counts) -> Counter[int]:
        """Return counts of a service, and drop those whose time has passed."""
        if service not in counts:
            return Counter()
        buckets, first = counts[service], self._bucket_now
        for bucket in [each for each in buckets if each < first]:
            del buckets[bucket]
        return Counter(buckets)

    def _counts(self, returns: Iterable[ServiceReturns], sent: timedelta) -> _Counts:
        """Return the counts of a report that was sent at some time."""
        counts: _Counts = {}
        last = (sent + HORIZON) // BUCKET
        for each in returns:
            # Bounded, so that a wrong value can't exceed the range of timedelta.
            first_ms = min(max(each.first_ms, -HORIZON_MS), HORIZON_MS)
            first = round((sent + first_ms * MILLISECOND) / BUCKET)
            numbered = enumerate(each.counts[:MAX_BUCKETS], first)
            counts[each.service] = Counter(
                {bucket: max(0, n) for bucket, n in numbered if bucket <= last}
            )
        return counts

    def _subtract_confirmed(self, counts: _Counts) -> None:
        """Subtract this node's own part from a sum that includes it.

        Buckets are rounded at each node on the way, so what is missing in one bucket is
        subtracted from those beside it.
        """
        for service, buckets in counts.items():
            confirmed = self._current(service, self._own)
            confirmed.subtract(self._current(service, self._unconfirmed))
            for bucket, number in confirmed.items():
                for near in (bucket, bucket + 1, bucket - 1):
                    taken = max(0, min(number, buckets[near]))
                    buckets[near] -= taken
                    number -= taken

    def _messages(self, *parts: _Counts) -> list[ServiceReturns]:
        """Return the sums of several counts, of the services with the most returns."""
        messages = [
            message
            for service in sorted({name for part in parts for name in part})
            if (message := self._message(service, parts)) is not None
        ]
        if len(messages) > MAX_REPORTED_SERVICES:
            messages.sort(key=lambda each: -sum(each.counts))
        self._forget_passed(parts)
        return messages[:MAX_REPORTED_SERVICES]

    def _message(self, service: str, parts: Iterable[_Counts]) -> ServiceReturns | None:
        """Return the sums for one service; None if their time has passed."""
        total: Counter[int] = Counter()
        for part in parts:
            total.update(self._current(service, part))
        if not total:
            return None
        first, last = min(total), max(total)
        return ServiceReturns(
            service=service,
            first_ms=round((first * BUCKET - self._clock.monotonic()) / MILLISECOND),
            counts=[max(0, total[bucket]) for bucket in range(first, last + 1)],
        )

    def _forget_passed(self, parts: Iterable[_Counts]) -> None:
        """Forget services without returns, so that none stays known forever."""
        for part in parts:
            for service in [name for name, buckets in part.items() if not buckets]:
                del part[service]
