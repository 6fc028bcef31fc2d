"""Connections for httpcore that limit the size of each response.

A faulty server may send invalid data without end. httpcore only limits the time of each
read, so neither the duration nor the size of a response is bounded.
"""

import httpcore

from chivespan.resetbackend import ResetAwareStream

MAX_RESPONSE_BYTES = 64 * 1024 * 1024


class BoundedResponseStream(ResetAwareStream):
    """A connection with a byte limit per response; each request resets the limit."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        super().__init__(stream)
        self._bytes_left = MAX_RESPONSE_BYTES

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes.

        :raises httpcore.RemoteProtocolError: when the response exceeds the limit.
        """
        received = await super().read(max_bytes, timeout)
        self._bytes_left -= len(received)
        if self._bytes_left < 0:
            reason = f"response has more than {MAX_RESPONSE_BYTES} bytes"
            raise httpcore.RemoteProtocolError(reason)
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all bytes and reset the byte limit for the response."""
        self._bytes_left = MAX_RESPONSE_BYTES
        await super().write(buffer, timeout)
