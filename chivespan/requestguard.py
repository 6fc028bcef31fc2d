"""Keeps requests that crash targets away from them.

Before a request is sent, it and its prompt's parts are looked up in the quarantine.
When a target ends before it has begun to answer, they become suspects, and the request
may be sent to another target only if it is unlikely to be the cause.
"""

from collections.abc import Collection, Iterable
from datetime import timedelta

import anyio

from chivespan.clock import MILLISECOND, NO_WAIT
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.logs import logger
from chivespan.nodemessages import TargetEntry
from chivespan.quarantine import Quarantine, SuspectStatus
from chivespan.suspects import is_request
from chivespan.suspicion import CrashedRequest
from chivespan.targetliveness import has_ended

RECHECK_INTERVAL = timedelta(milliseconds=50)
# The quarantine lasts while requests come, so an early retry is refused again.
MAX_RETRY_AFTER = timedelta(seconds=60)

_log = logger("quarantine")


class RequestGuard:
    """Decides whether a request may be sent, and sent again, by what is known of it.

    The suspects of a request are itself and the parts of its prompt that it shares.
    """

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    async def admit(self, request_id: str, suspects: Collection[str]) -> None:
        """Return when a request may be sent.

        If there is enough evidence against one of its suspects, the request waits until
        other nodes have had the time to exonerate that.

        :raises ChivespanError: ``prompt_quarantined`` or ``request_quarantined`` when
            the request is refused.
        """
        waited = NO_WAIT
        while (pending := self._quarantine.pending_time(suspects)) > NO_WAIT:
            step = min(pending, RECHECK_INTERVAL)
            await anyio.sleep(step.total_seconds())
            waited += step
        found = self._quarantine.find_quarantined(suspects)
        if waited:
            _log.info(
                "suspect_waited",
                request=request_id,
                waited_ms=waited // MILLISECOND,
                quarantined=found,
            )
        if found is not None:
            raise self._refusal(request_id, found)

    def may_send(self, suspects: Collection[str]) -> bool:
        """Return whether a request may be sent at once, without any wait."""
        if self._quarantine.pending_time(suspects) > NO_WAIT:
            return False
        return self._quarantine.find_quarantined(suspects) is None

    def record_answered(self, suspects: Iterable[str]) -> None:
        """Record that a target answers a request with these suspects."""
        self._quarantine.record_answered(suspects)

    async def may_resend(
        self, request_id: str, suspects: Iterable[str], entry: TargetEntry
    ) -> bool:
        """Return whether a request that broke unanswered may go to another target.

        If the target has ended, its crash is recorded as evidence first.
        """
        open_cases = [each for each in suspects if not self._is_answered(each)]
        if not open_cases:
            return True
        if await has_ended(entry.address):
            fingerprint = next(filter(is_request, suspects), "")
            crash = CrashedRequest(
                entry.target_id, entry.started_ms, request_id, fingerprint
            )
            self._quarantine.record_crash(open_cases, crash)
        allowed = self._quarantine.may_resend(open_cases)
        if not allowed:
            _log.info(
                "suspect_not_resent",
                request=request_id,
                target=entry.target_id,
                suspects=open_cases,
            )
        return allowed

    def _is_answered(self, suspect: str) -> bool:
        return self._quarantine.status(suspect) is SuspectStatus.ANSWERED

    def _refusal(self, request_id: str, suspect: str) -> ChivespanError:
        _log.info("suspect_refused", request=request_id, suspect=suspect)
        left = self._quarantine.quarantine_time_left(suspect)
        retry_after = min(left, MAX_RETRY_AFTER)
        if is_request(suspect):
            reason = "the request has crashed targets"
            return ChivespanError(
                ErrorKind.REQUEST_QUARANTINED, reason, retry_after=retry_after
            )
        reason = f"part {suspect} of the prompt has crashed targets"
        return ChivespanError(
            ErrorKind.PROMPT_QUARANTINED, reason, retry_after=retry_after
        )
