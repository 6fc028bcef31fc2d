"""Serving HTTP with uvicorn inside a task group, with a shutdown that cuts nothing.

A caller whose machine is gone, or that takes nothing of its answer, must not hold a
shutdown or a slot for good; the kernel ends its connection.
"""

import asyncio
import socket
from collections.abc import Generator, Sequence
from contextlib import contextmanager
from datetime import timedelta

import uvicorn
from starlette.types import ASGIApp

from chivespan.addresses import Address
from chivespan.clock import MILLISECOND

BACKLOG = 512
CALLER_SILENCE_TIMEOUT = timedelta(seconds=10)
KEEPALIVE_PROBES_EVERY_S = 2


class _Server(uvicorn.Server):
    """A server that leaves signals to the program."""

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield


class HttpServer:
    """Serves one application on some addresses.

    :param app: the ASGI application.
    :param silence_timeout: a caller that acknowledges nothing for this long is gone.
    :param protocol: class of the connections; uvicorn's own for None.
    :param with_date: whether answers carry the time of day.
    """

    def __init__(
        self,
        app: ASGIApp,
        addresses: Sequence[Address],
        silence_timeout: timedelta = CALLER_SILENCE_TIMEOUT,
        *,
        protocol: type[asyncio.Protocol] | None = None,
        with_date: bool = True,
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
        self._patience = silence_timeout

    async def run(self) -> None:
        """Serve until :meth:`stop`; then finish what is in progress and return."""
        sockets = [_listening(each, self._patience) for each in self._addresses]
        await self._server.serve(sockets)

    def stop(self) -> None:
        """Take no new connections, and end once all requests have been answered."""
        self._server.should_exit = True


def _listening(address: Address, silence_timeout: timedelta) -> socket.socket:
    """Return a listening socket; connections that it accepts inherit its options."""
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    place = (address.host, address.port)
    listener = socket.create_server(place, family=family, backlog=BACKLOG)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    seconds = max(1, round(silence_timeout.total_seconds()))
    tcp_options = {
        socket.TCP_KEEPIDLE: seconds,
        socket.TCP_KEEPINTVL: KEEPALIVE_PROBES_EVERY_S,
        socket.TCP_USER_TIMEOUT: silence_timeout // MILLISECOND,
    }
    for option, value in tcp_options.items():
        listener.setsockopt(socket.IPPROTO_TCP, option, value)
    return listener
