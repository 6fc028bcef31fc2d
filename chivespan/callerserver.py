"""Serves callers on several addresses with uvicorn, within the limits in force."""

import asyncio
from collections.abc import Callable, Generator, Sequence
from contextlib import contextmanager
from datetime import timedelta
from math import ceil
from typing import Any

import uvicorn
from starlette.types import ASGIApp
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from chivespan.addresses import parse_address
from chivespan.httpserver import CALLER_PATIENCE, listening
from chivespan.routes import CallerLimits

STATUS_HEADERS_TOO_LARGE = 431
STATUS_TIMEOUT = 408
_REASONS = {
    STATUS_HEADERS_TOO_LARGE: b"Request Header Fields Too Large",
    STATUS_TIMEOUT: b"Request Timeout",
}


class LimitedProtocol(HttpToolsProtocol):
    """A connection whose request heads are bounded in size and time."""

    limits: Callable[[], CallerLimits] = CallerLimits

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin to wait for the first request."""
        super().connection_made(transport)
        self._head_bytes = 0
        self._in_head = False
        self._head_timer: asyncio.TimerHandle | None = None
        idle = type(self).limits().idle_timeout
        self.timeout_keep_alive = ceil(idle.total_seconds())

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting."""
        self._stop_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take bytes, and count them while they are a request's head."""
        super().data_received(data)
        if self._in_head:
            self._head_bytes += len(data)
            self._check_head(self._head_bytes)

    def on_message_begin(self) -> None:
        """Start the clock of a request's head."""
        super().on_message_begin()
        self._in_head = True
        self._head_bytes = 0
        timeout = type(self).limits().header_timeout.total_seconds()
        self._head_timer = self.loop.call_later(timeout, self._head_late)

    def on_headers_complete(self) -> None:
        """Stop the clock: the head is whole."""
        self._stop_head_timer()
        self._in_head = False
        size = sum(len(name) + len(value) for name, value in self.headers)
        if self._check_head(size):
            super().on_headers_complete()

    def _check_head(self, size: int) -> bool:
        """Return whether a head of this size is within the limit; else refuse it."""
        if size <= type(self).limits().max_header_bytes:
            return True
        self._refuse(STATUS_HEADERS_TOO_LARGE)
        return False

    def _head_late(self) -> None:
        if self._in_head:
            self._refuse(STATUS_TIMEOUT)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse(self, status: int) -> None:
        """Answer and close; the request has not been passed on."""
        if self.transport.is_closing():
            return
        reason = _REASONS[status]
        head = b"HTTP/1.1 %d %s\r\nconnection: close\r\n" % (status, reason)
        self.transport.write(head + b"content-length: 0\r\n\r\n")
        self.transport.close()


class _Server(uvicorn.Server):
    """A server that leaves signals to the program."""

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield


class CallerServer:
    """Listens on several addresses; the application tells them apart by port.

    :param limits: gives the limits in force.
    """

    def __init__(
        self,
        app: ASGIApp,
        addresses: Sequence[str],
        limits: Callable[[], CallerLimits],
        patience: timedelta = CALLER_PATIENCE,
    ) -> None:
        protocol: Any = type(
            "ConfiguredProtocol", (LimitedProtocol,), {"limits": staticmethod(limits)}
        )
        config = uvicorn.Config(
            app,
            http=protocol,
            log_config=None,
            access_log=False,
            lifespan="off",
            server_header=False,
            date_header=False,
            ws="none",
        )
        self._server = _Server(config)
        self._addresses = [parse_address(address) for address in addresses]
        self._patience = patience

    @property
    def in_progress(self) -> int:
        """Requests whose answers aren't finished."""
        return len(self._server.server_state.tasks)

    async def run(self) -> None:
        """Serve until :meth:`stop`; then finish what is in progress and return."""
        sockets = [
            listening((address.host, address.port), self._patience)
            for address in self._addresses
        ]
        await self._server.serve(sockets)

    def stop(self) -> None:
        """Take no new connections, and end once all requests have been answered."""
        self._server.should_exit = True

    def stop_at_once(self) -> None:
        """End without waiting for requests in progress."""
        self._server.force_exit = True
        self._server.should_exit = True
