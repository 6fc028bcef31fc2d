"""Links of an entry to batch processes, and request-reply calls over them."""

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
# Errors after which the request goes to the next VM.
TRY_NEXT_KINDS = frozenset({ErrorKind.NOT_READY})

T = TypeVar("T")


class _BatchProcess:
    """The link to one batch process and the requests sent over it."""

    def __init__(self) -> None:
        self.link: PeerLink | None = None
        self.connect_finished = anyio.Event()
        self.pending: dict[str, _PendingRequest] = {}
        self.last_used = timedelta(0)

    def lose(self) -> None:
        """Drop the link and fail all pending requests."""
        self.link = None
        self.connect_finished.set()
        for request in self.pending.values():
            request.finished.set()


class _PendingRequest:
    """A request whose reply is pending."""

    def __init__(self) -> None:
        self.finished = anyio.Event()
        self.answer: object = None


class BatchLinks:
    """Sends requests to batch processes; ``run`` must be running."""

    def __init__(self, end: LinkEnd, settings: NodeSettings, view: NodeView) -> None:
        self._end = end
        self._settings = settings
        self._view = view
        self._processes: dict[str, _BatchProcess] = {}
        self._tasks: TaskGroup | None = None
        self._started = anyio.Event()

    async def run(self) -> None:
        """Run the tasks that maintain the links, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._started.set()
            await anyio.sleep_forever()

    def candidate_vms(self, stream: str) -> list[str]:
        """Return the VMs to try for a stream: its owner, the next ones, this VM."""
        live = ranked(stream, self._view.batch_vms())[:MAX_OWNERS_TRIED]
        own = self._settings.vm
        return live if own in live else [*live, own]

    async def ask_any(self, stream: str, message: Any, answer: type[T]) -> T:
        """Return the first reply of a stream's candidate VMs.

        :raises ChivespanError: as :meth:`try_each`.
        """

        async def ask(vm: str) -> T:
            return await self.ask(vm, message, answer)

        return await self.try_each(stream, ask)

    async def try_each(self, stream: str, ask: Callable[[str], Awaitable[T]]) -> T:
        """Try the candidate VMs of a stream in turn until one replies.

        :raises ChivespanError: the refusal; ``acceptance_unknown`` if the message was
            sent and may have taken effect; ``not_ready`` if it certainly has not.
        """
        sent_before = False
        for vm in self.candidate_vms(stream):
            try:
                return await ask(vm)
            except ChivespanError as error:
                if error.kind is ErrorKind.ACCEPTANCE_UNKNOWN:
                    sent_before = True
                elif error.kind not in TRY_NEXT_KINDS:
                    raise _error_after_sending(error, sent_before) from error
        reason = "no batch process replied"
        if sent_before:
            raise ChivespanError(ErrorKind.ACCEPTANCE_UNKNOWN, reason)
        raise ChivespanError(ErrorKind.NOT_READY, reason)

    async def ask(self, vm: str, message: Any, answer: type[T]) -> T:
        """Return the reply of one batch process.

        :raises ChivespanError: the refusal; ``not_ready`` if the message was not sent;
            ``acceptance_unknown`` if no reply arrived.
        """
        await self._started.wait()
        process = self._process(vm)
        with anyio.move_on_after(CONNECT_TIMEOUT.total_seconds()):
            await process.connect_finished.wait()
        request = _PendingRequest()
        process.pending[message.request_id] = request
        process.last_used = self._end.clock.monotonic()
        try:
            if process.link is None or not process.link.send(message):
                reason = f"batch process on {vm} is unreachable"
                raise ChivespanError(ErrorKind.NOT_READY, reason)
            with anyio.move_on_after(REPLY_TIMEOUT.total_seconds()):
                await request.finished.wait()
        finally:
            del process.pending[message.request_id]
        return _checked(vm, request.answer, answer)

    def _process(self, vm: str) -> _BatchProcess:
        if vm not in self._processes:
            self._processes[vm] = _BatchProcess()
            assert self._tasks is not None
            self._tasks.start_soon(self._maintain_link, vm, self._processes[vm])
        return self._processes[vm]

    async def _maintain_link(self, vm: str, process: _BatchProcess) -> None:
        """Keep one link open until it ends; the next request opens a new one."""
        address = f"{vm}:{self._settings.batch_port}"
        try:
            await dial_once(address, self._end, partial(self._listen, process))
        finally:
            del self._processes[vm]
            process.lose()

    async def _listen(self, process: _BatchProcess, link: PeerLink) -> None:
        process.link = link
        process.last_used = self._end.clock.monotonic()
        process.connect_finished.set()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._close_when_idle, process, link)
            async for message in link:
                request = process.pending.get(getattr(message, "request_id", ""))
                if request is None:
                    self._end.counters.incr("batch.late_answers")
                    continue
                request.answer = message
                request.finished.set()
            tasks.cancel_scope.cancel()

    async def _close_when_idle(self, process: _BatchProcess, link: PeerLink) -> None:
        while True:
            await anyio.sleep(IDLE_TIMEOUT.total_seconds())
            idle = self._end.clock.monotonic() - process.last_used
            if idle > IDLE_TIMEOUT and not process.pending:
                process.link = None
                await link.close()


def new_request_id() -> str:
    """Return an id for one request."""
    return uuid.uuid4().hex


def _checked(vm: str, answer: object, cls: type[T]) -> T:
    if isinstance(answer, cls):
        return answer
    if isinstance(answer, BatchError):
        raise _refusal(answer)
    reason = f"batch process on {vm} did not reply"
    raise ChivespanError(ErrorKind.ACCEPTANCE_UNKNOWN, reason)


def _refusal(answer: BatchError) -> ChivespanError:
    kind = ErrorKind(answer.error)
    retry_after = timedelta(milliseconds=answer.retry_after_ms) or None
    return ChivespanError(kind, answer.message, retry_after=retry_after)


def _error_after_sending(error: ChivespanError, sent_before: bool) -> ChivespanError:
    """Return the error for a message whose earlier attempt got no reply.

    If the log is unavailable now, the earlier attempt may still have been accepted.
    """
    if not sent_before or error.kind is not ErrorKind.LOG_UNAVAILABLE:
        return error
    reason = f"whether an earlier sending was accepted isn't known; {error.message}"
    return ChivespanError(ErrorKind.ACCEPTANCE_UNKNOWN, reason)
