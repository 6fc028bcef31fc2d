"""One HTTP exchange on a connection of its own.

No connection is used twice: a late or doubled answer, or one that has gone silent, can
then never be taken for the answer to another request.
"""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TypeAlias

import anyio
import httpcore

from chivespan.boundedstream import MAX_ANSWER_BYTES, AnswerBounds, bounded_backend
from chivespan.errors import ChivespanError, ErrorKind

Header: TypeAlias = tuple[bytes, bytes]

# A few round trips; behind it another target can still be in time.
CONNECT_TIMEOUT = timedelta(milliseconds=150)
WRITE_TIMEOUT = timedelta(seconds=2)
# Interim answers and what of the body comes with the head are counted too.
MAX_HEAD_BYTES = 256 * 1024


class NotSent(ChivespanError):
    """No byte of the request has left: it has not run."""

    def __init__(self, address: str, reason: str) -> None:
        message = f"{address} can't be reached: {reason}"
        super().__init__(ErrorKind.TARGET_UNREACHABLE, message)


@dataclass(frozen=True, slots=True)
class Call:
    """One request.

    :param target: path with query, as it goes into the request line.
    :param head_timeout: the whole head of the answer is due within this.
    :param body_timeout: the whole body is due within this, behind the head.
    :param max_body_bytes: a larger body ends the connection.
    """

    address: str
    method: str
    target: bytes
    headers: Sequence[Header]
    body: bytes
    head_timeout: timedelta
    body_timeout: timedelta
    max_body_bytes: int = MAX_ANSWER_BYTES
    connect_timeout: timedelta = CONNECT_TIMEOUT


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer whose body is still to come."""

    status: int
    headers: Sequence[Header]
    chunks: AsyncIterator[bytes] = field(repr=False)

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, whose name is given in lower case."""
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return None

    async def body(self) -> bytes:
        """Return the whole body.

        :raises ChivespanError: ``stream_broken`` when it ends too soon.
        """
        return b"".join([chunk async for chunk in self.chunks])


@asynccontextmanager
async def exchange(call: Call) -> AsyncIterator[Reply]:
    """Send a request, yield its answer, and close the connection behind it.

    :raises NotSent: when no byte was sent.
    :raises ChivespanError: ``target_timeout``, ``target_failed`` before the head of the
        answer; ``stream_broken`` behind it.
    """
    host, _, port = call.address.rpartition(":")
    origin = httpcore.Origin(b"http", host.encode(), int(port))
    bounds = AnswerBounds(MAX_HEAD_BYTES, call.head_timeout)
    connection = httpcore.AsyncHTTPConnection(
        origin, keepalive_expiry=0, network_backend=bounded_backend(bounds)
    )
    try:
        response = await _head(connection, call)
        bounds.renew(call.max_body_bytes, call.body_timeout)
        yield Reply(response.status, response.headers, _chunks(call, response))
    finally:
        with anyio.CancelScope(shield=True):
            await connection.aclose()


async def _head(
    connection: httpcore.AsyncHTTPConnection, call: Call
) -> httpcore.Response:
    timeouts = {
        "connect": call.connect_timeout.total_seconds(),
        "write": WRITE_TIMEOUT.total_seconds(),
        "read": call.head_timeout.total_seconds(),
    }
    host, _, port = call.address.rpartition(":")
    url = httpcore.URL(
        scheme=b"http", host=host.encode(), port=int(port), target=call.target
    )
    request = httpcore.Request(
        call.method,
        url,
        headers=[*call.headers, (b"content-length", b"%d" % len(call.body))],
        content=call.body,
        extensions={"timeout": timeouts},
    )
    try:
        return await connection.handle_async_request(request)
    except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
        raise NotSent(call.address, repr(error)) from error
    except httpcore.TimeoutException as error:
        reason = f"{call.address} gave no answer in time"
        raise ChivespanError(ErrorKind.TARGET_TIMEOUT, reason) from error
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        reason = f"{call.address} broke the connection: {error!r}"
        raise ChivespanError(ErrorKind.TARGET_FAILED, reason) from error


async def _chunks(call: Call, response: httpcore.Response) -> AsyncIterator[bytes]:
    try:
        async for chunk in response.aiter_stream():
            yield chunk
    except httpcore.TimeoutException as error:
        reason = f"{call.address} fell silent"
        raise ChivespanError(ErrorKind.STREAM_BROKEN, reason) from error
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        reason = f"{call.address} broke its answer off: {error!r}"
        raise ChivespanError(ErrorKind.STREAM_BROKEN, reason) from error
