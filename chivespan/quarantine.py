"""Finds what crashes targets, and quarantines it: parts of prompts, or whole requests.

When a run of a target ends, each request that it had not begun to answer is a suspect,
and so is each part of its prompt that other requests may share. A suspect that a target
has answered shortly before or at any time since is exonerated. One that was there at
several crashes at different times is quarantined: requests with it are refused, since
each of them would crash one more target.

Nodes merge each other's evidence. A crash is identified by its run and request, so
that repeats and reordering change nothing.
"""

from collections.abc import Collection, Iterable, Iterator
from datetime import timedelta
from enum import StrEnum

from chivespan.answeredsuspects import AnsweredSuspects
from chivespan.clock import MILLISECOND, NO_WAIT, Clock
from chivespan.evidencemessages import (
    NOT_ANSWERED,
    crashed_request,
    evidence_message,
)
from chivespan.logs import logger
from chivespan.nodemessages import PartEvidence
from chivespan.sentchanges import NumberedChanges
from chivespan.suspicion import (
    EVIDENCE_LIFETIME,
    MIN_CRASHES,
    QUARANTINE_LIFETIME,
    CrashedRequest,
    Suspicion,
)
from chivespan.suspicions import REPORT_DELAY, Suspicions

# By then a node that knows the suspect to be harmless has told all others.
EXONERATION_TIME = timedelta(seconds=1)
# A quarantine is prolonged, and peers are told, when this share of it has passed.
PROLONGED_SHARE = 0.25
# Sources of evidence that this node has found itself.
OWN_CRASH = "crash"
OWN_ANSWER = "response"
OWN_VERDICT = "evidence"
OWN_REQUEST = "request"
OWN_SOURCES = frozenset({OWN_CRASH, OWN_ANSWER, OWN_VERDICT, OWN_REQUEST})

_log = logger("quarantine")


class SuspectStatus(StrEnum):
    """What is known of a suspect.

    - ``UNKNOWN``: no target has answered it recently, nor crashed under it.
    - ``ANSWERED``: a target has answered a request with it.
    - ``SUSPECT``: it may be the cause of crashes.
    - ``QUARANTINED``: requests with it are refused.
    """

    UNKNOWN = "unknown"
    ANSWERED = "answered"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class Quarantine(NumberedChanges):
    """Evidence on suspects, from this node and its peers."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self._answered = AnsweredSuspects()
        self._suspicions = Suspicions()

    @property
    def quarantined(self) -> list[str]:
        """The suspects in quarantine."""
        return [
            suspect for suspect in self._suspicions if self._is_quarantined(suspect)
        ]

    @property
    def suspects(self) -> frozenset[str]:
        """The suspects in quarantine and those with evidence against them."""
        known = self._suspicions.items()
        return frozenset(suspect for suspect, suspicion in known if suspicion.crashes)

    @property
    def report(self) -> list[PartEvidence]:
        """All evidence, for a peer that has none of it."""
        return self.changes_since(0)

    @property
    def lasting_evidence(self) -> list[PartEvidence]:
        """The evidence that must outlast all processes of the fleet.

        Of requests, only those that met several crashes: nearly each request at a
        target that ends is another suspect.
        """
        now = self._clock.monotonic()
        known = self._suspicions.items()
        lasting = sorted(suspect for suspect, each in known if each.must_last)
        return list(self._evidence(lasting, now))

    def changes_since(self, version: int) -> list[PartEvidence]:
        """Return the evidence for a peer that has all of it up to a version."""
        now = self._clock.monotonic()
        suspicions = self._suspicions.items()
        changed = sorted(name for name, each in suspicions if each.version > version)
        return list(self._evidence(changed, now))

    def record_answered(self, suspects: Iterable[str]) -> None:
        """Record that a target answers a request with these suspects."""
        now = self._clock.monotonic()
        answered = list(suspects)
        self._answered.record(answered, now)
        for suspect in answered:
            suspicion = self._suspicions.get(suspect)
            if suspicion is not None and suspicion.crashes:
                self._apply_answer(suspect, suspicion, now, OWN_ANSWER)

    def record_crash(self, suspects: Iterable[str], crash: CrashedRequest) -> None:
        """Record that a run ended before it answered a request with these suspects."""
        now = self._clock.monotonic()
        added = [
            suspect
            for suspect in suspects
            if self._add_crash(suspect, crash, now, OWN_CRASH)
        ]
        for suspect in added:
            self._log_suspected(suspect, crash, OWN_CRASH)
        self._note_sufficient_evidence(added)

    def status(self, suspect: str) -> SuspectStatus:
        """Return what is known of a suspect."""
        if self._is_quarantined(suspect):
            return SuspectStatus.QUARANTINED
        now = self._clock.monotonic()
        if self._voids_crash(suspect, now):
            return SuspectStatus.ANSWERED
        suspicion = self._suspicions.get(suspect)
        if suspicion is None or not suspicion.crashes:
            return SuspectStatus.UNKNOWN
        return SuspectStatus.SUSPECT

    def pending_time(self, suspects: Iterable[str]) -> timedelta:
        """Return how long a request should wait for other nodes' word on its suspects.

        There is enough evidence against a suspect, but some node may exonerate it.
        """
        return max(
            (self._pending_time(suspect) for suspect in suspects), default=NO_WAIT
        )

    def may_resend(self, suspects: Iterable[str]) -> bool:
        """Return whether a request that met a crash may be sent to another target.

        Only suspects that a target has answered, or that met no other crash, may be.
        """
        return all(self._may_resend(suspect) for suspect in suspects)

    def find_quarantined(self, suspects: Collection[str]) -> str | None:
        """Return the suspect because of which a request with them is refused.

        Its quarantine is prolonged. Of suspects that were at the same crashes, any may
        be the cause, so a request is refused only if it has all of them.
        """
        suspect = self.quarantined_suspect(suspects)
        if suspect is not None:
            self._prolong(suspect)
        return suspect

    def quarantined_suspect(self, suspects: Collection[str]) -> str | None:
        """Return the same without any effect on the quarantine."""
        if any(self._awaits_objections(suspect) for suspect in suspects):
            self._convict_suspects()
        for suspect in suspects:
            if self._is_quarantined(suspect) and self._is_to_blame(suspect, suspects):
                return suspect
        return None

    def quarantine_time_left(self, suspect: str) -> timedelta:
        """Return how long requests with a suspect are refused if no more come."""
        suspicion = self._suspicions.get(suspect)
        if suspicion is None or suspicion.quarantined_until is None:
            return NO_WAIT
        return max(NO_WAIT, suspicion.quarantined_until - self._clock.monotonic())

    def merge(self, evidence: Iterable[PartEvidence], source: str) -> None:
        """Add a peer's evidence to that of this node.

        :param source: where it came from, for the log.
        """
        now = self._clock.monotonic()
        added: list[str] = []
        for entry in evidence:
            self._merge_answer(entry, now, source)
            if self._merge_crashes(entry, now, source):
                added.append(entry.part)
            if entry.quarantine_ms:
                until = now + entry.quarantine_ms * MILLISECOND
                self._adopt_quarantine(entry.part, until, source)
        self._note_sufficient_evidence(added)

    def update(self) -> None:
        """Quarantine what is convicted and forget old evidence; called periodically."""
        now = self._clock.monotonic()
        self._convict_suspects()
        for suspect, suspicion in self._suspicions.items():
            if suspicion.quarantine_has_ended(now):
                _log.notice("quarantine_ended", suspect=suspect)
            suspicion.drop_expired(now)
            if suspicion.is_empty:
                self._suspicions.forget(suspect)

    def _merge_answer(self, entry: PartEvidence, now: timedelta, source: str) -> None:
        if entry.answered_age_ms == NOT_ANSWERED:
            return
        answered = now - entry.answered_age_ms * MILLISECOND
        suspicion = self._suspicions.get_or_add(entry.part)
        if suspicion is not None:
            self._apply_answer(entry.part, suspicion, answered, source)

    def _merge_crashes(self, entry: PartEvidence, now: timedelta, source: str) -> bool:
        """Add the crashes that a peer knows of a suspect; return whether any is new.

        Only the last one is logged.
        """
        runs = len(
            {(each.run.target_id, each.run.started_ms) for each in entry.crashes}
        )
        added: CrashedRequest | None = None
        for crash in entry.crashes:
            age = crash.age_ms * MILLISECOND
            if age >= EVIDENCE_LIFETIME and not entry.quarantine_ms:
                continue
            request = crashed_request(entry.part, crash)
            if self._add_crash(entry.part, request, now - age, source, runs):
                added = request
        if added is not None:
            self._log_suspected(entry.part, added, source)
        return added is not None

    def _note_sufficient_evidence(self, changed: Iterable[str]) -> None:
        """Note since when evidence suffices, if it may do so for a changed suspect.

        All suspects are weighed against each other, once for all changes.
        """
        known = (self._suspicions.get(suspect) for suspect in changed)
        if any(each is not None and each.crashed_runs >= MIN_CRASHES for each in known):
            self._suspicions.note_sufficient_evidence(self._clock.monotonic())

    def _apply_answer(
        self, suspect: str, suspicion: Suspicion, answered: timedelta, source: str
    ) -> None:
        """Drop the evidence against a suspect from before a target answered it."""
        was_quarantined = suspicion.quarantined_until is not None
        known = suspicion.answered
        dropped = suspicion.apply_answer(answered)
        is_newer = known is None or answered - known > REPORT_DELAY
        if not dropped and not is_newer:
            return
        self._note_change(suspect, source)
        _log.info(
            "suspect_exonerated",
            suspect=suspect,
            source=source,
            answered_ms_ago=(self._clock.monotonic() - answered) // MILLISECOND,
            crashes=dropped,
            was_quarantined=was_quarantined,
        )

    def _add_crash(
        self,
        suspect: str,
        crash: CrashedRequest,
        at: timedelta,
        source: str,
        runs: int = 1,
    ) -> bool:
        """Add a crash as evidence; return whether it is kept and is new.

        :param runs: number of ended runs that the source knows of the suspect.
        """
        if self._voids_crash(suspect, at):
            self._object_to_suspicion(suspect, at, source)
            return False
        suspicion = self._suspicions.get_or_add(suspect, (False, runs, at))
        if suspicion is None or not suspicion.add_crash(crash, at):
            return False
        self._note_change(suspect, source)
        return True

    def _log_suspected(self, suspect: str, crash: CrashedRequest, source: str) -> None:
        suspicion = self._suspicions.get(suspect)
        if suspicion is None:
            return
        _log.info(
            "crash_suspected",
            suspect=suspect,
            request=crash.request_id,
            target=crash.target_id,
            source=source,
            crashed_runs=suspicion.crashed_runs,
            crashed_requests=suspicion.crashed_requests,
        )

    def _object_to_suspicion(self, suspect: str, at: timedelta, source: str) -> None:
        """Tell a peer that suspects a suspect that a target has answered it."""
        suspicion = self._suspicions.get_or_add(suspect)
        own = self._answered.last_answer(suspect)
        if source == OWN_CRASH or suspicion is None or own is None:
            return
        if suspicion.answered is None or not suspicion.voids_crash(at):
            suspicion.apply_answer(own)
            self._note_change(suspect, OWN_ANSWER)

    def _adopt_quarantine(self, suspect: str, until: timedelta, source: str) -> None:
        """Apply a peer's verdict, unless a later answer has voided it."""
        suspicion = self._suspicions.get(suspect)
        least_gain = QUARANTINE_LIFETIME * PROLONGED_SHARE / 2
        if suspicion is not None and suspicion.crashes:
            self._quarantine(suspect, suspicion, until, source, least_gain)

    def _convict_suspects(self) -> None:
        """Quarantine suspects with enough evidence to which no node objects.

        Requests come before the parts of their prompts, whose crashes they may explain.
        Several parts at the same crashes are quarantined together.
        """
        for requests in (True, False):
            self._suspicions.note_sufficient_evidence(self._clock.monotonic())
            for suspect, suspicion in self._suspicions.items():
                if suspicion.is_request is requests:
                    self._convict(suspect, suspicion)

    def _convict(self, suspect: str, suspicion: Suspicion) -> None:
        since = suspicion.sufficient_since
        if since is None or suspicion.quarantined_until is not None:
            return
        now = self._clock.monotonic()
        if now - since >= EXONERATION_TIME:
            until = now + QUARANTINE_LIFETIME
            self._quarantine(suspect, suspicion, until, OWN_VERDICT, NO_WAIT)

    def _quarantine(
        self,
        suspect: str,
        suspicion: Suspicion,
        until: timedelta,
        source: str,
        least_gain: timedelta,
    ) -> None:
        known = suspicion.quarantined_until
        if known is not None and until - known <= least_gain:
            return
        suspicion.quarantined_until = until
        self._note_change(suspect, source)
        if known is None:
            _log.notice(
                "suspect_quarantined",
                suspect=suspect,
                source=source,
                targets=sorted({crash.target_id for crash in suspicion.crashes}),
                requests=sorted({crash.request_id for crash in suspicion.crashes}),
            )

    def _prolong(self, suspect: str) -> None:
        until = self._clock.monotonic() + QUARANTINE_LIFETIME
        least_gain = QUARANTINE_LIFETIME * PROLONGED_SHARE
        self._quarantine(
            suspect, self._suspicions[suspect], until, OWN_REQUEST, least_gain
        )

    def _evidence(
        self, suspects: Iterable[str], now: timedelta
    ) -> Iterator[PartEvidence]:
        for suspect in suspects:
            entry = evidence_message(suspect, self._suspicions[suspect], now)
            if entry.crashes or entry.answered_age_ms != NOT_ANSWERED:
                yield entry

    def _is_to_blame(self, suspect: str, suspects: Collection[str]) -> bool:
        """Return whether a request has all that may explain a suspect's crashes."""
        suspicion = self._suspicions[suspect]
        return all(
            other in suspects
            for other, known in self._suspicions.items()
            if known.quarantined_until is not None and known.explains(suspicion)
        )

    def _note_change(self, suspect: str, source: str) -> None:
        self._suspicions[suspect].version = self._number_change(source in OWN_SOURCES)

    def _awaits_objections(self, suspect: str) -> bool:
        """Return whether the evidence against a suspect suffices for a quarantine."""
        suspicion = self._suspicions.get(suspect)
        if suspicion is None or suspicion.quarantined_until is not None:
            return False
        return suspicion.sufficient_since is not None

    def _pending_time(self, suspect: str) -> timedelta:
        suspicion = self._suspicions.get(suspect)
        if suspicion is None or suspicion.sufficient_since is None:
            return NO_WAIT
        if suspicion.quarantined_until is not None:
            return NO_WAIT
        end = suspicion.sufficient_since + EXONERATION_TIME
        return max(NO_WAIT, end - self._clock.monotonic())

    def _may_resend(self, suspect: str) -> bool:
        status = self.status(suspect)
        if status is SuspectStatus.SUSPECT:
            return self._suspicions[suspect].crashed_runs <= 1
        return status is not SuspectStatus.QUARANTINED

    def _is_quarantined(self, suspect: str) -> bool:
        return self.quarantine_time_left(suspect) > NO_WAIT

    def _voids_crash(self, suspect: str, at: timedelta) -> bool:
        """Return whether a known answer voids a crash at some time as evidence."""
        suspicion = self._suspicions.get(suspect)
        if suspicion is not None and suspicion.voids_crash(at):
            return True
        own = self._answered.last_answer(suspect)
        return own is not None and Suspicion(answered=own).voids_crash(at)
