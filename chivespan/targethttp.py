"""HTTP client for targets: connection pools, timeouts and mapping of errors.

A connection that timed out is closed and not reused. A request always uses a connection
of its own if it isn't idempotent, or if its response can't be told from another one's.
"""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from types import TracebackType

import anyio
import httpcore

from chivespan.absentmodules import cache_absent_modules
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.readtimeout import ReadTimeoutStream, set_read_timeout
from chivespan.resetbackend import ResetAwareBackend

CONNECT_TIMEOUT = timedelta(milliseconds=500)
WRITE_TIMEOUT = timedelta(seconds=2)
KEEPALIVE_EXPIRY = timedelta(seconds=5)
MAX_IDLE_CONNECTIONS = 16
MAX_POOLS = 512

Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request to a target.

    :param fresh: whether to use a new connection instead of one from the pool.
    """

    address: str
    method: str
    path: str
    headers: Sequence[Header] = ()
    body: bytes = b""
    fresh: bool = False


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The complete response of a target."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class OpenResponse:
    """A response whose body hasn't been read yet."""

    status: int
    content_type: str
    chunks: AsyncIterator[bytes] = field(repr=False)
    response: httpcore.Response = field(repr=False)

    def set_read_timeout(self, limit: timedelta) -> None:
        """Set the timeout of each further read."""
        set_read_timeout(self.response, limit)


class TargetHttp:
    """HTTP client with connection pools; an async context manager.

    Every target has a pool of its own, since a pool scans all its connections for each
    request.
    """

    def __init__(self) -> None:
        cache_absent_modules()
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    async def __aenter__(self) -> "TargetHttp":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for pool in self._pools.values():
            await pool.aclose()

    @asynccontextmanager
    async def open(
        self, request: HttpRequest, first_byte: timedelta
    ) -> AsyncIterator[OpenResponse]:
        """Send a request and yield the response once its headers have arrived.

        :param first_byte: timeout for the headers of the response.
        :raises ChivespanError: ``target_unreachable`` if no byte was sent, otherwise
            ``target_timeout`` or ``target_failed``.
        """
        if request.fresh:
            async with (
                self._single_connection_pool() as pool,
                self._open_on(pool, request, first_byte) as response,
            ):
                yield response
        else:
            pool = self._pool(request.address)
            async with self._open_on(pool, request, first_byte) as response:
                yield response

    async def call(self, request: HttpRequest, timeout: timedelta) -> HttpResponse:
        """Send a request and return the complete response.

        :raises ChivespanError: as in :meth:`open`.
        """
        try:
            with anyio.fail_after(timeout.total_seconds()):
                async with self.open(request, timeout) as response:
                    body = b"".join([chunk async for chunk in response.chunks])
        except TimeoutError as error:
            raise _timeout(request, "complete response") from error
        return HttpResponse(response.status, response.content_type, body)

    def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            self._drop_unused_pools()
            pool = self._pools[address] = httpcore.AsyncConnectionPool(
                max_connections=None,
                max_keepalive_connections=MAX_IDLE_CONNECTIONS,
                keepalive_expiry=KEEPALIVE_EXPIRY.total_seconds(),
                network_backend=ResetAwareBackend(ReadTimeoutStream),
            )
        return pool

    def _drop_unused_pools(self) -> None:
        """Remove the pools without connections once there are ``MAX_POOLS``."""
        if len(self._pools) < MAX_POOLS:
            return
        unused = [name for name, pool in self._pools.items() if not pool.connections]
        for name in unused:
            del self._pools[name]

    def _single_connection_pool(self) -> httpcore.AsyncConnectionPool:
        return httpcore.AsyncConnectionPool(
            max_connections=1, network_backend=ResetAwareBackend(ReadTimeoutStream)
        )

    @asynccontextmanager
    async def _open_on(
        self,
        pool: httpcore.AsyncConnectionPool,
        request: HttpRequest,
        first_byte: timedelta,
    ) -> AsyncIterator[OpenResponse]:
        headers = [
            (b"host", request.address.encode()),
            (b"content-length", str(len(request.body)).encode()),
            *request.headers,
        ]
        outgoing = httpcore.Request(
            request.method,
            f"http://{request.address}{request.path}",
            headers=headers,
            content=request.body,
            extensions={
                "timeout": {
                    "connect": CONNECT_TIMEOUT.total_seconds(),
                    "write": WRITE_TIMEOUT.total_seconds(),
                    "read": first_byte.total_seconds(),
                }
            },
        )
        head_timeout = CONNECT_TIMEOUT + WRITE_TIMEOUT + first_byte
        try:
            with anyio.fail_after(head_timeout.total_seconds()):
                response = await pool.handle_async_request(outgoing)
        except TimeoutError as error:
            raise _timeout(request, "complete headers") from error
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            reason = f"could not connect to target {request.address}"
            raise ChivespanError(ErrorKind.TARGET_UNREACHABLE, reason) from error
        except httpcore.TimeoutException as error:
            raise _timeout(request, "response") from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise _broken(request, ErrorKind.TARGET_FAILED) from error
        try:
            chunks = _chunks(request, response)
            yield OpenResponse(
                response.status, _content_type(response), chunks, response
            )
        finally:
            set_read_timeout(response, None)
            with anyio.CancelScope(shield=True):
                await response.aclose()


async def _chunks(
    request: HttpRequest, response: httpcore.Response
) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.aiter_stream():
            yield chunk
    except httpcore.TimeoutException as error:
        raise _timeout(request, "more data") from error
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        raise _broken(request, ErrorKind.STREAM_BROKEN) from error


def _content_type(response: httpcore.Response) -> str:
    for name, value in response.headers:
        if name.lower() == b"content-type":
            return value.decode("latin-1")
    return ""


def _timeout(request: HttpRequest, expected: str) -> ChivespanError:
    reason = f"target {request.address} sent no {expected} in time"
    return ChivespanError(ErrorKind.TARGET_TIMEOUT, reason)


def _broken(request: HttpRequest, kind: ErrorKind) -> ChivespanError:
    return ChivespanError(kind, f"connection to target {request.address} failed")
