"""Finds parts of prompts that crash targets, and quarantines them.

When a run of a target ends, each request that it had not begun to answer is a suspect,
and so is each shared part of its prompt. A part that targets answer elsewhere is
exonerated. A part that was a suspect in several crashes of requests that are otherwise
different, and that no target has answered since, is quarantined: requests with it are
refused, since each of them would crash one more target.

Nodes merge each other's evidence. A crash is identified by its run and request, so
that repeats and reordering change nothing.
"""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

from chivespan.clock import MILLISECOND, NO_WAIT, Clock
from chivespan.logs import logger
from chivespan.nodemessages import PartCrash, PartEvidence, TargetRun

# One request resent may meet two crashes that it didn't cause.
MIN_CRASHED_RUNS = 3
MIN_CRASHED_REQUESTS = 2
# By then a node that knows the part to be harmless has told all others.
EXONERATION_TIME = timedelta(milliseconds=500)
# Long, since harmful requests may come rarely.
EVIDENCE_LIFETIME = timedelta(minutes=10)
SERVED_LIFETIME = timedelta(minutes=1)
# Counted from the last request with the part.
QUARANTINE_LIFETIME = timedelta(minutes=10)
# Evidence near its end isn't sent, or nodes would renew each other's copies forever.
SENT_SHARE_OF_LIFETIME = 0.9
# Reports are renewed at most this often while only the ages in them change.
REPORT_INTERVAL = timedelta(seconds=1)
MAX_SERVED_PARTS = 4096
MAX_SUSPECTS = 64
MAX_CRASHES = 8
NOT_SERVED = -1
# Source of evidence that this node met itself.
OWN_CRASH = "crash"

_log = logger("quarantine")


class PartStatus(StrEnum):
    """What is known of a part of a prompt.

    - ``UNKNOWN``: no target has answered it recently, nor crashed under it.
    - ``SERVED``: a target has answered a request with it.
    - ``SUSPECT``: it may be the cause of crashes, and other nodes may know better soon.
    - ``QUARANTINED``: requests with it are refused.
    """

    UNKNOWN = "unknown"
    SERVED = "served"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class CrashedRequest:
    """A request that a run of a target had not begun to answer when the run ended."""

    target_id: str
    started_ms: int
    request_id: str

    @property
    def run(self) -> tuple[str, int]:
        """The run that ended."""
        return (self.target_id, self.started_ms)


@dataclass(slots=True)
class _Suspect:
    """Evidence on one part of prompts.

    :ivar crashes: when each crash happened, on the monotonic clock.
    :ivar served: when a target last answered the part, as far as other nodes asked.
    :ivar quarantined_until: end of the quarantine; None while there is none.
    """

    crashes: dict[CrashedRequest, timedelta] = field(default_factory=dict)
    served: timedelta | None = None
    quarantined_until: timedelta | None = None

    @property
    def crashed_runs(self) -> int:
        """Number of runs that ended while a request with the part waited there."""
        return len({crash.run for crash in self.crashes})

    @property
    def crashed_requests(self) -> int:
        """Number of requests with the part that met a crash."""
        return len({crash.request_id for crash in self.crashes})

    @property
    def is_convicted(self) -> bool:
        """Whether there is enough evidence for a quarantine."""
        enough_runs = self.crashed_runs >= MIN_CRASHED_RUNS
        return enough_runs and self.crashed_requests >= MIN_CRASHED_REQUESTS

    def is_news(self, served: timedelta) -> bool:
        """Return whether peers have to be told that a target answered the part then."""
        if self.crashes or self.served is None or self.quarantined_until is not None:
            return True
        return served - self.served > SERVED_LIFETIME / 2

    def exoneration_time_left(self, now: timedelta) -> timedelta:
        """Return how long other nodes may still take to exonerate the part."""
        first_crash = min(self.crashes.values(), default=now - EXONERATION_TIME)
        return max(NO_WAIT, first_crash + EXONERATION_TIME - now)


class PromptQuarantine:
    """Evidence on parts of prompts, from this node and its peers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # When targets last answered each part to this node, oldest first.
        self._served: OrderedDict[str, timedelta] = OrderedDict()
        self._suspects: dict[str, _Suspect] = {}
        self._version = 0
        self._report: list[PartEvidence] = []
        self._reported_at = timedelta(0)
        self._reported_version = 0

    @property
    def version(self) -> int:
        """Changes whenever peers have to be told."""
        return self._version

    @property
    def quarantined(self) -> list[str]:
        """The parts in quarantine."""
        return [part for part in self._suspects if self._is_quarantined(part)]

    @property
    def report(self) -> list[PartEvidence]:
        """The evidence for peers; the same list until it has to be sent again."""
        now = self._clock.monotonic()
        is_old = bool(self._report) and now - self._reported_at >= REPORT_INTERVAL
        if is_old or self._reported_version != self._version:
            self._report = list(self._evidence(now))
            self._reported_at = now
            self._reported_version = self._version
        return self._report

    def record_served(self, parts: Iterable[str]) -> None:
        """Record that a target answers a request with these parts."""
        now = self._clock.monotonic()
        for part in parts:
            self._served[part] = now
            self._served.move_to_end(part)
            if part in self._suspects:
                self._exonerate(part, now, "response")
        while len(self._served) > MAX_SERVED_PARTS:
            self._served.popitem(last=False)

    def record_crash(self, parts: Iterable[str], crash: CrashedRequest) -> None:
        """Record that a run ended before it answered a request with these parts."""
        now = self._clock.monotonic()
        for part in parts:
            self._add_crash(part, crash, now, OWN_CRASH)

    def status(self, part: str) -> PartStatus:
        """Return what is known of a part."""
        now = self._clock.monotonic()
        if self._is_quarantined(part):
            return PartStatus.QUARANTINED
        if self._is_served(part, now):
            return PartStatus.SERVED
        suspect = self._suspects.get(part)
        if suspect is None or not suspect.crashes:
            return PartStatus.UNKNOWN
        return PartStatus.SUSPECT

    def pending_time(self, parts: Iterable[str]) -> timedelta:
        """Return how long a request should wait for other nodes' word on its parts.

        There is enough evidence against a part, but some node may exonerate it.
        """
        return max((self._pending_time(part) for part in parts), default=NO_WAIT)

    def may_resend(self, parts: Iterable[str]) -> bool:
        """Return whether a request that met a crash may be sent to another target.

        Only parts that a target has answered, or that met no other crash, may be.
        """
        return all(self._may_resend(part) for part in parts)

    def find_quarantined(self, parts: Iterable[str]) -> str | None:
        """Return the first part in quarantine; its quarantine is prolonged."""
        for part in parts:
            if (suspect := self._suspects.get(part)) is not None:
                self._convict(part, suspect)
            if self.status(part) is PartStatus.QUARANTINED:
                self._prolong(part)
                return part
        return None

    def quarantine_time_left(self, part: str) -> timedelta:
        """Return how long requests with a part are refused if no more of them come."""
        suspect = self._suspects.get(part)
        if suspect is None or suspect.quarantined_until is None:
            return NO_WAIT
        return max(NO_WAIT, suspect.quarantined_until - self._clock.monotonic())

    def merge(self, evidence: Iterable[PartEvidence], source: str) -> None:
        """Add a peer's evidence to that of this node.

        :param source: where it came from, for the log.
        """
        now = self._clock.monotonic()
        for entry in evidence:
            self._merge_entry(entry, now, source)

    def update(self) -> None:
        """Quarantine convicted parts and forget old evidence; called periodically."""
        now = self._clock.monotonic()
        for part, suspect in list(self._suspects.items()):
            self._convict(part, suspect)
            self._drop_expired(part, suspect, now)

    def _merge_entry(self, entry: PartEvidence, now: timedelta, source: str) -> None:
        if entry.served_age_ms != NOT_SERVED:
            served = now - entry.served_age_ms * MILLISECOND
            self._exonerate(entry.part, served, source)
        for crash in entry.crashes:
            run = crash.run
            request = CrashedRequest(run.target_id, run.started_ms, crash.request_id)
            self._add_crash(
                entry.part, request, now - crash.age_ms * MILLISECOND, source
            )
        if entry.quarantine_ms:
            until = now + entry.quarantine_ms * MILLISECOND
            self._adopt_quarantine(entry.part, until, source)

    def _adopt_quarantine(self, part: str, until: timedelta, source: str) -> None:
        if self._is_served(part, self._clock.monotonic()):
            self._answer_suspicion(part, source)
        else:
            self._quarantine(part, until, source)

    def _add_crash(
        self, part: str, crash: CrashedRequest, at: timedelta, source: str
    ) -> None:
        now = self._clock.monotonic()
        if now - at >= EVIDENCE_LIFETIME:
            return
        if self._is_served(part, now):
            self._answer_suspicion(part, source)
            return
        suspect = self._suspect(part)
        known = crash in suspect.crashes
        if known or suspect.quarantined_until or len(suspect.crashes) >= MAX_CRASHES:
            return
        suspect.crashes[crash] = at
        self._version += 1
        _log.info(
            "part_suspected",
            prompt_part=part,
            request=crash.request_id,
            target=crash.target_id,
            source=source,
            crashed_runs=suspect.crashed_runs,
            crashed_requests=suspect.crashed_requests,
        )
        self._convict(part, suspect)

    def _answer_suspicion(self, part: str, source: str) -> None:
        """Tell peers that suspect a part that targets answer it."""
        served = self._served.get(part)
        if source != OWN_CRASH and served is not None and part not in self._suspects:
            self._exonerate(part, served, source)

    def _exonerate(self, part: str, served: timedelta, source: str) -> None:
        """Drop the evidence against a part that a target has answered."""
        now = self._clock.monotonic()
        if now - served >= SERVED_LIFETIME:
            return
        suspect = self._suspect(part)
        if not suspect.is_news(served):
            return
        _log.info(
            "part_exonerated",
            prompt_part=part,
            source=source,
            served_ms_ago=(now - served) // MILLISECOND,
            crashes=len(suspect.crashes),
            was_quarantined=suspect.quarantined_until is not None,
        )
        suspect.crashes.clear()
        suspect.quarantined_until = None
        suspect.served = served
        self._version += 1

    def _convict(self, part: str, suspect: _Suspect) -> None:
        """Quarantine a part when the evidence suffices and no node objects."""
        if suspect.quarantined_until is not None or not suspect.is_convicted:
            return
        if suspect.exoneration_time_left(self._clock.monotonic()) > NO_WAIT:
            return
        until = self._clock.monotonic() + QUARANTINE_LIFETIME
        self._quarantine(part, until, "evidence")

    def _quarantine(self, part: str, until: timedelta, source: str) -> None:
        suspect = self._suspect(part)
        known = suspect.quarantined_until
        if known is not None and until - known < QUARANTINE_LIFETIME / 4:
            return
        suspect.quarantined_until = until
        self._version += 1
        if known is None:
            _log.notice(
                "part_quarantined",
                prompt_part=part,
                source=source,
                targets=sorted({crash.target_id for crash in suspect.crashes}),
                requests=sorted({crash.request_id for crash in suspect.crashes}),
            )

    def _prolong(self, part: str) -> None:
        self._quarantine(part, self._clock.monotonic() + QUARANTINE_LIFETIME, "request")

    def _drop_expired(self, part: str, suspect: _Suspect, now: timedelta) -> None:
        suspect.crashes = {
            crash: at
            for crash, at in suspect.crashes.items()
            if now - at < EVIDENCE_LIFETIME
        }
        if suspect.served is not None and now - suspect.served >= SERVED_LIFETIME:
            suspect.served = None
        until = suspect.quarantined_until
        if until is not None and until <= now:
            _log.notice("quarantine_ended", prompt_part=part)
            suspect.quarantined_until = until = None
            suspect.crashes.clear()
        if until is None and suspect.served is None and not suspect.crashes:
            del self._suspects[part]
            self._version += 1

    def _evidence(self, now: timedelta) -> Iterator[PartEvidence]:
        for part, suspect in sorted(self._suspects.items()):
            entry = PartEvidence(
                part=part,
                crashes=_crash_messages(suspect, now),
                served_age_ms=_served_age_ms(suspect, now),
                quarantine_ms=_quarantine_ms(suspect, now),
            )
            is_served = entry.served_age_ms != NOT_SERVED
            if entry.crashes or is_served or entry.quarantine_ms:
                yield entry

    def _suspect(self, part: str) -> _Suspect:
        suspect = self._suspects.get(part)
        if suspect is None:
            self._make_room()
            suspect = self._suspects[part] = _Suspect()
        return suspect

    def _make_room(self) -> None:
        """Drop the oldest evidence that led to no quarantine."""
        if len(self._suspects) < MAX_SUSPECTS:
            return
        for part in self._suspects:
            if not self._is_quarantined(part):
                del self._suspects[part]
                return
        del self._suspects[next(iter(self._suspects))]

    def _pending_time(self, part: str) -> timedelta:
        suspect = self._suspects.get(part)
        if suspect is None or not suspect.is_convicted:
            return NO_WAIT
        return suspect.exoneration_time_left(self._clock.monotonic())

    def _may_resend(self, part: str) -> bool:
        status = self.status(part)
        if status is not PartStatus.SUSPECT:
            return status is not PartStatus.QUARANTINED
        return self._suspects[part].crashed_runs <= 1

    def _is_quarantined(self, part: str) -> bool:
        return self.quarantine_time_left(part) > NO_WAIT

    def _is_served(self, part: str, now: timedelta) -> bool:
        suspect = self._suspects.get(part)
        told = None if suspect is None else suspect.served
        known = [at for at in (told, self._served.get(part)) if at is not None]
        return any(now - at < SERVED_LIFETIME for at in known)


def _crash_messages(suspect: _Suspect, now: timedelta) -> list[PartCrash]:
    """Return the crashes of a part; none once the part is in quarantine."""
    if suspect.quarantined_until is not None:
        return []
    longest = EVIDENCE_LIFETIME * SENT_SHARE_OF_LIFETIME
    return [
        PartCrash(
            run=TargetRun(target_id=crash.target_id, started_ms=crash.started_ms),
            request_id=crash.request_id,
            age_ms=(now - at) // MILLISECOND,
        )
        for crash, at in suspect.crashes.items()
        if now - at < longest
    ]


def _served_age_ms(suspect: _Suspect, now: timedelta) -> int:
    if suspect.served is None:
        return NOT_SERVED
    age = now - suspect.served
    if age >= SERVED_LIFETIME * SENT_SHARE_OF_LIFETIME:
        return NOT_SERVED
    return age // MILLISECOND


def _quarantine_ms(suspect: _Suspect, now: timedelta) -> int:
    until = suspect.quarantined_until
    shortest = QUARANTINE_LIFETIME * (1 - SENT_SHARE_OF_LIFETIME)
    if until is None or until - now < shortest:
        return 0
    return (until - now) // MILLISECOND
