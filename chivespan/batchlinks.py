"""Links of an entry to batch processes, and one question over them with its answer."""

import uuid
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from typing import Any, TypeVar

import anyio
from anyio.abc import TaskGroup

from chivespan.errors import ChivespanError, ErrorKind
from chivespan.jobmessages import BatchError
from chivespan.nodeview import NodeView
from chivespan.peerlink import LinkEnd, PeerLink, dial_once
from chivespan.placement import ranked
from chivespan.settings import NodeSettings

CONNECT_TIMEOUT = timedelta(seconds=1.5)
REPLY_TIMEOUT = timedelta(seconds=12)
IDLE_TIMEOUT = timedelta(seconds=60)
MAX_OWNERS_TRIED = 3
TRY_NEXT_KINDS = frozenset({ErrorKind.NOT_READY})

T = TypeVar("T")


class _Remote:
    """One batch process as this process reaches it."""

    def __init__(self) -> None:
        self.link: PeerLink | None = None
        self.settled = anyio.Event()
        self.waiting: dict[str, _Question] = {}
        self.last_asked = timedelta(0)

    def lose(self) -> None:
        """Give up all questions that are on their way."""
        self.link = None
        self.settled.set()
        for question in self.waiting.values():
            question.answered.set()


class _Question:
    def __init__(self) -> None:
        self.answered = anyio.Event()
        self.answer: object = None


class BatchLinks:
    """Asks batch processes; ``run`` must be going."""

    def __init__(self, end: LinkEnd, settings: NodeSettings, view: NodeView) -> None:
        self._end = end
        self._settings = settings
        self._view = view
        self._remotes: dict[str, _Remote] = {}
        self._tasks: TaskGroup | None = None
        self._started = anyio.Event()

    async def run(self) -> None:
        """Hold the links until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._started.set()
            await anyio.sleep_forever()

    def candidate_vms(self, stream: str) -> list[str]:
        """Return whom to ask about a stream: its owner, the next, this VM."""
        live = ranked(stream, self._view.batch_vms())[:MAX_OWNERS_TRIED]
        own = self._settings.vm
        return live if own in live else [*live, own]

    async def ask_any(self, stream: str, message: Any, answer: type[T]) -> T:
        """Return the first answer of those who serve a stream.

        :raises ChivespanError: as :meth:`try_each`.
        """

        async def ask(vm: str) -> T:
            return await self.ask(vm, message, answer)

        return await self.try_each(stream, ask)

    async def try_each(self, stream: str, ask: Callable[[str], Awaitable[T]]) -> T:
        """Return the result of asking one VM after the other until one answers.

        :raises ChivespanError: the refusal; ``acceptance_unknown`` when the message
            was sent and may have had effect; ``not_ready`` when it surely had none.
        """
        sent_before = False
        for vm in self.candidate_vms(stream):
            try:
                return await ask(vm)
            except ChivespanError as error:
                if error.kind is ErrorKind.ACCEPTANCE_UNKNOWN:
                    sent_before = True
                elif error.kind not in TRY_NEXT_KINDS:
                    raise _after_sending(error, sent_before) from error
        reason = "no batch process gave an answer"
        if sent_before:
            raise ChivespanError(ErrorKind.ACCEPTANCE_UNKNOWN, reason)
        raise ChivespanError(ErrorKind.NOT_READY, reason)

    async def ask(self, vm: str, message: Any, answer: type[T]) -> T:
        """Return one batch process's answer.

        :raises ChivespanError: the refusal; ``not_ready`` when the message was not
            sent; ``acceptance_unknown`` when no answer came.
        """
        await self._started.wait()
        remote = self._remote(vm)
        with anyio.move_on_after(CONNECT_TIMEOUT.total_seconds()):
            await remote.settled.wait()
        question = _Question()
        remote.waiting[message.request_id] = question
        remote.last_asked = self._end.clock.monotonic()
        try:
            if remote.link is None or not remote.link.send(message):
                reason = f"the batch process of {vm} can't be reached"
                raise ChivespanError(ErrorKind.NOT_READY, reason)
            with anyio.move_on_after(REPLY_TIMEOUT.total_seconds()):
                await question.answered.wait()
        finally:
            del remote.waiting[message.request_id]
        return _checked(vm, question.answer, answer)

    def _remote(self, vm: str) -> _Remote:
        if vm not in self._remotes:
            self._remotes[vm] = _Remote()
            assert self._tasks is not None
            self._tasks.start_soon(self._hold_link, vm, self._remotes[vm])
        return self._remotes[vm]

    async def _hold_link(self, vm: str, remote: _Remote) -> None:
        """Hold one link until it ends; the next question opens a new one."""
        address = f"{vm}:{self._settings.batch_port}"
        try:
            await dial_once(address, self._end, partial(self._listen, remote))
        finally:
            del self._remotes[vm]
            remote.lose()

    async def _listen(self, remote: _Remote, link: PeerLink) -> None:
        remote.link = link
        remote.last_asked = self._end.clock.monotonic()
        remote.settled.set()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._close_when_idle, remote, link)
            async for message in link:
                question = remote.waiting.get(getattr(message, "request_id", ""))
                if question is None:
                    self._end.counters.incr("batch.late_answers")
                    continue
                question.answer = message
                question.answered.set()
            tasks.cancel_scope.cancel()

    async def _close_when_idle(self, remote: _Remote, link: PeerLink) -> None:
        while True:
            await anyio.sleep(IDLE_TIMEOUT.total_seconds())
            idle = self._end.clock.monotonic() - remote.last_asked
            if idle > IDLE_TIMEOUT and not remote.waiting:
                remote.link = None
                await link.close()


def new_request_id() -> str:
    """Return an id for one question."""
    return uuid.uuid4().hex


def _checked(vm: str, answer: object, cls: type[T]) -> T:
    if isinstance(answer, cls):
        return answer
    if isinstance(answer, BatchError):
        raise _refusal(answer)
    reason = f"the batch process of {vm} gave no answer"
    raise ChivespanError(ErrorKind.ACCEPTANCE_UNKNOWN, reason)


def _refusal(answer: BatchError) -> ChivespanError:
    kind = ErrorKind(answer.error)
    retry_after = timedelta(milliseconds=answer.retry_after_ms) or None
    return ChivespanError(kind, answer.message, retry_after=retry_after)


def _after_sending(error: ChivespanError, sent_before: bool) -> ChivespanError:
    """Return what is true of a message whose first sending was left unanswered."""
    if not sent_before or error.kind is not ErrorKind.LOG_UNAVAILABLE:
        return error
    reason = f"whether an earlier sending was accepted isn't known; {error.message}"
    return ChivespanError(ErrorKind.ACCEPTANCE_UNKNOWN, reason)
