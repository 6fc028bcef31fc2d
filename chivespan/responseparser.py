"""Incremental parser of one HTTP response.

Bytes after a complete response are ignored, since they belong to no request.
"""

from collections.abc import Sequence
from http import HTTPStatus
from typing import TypeAlias

import httptools

Header: TypeAlias = tuple[bytes, bytes]

# Each takes far more memory than its bytes.
MAX_HEADERS = 256
# Another status can't be passed on, and is no interim one.
MIN_STATUS = 100
MAX_STATUS = 599
_CONTENT_LENGTH = b"content-length"
_TRANSFER_ENCODING = b"transfer-encoding"


class ResponseParser:
    """Parses one response; httptools calls the ``on_`` methods.

    :param method: method of the request, as a response to HEAD has no body.
    :ivar status: status code, 0 until the head is complete.
    :ivar head_complete: whether the head of the final response has been parsed.
    :ivar is_complete: whether the whole response has been parsed.
    """

    def __init__(self, method: str) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._has_body = method != "HEAD"
        self._headers: list[Header] = []
        self._body_parts: list[bytes] = []
        self._parse_error: Exception | None = None
        self.status = 0
        self.head_complete = False
        self.is_complete = False

    @property
    def headers(self) -> Sequence[Header]:
        """All headers, in the order of the response."""
        return self._headers

    @property
    def parse_error(self) -> Exception | None:
        """The parse error, unless the response was complete before it."""
        return None if self.is_complete else self._parse_error

    @property
    def is_delimited(self) -> bool:
        """Whether the body has a length or chunks, so that its end is stated."""
        names = {name.lower() for name, _ in self._headers}
        return bool(names & {_CONTENT_LENGTH, _TRANSFER_ENCODING})

    def feed(self, received: bytes) -> None:
        """Parse received bytes; :attr:`parse_error` is set if they are invalid."""
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._parse_error = error

    def end(self) -> bool:
        """Handle the end of the connection; return whether the response is complete."""
        if self.head_complete and not self.is_delimited:
            self.is_complete = True
        return self.is_complete

    def pop_body(self) -> bytes:
        """Return the body bytes parsed since the last call."""
        if not self._body_parts:
            return b""
        body = b"".join(self._body_parts)
        self._body_parts.clear()
        return body

    def on_message_begin(self) -> None:
        """Discard the headers of an interim response before the next response."""
        if not self.head_complete:
            self._headers.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are ignored.

        :raises ValueError: when there are too many; :meth:`feed` handles it.
        """
        if self.head_complete:
            return
        if len(self._headers) >= MAX_HEADERS:
            raise ValueError(f"response has more than {MAX_HEADERS} headers")
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Complete the head, unless the response is an interim one.

        :raises ValueError: when the status is invalid; :meth:`feed` handles it.
        """
        if self.head_complete:
            return
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise ValueError(f"status {status} is invalid")
        if status < HTTPStatus.OK:
            return
        self.status = status
        self.head_complete = True
        self.is_complete = not self._has_body

    def on_body(self, part: bytes) -> None:
        """Store a part of the body."""
        if not self.is_complete:
            self._body_parts.append(part)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if self.head_complete:
            self.is_complete = True
