"""One HTTP exchange on a connection of its own.

No connection is used twice: a late or doubled answer, or one that has gone silent, can
then never be taken for the answer to another request. A head and a body each have a
bound on their bytes and on their whole time, since a server in trouble may send bytes
that are no answer for ever.
"""

import re
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from math import inf

import anyio
from anyio.abc import SocketStream

from chivespan.addresses import parse_address
from chivespan.clock import NO_WAIT
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.responseparser import Header, ResponseParser

# A few round trips; behind it another target can still be in time.
CONNECT_TIMEOUT = timedelta(milliseconds=150)
WRITE_TIMEOUT = timedelta(seconds=2)
# Interim answers and what of the body comes with the head are counted too.
MAX_HEAD_BYTES = 256 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
READ_BYTES = 64 * 1024
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(rb"[^\x00\r\n]*")
_TARGET = re.compile(rb"[\x21-\x7e]+")


class NotSent(ChivespanError):
    """No byte of the request has left: it has not run."""

    def __init__(self, address: str, reason: str) -> None:
        message = f"{address} can't be reached: {reason}"
        super().__init__(ErrorKind.TARGET_UNREACHABLE, message)


@dataclass(frozen=True, slots=True)
class Call:
    """One request.

    :param target: path with query, as it goes into the request line.
    :param head_timeout: the whole head of the answer is due within this.
    :param body_timeout: the whole body is due within this, behind the head.
    :param max_body_bytes: a larger body ends the connection.
    """

    address: str
    method: str
    target: bytes
    headers: Sequence[Header]
    body: bytes
    head_timeout: timedelta
    body_timeout: timedelta
    max_body_bytes: int = MAX_BODY_BYTES
    connect_timeout: timedelta = CONNECT_TIMEOUT

    def encode(self) -> bytes:
        """Return the request as it is sent.

        :raises ChivespanError: ``bad_request`` where it would be another request.
        """
        lines = [b"%b %b HTTP/1.1" % (self.method.encode(), self.target)]
        lines += [b"%b: %b" % header for header in self.headers]
        lines.append(b"content-length: %d" % len(self.body))
        self._check()
        return b"\r\n".join([*lines, b"", self.body])

    def _check(self) -> None:
        hosts = sum(name.lower() == b"host" for name, _ in self.headers)
        is_sound = (
            hosts == 1
            and _TOKEN.fullmatch(self.method.encode())
            and _TARGET.fullmatch(self.target)
            and all(_TOKEN.fullmatch(name) for name, _ in self.headers)
            and all(_VALUE.fullmatch(value) for _, value in self.headers)
        )
        if not is_sound:
            reason = "a request line, or a header, that can't be sent"
            raise ChivespanError(ErrorKind.BAD_REQUEST, reason)


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer whose body is still to come."""

    status: int
    headers: Sequence[Header]
    _reader: "_Reader" = field(repr=False)

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, whose name is given in lower case."""
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return None

    async def next_chunk(self, patience: timedelta | None = None) -> bytes | None:
        """Return the bytes of the body that come next; None at its end.

        When the body, or these bytes, take too long, the whole block of the exchange
        ends, and the exchange raises ``stream_broken``.

        :param patience: the bytes are due within this.
        :raises ChivespanError: ``stream_broken`` when the body ends too soon.
        """
        return await self._reader.next_chunk(patience)

    async def body(self) -> bytes:
        """Return the whole body.

        :raises ChivespanError: ``stream_broken`` when it ends too soon.
        """
        chunks: list[bytes] = []
        while (chunk := await self.next_chunk()) is not None:
            chunks.append(chunk)
        return b"".join(chunks)


@asynccontextmanager
async def exchange(call: Call) -> AsyncIterator[Reply]:
    """Send a request, yield its answer, and close the connection behind it.

    :raises NotSent: when no byte was sent.
    :raises ChivespanError: ``target_timeout``, ``target_failed`` before the head of the
        answer; ``stream_broken`` behind it.
    """
    request = call.encode()
    stream = await _connected(call)
    try:
        await _check_open(call, stream)
        with anyio.CancelScope() as patience:
            reader = _Reader(call, stream, patience)
            await reader.read_head(request)
            yield Reply(reader.answer.status, reader.answer.headers, reader)
        if patience.cancelled_caught:
            raise reader.too_late()
    finally:
        with anyio.CancelScope(shield=True):
            await stream.aclose()


async def _connected(call: Call) -> SocketStream:
    try:
        address = parse_address(call.address)
        with anyio.fail_after(call.connect_timeout.total_seconds()):
            return await anyio.connect_tcp(address.host, address.port)
    except (OSError, TimeoutError, RuntimeError, ValueError) as error:
        raise NotSent(call.address, repr(error)) from error


async def _check_open(call: Call, stream: SocketStream) -> None:
    """Find out, before anything is sent, if the other end has reset the connection.

    :raises NotSent: when it has.
    """
    try:
        await stream.send(b"")
    except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
        raise NotSent(call.address, "reset while it was opened") from error


class _Reader:
    """Reads one answer within its bounds.

    One cancel scope is around the whole exchange, and its deadline is moved: a scope of
    its own for each read would cost more than the read.

    :param patience: that scope.
    """

    def __init__(
        self, call: Call, stream: SocketStream, patience: anyio.CancelScope
    ) -> None:
        self._call = call
        self._stream = stream
        self._patience = patience
        self._bytes_left = MAX_HEAD_BYTES
        self._until = inf
        self.answer = ResponseParser(call.method)

    async def read_head(self, request: bytes) -> None:
        """Send the request, and return once the head of its answer has come.

        :raises ChivespanError: ``target_failed`` when none comes.
        """
        try:
            self._patience.deadline = _after(WRITE_TIMEOUT)
            await self._stream.send(request)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # It may have been answered all the same, before it was read.
            pass
        self._until = _after(self._call.head_timeout)
        while not self.answer.head_complete:
            if not await self._read(None):
                raise self._broken("it ended before its answer")
        self._bytes_left = self._call.max_body_bytes
        self._until = _after(self._call.body_timeout)

    async def next_chunk(self, patience: timedelta | None) -> bytes | None:
        """Return the bytes of the body that come next; None at its end."""
        while not (chunk := self.answer.pop_body()):
            if self.answer.is_complete:
                return None
            if not await self._read(patience) and not self.answer.end():
                raise self._broken("it ended before its answer did")
        return chunk

    def too_late(self) -> ChivespanError:
        """Return the error of an answer whose time was over."""
        if self.answer.head_complete:
            reason = f"{self._call.address} fell silent, or went on for too long"
            return ChivespanError(ErrorKind.STREAM_BROKEN, reason)
        reason = f"{self._call.address} gave no answer in time"
        return ChivespanError(ErrorKind.TARGET_TIMEOUT, reason)

    async def _read(self, patience: timedelta | None) -> bool:
        """Take bytes; return False where the connection has ended.

        :raises ChivespanError: when they are no answer's, or too many.
        """
        if (failure := self.answer.failure) is not None:
            raise self._broken(repr(failure))
        until = self._until if patience is None else _after(patience)
        self._patience.deadline = min(until, self._until)
        try:
            received = await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return False
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise self._broken(repr(error.__cause__ or error)) from error
        finally:
            # What the block does with the bytes takes its own time.
            self._patience.deadline = inf
        self._bytes_left -= len(received)
        if self._bytes_left < 0:
            raise self._broken("it sent more bytes than an answer may have")
        self.answer.feed(received)
        return True

    def _broken(self, reason: str) -> ChivespanError:
        begun = self.answer.head_complete
        kind = ErrorKind.STREAM_BROKEN if begun else ErrorKind.TARGET_FAILED
        return ChivespanError(kind, f"{self._call.address} broke off: {reason}")


def _after(time: timedelta) -> float:
    """Return the time on the event loop's clock that is this much later."""
    return anyio.current_time() + max(time, NO_WAIT).total_seconds()
