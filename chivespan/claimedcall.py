"""A keyed call that may not be repeated: claimed in the log, then sent once.

The claim has been read back as the first before the target sees anything. A resend
gets the recorded answer, or ``outcome_unknown`` where nobody can know.
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
    """Where claims are taken; met by ``chivespan.claimclient.ClaimClient``."""

    async def claim(
        self, owner: str, key: str, digest: str, service: str, path: str
    ) -> GrantedClaim | RecordedAnswer:
        """Claim the one run, or return the answer recorded before."""
        ...

    async def record_answer(self, claim: GrantedClaim, answer: HttpResponse) -> None:
        """Record the target's answer."""
        ...

    async def record_unknown(self, claim: GrantedClaim) -> None:
        """Record that nobody can know whether the call ran."""
        ...

    async def record_not_run(self, claim: GrantedClaim) -> None:
        """Give the claim back."""
        ...


class ClaimedCalls:
    """Runs keyed calls; one for a process."""

    def __init__(self, claims: Claims, online: OnlineService, metrics: Metrics) -> None:
        self._claims = claims
        self._online = online
        self._metrics = metrics

    async def call(
        self, request: OnlineRequest, plain: PlainRequest, key: str
    ) -> HttpResponse:
        """Return the answer of the one run of a call.

        :param key: the caller's ``Idempotency-Key``.
        :raises ChivespanError: ``log_unavailable`` or a refusal when this sending was
            not run; ``key_reused``; ``outcome_unknown``; an error of the target.
        """
        taken = await self._claims.claim(
            request.owner, key, _digest(plain), request.service.name, plain.path
        )
        if isinstance(taken, RecordedAnswer):
            self._metrics.incr("claims.answered_again")
            return taken.answer
        try:
            answer = await self._online.call(request, plain)
        except ChivespanError as error:
            if error.answer.may_have_run:
                await self._quietly(self._claims.record_unknown(taken))
            else:
                await self._quietly(self._claims.record_not_run(taken))
            raise
        await self._quietly(self._claims.record_answer(taken, answer))
        return answer

    async def _quietly(self, record: Awaitable[None]) -> None:
        """Record an outcome; without it a resend is told "outcome unknown"."""
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
