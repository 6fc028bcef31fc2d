"""The platform's log service over HTTP, as ``docs/PLATFORM.md`` gives it."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any
from urllib.parse import quote

import anyio
import cbor2
import httpcore

from chivespan.boundedstream import BoundedResponseStream
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
class _Answer:
    oldest: int = 0
    end: int = 0
    offset: int = 0
    records: list[list[Any]] = field(default_factory=list)


class HttpLog:
    """A client of the log service; implements ``platform.LogService``.

    :param base_url: such as ``http://10.0.0.9:9000``.
    """

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_S,
            network_backend=ResetAwareBackend(BoundedResponseStream),
        )
        # Reads that wait must not hold up appends, however many streams are followed.
        self._waiting_pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            keepalive_expiry=KEEPALIVE_S,
            network_backend=ResetAwareBackend(BoundedResponseStream),
        )

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Append the payloads as one unit; return the offset of the first."""
        body = cbor2.dumps(list(payloads))
        path = f"/streams/{quote(stream, safe='')}/append"
        answer = await self._call("POST", path, APPEND_TIMEOUT, body)
        return answer.offset

    async def read(
        self, stream: str, start: int, limit: int, wait: timedelta
    ) -> LogPage:
        """Return records from offset ``start`` on, waiting up to ``wait`` for one."""
        wait_ms = wait // timedelta(milliseconds=1)
        path = f"/streams/{quote(stream, safe='')}/records"
        query = f"?start={start}&limit={limit}&wait_ms={wait_ms}"
        pool = self._waiting_pool if wait else self._pool
        answer = await self._call("GET", path + query, READ_TIMEOUT + wait, pool=pool)
        return _page(answer)

    async def bounds(self, stream: str) -> LogPage:
        """Return a page without records, for its bounds."""
        path = f"/streams/{quote(stream, safe='')}/bounds"
        return _page(await self._call("GET", path, READ_TIMEOUT))

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
    ) -> _Answer:
        seconds = timeout.total_seconds()
        timeouts = {
            "connect": CONNECT_TIMEOUT.total_seconds(),
            "pool": CONNECT_TIMEOUT.total_seconds(),
            "read": seconds,
            "write": seconds,
        }
        longest = seconds + CONNECT_TIMEOUT.total_seconds()
        try:
            with anyio.fail_after(longest):
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
            raise LogNotReached(f"log not reached: {error!r}") from error
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            TimeoutError,
        ) as error:
            reason = f"log gave no answer: {error!r}"
            raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason) from error
        return _checked(response)


def _checked(response: httpcore.Response) -> _Answer:
    if response.status == _STATUS_GONE:
        answer = _answer(response.content)
        reason = f"the log keeps offsets from {answer.oldest} on"
        raise ChivespanError(ErrorKind.LOG_EXPIRED, reason)
    if response.status != _STATUS_OK:
        reason = f"log answered with status {response.status}"
        raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason)
    return _answer(response.content)


def _answer(content: bytes) -> _Answer:
    try:
        fields = cbor2.loads(content)
        return _Answer(**fields)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        reason = f"log gave an answer that can't be read: {error}"
        raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason) from error


def _page(answer: _Answer) -> LogPage:
    records = tuple(LogRecord(offset, payload) for offset, payload in answer.records)
    return LogPage(records, answer.oldest, answer.end)
