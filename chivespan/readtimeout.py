"""Connections with a read timeout that can change during a response.

httpcore fixes the read timeout when it starts to read a body; a token stream needs a
longer one before its first token than between the others.
"""

import ssl
from datetime import timedelta

import httpcore

from chivespan.boundedstream import BoundedResponseStream


class ReadTimeoutStream(BoundedResponseStream):
    """A connection; ``read_timeout``, if set, overrides the timeout of the request."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        super().__init__(stream)
        self.read_timeout: timedelta | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes.

        :raises httpcore.ReadTimeout: when none arrive in time.
        """
        if self.read_timeout is not None:
            timeout = self.read_timeout.total_seconds()
        return await super().read(max_bytes, timeout)

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the connection upgraded to TLS."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return ReadTimeoutStream(stream)


def set_read_timeout(response: httpcore.Response, timeout: timedelta | None) -> None:
    """Set the timeout of further reads of a response; None restores the request's."""
    stream = response.extensions.get("network_stream")
    if isinstance(stream, ReadTimeoutStream):
        stream.read_timeout = timeout
