"""A caller's HTTP request and the response to it, over ASGI."""

from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, TypeAlias

from chivespan.calleroutput import GuardedOutput
from chivespan.clock import MILLISECOND
from chivespan.customers.customer import Customer
from chivespan.errorbody import error_body
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.responseparser import Header

# A larger body is written in parts if unread output is bounded. The connection keeps a
# part until all of it was sent.
PART_BYTES = 16 * 1024

Receive: TypeAlias = Callable[[], Awaitable[Any]]
Send: TypeAlias = Callable[[Any], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request whose body has been read.

    :param target: path with query, as sent by the caller.
    :param headers: all headers, with names in lower case.
    :param arrived: arrival time on the monotonic clock.
    :param customer: whose key the request bears; None if that isn't known.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: bytes
    headers: Sequence[Header]
    body: bytes
    arrived: timedelta
    customer: Customer | None = None

    def header(self, name: bytes) -> str:
        """Return a header's value; empty when it is absent."""
        for known, value in self.headers:
            if known == name:
                return value.decode("latin-1")
        return ""


@dataclass(slots=True)
class Responder:
    """Sends the response to one request.

    :param close_after: whether to close the connection after the response.
    :ivar started: whether the head of the response has been sent.
    :ivar finished: whether the whole response has been sent.
    :ivar output: counts what the caller hasn't taken; None if that isn't bounded.
    """

    _send: Send
    request_id: str
    close_after: bool = False
    started: bool = False
    finished: bool = False
    output: GuardedOutput | None = None

    async def start(self, status: int, headers: Sequence[Header]) -> None:
        """Send the head of the response."""
        self.started = True
        closing = [(b"connection", b"close")] if self.close_after else []
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [*headers, *closing],
            }
        )

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""
        await self._write(chunk, more=True)

    async def finish(self, chunk: bytes = b"") -> None:
        """Send the last part of the body and mark the response as finished."""
        await self._write(chunk, more=False)
        self.finished = True

    async def respond(
        self, status: int, body: bytes = b"", headers: Sequence[Header] = ()
    ) -> None:
        """Send a whole response."""
        length = (b"content-length", b"%d" % len(body))
        await self.start(status, [*headers, length])
        if self.output is None or len(body) <= PART_BYTES:
            await self.finish(body)
        else:
            parts = _parts(body)
            del body
            await self._finish_in_parts(parts)

    def set_resumable(self, is_resumable: bool) -> None:
        """Say whether the caller can resume the response elsewhere."""
        if self.output is not None:
            self.output.is_resumable = is_resumable

    async def _finish_in_parts(self, parts: deque[bytes]) -> None:
        rest = sum(map(len, parts))
        while len(parts) > 1:
            part = parts.popleft()
            rest -= len(part)
            await self._write(part, more=True, rest=rest)
        await self.finish(parts.popleft())

    async def _write(self, chunk: bytes, *, more: bool, rest: int = 0) -> None:
        """Send a part of the body.

        :param rest: size of all later parts, as far as it is known.
        """
        message = {"type": "http.response.body", "body": chunk, "more_body": more}
        if self.output is None:
            await self._send(message)
            return
        with self.output.writing(len(chunk), rest):
            await self._send(message)

    async def respond_json(self, status: int, body: bytes) -> None:
        """Send a whole response with a JSON body."""
        await self.respond(status, body, [(b"content-type", b"application/json")])

    async def send_error(self, error: ChivespanError) -> None:
        """Send the response defined for the kind of an error."""
        headers: list[Header] = [(b"content-type", b"application/json")]
        if error.retry_after is not None:
            seconds = error.retry_after / timedelta(seconds=1)
            headers.append((b"retry-after", b"%.3f" % seconds))
        await self.respond(
            error.properties.status, error_body(error, self.request_id), headers
        )


def _parts(body: bytes) -> deque[bytes]:
    starts = range(0, len(body), PART_BYTES)
    return deque(body[start : start + PART_BYTES] for start in starts)


def parse_milliseconds(value: str) -> timedelta | None:
    """Parse a duration in milliseconds; return None for an empty value.

    :raises ChivespanError: ``bad_request`` when the value is not a number.

    >>> parse_milliseconds("5000"), parse_milliseconds("")
    (datetime.timedelta(seconds=5), None)
    """
    if not value:
        return None
    try:
        return float(value) * MILLISECOND
    except (ValueError, OverflowError) as error:
        reason = f"{value!r} is not a number of milliseconds"
        raise ChivespanError(ErrorKind.BAD_REQUEST, reason) from error
