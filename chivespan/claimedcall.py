"""Runs a non-idempotent keyed call at most once: claimed in the log, then sent.

The call is sent only after the claim was read back from the log as the first one for
its key. A resubmission gets the recorded answer, or ``outcome_unknown`` if it cannot be
determined whether the call was executed.
"""

from collections.abc import Awaitable
from datetime import timedelta
from typing import Protocol

import anyio
import xxhash

from chivespan.claimclient import GrantedClaim, RecordedAnswer
from chivespan.errors import ChivespanError
from chivespan.metrics import Metrics
from chivespan.online import OnlineRequest, OnlineService
from chivespan.plainclient import PlainRequest
from chivespan.targethttp import HttpResponse

RECORD_TIMEOUT = timedelta(seconds=2)
MAX_KEY_CHARACTERS = 256


class Claims(Protocol):
    """The claim operations; implemented by ``chivespan.claimclient.ClaimClient``."""

    async def claim(
        self, owner: str, key: str, digest: str, service: str, path: str
    ) -> GrantedClaim | RecordedAnswer:
        """Claim the execution of a call, or return its recorded answer."""
        ...

    async def record_answer(self, claim: GrantedClaim, answer: HttpResponse) -> None:
        """Record the target's answer."""
        ...

    async def record_unknown(self, claim: GrantedClaim) -> None:
        """Record that it cannot be determined whether the call was executed."""
        ...

    async def record_not_run(self, claim: GrantedClaim) -> None:
        """Release the claim of a call that was not executed."""
        ...


class ClaimedCalls:
    """Runs keyed calls at most once; one per process."""

    def __init__(self, claims: Claims, online: OnlineService, metrics: Metrics) -> None:
        self._claims = claims
        self._online = online
        self._metrics = metrics

    async def call(
        self, request: OnlineRequest, plain: PlainRequest, key: str
    ) -> HttpResponse:
        """Execute a call unless an earlier submission did, and return its answer.

        :param key: the caller's ``Idempotency-Key``.
        :raises ChivespanError: ``log_unavailable`` or a refusal if this submission was
            not executed; ``key_reused``; ``outcome_unknown``; an error of the target.
        """
        result = await self._claims.claim(
            request.owner, key, _digest(plain), request.service.name, plain.path
        )
        if isinstance(result, RecordedAnswer):
            self._metrics.incr("claims.answered_again")
            return result.answer
        try:
            answer = await self._online.call(request, plain)
        except ChivespanError as error:
            if error.properties.may_have_run:
                await self._record_best_effort(self._claims.record_unknown(result))
            else:
                await self._record_best_effort(self._claims.record_not_run(result))
            raise
        await self._record_best_effort(self._claims.record_answer(result, answer))
        return answer

    async def _record_best_effort(self, record: Awaitable[None]) -> None:
        """Record an outcome, ignoring failures.

        Without a recorded outcome, a resubmission fails with ``outcome_unknown``.
        """
        try:
            with anyio.fail_after(RECORD_TIMEOUT.total_seconds()):
                await record
        except (ChivespanError, TimeoutError):
            self._metrics.incr("claims.outcomes_not_recorded")


def _digest(plain: PlainRequest) -> str:
    digest = xxhash.xxh3_128()
    for part in (plain.method, plain.path, plain.content_type):
        digest.update(part.encode() + b"\0")
    digest.update(plain.body)
    return digest.hexdigest()
