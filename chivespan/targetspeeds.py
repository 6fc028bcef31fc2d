"""Speeds of targets relative to the median of their service, as all nodes know them.

Each complete response shows the time per event of its target. A node averages these
times for each run of a target, together with the averages that other nodes report. It
reports an average when it has changed, and at intervals while new responses confirm it.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from statistics import median
from types import MappingProxyType

from chivespan.clock import MICROSECOND, MILLISECOND, Clock
from chivespan.logs import logger
from chivespan.nodemessages import TargetEntry, TargetRun, TargetSpeed
from chivespan.sentchanges import NumberedChanges

USUAL_SPEED = 1.0
# Smaller differences from the median are within the variation of equal targets.
USUAL_BAND = 0.2
# A target that is slower than a quarter of the median is for the health check to judge.
MIN_SPEED = 0.25
MAX_SPEED = 4.0
# With fewer estimates of a service, all its targets count as usual.
MIN_ESTIMATES = 3
# Averages of fewer responses aren't used: with noise, equal targets would seem unequal.
MIN_SAMPLES = 8
# Weight of one response in an average of many. The first ones weigh more, so that the
# average doesn't begin with the noise of a single response.
SMOOTHING = 0.1
LIFETIME = timedelta(seconds=60)
# Smaller changes of an average aren't reported to other nodes.
IGNORED_CHANGE = 0.1
MIN_REPORT_INTERVAL = timedelta(seconds=1)
# The same for averages of fewer responses than ``MIN_SAMPLES``, which aren't used yet.
MIN_FIRST_REPORT_INTERVAL = timedelta(milliseconds=500)
# Unchanged averages are reported again after these times, so that they don't expire
# elsewhere. Those of usual targets are needed for the median, and are repeated only
# while the service has an unusual target.
REPEAT_UNUSUAL = timedelta(seconds=20)
REPEAT_USUAL = timedelta(seconds=45)
# A report that isn't newer by this is ignored. Reports seem newer than they are by the
# time that they were under way; two relays would otherwise exchange theirs forever.
MIN_NEWER = timedelta(milliseconds=500)
# The same for a report with the same average, which is sent again after 20 s or more.
MIN_NEWER_IF_SAME = timedelta(seconds=5)
UPDATE_INTERVAL = timedelta(seconds=1)
LOGGED_CHANGE = 0.25
# Averages near the edge of the band would otherwise be logged each second.
MIN_LOG_INTERVAL = timedelta(seconds=5)

_NO_SPEEDS: Mapping[str, float] = MappingProxyType({})
_log = logger("speeds")


@dataclass(slots=True)
class _Estimate:
    """What is known of one run of a target.

    :ivar event_time: the geometric average of the times per event.
    :ivar samples: responses that it was made from, as far as known here.
    :ivar renewed: monotonic time of the last response in it.
    :ivar reported: the average that other nodes know; None if they know none.
    :ivar reported_at: monotonic time at which it was reported.
    :ivar reported_samples: responses in that report.
    :ivar version: version of all estimates that includes the last report.
    :ivar is_own: whether the last report was this node's.
    """

    run: TargetRun
    event_time: timedelta
    samples: int
    renewed: timedelta
    reported: timedelta | None = None
    reported_at: timedelta = timedelta(0)
    reported_samples: int = 0
    version: int = 0
    is_own: bool = False

    def add(self, event_time: timedelta, now: timedelta) -> None:
        """Add a response to the geometric average, which limits outliers."""
        self.samples += 1
        weight = max(SMOOTHING, 1 / self.samples)
        self.event_time *= (event_time / self.event_time) ** weight
        self.renewed = now


@dataclass(frozen=True, slots=True)
class _LoggedSpeed:
    """The speed of a target that was logged last, and when."""

    speed: float
    at: timedelta


@dataclass(slots=True)
class _ServiceSpeeds:
    """The speeds of one service's targets.

    :ivar due: monotonic time at which they are computed next.
    :ivar unusual: the speeds that aren't the usual one, by target id.
    :ivar logged: the speeds as logged, by target id; without an entry, the usual one.
    """

    due: timedelta
    unusual: Mapping[str, float] = field(default_factory=dict)
    logged: dict[str, _LoggedSpeed] = field(default_factory=dict)

    def must_log(self, target_id: str, now: timedelta) -> bool:
        """Return whether a speed differs enough from the one that was logged."""
        speed = self.unusual.get(target_id, USUAL_SPEED)
        logged = self.logged.get(target_id)
        before = USUAL_SPEED if logged is None else logged.speed
        if logged is not None and now - logged.at < MIN_LOG_INTERVAL:
            return False
        if USUAL_SPEED in (before, speed):
            return speed != before
        return abs(speed - before) > LOGGED_CHANGE * before


class TargetSpeeds(NumberedChanges):
    """The speeds of targets, from responses to this node and from its peers."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self._known: dict[str, _Estimate] = {}
        self._services: dict[str, _ServiceSpeeds] = {}

    @property
    def unusual_targets(self) -> int:
        """The number of targets whose speed isn't the usual one, of services in use."""
        now = self._clock.monotonic()
        return sum(
            len(service.unusual)
            for service in self._services.values()
            if now - service.due < LIFETIME
        )

    def of_service(
        self, service: str, entries: Callable[[], Sequence[TargetEntry]]
    ) -> Mapping[str, float]:
        """Return the speeds that aren't the usual one, by target id.

        They are computed once a second at most, since this is called for each request.

        :param entries: returns the entries of all targets of the service.
        """
        known = self._services.get(service)
        if known is None and not self._known:
            return _NO_SPEEDS
        now = self._clock.monotonic()
        if known is None:
            known = self._services[service] = _ServiceSpeeds(now)
        if now >= known.due:
            self._update(known, entries(), now)
        return known.unusual

    def record(self, entry: TargetEntry, event_time: timedelta) -> None:
        """Record the time per event of a complete response to this node."""
        now = self._clock.monotonic()
        known = self._find(entry, now)
        if known is None:
            latest = self._known.get(entry.target_id)
            if latest is not None and latest.run.started_ms > entry.started_ms:
                return
            run = TargetRun(target_id=entry.target_id, started_ms=entry.started_ms)
            known = self._known[entry.target_id] = _Estimate(run, event_time, 1, now)
        else:
            known.add(event_time, now)
        if self._must_report(known, entry, now):
            self._set_reported(known, now, is_own=True)
            known.is_own = True

    def merge(self, speeds: Iterable[TargetSpeed]) -> None:
        """Apply the estimates that a peer has reported."""
        now = self._clock.monotonic()
        for each in speeds:
            renewed = now - max(0, each.age_ms) * MILLISECOND
            if each.event_us > 0 and now - renewed < LIFETIME:
                self._apply(each, renewed, now)

    def changes_since(self, version: int, own_only: bool = False) -> list[TargetSpeed]:
        """Return the messages for a peer that knows all estimates up to a version.

        :param own_only: whether to leave out those that this node has from peers.
        """
        return list(self._changes_since(version, own_only))

    def remove_outdated(self) -> None:
        """Drop expired estimates, and have speeds computed for the current entries."""
        now = self._clock.monotonic()
        self._known = {
            target_id: known
            for target_id, known in self._known.items()
            if now - known.renewed < LIFETIME
        }
        for service in self._services.values():
            service.due = min(service.due, now)

    def _find(self, entry: TargetEntry, now: timedelta) -> _Estimate | None:
        """Return the estimate of the entry's run; None if there is none, or expired."""
        known = self._known.get(entry.target_id)
        if known is None or known.run.started_ms != entry.started_ms:
            return None
        return known if now - known.renewed < LIFETIME else None

    def _apply(self, reported: TargetSpeed, renewed: timedelta, now: timedelta) -> None:
        run = reported.run
        event_time = reported.event_us * MICROSECOND
        known = self._known.get(run.target_id)
        samples = max(1, reported.samples)
        if known is not None and known.run.started_ms >= run.started_ms:
            if known.run != run:
                return
            is_same = known.event_time == event_time
            margin = MIN_NEWER_IF_SAME if is_same else MIN_NEWER
            if renewed - known.renewed < margin:
                # Other nodes have the peer's report; this node needn't repeat its own.
                known.reported_at = now
                return
            if samples < min(known.samples, MIN_SAMPLES):
                # The peer's average lacks most responses, so it counts as one response.
                known.add(event_time, renewed)
                self._set_reported(known, now)
                return
            samples = max(samples, known.samples)
        known = self._known[run.target_id] = _Estimate(
            run, event_time, samples, renewed
        )
        self._set_reported(known, now)

    def _must_report(
        self, known: _Estimate, entry: TargetEntry, now: timedelta
    ) -> bool:
        """Return whether an estimate is to be reported to other nodes now."""
        if known.reported is None:
            return True
        since = now - known.reported_at
        if known.reported_samples < MIN_SAMPLES:
            return since >= MIN_FIRST_REPORT_INTERVAL
        if since < MIN_REPORT_INTERVAL:
            return False
        if abs(known.event_time - known.reported) > known.reported * IGNORED_CHANGE:
            return True
        service = self._services.get(entry.service)
        if service is None or not service.unusual:
            return False
        is_unusual = entry.target_id in service.unusual
        return since >= (REPEAT_UNUSUAL if is_unusual else REPEAT_USUAL)

    def _set_reported(
        self, known: _Estimate, now: timedelta, *, is_own: bool = False
    ) -> None:
        """Have an estimate reported to other nodes."""
        known.version = self._number_change(is_own)
        known.reported = known.event_time
        known.reported_at = now
        known.reported_samples = known.samples

    def _changes_since(self, version: int, own_only: bool) -> Iterator[TargetSpeed]:
        """Yield messages; none of estimates that have expired at other nodes."""
        now = self._clock.monotonic()
        for known in self._known.values():
            is_current = now - known.reported_at < LIFETIME
            is_wanted = known.is_own or not own_only
            if known.version > version and is_wanted and is_current:
                yield TargetSpeed(
                    run=known.run,
                    event_us=known.event_time // MICROSECOND,
                    samples=known.samples,
                    age_ms=(now - known.renewed) // MILLISECOND,
                )

    def _update(
        self, service: _ServiceSpeeds, entries: Sequence[TargetEntry], now: timedelta
    ) -> None:
        """Compute the speeds of a service, and log the changes."""
        service.due = now + UPDATE_INTERVAL
        times = {
            entry.target_id: known.event_time
            for entry in entries
            if (known := self._find(entry, now)) is not None
            and known.samples >= MIN_SAMPLES
        }
        usual = _median(times.values()) if len(times) >= MIN_ESTIMATES else None
        service.unusual = {} if usual is None else dict(_unusual(times, usual))
        if not service.unusual and not service.logged:
            return
        listed = {entry.target_id: entry for entry in entries}
        service.logged = {
            target_id: logged
            for target_id, logged in service.logged.items()
            if target_id in listed
        }
        for target_id in {*service.unusual, *service.logged}:
            if service.must_log(target_id, now):
                self._log_change(service, listed[target_id], usual, now)

    def _log_change(
        self,
        service: _ServiceSpeeds,
        entry: TargetEntry,
        usual: timedelta | None,
        now: timedelta,
    ) -> None:
        speed = service.unusual.get(entry.target_id, USUAL_SPEED)
        before = service.logged.get(entry.target_id)
        service.logged[entry.target_id] = _LoggedSpeed(speed, now)
        known = self._find(entry, now)
        _log.info(
            "target_speed_changed",
            target=entry.target_id,
            started_ms=entry.started_ms,
            service=entry.service,
            speed=round(speed, 2),
            before=USUAL_SPEED if before is None else round(before.speed, 2),
            event_us=None if known is None else known.event_time // MICROSECOND,
            usual_event_us=None if usual is None else usual // MICROSECOND,
        )


def _median(times: Iterable[timedelta]) -> timedelta:
    return median(each // MICROSECOND for each in times) * MICROSECOND


def _unusual(
    times: Mapping[str, timedelta], usual: timedelta
) -> Iterator[tuple[str, float]]:
    """Yield the ids and speeds of the targets that differ from the usual one."""
    for target_id, event_time in times.items():
        speed = min(MAX_SPEED, max(MIN_SPEED, usual / event_time))
        if abs(speed - USUAL_SPEED) >= USUAL_BAND:
            yield target_id, speed
