"""Runs one batch item to its final result, over as many slots and targets as it takes.

A revoked stream keeps its tokens and goes on later; that is no attempt of its own, and
neither is a target that could not be reached. An
item that may not be repeated is sent once, and only after its start was read back.
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

SLOT_PATIENCE = timedelta(seconds=10)
# For so long a worker that must stop still looks for a slot for an item it has started.
STARTED_PATIENCE = timedelta(seconds=10)
PLAIN_TIMEOUT = timedelta(seconds=60)
FIRST_TOKEN_TIMEOUT = timedelta(seconds=20)
TOKEN_GAP_TIMEOUT = timedelta(seconds=5)
RETRY_DELAY = timedelta(seconds=1)
MAX_RETRY_DELAY = timedelta(seconds=8)
TEXT_TYPE = "text/plain"
SERVER_ERROR_STATUS = 500
FINAL_KINDS = frozenset({ErrorKind.TARGET_REFUSED, ErrorKind.OUTCOME_UNKNOWN})

T = TypeVar("T")


class Engines(Protocol):
    """The model engines."""

    def stream(
        self,
        address: str,
        request: EngineRequest,
        limits: StreamLimits,
        *,
        fresh: bool = False,
    ) -> AsyncGenerator[Token, None]:
        """Yield the tokens that follow the request's resume tokens."""
        ...


class PlainServices(Protocol):
    """The targets of plain services."""

    async def call(
        self, address: str, request: PlainRequest, timeout: timedelta
    ) -> HttpResponse:
        """Send the call once and return the target's answer."""
        ...


@dataclass(frozen=True, eq=False, slots=True)
class Item:
    """One item to run.

    :param request_id: unique to the item; targets see it with the attempt's number.
    :param index: position in the chunk.
    :param start: appends the item's start and says whether it came first; needed for
        an item that may not be repeated.
    :param job_ended: returns once its job has ended.
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
    """What came of an item so far."""

    attempts: int = 0
    slots: int = 0
    tokens: list[str] = field(default_factory=list)
    finished: bool = False
    started: bool = False
    last_failed: str = ""


class ItemRunner:
    """Runs items; one for a process."""

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
        """Return the item's final result, None when another has started it."""
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
                await anyio.sleep(self._delay(progress).total_seconds())
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
        return await self._call(item, progress)

    async def _generate(self, item: Item, progress: _Progress) -> ItemAnswer:
        """Generate the item's text, as often revoked and resumed as it must be.

        :raises ChivespanError: when an attempt failed at a target.
        """
        asked = _decode(item.body, BatchModelItem)
        progress.attempts += 1
        while not progress.finished:
            slot = await self._slot(item, progress, asked.max_tokens, asked.prompt)
            request = EngineRequest(
                model=item.model,
                prompt=asked.prompt,
                max_tokens=asked.max_tokens,
                stream=True,
                request_id=f"{item.request_id}.{progress.slots}",
                resume_tokens=list(progress.tokens),
            )
            await self._stream(slot, request, progress)
        return ItemAnswer(
            status=200, content_type=TEXT_TYPE, text="".join(progress.tokens)
        )

    async def _stream(
        self, slot: RevocableSlot, request: EngineRequest, progress: _Progress
    ) -> None:
        """Receive tokens until the end, a failure or the slot's revocation."""
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
                    await self._receive(slot, request, progress)
                    outcome = Outcome.done
                except ChivespanError as error:
                    failure = error
                    outcome = OUTCOME_BY_ERROR.get(error.kind, Outcome.failed)
                tasks.cancel_scope.cancel()
        finally:
            slot.release(outcome, tokens=len(progress.tokens) - before)
        if failure:
            progress.last_failed = slot.grant.target
            raise failure
        if not progress.finished:
            self._counters.incr("batch.items_revoked")

    async def _receive(
        self, slot: RevocableSlot, request: EngineRequest, progress: _Progress
    ) -> None:
        limits = StreamLimits(FIRST_TOKEN_TIMEOUT, TOKEN_GAP_TIMEOUT)
        fresh = progress.attempts > 1
        stream = self._engines.stream(slot.grant.address, request, limits, fresh=fresh)
        async with aclosing(stream):
            async for token in stream:
                progress.tokens.append(token.text)
                progress.finished = token.finish_reason is not None

    async def _call(self, item: Item, progress: _Progress) -> ItemAnswer | None:
        """Call a plain service once; None when another worker has started the item.

        :raises ChivespanError: when the attempt failed.
        """
        asked = _decode(item.body, BatchPlainItem)
        progress.attempts += 1
        repeatable = may_repeat(item.service, asked.method, asked.path)
        slot = await self._slot(item, progress, 0, "")
        request = _plain_request(item, asked, repeatable)
        if repeatable:
            return await self._send(slot, request, progress)
        answer: ItemAnswer | None = None
        good_slot: RevocableSlot | None = slot
        if not progress.started:
            good_slot = await self._start(item, progress, slot)
        if progress.started and good_slot is None:
            good_slot = await self._slot_for_started(item, progress)
        with anyio.CancelScope(shield=True):
            if progress.started and good_slot is not None:
                answer = await self._send(good_slot, request, progress)
        return answer

    async def _start(
        self, item: Item, progress: _Progress, slot: RevocableSlot
    ) -> RevocableSlot | None:
        """Start an item that may not be repeated; return the slot if it is still good.

        Nothing but a new slot is waited for between the start and the call, and that
        also by a worker that is told to stop, so that it leaves no item started and not
        sent. Before the
        start is in the log the worker may be told to stop, also while the log is away.
        """
        began = self._clock.monotonic()
        try:
            progress.started = await item.start()
        finally:
            if not progress.started or self._has_lapsed(slot, began):
                slot.release(Outcome.not_sent)
        return None if self._has_lapsed(slot, began) else slot

    async def _slot_for_started(
        self, item: Item, progress: _Progress
    ) -> RevocableSlot | None:
        """Wait for a slot, for a while even when the worker is told to stop.

        Nobody else can know that the item hasn't run. None when its job has ended.
        """
        ended = False

        async def cancel_when_ended(scope: anyio.CancelScope) -> None:
            nonlocal ended
            await item.job_ended()
            ended = True
            scope.cancel()

        with anyio.move_on_after(STARTED_PATIENCE.total_seconds(), shield=True):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(cancel_when_ended, tasks.cancel_scope)
                slot = await self._slot(item, progress, 0, "")
                tasks.cancel_scope.cancel()
                return slot
        return None if ended else await self._slot(item, progress, 0, "")

    async def _send(
        self, slot: RevocableSlot, request: PlainRequest, progress: _Progress
    ) -> ItemAnswer:
        outcome = Outcome.cancelled
        try:
            answer = await self._plain.call(slot.grant.address, request, PLAIN_TIMEOUT)
            outcome = Outcome.done
            return _checked(answer)
        except ChivespanError as error:
            outcome = OUTCOME_BY_ERROR.get(error.kind, Outcome.failed)
            progress.last_failed = slot.grant.target
            if not request.idempotent and error.answer.may_have_run:
                raise _unknown(error) from error
            raise
        finally:
            slot.release(outcome)

    async def _slot(
        self, item: Item, progress: _Progress, max_tokens: int, prompt: str
    ) -> RevocableSlot:
        """Wait for a slot however long it takes; batch work has no deadline."""
        while True:
            progress.slots += 1
            request = GrantRequest(
                request_id=f"{item.request_id}.{progress.slots}",
                slice_id="",
                service=item.service.name,
                model=item.model,
                owner=item.owner,
                work_class=WorkClass.batch,
                deadline_ms=SLOT_PATIENCE // MILLISECOND,
                tokens=max(0, max_tokens - len(progress.tokens)),
                prefix_hash=prefix_hash(prompt) if prompt else 0,
                excluded=[progress.last_failed] if progress.last_failed else [],
                attempt=max(1, progress.attempts),
            )
            try:
                return await self._slots.acquire(request)
            except ChivespanError as error:
                if progress.last_failed:
                    progress.last_failed = ""
                    continue
                self._counters.incr("batch.slots_refused")
                delay = error.retry_after or self._retry_delay
                await anyio.sleep(delay.total_seconds())

    def _has_lapsed(self, slot: RevocableSlot, began: timedelta) -> bool:
        held = self._clock.monotonic() - began
        return held > slot.grant.lifetime_ms * MILLISECOND

    def _delay(self, progress: _Progress) -> timedelta:
        grown = self._retry_delay * (1 << min(progress.attempts, 8))
        return min(grown, MAX_RETRY_DELAY)


async def _cancel_when_revoked(slot: RevocableSlot, scope: anyio.CancelScope) -> None:
    await slot.revoked.wait()
    scope.cancel()


def _decode(body: bytes, cls: type[T]) -> T:
    """Return an item's body.

    :raises ChivespanError: ``target_refused`` when it can't be read, which is final.
    """
    try:
        return msgspec.json.decode(body, type=cls)
    except msgspec.DecodeError as error:
        reason = f"the item's body can't be read: {error}"
        raise ChivespanError(ErrorKind.TARGET_REFUSED, reason) from error


def _plain_request(item: Item, asked: BatchPlainItem, repeatable: bool) -> PlainRequest:
    return PlainRequest(
        request_id=item.request_id,
        method=asked.method,
        path=asked.path,
        content_type=asked.content_type,
        body=asked.body.encode(),
        idempotent=repeatable,
    )


def _checked(answer: HttpResponse) -> ItemAnswer:
    """Return an answer that settles the item.

    :raises ChivespanError: ``target_failed`` for a server's error.
    """
    text = answer.body.decode(errors="replace")
    if answer.status >= SERVER_ERROR_STATUS:
        reason = f"the target answered {answer.status}: {text[:200]}"
        raise ChivespanError(ErrorKind.TARGET_FAILED, reason)
    return ItemAnswer(status=answer.status, content_type=answer.content_type, text=text)


def _unknown(error: ChivespanError) -> ChivespanError:
    reason = f"the item may have run and may not be repeated: {error.message}"
    return ChivespanError(ErrorKind.OUTCOME_UNKNOWN, reason)


def _failed(item: Item, progress: _Progress, error: ChivespanError) -> ItemResult:
    return failed_result(
        item.index, item.item_key, progress.attempts, error.kind, error.message
    )


def failed_result(
    index: int, item_key: str, attempts: int, kind: ErrorKind, message: str
) -> ItemResult:
    """Return the final result of an item that can't be done."""
    return ItemResult(
        index=index,
        ok=False,
        attempts=attempts,
        error=kind.value,
        item_key=item_key,
        body=encode(ItemFailure(message=message)),
    )
