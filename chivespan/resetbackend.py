"""Connections for httpcore that may be reset while they are opened.

uvloop drops the socket of a connection that the other end resets at once, and httpcore
then fails on an attribute, before it has sent anything. That is no other failure than a
connection that can't be opened.
"""

from collections.abc import Callable, Iterable
from typing import Any, TypeAlias

import httpcore


class ResetAwareStream(httpcore.AsyncNetworkStream):
    """A connection that may be lost already when it is asked what it is."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the bytes that come next; raises when none come in time."""
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all bytes."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return what is known.

        Of a connection that is kept idle, httpcore asks whether it is readable; one
        that is lost counts as that, and is closed. Else it asks behind the opening.
        """
        try:
            return self._stream.get_extra_info(info)
        except AttributeError as error:
            if info == "is_readable":
                return True
            raise httpcore.ConnectError("reset while it was opened") from error


StreamMaker: TypeAlias = Callable[[httpcore.AsyncNetworkStream], ResetAwareStream]


class ResetAwareBackend(httpcore.AsyncNetworkBackend):
    """Opens connections; one that was reset meanwhile raises ``ConnectError``.

    :param make_stream: makes the connections out of those of the network.
    """

    def __init__(self, make_stream: StreamMaker = ResetAwareStream) -> None:
        self._backend = httpcore.AnyIOBackend()
        self._make_stream = make_stream

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[httpcore.SOCKET_OPTION] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return self._make_stream(stream)

    async def sleep(self, seconds: float) -> None:
        """Pause between tries to connect."""
        await self._backend.sleep(seconds)
