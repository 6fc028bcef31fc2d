"""One HTTP request to a server, and the check that it can be sent as it is."""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from chivespan.errors import ChivespanError, ErrorKind
from chivespan.responseparser import Header

# A few round trips; leaves time to try another target before the deadline.
CONNECT_TIMEOUT = timedelta(milliseconds=150)
MAX_BODY_BYTES = 64 * 1024 * 1024
# Of an invalid header's name, in errors.
MAX_SHOWN_BYTES = 40
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(rb"[^\x00\r\n]*")
_TARGET = re.compile(rb"[\x21-\x7e]+")


class InvalidRequest(ChivespanError):
    """A request that can't be sent as it is, to any server; nothing was sent."""

    def __init__(self, reason: str) -> None:
        super().__init__(ErrorKind.BAD_REQUEST, reason)


def check_request(method: str, target: bytes, headers: Sequence[Header]) -> None:
    """Check that a request means to its server what it is to mean.

    :param target: path with query.
    :raises InvalidRequest: which names the part that is invalid.
    """
    if not _TOKEN.fullmatch(method.encode()):
        raise InvalidRequest("invalid method")
    if not _TARGET.fullmatch(target):
        raise InvalidRequest("invalid character in the path, or no path")
    hosts = 0
    for name, value in headers:
        if not _TOKEN.fullmatch(name):
            raise InvalidRequest(f"invalid header name {_shown(name)}")
        if not _VALUE.fullmatch(value):
            raise InvalidRequest(f"invalid character in header {_shown(name)}")
        hosts += name.lower() == b"host"
    if hosts != 1:
        raise InvalidRequest(f"{hosts} Host headers")


def _shown(name: bytes) -> str:
    return repr(name[:MAX_SHOWN_BYTES].decode("latin-1"))


@dataclass(frozen=True, slots=True)
class Call:
    """One request.

    :param target: path with query, as written into the request line.
    :param head_timeout: total time limit for the head of the response.
    :param body_timeout: total time limit for the body, counted from the head.
    :param max_body_bytes: a larger body is an error and closes the connection.
    :param stall_timeout: longest time for which the server may take no bytes of the
        request, which may then be sent for up to ``body_timeout``. None to limit the
        time to send it to ``WRITE_TIMEOUT``.
    """

    address: str
    method: str
    target: bytes
    headers: Sequence[Header]
    body: bytes
    head_timeout: timedelta
    body_timeout: timedelta
    max_body_bytes: int = MAX_BODY_BYTES
    connect_timeout: timedelta = CONNECT_TIMEOUT
    stall_timeout: timedelta | None = None

    def encode(self) -> bytes:
        """Return the bytes of the request.

        :raises InvalidRequest: where a part of it is invalid and would change the
            meaning of the request.
        """
        check_request(self.method, self.target, self.headers)
        lines = [b"%b %b HTTP/1.1" % (self.method.encode(), self.target)]
        lines += [b"%b: %b" % header for header in self.headers]
        lines.append(b"content-length: %d" % len(self.body))
        return b"\r\n".join([*lines, b"", self.body])
