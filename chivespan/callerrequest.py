"""One request of a caller, and the answer that it gets, over ASGI."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, TypeAlias

from chivespan.clock import MILLISECOND
from chivespan.errorbody import error_body
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.responseparser import Header

Receive: TypeAlias = Callable[[], Awaitable[Any]]
Send: TypeAlias = Callable[[Any], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request whose body has been read.

    :param target: path with query, as the caller sent it.
    :param headers: all headers, their names in lower case.
    :param arrived: on the monotonic clock.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: bytes
    headers: Sequence[Header]
    body: bytes
    arrived: timedelta

    def header(self, name: bytes) -> str:
        """Return a header's value; empty when there is none."""
        for known, value in self.headers:
            if known == name:
                return value.decode("latin-1")
        return ""


@dataclass(slots=True)
class Responder:
    """Sends one answer.

    :param close_after: whether the connection ends behind the answer.
    :ivar started: whether the head of the answer has been sent.
    :ivar finished: whether the whole answer has been sent.
    """

    _send: Send
    request_id: str
    close_after: bool = False
    started: bool = False
    finished: bool = False

    async def start(self, status: int, headers: Sequence[Header]) -> None:
        """Send the head of an answer."""
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
        await self._send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )

    async def finish(self, chunk: bytes = b"") -> None:
        """Send the last part of the body; the answer is whole then."""
        await self._send({"type": "http.response.body", "body": chunk})
        self.finished = True

    async def answer(
        self, status: int, body: bytes = b"", headers: Sequence[Header] = ()
    ) -> None:
        """Send a whole answer."""
        length = (b"content-length", b"%d" % len(body))
        await self.start(status, [*headers, length])
        await self.finish(body)

    async def answer_json(self, status: int, body: bytes) -> None:
        """Send a whole answer in JSON."""
        await self.answer(status, body, [(b"content-type", b"application/json")])

    async def send_error(self, error: ChivespanError) -> None:
        """Send what the table of errors says."""
        headers: list[Header] = [(b"content-type", b"application/json")]
        if error.retry_after is not None:
            seconds = error.retry_after / timedelta(seconds=1)
            headers.append((b"retry-after", b"%.3f" % seconds))
        await self.answer(
            error.answer.status, error_body(error, self.request_id), headers
        )


def parse_milliseconds(value: str) -> timedelta | None:
    """Return a time given in milliseconds; None where there is none.

    :raises ChivespanError: ``bad_request`` when it is no number.

    >>> milliseconds("5000"), milliseconds("")
    (datetime.timedelta(seconds=5), None)
    """
    if not value:
        return None
    try:
        return float(value) * MILLISECOND
    except ValueError as error:
        reason = f"{value!r} is no number of milliseconds"
        raise ChivespanError(ErrorKind.BAD_REQUEST, reason) from error
