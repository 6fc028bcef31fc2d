"""Conversion of the evidence on parts of prompts to messages for peers."""

from datetime import timedelta

from chivespan.clock import MILLISECOND
from chivespan.nodemessages import PartCrash, PartEvidence, TargetRun
from chivespan.suspicion import (
    EVIDENCE_LIFETIME,
    QUARANTINE_LIFETIME,
    Suspicion,
)

# Evidence near its end isn't sent, or nodes would renew each other's copies forever.
SENT_SHARE_OF_LIFETIME = 0.9
NOT_ANSWERED = -1


def evidence_message(part: str, suspicion: Suspicion, now: timedelta) -> PartEvidence:
    """Return the message about one part.

    :param now: current time of the monotonic clock.
    """
    return PartEvidence(
        part=part,
        crashes=_crash_messages(suspicion, now),
        answered_age_ms=_answered_age_ms(suspicion, now),
        quarantine_ms=_quarantine_ms(suspicion, now),
    )


def _crash_messages(suspicion: Suspicion, now: timedelta) -> list[PartCrash]:
    longest = EVIDENCE_LIFETIME * SENT_SHARE_OF_LIFETIME
    return [
        PartCrash(
            run=TargetRun(target_id=crash.target_id, started_ms=crash.started_ms),
            request_id=crash.request_id,
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
