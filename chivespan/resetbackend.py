"""Handling of connections of httpcore that are reset or closed too soon.

uvloop drops the socket of a connection that the peer resets immediately, and httpcore
then raises ``AttributeError`` before it has sent anything. The classes report this like
any other failure to connect, and the end of a connection whose server hasn't taken the
whole request like a reset.
"""

from collections.abc import Callable, Iterable
from typing import Any, TypeAlias

import httpcore

from chivespan.sendqueue import is_all_taken


class ResetAwareStream(httpcore.AsyncNetworkStream):
    """A connection whose socket may be gone when httpcore inspects it."""

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes; none at the end of the connection.

        :raises httpcore.ReadTimeout: when none arrive in time.
        :raises httpcore.ReadError: when the server has closed the connection before it
            had taken all that was written.
        """
        received = await self._stream.read(max_bytes, timeout)
        if not received and not await is_all_taken(self.get_extra_info("socket")):
            raise httpcore.ReadError("connection closed before the request was taken")
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all bytes."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return information on the transport.

        httpcore checks whether an idle connection is readable, and closes it if so; a
        lost connection therefore counts as readable. All other uses directly follow the
        opening of the connection, so they raise ``ConnectError``.
        """
        try:
            return self._stream.get_extra_info(info)
        except AttributeError as error:
            if info == "is_readable":
                return True
            raise httpcore.ConnectError("connection reset while opening") from error


StreamFactory: TypeAlias = Callable[[httpcore.AsyncNetworkStream], ResetAwareStream]


class ResetAwareBackend(httpcore.AsyncNetworkBackend):
    """Opens connections; a connection reset meanwhile raises ``ConnectError``.

    :param stream_factory: wraps each connection of the network backend.
    """

    def __init__(self, stream_factory: StreamFactory = ResetAwareStream) -> None:
        self._backend = httpcore.AnyIOBackend()
        self._stream_factory = stream_factory

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
        return self._stream_factory(stream)

    async def sleep(self, seconds: float) -> None:
        """Wait between attempts to connect."""
        await self._backend.sleep(seconds)
