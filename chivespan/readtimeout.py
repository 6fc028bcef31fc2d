"""Connections whose reads have a limit that can change while an answer is read.

httpcore fixes the read timeout when it starts on a body; a token stream needs a longer
one before its first token than between the others.
"""

import ssl
from datetime import timedelta

import httpcore

from chivespan.boundedstream import BoundedResponseStream


class ReadTimeoutStream(BoundedResponseStream):
    """A connection; ``read_timeout``, where set, goes before the request's timeout."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        super().__init__(stream)
        self.read_timeout: timedelta | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the bytes that come next; raises when none come in time."""
        if self.read_timeout is not None:
            timeout = self.read_timeout.total_seconds()
        return await super().read(max_bytes, timeout)

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the connection with TLS."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return ReadTimeoutStream(stream)


def set_read_timeout(response: httpcore.Response, limit: timedelta | None) -> None:
    """Limit the further reads of an answer; None goes back to the request's own."""
    stream = response.extensions.get("network_stream")
    if isinstance(stream, ReadTimeoutStream):
        stream.read_timeout = limit
