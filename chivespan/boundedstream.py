"""Connections for httpcore that bring only so many bytes for each answer.

A server in trouble may send bytes that are no answer for ever. httpcore bounds the time
of each read, and so neither the time of an answer nor its size.
"""

import httpcore

from chivespan.resetbackend import ResetAwareStream

MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class BoundedResponseStream(ResetAwareStream):
    """A connection for one answer after another: each request renews the bound."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        super().__init__(stream)
        self._bytes_left = MAX_RESPONSE_BYTES

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the bytes that come next, while the answer isn't too large."""
        received = await super().read(max_bytes, timeout)
        self._bytes_left -= len(received)
        if self._bytes_left < 0:
            reason = "more bytes than an answer may have"
            raise httpcore.RemoteProtocolError(reason)
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all bytes."""
        self._bytes_left = MAX_RESPONSE_BYTES
        await super().write(buffer, timeout)
