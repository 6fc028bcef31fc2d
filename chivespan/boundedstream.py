"""Connections for httpcore that bring only so many bytes, for only so long.

A server in trouble may send bytes that are no answer, and go on for ever: interim
answers, header lines, a body. httpcore bounds the time of each read, and so neither the
time of an answer nor its size.
"""

from dataclasses import dataclass
from datetime import timedelta

import anyio
import httpcore

from chivespan.resetbackend import ResetAwareBackend, ResetAwareStream

# Of a whole answer on a connection that is used for several.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


@dataclass(slots=True)
class AnswerBounds:
    """What a part of an answer may still bring.

    :param bytes_left: more bytes end the connection.
    :param time: from the first read of the part on.
    """

    bytes_left: int
    time: timedelta
    _until: float | None = None

    def renew(self, max_bytes: int, time: timedelta) -> None:
        """Set the bounds of the next part, whose time begins now."""
        self.bytes_left = max_bytes
        self.time = time
        self._until = anyio.current_time() + time.total_seconds()

    def time_left(self) -> float:
        """Return the seconds that are left."""
        now = anyio.current_time()
        if self._until is None:
            self._until = now + self.time.total_seconds()
        return self._until - now

    def take(self, size: int) -> None:
        """Count bytes that have come.

        :raises httpcore.RemoteProtocolError: when there are too many.
        """
        self.bytes_left -= size
        if self.bytes_left < 0:
            raise _too_many()


class BoundedStream(ResetAwareStream):
    """A connection for one answer.

    :param bounds: shared with whoever reads the answer.
    """

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, bounds: AnswerBounds
    ) -> None:
        super().__init__(stream)
        self._bounds = bounds

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the bytes that come next, within all bounds."""
        left = self._bounds.time_left()
        if left <= 0:
            raise httpcore.ReadTimeout("the answer took too long")
        patience = left if timeout is None else min(left, timeout)
        received = await super().read(max_bytes, patience)
        self._bounds.take(len(received))
        return received


def bounded_backend(bounds: AnswerBounds) -> httpcore.AsyncNetworkBackend:
    """Return what opens the connection for one answer."""
    return ResetAwareBackend(lambda stream: BoundedStream(stream, bounds))


class BoundedAnswersStream(ResetAwareStream):
    """A connection for one answer after another: each request renews the bound."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        super().__init__(stream)
        self._bytes_left = MAX_ANSWER_BYTES

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the bytes that come next, while the answer isn't too large."""
        received = await super().read(max_bytes, timeout)
        self._bytes_left -= len(received)
        if self._bytes_left < 0:
            raise _too_many()
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all bytes."""
        self._bytes_left = MAX_ANSWER_BYTES
        await super().write(buffer, timeout)


def _too_many() -> httpcore.RemoteProtocolError:
    return httpcore.RemoteProtocolError("more bytes than an answer may have")
