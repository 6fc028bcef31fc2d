"""Conversion of the evidence on suspects to messages for peers, and back."""

from datetime import timedelta

from chivespan.clock import MILLISECOND
from chivespan.nodemessages import PartCrash, PartEvidence, TargetRun
from chivespan.suspects import is_request
from chivespan.suspicion import (
    EVIDENCE_LIFETIME,
    QUARANTINE_LIFETIME,
    CrashedRequest,
    Suspicion,
)

# Evidence near its end isn't sent, or nodes would renew each other's copies forever.
SENT_SHARE_OF_LIFETIME = 0.9
NOT_ANSWERED = -1


def evidence_message(
    suspect: str, suspicion: Suspicion, now: timedelta
) -> PartEvidence:
    """Return the message about one suspect.

    :param now: current time of the monotonic clock.
    """
    return PartEvidence(
        part=suspect,
        crashes=_crash_messages(suspect, suspicion, now),
        answered_age_ms=_answered_age_ms(suspicion, now),
        quarantine_ms=_quarantine_ms(suspicion, now),
    )


def crashed_request(suspect: str, crash: PartCrash) -> CrashedRequest:
    """Return the crash that a message about a suspect describes."""
    own = suspect if is_request(suspect) else ""
    run = crash.run
    return CrashedRequest(
        run.target_id, run.started_ms, crash.request_id, crash.fingerprint or own
    )


def _crash_messages(
    suspect: str, suspicion: Suspicion, now: timedelta
) -> list[PartCrash]:
    longest = EVIDENCE_LIFETIME * SENT_SHARE_OF_LIFETIME
    return [
        PartCrash(
            run=TargetRun(target_id=crash.target_id, started_ms=crash.started_ms),
            request_id=crash.request_id,
            fingerprint="" if crash.fingerprint == suspect else crash.fingerprint,
            age_ms=(now - at) // MILLISECOND,
        )
        for crash, at in suspicion.crashes.items()
        if suspicion.quarantined_until is not None or now - at < longest
    ]


def _answered_age_ms(suspicion: Suspicion, now: timedelta) -> int:
    if suspicion.answered is None:
        return NOT_ANSWERED
    age = now - suspicion.answered
    if age >= EVIDENCE_LIFETIME * SENT_SHARE_OF_LIFETIME:
        return NOT_ANSWERED
    return age // MILLISECOND


def _quarantine_ms(suspicion: Suspicion, now: timedelta) -> int:
    until = suspicion.quarantined_until
    shortest = QUARANTINE_LIFETIME * (1 - SENT_SHARE_OF_LIFETIME)
    if until is None or until - now < shortest:
        return 0
    return (until - now) // MILLISECOND
