"""Gives up callers' responses when a node holds too much unread output."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import anyio

from chivespan.callerconnection import CallerConnection, connection_of
from chivespan.clock import MILLISECOND
from chivespan.logs import logger
from chivespan.nodemetrics import NodeMetrics
from chivespan.unreadoutput import (
    MAX_RESPONSE_BYTES,
    ResponseInfo,
    UnreadOutput,
    UnreadResponse,
)

CHECK_INTERVAL_S = 0.1
# Less output than this isn't worth a check of its own.
SMALL_BYTES = 16 * 1024
# Unsent output that the kernel accepts for a connection, so that most of what is unread
# stays in the process, which can count and drop it; 64 KB more may be part of a write.
UNSENT_IN_KERNEL_BYTES = 16 * 1024
KERNEL_BYTES = UNSENT_IN_KERNEL_BYTES + 64 * 1024

_log = logger("callers")


@dataclass(frozen=True, slots=True)
class _Watched:
    """A response whose caller may be behind.

    :param waiting: bytes that wait until the connection has room.
    """

    connection: CallerConnection
    info: ResponseInfo
    waiting: int

    @property
    def held(self) -> int:
        """Bytes that the node holds of it."""
        if self.connection.is_lost:
            return 0
        return self.connection.unread + self.waiting


class OutputGuard:
    """Watches the connections of callers that are behind with reading."""

    def __init__(self, output: UnreadOutput, metrics: NodeMetrics) -> None:
        self._output = output
        self._metrics = metrics
        self._watched: dict[int, _Watched] = {}

    @property
    def unread_bytes(self) -> int:
        """Size of all unread output."""
        return self._output.total

    @property
    def page_bytes(self) -> int:
        """Maximum size of the next page of results; one result is always allowed."""
        return self._output.page_bytes

    def open(self, scope: Any, request_id: str) -> "GuardedOutput | None":
        """Return the output of a new response; None for a server without support."""
        connection = connection_of(scope)
        if connection is None:
            return None
        return GuardedOutput(self, connection, request_id)

    async def run(self) -> None:
        """Check what callers have taken, periodically; never returns."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.update()

    def record(
        self, connection: CallerConnection, info: ResponseInfo, waiting: int
    ) -> None:
        """Record that a part of a response was handed over, or waits for that.

        Small parts count from the next check on.

        :param waiting: bytes that wait until the connection has room.
        """
        buffered = connection.buffered + waiting
        if not buffered and id(connection) not in self._watched:
            return
        watched = _Watched(connection, info, waiting)
        self._watched[id(connection)] = watched
        if buffered >= SMALL_BYTES:
            self._observe(watched)
            if self._output.is_exceeded:
                self.update()

    def update(self) -> None:
        """Observe what callers have taken, and abort responses if necessary."""
        for each in list(self._watched.values()):
            self._observe(each)
        for selected in self._output.select_for_abort():
            self._abort(selected)

    def _observe(self, watched: _Watched) -> None:
        key, held = id(watched.connection), watched.held
        self._output.observe(key, watched.info, held, watched.connection.taken)
        if not held:
            self._watched.pop(key, None)

    def _abort(self, response: UnreadResponse) -> None:
        _log.notice(
            "response_given_up",
            request=response.info.request_id,
            resumable=response.info.is_resumable,
            held_bytes=response.unread,
            unread_ms=round(self._output.idle(response) / MILLISECOND),
            all_held_bytes=self._output.total,
        )
        self._metrics.incr("response_given_up")
        watched = self._watched.pop(response.key)
        self._output.forget(response.key)
        watched.connection.reset()


class GuardedOutput:
    """The output of one response.

    :ivar is_resumable: whether the caller can resume the response elsewhere.
    """

    def __init__(
        self, guard: OutputGuard, connection: CallerConnection, request_id: str
    ) -> None:
        self._guard = guard
        self._connection = connection
        self._request_id = request_id
        self._is_whole = False
        self._is_limited = True
        self.is_resumable = False

    @contextmanager
    def writing(self, size: int, rest: int = 0) -> Iterator[None]:
        """Make the write of a part wait until the response has room for it.

        :param rest: size of all later parts, if the response is known as a whole.
        """
        self._is_whole |= rest > 0
        self._limit(size, rest)
        try:
            yield
        finally:
            if self._is_limited:
                self._is_limited = False
                self._connection.limit_buffer(MAX_RESPONSE_BYTES)
            self._guard.record(self._connection, self._info, rest)

    def _limit(self, size: int, rest: int) -> None:
        buffered = self._connection.buffered
        if buffered + size + KERNEL_BYTES <= MAX_RESPONSE_BYTES:
            return
        room = MAX_RESPONSE_BYTES - size - self._connection.in_kernel
        self._is_limited = True
        self._connection.limit_buffer(max(0, room))
        self._guard.record(self._connection, self._info, size + rest)

    @property
    def _info(self) -> ResponseInfo:
        return ResponseInfo(self._request_id, self.is_resumable, self._is_whole)
