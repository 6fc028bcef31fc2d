"""HTTP client of the platform's log service, described in ``docs/PLATFORM.md``."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any
from urllib.parse import quote

import anyio
import cbor2
import httpcore

from chivespan.boundedstream import BoundedResponseStream
from chivespan.decoding import decoding, error_of
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.platformservices import LogNotReached, LogPage, LogRecord
from chivespan.resetbackend import ResetAwareBackend

APPEND_TIMEOUT = timedelta(seconds=3)
READ_TIMEOUT = timedelta(seconds=3)
CONNECT_TIMEOUT = timedelta(seconds=1)
MAX_CONNECTIONS = 32
KEEPALIVE_S = 10.0
_STATUS_OK = 200
_STATUS_GONE = 410


@dataclass(frozen=True, slots=True)
class _LogResponse:
    oldest: int = 0
    end: int = 0
    offset: int = 0
    records: list[list[Any]] = field(default_factory=list)


class HttpLog:
    """A client of the log service; implements ``platformservices.LogService``.

    :param base_url: URL of the service, such as ``http://10.0.0.9:9000``.
    """

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_S,
            network_backend=ResetAwareBackend(BoundedResponseStream),
        )
        # Long-polling reads have a separate pool without a limit, so that they never
        # delay appends, however many streams are followed.
        self._waiting_pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            keepalive_expiry=KEEPALIVE_S,
            network_backend=ResetAwareBackend(BoundedResponseStream),
        )

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Append the payloads atomically; return the offset of the first."""
        body = cbor2.dumps(list(payloads))
        path = f"/streams/{quote(stream, safe='')}/append"
        response = await self._call("POST", path, APPEND_TIMEOUT, body)
        return response.offset

    async def read(
        self, stream: str, start: int, limit: int, wait: timedelta
    ) -> LogPage:
        """Return records from offset ``start``, waiting up to ``wait`` for one."""
        wait_ms = wait // timedelta(milliseconds=1)
        path = f"/streams/{quote(stream, safe='')}/records"
        query = f"?start={start}&limit={limit}&wait_ms={wait_ms}"
        pool = self._waiting_pool if wait else self._pool
        response = await self._call("GET", path + query, READ_TIMEOUT + wait, pool=pool)
        return _to_page(response)

    async def bounds(self, stream: str) -> LogPage:
        """Return a page without records, which has the bounds of the stream."""
        path = f"/streams/{quote(stream, safe='')}/bounds"
        return _to_page(await self._call("GET", path, READ_TIMEOUT))

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
        await self._waiting_pool.aclose()

    async def _call(
        self,
        method: str,
        path: str,
        timeout: timedelta,
        body: bytes = b"",
        pool: httpcore.AsyncConnectionPool | None = None,
    ) -> _LogResponse:
        seconds = timeout.total_seconds()
        timeouts = {
            "connect": CONNECT_TIMEOUT.total_seconds(),
            "pool": CONNECT_TIMEOUT.total_seconds(),
            "read": seconds,
            "write": seconds,
        }
        total_timeout_s = seconds + CONNECT_TIMEOUT.total_seconds()
        try:
            with anyio.fail_after(total_timeout_s):
                response = await (pool or self._pool).request(
                    method,
                    self._base_url + path,
                    headers=[(b"Content-Type", b"application/cbor")],
                    content=body,
                    extensions={"timeout": timeouts},
                )
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ) as error:
            raise LogNotReached(f"cannot connect to the log: {error!r}") from error
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            TimeoutError,
        ) as error:
            reason = f"no response from the log: {error!r}"
            raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason) from error
        return _check_status(response)


def _check_status(response: httpcore.Response) -> _LogResponse:
    if response.status == _STATUS_GONE:
        expired = _decode(response.content)
        reason = f"oldest retained offset of the log is {expired.oldest}"
        raise ChivespanError(ErrorKind.LOG_EXPIRED, reason)
    if response.status != _STATUS_OK:
        reason = f"log responded with status {response.status}"
        raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason)
    return _decode(response.content)


def _decode(content: bytes) -> _LogResponse:
    with decoding("response of the log", error_of(ErrorKind.LOG_UNAVAILABLE)):
        return _LogResponse(**cbor2.loads(content))


def _to_page(response: _LogResponse) -> LogPage:
    records = tuple(LogRecord(offset, payload) for offset, payload in response.records)
    return LogPage(records, response.oldest, response.end)
