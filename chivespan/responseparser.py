"""Takes one HTTP answer apart as its bytes come.

Of what comes behind a whole answer nothing is looked at: it belongs to no request.
"""

from collections.abc import Sequence
from http import HTTPStatus
from typing import TypeAlias

import httptools

Header: TypeAlias = tuple[bytes, bytes]

_LENGTH = b"content-length"
_CODING = b"transfer-encoding"


class ResponseParser:
    """One answer; httptools calls its methods.

    :param method: of the request, as an answer to HEAD has no body.
    :ivar status: of the head, once it is whole.
    :ivar head_complete: whether the head of the last answer has come.
    :ivar is_complete: whether the answer is complete.
    """

    def __init__(self, method: str) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._has_body = method != "HEAD"
        self._headers: list[Header] = []
        self._pieces: list[bytes] = []
        self._failure: Exception | None = None
        self.status = 0
        self.head_complete = False
        self.is_complete = False

    @property
    def headers(self) -> Sequence[Header]:
        """All headers, in their order."""
        return self._headers

    @property
    def failure(self) -> Exception | None:
        """Why what came is no answer, if it is none."""
        return None if self.is_complete else self._failure

    def feed(self, received: bytes) -> None:
        """Take bytes; :attr:`failure` says whether they were an answer's."""
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._failure = error

    def end(self) -> bool:
        """Take the connection's end; return whether the answer is whole then."""
        if self.head_complete and self._ends_with_connection():
            self.is_complete = True
        return self.is_complete

    def pop_body(self) -> bytes:
        """Return what has come of the body since the last time."""
        if not self._pieces:
            return b""
        body = b"".join(self._pieces)
        self._pieces.clear()
        return body

    def on_message_begin(self) -> None:
        """Begin an answer: the one asked for, or another one behind an interim one."""
        if not self.head_complete:
            self._headers.clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; those behind the head are trailers."""
        if not self.head_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """End the head, unless it is an interim answer's."""
        if self.head_complete:
            return
        status = self._parser.get_status_code()
        if status < HTTPStatus.OK:
            return
        self.status = status
        self.head_complete = True
        self.is_complete = not self._has_body

    def on_body(self, piece: bytes) -> None:
        """Take a piece of the body."""
        if not self.is_complete:
            self._pieces.append(piece)

    def on_message_complete(self) -> None:
        """End the answer."""
        if self.head_complete:
            self.is_complete = True

    def _ends_with_connection(self) -> bool:
        """Return whether nothing else says where the body ends."""
        names = {name.lower() for name, _ in self._headers}
        return not names & {_LENGTH, _CODING}
