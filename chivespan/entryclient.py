"""Asks entry VMs over HTTP, for the operators' command line."""

from datetime import timedelta
from typing import TypeVar

import httpcore
import msgspec

from chivespan.erroranswer import ErrorAnswer
from chivespan.errors import ChivespanError, ErrorKind

T = TypeVar("T")

CONNECT_TIMEOUT = timedelta(seconds=2)
ANSWER_TIMEOUT = timedelta(seconds=10)


class EntryClient:
    """Speaks to one entry with an operator's key.

    :param address: IP number and port of the entry.
    """

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._headers = [
            ("Authorization", f"Bearer {key}"),
            ("Content-Type", "application/json"),
        ]

    async def get(self, path: str, cls: type[T]) -> T:
        """Return the answer to a GET.

        :raises ChivespanError: the entry's own error, or ``target_unreachable``.
        """
        return await self._ask("GET", path, cls)

    async def post(self, path: str, cls: type[T], body: object = None) -> T:
        """Return the answer to a POST; raises as :meth:`get`."""
        content = b"" if body is None else msgspec.json.encode(body)
        return await self._ask("POST", path, cls, content)

    async def _ask(
        self, method: str, path: str, cls: type[T], content: bytes = b""
    ) -> T:
        url = f"http://{self._address}{path}"
        timeout = {
            "connect": CONNECT_TIMEOUT.total_seconds(),
            "read": ANSWER_TIMEOUT.total_seconds(),
        }
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(
                    method,
                    url,
                    headers=self._headers,
                    content=content,
                    extensions={"timeout": timeout},
                )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            reason = f"no answer from {self._address}: {type(error).__name__}"
            raise ChivespanError(ErrorKind.TARGET_UNREACHABLE, reason) from error
        except httpcore.ProtocolError as error:
            reason = f"{self._address} speaks no HTTP: {error}"
            raise ChivespanError(ErrorKind.PROTOCOL, reason) from error
        if response.status >= 300:
            raise _error(response)
        return _decode(response.content, cls)


def _error(response: httpcore.Response) -> ChivespanError:
    try:
        body = msgspec.json.decode(response.content, type=ErrorAnswer).error
        kind = ErrorKind(body.code)
    except (msgspec.DecodeError, ValueError):
        reason = f"the entry answered with status {response.status}"
        return ChivespanError(ErrorKind.PROTOCOL, reason)
    retry_after = None
    if body.retry_after_ms is not None:
        retry_after = timedelta(milliseconds=body.retry_after_ms)
    return ChivespanError(kind, body.message, retry_after=retry_after)


def _decode(content: bytes, cls: type[T]) -> T:
    try:
        return msgspec.json.decode(content, type=cls)
    except msgspec.DecodeError as error:
        reason = f"the entry's answer can't be read: {error}"
        raise ChivespanError(ErrorKind.PROTOCOL, reason) from error
