"""Keeps prompts that crash targets away from them.

Before a request is sent, its parts are looked up in the quarantine. When a target ends
before it has begun to answer, the request's parts become suspects, and the request may
be sent to another target only if it is unlikely to be the cause.
"""

from collections.abc import Collection, Iterable
from datetime import timedelta

import anyio

from chivespan.clock import MILLISECOND, NO_WAIT
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.logs import logger
from chivespan.nodemessages import TargetEntry
from chivespan.quarantine import Quarantine, SuspectStatus
from chivespan.suspicion import CrashedRequest
from chivespan.targetliveness import has_ended

RECHECK_INTERVAL = timedelta(milliseconds=50)
# The quarantine lasts while requests come, so an early retry is refused again.
MAX_RETRY_AFTER = timedelta(seconds=60)

_log = logger("quarantine")


class RequestGuard:
    """Decides whether a request may be sent, and sent again, by its prompt's parts."""

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    async def admit(self, request_id: str, parts: Collection[str]) -> None:
        """Return when a request may be sent.

        A request that holds a part with enough evidence against it waits until other
        nodes have had the time to exonerate that part.

        :raises ChivespanError: ``prompt_quarantined`` when the request is refused.
        """
        waited = NO_WAIT
        while (pending := self._quarantine.pending_time(parts)) > NO_WAIT:
            step = min(pending, RECHECK_INTERVAL)
            await anyio.sleep(step.total_seconds())
            waited += step
        part = self._quarantine.find_quarantined(parts)
        if waited:
            _log.info(
                "suspect_waited",
                request=request_id,
                waited_ms=waited // MILLISECOND,
                quarantined=part,
            )
        if part is not None:
            raise self._refusal(request_id, part)

    def may_send(self, parts: Collection[str]) -> bool:
        """Return whether a request may be sent at once, without any wait."""
        if self._quarantine.pending_time(parts) > NO_WAIT:
            return False
        return self._quarantine.find_quarantined(parts) is None

    def record_answered(self, parts: Iterable[str]) -> None:
        """Record that a target answers a request with these parts."""
        self._quarantine.record_answered(parts)

    async def may_resend(
        self, request_id: str, parts: Iterable[str], entry: TargetEntry
    ) -> bool:
        """Return whether a request that broke unanswered may go to another target.

        If the target has ended, its crash is recorded as evidence first.
        """
        suspects = [each for each in parts if not self._is_answered(each)]
        if not suspects:
            return True
        if await has_ended(entry.address):
            crash = CrashedRequest(entry.target_id, entry.started_ms, request_id)
            self._quarantine.record_crash(suspects, crash)
        allowed = self._quarantine.may_resend(suspects)
        if not allowed:
            _log.info(
                "suspect_not_resent",
                request=request_id,
                target=entry.target_id,
                prompt_parts=suspects,
            )
        return allowed

    def _is_answered(self, part: str) -> bool:
        return self._quarantine.status(part) is SuspectStatus.ANSWERED

    def _refusal(self, request_id: str, part: str) -> ChivespanError:
        _log.info("suspect_refused", request=request_id, suspect=part)
        left = self._quarantine.quarantine_time_left(part)
        return ChivespanError(
            ErrorKind.PROMPT_QUARANTINED,
            f"part {part} of the prompt has crashed targets",
            retry_after=min(left, MAX_RETRY_AFTER),
        )
