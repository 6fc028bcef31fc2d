"""One HTTP request and response on a connection of its own.

Connections aren't reused, so that a late, duplicate or stalled response can never be
taken for the response to another request. Head and body each have a limit on their size
and on their total time, since a faulty server may send invalid data without end.
"""

import errno
import socket
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from math import inf

import anyio
from anyio.abc import SocketAttribute, SocketStream

from chivespan.addresses import parse_address
from chivespan.clock import MILLISECOND, NO_WAIT
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.httpcall import Call
from chivespan.responseparser import Header, ResponseParser
from chivespan.runningtime import fail_after_running
from chivespan.sendqueue import is_all_taken

WRITE_TIMEOUT = timedelta(seconds=2)
# Includes interim responses and the part of the body that arrives with the head.
MAX_HEAD_BYTES = 256 * 1024
READ_BYTES = 64 * 1024
# Timers that fire later than this tell that the process stood still.
MAX_TIMER_DELAY = timedelta(milliseconds=50)
# No descriptor, memory or port is left in this process or on its VM; see connect(2).
LOCAL_ERRORS = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
    }
)


class NotSent(ChivespanError):
    """No byte of the request was sent, so it was not executed."""

    def __init__(self, address: str, reason: str) -> None:
        message = f"cannot connect to {address}: {reason}"
        super().__init__(ErrorKind.TARGET_UNREACHABLE, message)


class NoLocalResource(NotSent):
    """This node lacks what a connection needs, which says nothing of the server."""


class LateTimeout(ChivespanError):
    """A time limit that ended while this process stood still, and was noticed later.

    The response may have arrived in time.
    """


@dataclass(frozen=True, slots=True)
class Reply:
    """A response whose body has not been read yet."""

    status: int
    headers: Sequence[Header]
    _reader: "_Reader" = field(repr=False)

    @property
    def is_delimited(self) -> bool:
        """Whether the body has a stated end, by a length or chunks.

        Any other body ends with its connection, and may have been cut.
        """
        return self._reader.response.is_delimited

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header; ``name`` is in lower case."""
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return None

    def limit_body(self, max_bytes: int) -> None:
        """Lower the limit for what is still to be read of the body."""
        self._reader.limit_body(max_bytes)

    async def next_chunk(self, timeout: timedelta | None = None) -> bytes | None:
        """Return the next bytes of the body; None at its end.

        On a timeout the whole ``async with exchange(...)`` block is cancelled, and
        :func:`exchange` raises ``stream_broken``; in a :meth:`pausable` block, only
        that block is cancelled.

        :param timeout: time limit for these bytes, besides that for the whole body.
        :raises ChivespanError: ``stream_broken`` when the body is incomplete.
        """
        return await self._reader.next_chunk(timeout)

    @contextmanager
    def pausable(self) -> Iterator[anyio.CancelScope]:
        """Return the scope of a block after whose timeout the body can be read on."""
        with anyio.CancelScope() as self._reader.pause:
            yield self._reader.pause
        self._reader.pause = None

    async def close(self) -> None:
        """Close the connection before the end of the body."""
        await self._reader.close()

    async def body(self) -> bytes:
        """Return the whole body.

        :raises ChivespanError: ``stream_broken`` when the body is incomplete.
        """
        chunks: list[bytes] = []
        while (chunk := await self.next_chunk()) is not None:
            chunks.append(chunk)
        return b"".join(chunks)


@asynccontextmanager
async def exchange(call: Call) -> AsyncIterator[Reply]:
    """Send a request, yield its response, and close the connection.

    :raises InvalidRequest: when it can't be sent to any server.
    :raises NoLocalResource: when this node can't open a connection.
    :raises NotSent: when no byte was sent.
    :raises LateTimeout: of the kinds below, when this process stood still meanwhile.
    :raises ChivespanError: ``target_timeout`` or ``target_failed`` before the head of
        the response is complete; ``stream_broken`` after that.
    """
    request = call.encode()
    stream = await _connect(call)
    try:
        await _check_open(call, stream)
        _limit_stalls(call, stream)
        with anyio.CancelScope() as scope:
            reader = _Reader(call, stream, scope)
            await reader.read_head(request)
            yield Reply(reader.response.status, reader.response.headers, reader)
        if scope.cancelled_caught:
            raise reader.timeout_error()
    finally:
        with anyio.CancelScope(shield=True):
            await stream.aclose()


async def _connect(call: Call) -> SocketStream:
    try:
        address = parse_address(call.address)
        with fail_after_running(call.connect_timeout):
            return await anyio.connect_tcp(address.host, address.port)
    except (OSError, TimeoutError, RuntimeError, ValueError) as error:
        cause = error.__cause__ or error
        if isinstance(cause, OSError) and cause.errno in LOCAL_ERRORS:
            raise NoLocalResource(call.address, repr(cause)) from error
        raise NotSent(call.address, repr(error)) from error


async def _check_open(call: Call, stream: SocketStream) -> None:
    """Check, before anything is sent, that the connection has not been reset.

    :raises NotSent: when it has been reset.
    """
    try:
        await stream.send(b"")
    except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
        raise NotSent(call.address, "connection reset while opening") from error


def _limit_stalls(call: Call, stream: SocketStream) -> None:
    """Have the kernel end the connection when the server takes no bytes for too long.

    Unlike a time limit for each write, this also covers bytes that wait in the buffers
    of the transport and the kernel.

    :raises NotSent: when the connection has been reset.
    """
    if call.stall_timeout is None:
        return
    limit_ms = call.stall_timeout // MILLISECOND
    try:
        connection = stream.extra(SocketAttribute.raw_socket)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)
    except (AttributeError, OSError) as error:
        # uvloop has no socket for a lost connection; anyio then fails on None.
        raise NotSent(call.address, "connection reset while opening") from error


class _Reader:
    """Reads one response within its limits.

    A single cancel scope encloses the whole exchange, and each read moves its deadline:
    a separate scope for each read would cost more than the read itself.

    :param scope: the cancel scope of the exchange.
    :ivar pause: the scope that a timeout of a read cancels instead, if any.
    """

    def __init__(
        self, call: Call, stream: SocketStream, scope: anyio.CancelScope
    ) -> None:
        self._call = call
        self._stream = stream
        self._scope = scope
        self._bytes_left = MAX_HEAD_BYTES
        self._deadline = inf
        self._limit = inf
        self.pause: anyio.CancelScope | None = None
        self.response = ResponseParser(call.method)

    async def read_head(self, request: bytes) -> None:
        """Send the request and read the head of the response.

        :raises ChivespanError: ``target_failed`` when it is invalid or incomplete.
        """
        try:
            self._set_limit(self._scope, _time_after(self._write_timeout))
            await self._stream.send(request)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The target may have responded without reading the whole request.
            pass
        self._deadline = _time_after(self._call.head_timeout)
        while not self.response.head_complete:
            if not await self._read(None):
                raise self._error("connection closed before the response")
        self._bytes_left = self._call.max_body_bytes
        self._deadline = _time_after(self._call.body_timeout)

    async def next_chunk(self, timeout: timedelta | None) -> bytes | None:
        """Return the next bytes of the body; None at its end."""
        while not (chunk := self.response.pop_body()):
            if self.response.is_complete:
                return None
            if not await self._read(timeout):
                await self._end_with_connection()
        return chunk

    async def _end_with_connection(self) -> None:
        """Complete a response that ends with its connection.

        :raises ChivespanError: when it was cut, or the server broke off.
        """
        if not self.response.end():
            raise self._error("connection closed in the middle of the response")
        self._set_limit(self._scope, self._deadline)
        try:
            connection = self._stream.extra(SocketAttribute.raw_socket, None)
            is_whole = await is_all_taken(connection)
        finally:
            self._scope.deadline = inf
        if not is_whole:
            raise self._error("connection closed before the request was taken")

    def limit_body(self, max_bytes: int) -> None:
        """Lower the limit for what is still to be read of the body."""
        self._bytes_left = min(self._bytes_left, max_bytes)

    async def close(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def timeout_error(self) -> ChivespanError:
        """Return the error for a response that exceeded a time limit."""
        kind = ErrorKind.TARGET_TIMEOUT
        reason = f"no response from {self._call.address} in time"
        if self.response.head_complete:
            kind = ErrorKind.STREAM_BROKEN
            reason = f"response body from {self._call.address} timed out"
        delay_s = anyio.current_time() - self._limit
        if delay_s <= MAX_TIMER_DELAY.total_seconds():
            return ChivespanError(kind, reason)
        return LateTimeout(kind, f"{reason}, noticed {delay_s:.3f} s later")

    async def _read(self, timeout: timedelta | None) -> bool:
        """Read and parse bytes; return False when the connection has been closed.

        :raises ChivespanError: when the response is invalid or exceeds its size limit.
        """
        if (parse_error := self.response.parse_error) is not None:
            raise self._error(repr(parse_error))
        scope, deadline = self._scope, self._deadline
        if timeout is not None and (limit := _time_after(timeout)) < deadline:
            scope, deadline = self.pause or scope, limit
        self._set_limit(scope, deadline)
        try:
            received = await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return False
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise self._broken_connection(error.__cause__ or error) from error
        finally:
            # Time that the caller spends on processing the bytes isn't limited.
            scope.deadline = inf
        self._bytes_left -= len(received)
        if self._bytes_left < 0:
            raise self._error("response exceeds its size limit")
        self.response.feed(received)
        return True

    def _set_limit(self, scope: anyio.CancelScope, deadline: float) -> None:
        """Let a scope be cancelled at a time of the event loop."""
        scope.deadline = self._limit = deadline

    @property
    def _write_timeout(self) -> timedelta:
        stalls_are_limited = self._call.stall_timeout is not None
        return self._call.body_timeout if stalls_are_limited else WRITE_TIMEOUT

    def _broken_connection(self, cause: BaseException) -> ChivespanError:
        """Return the error for a connection that has broken."""
        is_stalled = isinstance(cause, TimeoutError) and self._call.stall_timeout
        if is_stalled and not self.response.head_complete:
            reason = f"{self._call.address} took no bytes of the request for too long"
            return ChivespanError(ErrorKind.TARGET_TIMEOUT, reason)
        return self._error(repr(cause))

    def _error(self, reason: str) -> ChivespanError:
        head_complete = self.response.head_complete
        kind = ErrorKind.STREAM_BROKEN if head_complete else ErrorKind.TARGET_FAILED
        return ChivespanError(
            kind, f"exchange with {self._call.address} failed: {reason}"
        )


def _time_after(time: timedelta) -> float:
    """Return the event loop's time after a duration."""
    return anyio.current_time() + max(time, NO_WAIT).total_seconds()
