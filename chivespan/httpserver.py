"""HTTP server on uvicorn for use in a task group, with graceful shutdown.

A caller whose machine has failed, or that doesn't read its response, must not block a
shutdown or occupy a slot forever; TCP timeouts make the kernel close its connection.
"""

import asyncio
import socket
from collections.abc import Generator, Sequence
from contextlib import contextmanager, suppress
from datetime import timedelta

import uvicorn
from starlette.types import ASGIApp

from chivespan.addresses import Address
from chivespan.clock import MILLISECOND

BACKLOG = 512
CALLER_SILENCE_TIMEOUT = timedelta(seconds=10)
KEEPALIVE_PROBE_INTERVAL_S = 2
# Uvicorn updates its default headers and checks its limits with each tick.
TICK_INTERVAL_S = 1


class _Server(uvicorn.Server):
    """A server that leaves signal handling to the program.

    It waits to be stopped, where uvicorn checks ten times a second.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._stopping = asyncio.Event()

    def stop(self) -> None:
        """Stop serving."""
        self.should_exit = True
        self._stopping.set()

    async def main_loop(self) -> None:
        while not await self.on_tick(0):
            with suppress(TimeoutError):
                await asyncio.wait_for(self._stopping.wait(), TICK_INTERVAL_S)

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield


class HttpServer:
    """Serves one ASGI application on several addresses.

    :param app: the ASGI application.
    :param silence_timeout: a connection is closed when the caller acknowledges no data
        for this long.
    :param protocol: class of the connections; uvicorn's default for None.
    :param with_date: whether responses have a ``Date`` header.
    :param unsent_in_kernel: how much unsent output the kernel accepts for a connection;
        None for its default.
    """

    def __init__(
        self,
        app: ASGIApp,
        addresses: Sequence[Address],
        silence_timeout: timedelta = CALLER_SILENCE_TIMEOUT,
        *,
        protocol: type[asyncio.Protocol] | None = None,
        with_date: bool = True,
        unsent_in_kernel: int | None = None,
    ) -> None:
        config = uvicorn.Config(
            app,
            http=protocol or "auto",
            log_config=None,
            access_log=False,
            lifespan="off",
            server_header=False,
            date_header=with_date,
            ws="none",
        )
        self._server = _Server(config)
        self._addresses = addresses
        self._silence_timeout = silence_timeout
        self._unsent_in_kernel = unsent_in_kernel

    async def run(self) -> None:
        """Serve until :meth:`stop`; then finish requests in progress and return."""
        sockets = [
            _open_listener(each, self._silence_timeout) for each in self._addresses
        ]
        if self._unsent_in_kernel is not None:
            for each in sockets:
                _limit_unsent(each, self._unsent_in_kernel)
        await self._server.serve(sockets)

    def stop(self) -> None:
        """Accept no new connections, and stop once all requests are finished."""
        self._server.stop()


def _open_listener(address: Address, silence_timeout: timedelta) -> socket.socket:
    """Return a listening socket; accepted connections inherit its options."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    socket_address = (address.host, address.port)
    listener = socket.create_server(socket_address, family=family, backlog=BACKLOG)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    seconds = max(1, round(silence_timeout.total_seconds()))
    tcp_options = {
        socket.TCP_KEEPIDLE: seconds,
        socket.TCP_KEEPINTVL: KEEPALIVE_PROBE_INTERVAL_S,
        socket.TCP_USER_TIMEOUT: silence_timeout // MILLISECOND,
    }
    for option, value in tcp_options.items():
        listener.setsockopt(socket.IPPROTO_TCP, option, value)
    return listener


def _limit_unsent(listener: socket.socket, size: int) -> None:
    """Limit what the kernel accepts of unsent output; connections inherit that.

    By default it accepts up to 4 MB for a connection whose other end doesn't read.
    """
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, size)
