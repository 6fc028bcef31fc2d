"""Serves callers on several addresses with uvicorn, within the limits in force."""

import asyncio
from collections.abc import Callable, Sequence
from http import HTTPStatus
from math import ceil

from starlette.types import ASGIApp
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from chivespan.addresses import Address
from chivespan.httpserver import HttpServer
from chivespan.routes import CallerLimits


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
        self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        return False

    def _head_late(self) -> None:
        if self._in_head:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _refuse(self, status: HTTPStatus) -> None:
        """Answer and close; the request has not been passed on."""
        if self.transport.is_closing():
            return
        line = f"HTTP/1.1 {status} {status.phrase}\r\n".encode()
        head = line + b"connection: close\r\n"
        self.transport.write(head + b"content-length: 0\r\n\r\n")
        self.transport.close()


class CallerServer(HttpServer):
    """Serves callers; the application tells the addresses apart by port.

    :param limits: gives the limits in force.
    """

    def __init__(
        self,
        app: ASGIApp,
        addresses: Sequence[Address],
        limits: Callable[[], CallerLimits],
    ) -> None:
        protocol = type(
            "ConfiguredProtocol", (LimitedProtocol,), {"limits": staticmethod(limits)}
        )
        super().__init__(app, addresses, protocol=protocol, with_date=False)

    @property
    def in_progress(self) -> int:
        """Requests whose answers aren't finished."""
        return len(self._server.server_state.tasks)

    def stop_now(self) -> None:
        """End without waiting for requests in progress."""
        self._server.force_exit = True
        self._server.should_exit = True
