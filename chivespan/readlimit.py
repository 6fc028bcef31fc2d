"""Connections whose reads have a limit that can change while an answer is read.

httpcore fixes the read timeout when it starts on a body; a token stream needs a longer
one before its first token than between the others.
"""

import ssl
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

import httpcore

from chivespan.resetbackend import ResetAwareBackend


class LimitedStream(httpcore.AsyncNetworkStream):
    """A connection; ``read_limit``, where set, goes before the request's timeout."""

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        self._inner = inner
        self.read_limit: timedelta | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the bytes that come next; raises when none come in time."""
        if self.read_limit is not None:
            timeout = self.read_limit.total_seconds()
        return await self._inner.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all bytes."""
        await self._inner.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._inner.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the connection with TLS."""
        inner = await self._inner.start_tls(ssl_context, server_hostname, timeout)
        return LimitedStream(inner)

    def get_extra_info(self, info: str) -> Any:
        """Return what is known of the connection."""
        return self._inner.get_extra_info(info)


class LimitedBackend(ResetAwareBackend):
    """Opens connections whose reads can be limited."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return a new connection."""
        inner = await super().connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return LimitedStream(inner)


def limit_reads(response: httpcore.Response, limit: timedelta | None) -> None:
    """Limit the further reads of an answer; None goes back to the request's own."""
    stream = response.extensions.get("network_stream")
    if isinstance(stream, LimitedStream):
        stream.read_limit = limit
