"""HTTP server for callers: uvicorn with limits on the request head.

When the server stops, it serves requests that arrive shortly after on open connections:
their callers could not know that it stops.
"""

import asyncio
from collections.abc import Callable, Sequence
from http import HTTPStatus
from math import ceil

from starlette.types import ASGIApp
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from chivespan.addresses import Address
from chivespan.callerconnection import EXTENSION, CallerConnection
from chivespan.httpserver import HttpServer
from chivespan.logs import logger
from chivespan.routes import CallerLimits

# Covers the way of a request that was sent before its caller noticed the stop.
SHUTDOWN_LINGER_S = 0.2

_log = logger("callers")


class LimitedProtocol(HttpToolsProtocol):
    """A connection with limits on the size and duration of request heads."""

    limits: Callable[[], CallerLimits] = CallerLimits

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Initialize the limits of the connection."""
        super().connection_made(transport)
        self._connection = CallerConnection(transport)
        self._head_bytes = 0
        self._in_head = False
        self._head_timer: asyncio.TimerHandle | None = None
        self._idle_since = self.loop.time()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer of the request head."""
        self._stop_head_timer()
        self._connection.is_lost = True
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; count them while a request head is incomplete."""
        super().data_received(data)
        if self._in_head:
            self._head_bytes += len(data)
            self._check_head(self._head_bytes)

    def shutdown(self) -> None:
        """Close the connection once no request arrives for a while."""
        self.loop.call_later(SHUTDOWN_LINGER_S, self._shut_down_if_idle)

    def _shut_down_if_idle(self) -> None:
        if self._in_head:
            self.shutdown()
        else:
            super().shutdown()

    def on_response_complete(self) -> None:
        """Start the timer of an idle connection, unless a request is waiting."""
        self._idle_since = self.loop.time()
        self.timeout_keep_alive = self._idle_timeout_s()
        super().on_response_complete()

    def timeout_keep_alive_handler(self) -> None:
        """Close an idle connection, unless its timeout was raised meanwhile.

        A lowered timeout holds from the next idle time on, as callers may not know it.
        """
        limit_s = self._idle_timeout_s()
        left_s = self._idle_since + limit_s - self.loop.time()
        if left_s > 0:
            self.timeout_keep_alive_task = self.loop.call_later(
                left_s, self.timeout_keep_alive_handler
            )
            return
        _log.info("idle_connection_closed", client=self.client, limit_s=limit_s)
        super().timeout_keep_alive_handler()

    def _idle_timeout_s(self) -> int:
        return ceil(type(self).limits().idle_timeout.total_seconds())

    def on_message_begin(self) -> None:
        """Start the timer of a request head."""
        super().on_message_begin()
        self.scope["extensions"] = {EXTENSION: {"connection": self._connection}}
        self._in_head = True
        self._head_bytes = 0
        timeout = type(self).limits().header_timeout.total_seconds()
        self._head_timer = self.loop.call_later(timeout, self._head_timed_out)

    def on_headers_complete(self) -> None:
        """Cancel the timer of the complete head, and check its size."""
        self._stop_head_timer()
        self._in_head = False
        size = sum(len(name) + len(value) for name, value in self.headers)
        if self._check_head(size):
            super().on_headers_complete()

    def _check_head(self, size: int) -> bool:
        """Reject the request if its head is too large; return whether it isn't."""
        if size <= type(self).limits().max_header_bytes:
            return True
        self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        return False

    def _head_timed_out(self) -> None:
        if self._in_head:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _reject(self, status: HTTPStatus) -> None:
        """Respond and close; the request has not reached the application."""
        if self.transport.is_closing():
            return
        line = f"HTTP/1.1 {status} {status.phrase}\r\n".encode()
        head = line + b"connection: close\r\n"
        self.transport.write(head + b"content-length: 0\r\n\r\n")
        self.transport.close()


class CallerServer(HttpServer):
    """Serves callers; the application distinguishes the addresses by port.

    :param limits: returns the current limits.
    :param unsent_in_kernel: how much unsent output the kernel accepts for a connection;
        None for its default.
    """

    def __init__(
        self,
        app: ASGIApp,
        addresses: Sequence[Address],
        limits: Callable[[], CallerLimits],
        unsent_in_kernel: int | None = None,
    ) -> None:
        protocol = type(
            "ConfiguredProtocol", (LimitedProtocol,), {"limits": staticmethod(limits)}
        )
        super().__init__(
            app,
            addresses,
            protocol=protocol,
            with_date=False,
            unsent_in_kernel=unsent_in_kernel,
        )

    @property
    def in_progress(self) -> int:
        """Number of requests whose responses aren't finished."""
        return len(self._server.server_state.tasks)

    def stop_now(self) -> None:
        """Stop without waiting for requests in progress."""
        self._server.force_exit = True
        self.stop()
