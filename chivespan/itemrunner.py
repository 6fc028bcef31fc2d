"""Runs one batch item to its final result, across slot revocations and target failures.

A stream whose slot is revoked keeps its tokens and resumes on another slot. Neither a
revocation nor an unreachable target counts as an attempt. A non-idempotent item is sent
once, and only after its start was read back from the log.
"""

from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol, TypeVar

import anyio
import msgspec

from chivespan.callerapi import BatchModelItem, BatchPlainItem
from chivespan.clock import MILLISECOND, Clock
from chivespan.codec import encode
from chivespan.completions import prefix_hash
from chivespan.decoding import decoding, error_of
from chivespan.documents import Service, ServiceKind
from chivespan.engineapi import EngineRequest
from chivespan.engineclient import StreamLimits, Token
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.messages import GrantRequest, Outcome, WorkClass
from chivespan.online import OUTCOME_BY_ERROR
from chivespan.peerlink import Counters
from chivespan.plainclient import PlainRequest
from chivespan.records import ItemAnswer, ItemFailure, ItemResult
from chivespan.rules import may_repeat
from chivespan.slot import RevocableSlot, SlotSource
from chivespan.targethttp import HttpResponse

SLOT_ACQUIRE_TIMEOUT = timedelta(seconds=10)
# Delays the cancellation of a worker that waits for a slot for a started item.
STARTED_ITEM_TIMEOUT = timedelta(seconds=10)
PLAIN_TIMEOUT = timedelta(seconds=60)
FIRST_TOKEN_TIMEOUT = timedelta(seconds=20)
TOKEN_GAP_TIMEOUT = timedelta(seconds=5)
RETRY_DELAY = timedelta(seconds=1)
MAX_RETRY_DELAY = timedelta(seconds=8)
TEXT_TYPE = "text/plain"
MIN_SERVER_ERROR_STATUS = 500
FINAL_KINDS = frozenset({ErrorKind.TARGET_REFUSED, ErrorKind.OUTCOME_UNKNOWN})

T = TypeVar("T")


class Engines(Protocol):
    """Client of the model engines."""

    def stream(
        self,
        address: str,
        request: EngineRequest,
        limits: StreamLimits,
    ) -> AsyncGenerator[Token, None]:
        """Yield the tokens that follow the request's resume tokens."""
        ...


class PlainServices(Protocol):
    """Client of the targets of plain services."""

    async def call(
        self, address: str, request: PlainRequest, timeout: timedelta
    ) -> HttpResponse:
        """Send the call once and return the target's answer."""
        ...


@dataclass(frozen=True, eq=False, slots=True)
class Item:
    """One item to run.

    :param request_id: unique per item; sent to model targets with a sequence number.
    :param index: position in the chunk.
    :param start: appends the item's start record and returns whether it is the first
        one in the log; called for non-idempotent items only.
    :param job_ended: returns when the job has ended.
    """

    request_id: str
    index: int
    item_key: str
    body: bytes
    owner: str
    model: str
    service: Service
    max_attempts: int
    start: Callable[[], Awaitable[bool]]
    job_ended: Callable[[], Awaitable[None]]


@dataclass(slots=True)
class _Progress:
    """The mutable state of an item while it runs.

    :ivar slots: number of slot requests, which makes their request ids unique.
    :ivar tokens: tokens received so far.
    :ivar started: whether the start record is in the log.
    :ivar last_failed_target: excluded from the next slot request; empty for none.
    """

    attempts: int = 0
    slots: int = 0
    tokens: list[str] = field(default_factory=list)
    finished: bool = False
    started: bool = False
    last_failed_target: str = ""


class ItemRunner:
    """Runs items; one per process."""

    def __init__(
        self,
        slots: SlotSource[RevocableSlot],
        engines: Engines,
        plain: PlainServices,
        clock: Clock,
        counters: Counters,
        retry_delay: timedelta = RETRY_DELAY,
    ) -> None:
        self._slots = slots
        self._engines = engines
        self._plain = plain
        self._clock = clock
        self._counters = counters
        self._retry_delay = retry_delay

    async def run(self, item: Item) -> ItemResult | None:
        """Return the item's final result, or None if another worker has started it."""
        progress = _Progress()
        while True:
            try:
                answer = await self._attempt(item, progress)
            except ChivespanError as error:
                if error.kind is ErrorKind.TARGET_UNREACHABLE:
                    progress.attempts -= 1
                if error.kind in FINAL_KINDS or progress.attempts >= item.max_attempts:
                    return _failed(item, progress, error)
                self._counters.incr("batch.item_retries")
                await anyio.sleep(self._retry_backoff(progress).total_seconds())
                continue
            if answer is None:
                return None
            return ItemResult(
                index=item.index,
                ok=True,
                attempts=progress.attempts,
                item_key=item.item_key,
                body=encode(answer),
            )

    async def _attempt(self, item: Item, progress: _Progress) -> ItemAnswer | None:
        if item.service.kind is ServiceKind.model:
            return await self._generate(item, progress)
        return await self._call_service(item, progress)

    async def _generate(self, item: Item, progress: _Progress) -> ItemAnswer:
        """Generate the item's text, resuming after each revocation of its slot.

        :raises ChivespanError: if the attempt fails at a target.
        """
        item_body = _decode(item.body, BatchModelItem)
        progress.attempts += 1
        while not progress.finished:
            slot = await self._acquire_slot(
                item, progress, item_body.max_tokens, item_body.prompt
            )
            request = EngineRequest(
                model=item.model,
                prompt=item_body.prompt,
                max_tokens=item_body.max_tokens,
                stream=True,
                request_id=f"{item.request_id}.{progress.slots}",
                resume_tokens=list(progress.tokens),
            )
            await self._stream_tokens(slot, request, progress)
        return ItemAnswer(
            status=200, content_type=TEXT_TYPE, text="".join(progress.tokens)
        )

    async def _stream_tokens(
        self, slot: RevocableSlot, request: EngineRequest, progress: _Progress
    ) -> None:
        """Receive tokens until the stream ends or fails, or the slot is revoked."""
        if slot.revoked.is_set():
            slot.release(Outcome.not_sent)
            self._counters.incr("batch.items_revoked")
            return
        before = len(progress.tokens)
        outcome = Outcome.cancelled
        failure: ChivespanError | None = None
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_when_revoked, slot, tasks.cancel_scope)
                try:
                    await self._receive_tokens(slot, request, progress)
                    outcome = Outcome.done
                except ChivespanError as error:
                    failure = error
                    outcome = OUTCOME_BY_ERROR.get(error.kind, Outcome.failed)
                tasks.cancel_scope.cancel()
        finally:
            slot.release(outcome, tokens=len(progress.tokens) - before)
        if failure:
            progress.last_failed_target = slot.grant.target
            raise failure
        if not progress.finished:
            self._counters.incr("batch.items_revoked")

    async def _receive_tokens(
        self, slot: RevocableSlot, request: EngineRequest, progress: _Progress
    ) -> None:
        limits = StreamLimits(FIRST_TOKEN_TIMEOUT, TOKEN_GAP_TIMEOUT)
        stream = self._engines.stream(slot.grant.address, request, limits)
        async with aclosing(stream):
            async for token in stream:
                progress.tokens.append(token.text)
                progress.finished = token.finish_reason is not None

    async def _call_service(self, item: Item, progress: _Progress) -> ItemAnswer | None:
        """Call a plain service once.

        :return: the answer, or None if another worker has started the item or its job
            has ended.
        :raises ChivespanError: if the attempt fails.
        """
        item_body = _decode(item.body, BatchPlainItem)
        progress.attempts += 1
        idempotent = may_repeat(item.service, item_body.method, item_body.path)
        slot = await self._acquire_slot(item, progress, 0, "")
        request = _plain_request(item, item_body, idempotent)
        if idempotent:
            return await self._send(slot, request, progress)
        answer: ItemAnswer | None = None
        usable_slot: RevocableSlot | None = slot
        if not progress.started:
            usable_slot = await self._start_item(item, progress, slot)
        if progress.started and usable_slot is None:
            usable_slot = await self._acquire_slot_for_started(item, progress)
        with anyio.CancelScope(shield=True):
            if progress.started and usable_slot is not None:
                answer = await self._send(usable_slot, request, progress)
        return answer

    async def _start_item(
        self, item: Item, progress: _Progress, slot: RevocableSlot
    ) -> RevocableSlot | None:
        """Append the start of a non-idempotent item; return the slot if still valid.

        Between the start and the call, a worker waits only for a new slot if it needs
        one. That wait is shielded from cancellation for a time, so that no item is left
        started but not sent. Until the start is in the log, the worker can be
        cancelled, even while the log is unavailable.
        """
        started_at = self._clock.monotonic()
        try:
            progress.started = await item.start()
        finally:
            if not progress.started or self._is_expired(slot, started_at):
                slot.release(Outcome.not_sent)
        return None if self._is_expired(slot, started_at) else slot

    async def _acquire_slot_for_started(
        self, item: Item, progress: _Progress
    ) -> RevocableSlot | None:
        """Wait for a slot, shielded from cancellation for ``STARTED_ITEM_TIMEOUT``.

        No other worker can determine that the item has not run yet.

        :return: the slot, or None if the job has ended.
        """
        ended = False

        async def cancel_when_ended(scope: anyio.CancelScope) -> None:
            nonlocal ended
            await item.job_ended()
            ended = True
            scope.cancel()

        with anyio.move_on_after(STARTED_ITEM_TIMEOUT.total_seconds(), shield=True):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(cancel_when_ended, tasks.cancel_scope)
                slot = await self._acquire_slot(item, progress, 0, "")
                tasks.cancel_scope.cancel()
                return slot
        return None if ended else await self._acquire_slot(item, progress, 0, "")

    async def _send(
        self, slot: RevocableSlot, request: PlainRequest, progress: _Progress
    ) -> ItemAnswer:
        outcome = Outcome.cancelled
        try:
            answer = await self._plain.call(slot.grant.address, request, PLAIN_TIMEOUT)
            outcome = Outcome.done
            return _to_item_answer(answer)
        except ChivespanError as error:
            outcome = OUTCOME_BY_ERROR.get(error.kind, Outcome.failed)
            progress.last_failed_target = slot.grant.target
            if not request.idempotent and error.properties.may_have_run:
                raise _outcome_unknown(error) from error
            raise
        finally:
            slot.release(outcome)

    async def _acquire_slot(
        self, item: Item, progress: _Progress, max_tokens: int, prompt: str
    ) -> RevocableSlot:
        """Wait for a slot without a timeout; batch work has no deadline."""
        while True:
            progress.slots += 1
            request = GrantRequest(
                request_id=f"{item.request_id}.{progress.slots}",
                slice_id="",
                service=item.service.name,
                model=item.model,
                owner=item.owner,
                work_class=WorkClass.batch,
                deadline_ms=SLOT_ACQUIRE_TIMEOUT // MILLISECOND,
                tokens=max(0, max_tokens - len(progress.tokens)),
                prefix_hash=prefix_hash(prompt) if prompt else 0,
                excluded=[progress.last_failed_target]
                if progress.last_failed_target
                else [],
                attempt=max(1, progress.attempts),
            )
            try:
                return await self._slots.acquire(request)
            except ChivespanError as error:
                if progress.last_failed_target:
                    progress.last_failed_target = ""
                    continue
                self._counters.incr("batch.slots_refused")
                delay = error.retry_after or self._retry_delay
                await anyio.sleep(delay.total_seconds())

    def _is_expired(self, slot: RevocableSlot, started_at: timedelta) -> bool:
        elapsed = self._clock.monotonic() - started_at
        return elapsed > slot.grant.lifetime_ms * MILLISECOND

    def _retry_backoff(self, progress: _Progress) -> timedelta:
        delay = self._retry_delay * (1 << min(progress.attempts, 8))
        return min(delay, MAX_RETRY_DELAY)


async def _cancel_when_revoked(slot: RevocableSlot, scope: anyio.CancelScope) -> None:
    await slot.revoked.wait()
    scope.cancel()


def _decode(body: bytes, cls: type[T]) -> T:
    """Return the decoded body of an item.

    :raises ChivespanError: ``target_refused`` if the body is invalid; not retried.
    """
    with decoding("body of an item", error_of(ErrorKind.TARGET_REFUSED)):
        return msgspec.json.decode(body, type=cls)


def _plain_request(
    item: Item, item_body: BatchPlainItem, idempotent: bool
) -> PlainRequest:
    return PlainRequest(
        request_id=item.request_id,
        method=item_body.method,
        path=item_body.path,
        content_type=item_body.content_type,
        body=item_body.body.encode(),
        idempotent=idempotent,
    )


def _to_item_answer(answer: HttpResponse) -> ItemAnswer:
    """Return the target's answer as the answer of an item.

    :raises ChivespanError: ``target_failed`` for a 5xx status.
    """
    text = answer.body.decode(errors="replace")
    if answer.status >= MIN_SERVER_ERROR_STATUS:
        reason = f"the target returned status {answer.status}: {text[:200]}"
        raise ChivespanError(ErrorKind.TARGET_FAILED, reason)
    return ItemAnswer(status=answer.status, content_type=answer.content_type, text=text)


def _outcome_unknown(error: ChivespanError) -> ChivespanError:
    reason = f"the item may have run and is not idempotent: {error.message}"
    return ChivespanError(ErrorKind.OUTCOME_UNKNOWN, reason)


def _failed(item: Item, progress: _Progress, error: ChivespanError) -> ItemResult:
    return failed_result(
        item.index, item.item_key, progress.attempts, error.kind, error.message
    )


def failed_result(
    index: int, item_key: str, attempts: int, kind: ErrorKind, message: str
) -> ItemResult:
    """Return the result of an item that has finally failed."""
    return ItemResult(
        index=index,
        ok=False,
        attempts=attempts,
        error=kind.value,
        item_key=item_key,
        body=encode(ItemFailure(message=message)),
    )
