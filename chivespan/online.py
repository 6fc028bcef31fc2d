"""Runs online requests: acquires a slot, sends to a target, and retries on failure.

A model stream that breaks is resumed at another target after the tokens already
received. A plain call is retried only if it is idempotent or if no byte of it was sent.
"""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass, field
from datetime import timedelta

import anyio

from chivespan.clock import Clock
from chivespan.documents import Service
from chivespan.engineapi import EngineRequest
from chivespan.engineclient import EngineClient, StreamLimits, Token
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.messages import GrantRequest, Outcome, WorkClass
from chivespan.plainclient import PlainClient, PlainRequest
from chivespan.retrybudget import RetryBudget
from chivespan.slot import Slot, SlotSource
from chivespan.targethttp import HttpResponse

MAX_ATTEMPTS = 4
# Multiples of a service's objectives after which a target counts as failed.
FIRST_TOKEN_TIMEOUT_FACTOR = 4
TOKEN_GAP_TIMEOUT_FACTOR = 40

RETRIED_KINDS = frozenset(
    {
        ErrorKind.TARGET_UNREACHABLE,
        ErrorKind.TARGET_FAILED,
        ErrorKind.TARGET_TIMEOUT,
        ErrorKind.STREAM_BROKEN,
    }
)
OUTCOME_BY_ERROR = {ErrorKind.TARGET_TIMEOUT: Outcome.timed_out}


@dataclass(frozen=True, slots=True)
class OnlineRequest:
    """An authenticated online request with its service resolved.

    :param deadline: monotonic time by which the complete response is due.
    """

    request_id: str
    owner: str
    service: Service
    deadline: timedelta
    model: str = ""
    prompt: str = ""
    max_tokens: int = 0
    prefix_hash: int = 0


@dataclass(slots=True)
class _Progress:
    """State of one request over all its attempts.

    :ivar tokens: tokens received so far.
    :ivar failed_targets: targets that failed, one for each failed attempt.
    :ivar may_have_run: the last error after which the request may have run, if any.
    """

    tokens: list[str] = field(default_factory=list)
    failed_targets: list[str] = field(default_factory=list)
    may_have_run: ChivespanError | None = None

    @property
    def attempt(self) -> int:
        """The number of the current attempt, from 1."""
        return len(self.failed_targets) + 1

    def record_failure(self, target: str, error: ChivespanError) -> None:
        """Record a failed attempt."""
        self.failed_targets.append(target)
        if error.properties.may_have_run:
            self.may_have_run = error

    def final_error(self, error: ChivespanError) -> ChivespanError:
        """Return the error to answer with.

        The refusal of a retry would say "not run", which is wrong if an earlier attempt
        may have run. In that case the earlier error is returned instead.
        """
        if self.may_have_run is None or error.properties.may_have_run:
            return error
        earlier = self.may_have_run
        return ChivespanError(
            earlier.kind,
            f"{earlier.message}; no retry: {error.message}",
            retry_after=error.retry_after,
            shares=error.shares,
        )


class _Stopwatch:
    """Measures the time to the first token of an attempt and the mean gap after it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._start = clock.monotonic()
        self._first: timedelta | None = None
        self._last = self._start
        self._count = 0

    @property
    def first_token(self) -> timedelta | None:
        """The time to the first token; None before it."""
        return self._first - self._start if self._first is not None else None

    @property
    def token_gap(self) -> timedelta | None:
        """The mean time between tokens; None with fewer than two."""
        if self._first is None or self._count < 2:
            return None
        return (self._last - self._first) / (self._count - 1)

    @property
    def count(self) -> int:
        """The number of tokens."""
        return self._count

    def record_token(self) -> None:
        """Record that a token arrived now."""
        self._last = self._clock.monotonic()
        self._count += 1
        if self._first is None:
            self._first = self._last


class OnlineService:
    """Runs online requests; a process has one instance."""

    def __init__(
        self,
        slots: SlotSource[Slot],
        engines: EngineClient,
        plain: PlainClient,
        retries: RetryBudget,
        clock: Clock,
    ) -> None:
        self._slots = slots
        self._engines = engines
        self._plain = plain
        self._retries = retries
        self._clock = clock

    async def stream(self, request: OnlineRequest) -> AsyncGenerator[Token, None]:
        """Yield the tokens of the complete response, each once and in order.

        :raises ChivespanError: as soon as the response can't be obtained or completed.
        """
        progress = _Progress()
        while True:
            try:
                async with aclosing(self._attempt(request, progress)) as tokens:
                    async for token in tokens:
                        progress.tokens.append(token.text)
                        yield token
            except ChivespanError as error:
                if not self._may_retry(error, request, progress):
                    raise progress.final_error(error) from error
            else:
                self._retries.record_success()
                return

    async def call(self, request: OnlineRequest, plain: PlainRequest) -> HttpResponse:
        """Return a plain service's response to a call.

        :raises ChivespanError: with a kind that states whether the call may have run.
        """
        progress = _Progress()
        while True:
            try:
                response = await self._call_once(request, plain, progress)
            except ChivespanError as error:
                repeatable = plain.idempotent or not error.properties.may_have_run
                if not repeatable or not self._may_retry(error, request, progress):
                    raise progress.final_error(error) from error
            else:
                self._retries.record_success()
                return response

    async def _attempt(
        self, request: OnlineRequest, progress: _Progress
    ) -> AsyncGenerator[Token, None]:
        slot = await self._acquire(request, progress)
        stopwatch = _Stopwatch(self._clock)
        outcome = Outcome.cancelled
        engine_request = EngineRequest(
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            stream=True,
            request_id=f"{request.request_id}.{progress.attempt}",
            resume_tokens=list(progress.tokens),
        )
        stream = self._engines.stream(
            slot.grant.address,
            engine_request,
            self._limits(request),
        )
        try:
            async with aclosing(stream):
                async for token in stream:
                    stopwatch.record_token()
                    yield token
                    self._check_deadline(request)
            outcome = Outcome.done
        except ChivespanError as error:
            outcome = OUTCOME_BY_ERROR.get(error.kind, Outcome.failed)
            progress.record_failure(slot.grant.target, error)
            raise
        finally:
            slot.release(
                outcome, stopwatch.first_token, stopwatch.token_gap, stopwatch.count
            )

    async def _call_once(
        self, request: OnlineRequest, plain: PlainRequest, progress: _Progress
    ) -> HttpResponse:
        slot = await self._acquire(request, progress)
        outcome = Outcome.cancelled
        try:
            response = await self._plain.call(
                slot.grant.address, plain, self._remaining(request)
            )
            outcome = Outcome.failed if response.status >= 500 else Outcome.done
        except ChivespanError as error:
            outcome = OUTCOME_BY_ERROR.get(error.kind, Outcome.failed)
            progress.record_failure(slot.grant.target, error)
            raise
        finally:
            slot.release(outcome)
        return response

    async def _acquire(self, request: OnlineRequest, progress: _Progress) -> Slot:
        remaining = self._remaining(request)
        grant_request = GrantRequest(
            request_id=f"{request.request_id}.{progress.attempt}",
            slice_id="",
            service=request.service.name,
            model=request.model,
            owner=request.owner,
            work_class=WorkClass.online,
            deadline_ms=round(remaining / timedelta(milliseconds=1)),
            tokens=request.max_tokens - len(progress.tokens),
            prefix_hash=request.prefix_hash,
            excluded=list(progress.failed_targets),
            attempt=progress.attempt,
        )
        try:
            with anyio.fail_after(remaining.total_seconds()):
                return await self._slots.acquire(grant_request)
        except TimeoutError as error:
            reason = "no slot became free before the request's deadline"
            raise ChivespanError(ErrorKind.DEADLINE_PASSED, reason) from error

    def _limits(self, request: OnlineRequest) -> StreamLimits:
        service = request.service
        remaining = self._remaining(request)
        first = timedelta(
            milliseconds=service.first_token_ms * FIRST_TOKEN_TIMEOUT_FACTOR
        )
        gap = timedelta(milliseconds=service.token_gap_ms * TOKEN_GAP_TIMEOUT_FACTOR)
        return StreamLimits(min(first, remaining), min(gap, remaining))

    def _remaining(self, request: OnlineRequest) -> timedelta:
        remaining = request.deadline - self._clock.monotonic()
        return max(remaining, timedelta(0))

    def _check_deadline(self, request: OnlineRequest) -> None:
        if self._clock.monotonic() > request.deadline:
            reason = "the request's deadline passed in the middle of the response"
            raise ChivespanError(ErrorKind.TARGET_TIMEOUT, reason)

    def _may_retry(
        self, error: ChivespanError, request: OnlineRequest, progress: _Progress
    ) -> bool:
        return (
            error.kind in RETRIED_KINDS
            and progress.attempt <= MAX_ATTEMPTS
            and self._clock.monotonic() < request.deadline
            and self._retries.try_spend()
        )
