"""HTTP client of entries, for the operators' command line."""

from datetime import timedelta
from typing import TypeVar

import httpcore
import msgspec

from chivespan.boundedstream import BoundedResponseStream
from chivespan.decoding import decoding, error_of
from chivespan.erroranswer import ErrorAnswer
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.resetbackend import ResetAwareBackend

T = TypeVar("T")

CONNECT_TIMEOUT = timedelta(seconds=2)
RESPONSE_TIMEOUT = timedelta(seconds=10)


class EntryClient:
    """Sends requests to one entry, authenticated by an operator's key.

    :param address: IP address and port of the entry.
    :param key: the operator's key.
    """

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._headers = [
            ("Authorization", f"Bearer {key}"),
            ("Content-Type", "application/json"),
        ]

    async def get(self, path: str, cls: type[T]) -> T:
        """Send a GET and return the decoded response.

        :raises ChivespanError: the error that the entry returned,
            ``target_unreachable`` or ``protocol``.
        """
        return await self._request("GET", path, cls)

    async def post(self, path: str, cls: type[T], body: object = None) -> T:
        """Send a POST and return the decoded response; raises as :meth:`get`."""
        content = b"" if body is None else msgspec.json.encode(body)
        return await self._request("POST", path, cls, content)

    async def _request(
        self, method: str, path: str, cls: type[T], content: bytes = b""
    ) -> T:
        url = f"http://{self._address}{path}"
        timeout = {
            "connect": CONNECT_TIMEOUT.total_seconds(),
            "read": RESPONSE_TIMEOUT.total_seconds(),
        }
        try:
            backend = ResetAwareBackend(BoundedResponseStream)
            async with httpcore.AsyncConnectionPool(network_backend=backend) as pool:
                response = await pool.request(
                    method,
                    url,
                    headers=self._headers,
                    content=content,
                    extensions={"timeout": timeout},
                )
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            reason = f"no response from {self._address}: {type(error).__name__}"
            raise ChivespanError(ErrorKind.TARGET_UNREACHABLE, reason) from error
        except httpcore.ProtocolError as error:
            reason = f"invalid HTTP response from {self._address}: {error}"
            raise ChivespanError(ErrorKind.PROTOCOL, reason) from error
        if response.status >= 300:
            raise _parse_error(response)
        return _decode(response.content, cls)


def _parse_error(response: httpcore.Response) -> ChivespanError:
    what = f"response of the entry with status {response.status}"
    try:
        with decoding(what, error_of(ErrorKind.PROTOCOL)):
            body = msgspec.json.decode(response.content, type=ErrorAnswer).error
            kind = ErrorKind(body.code)
            retry_after = None
            if body.retry_after_ms is not None:
                retry_after = timedelta(milliseconds=body.retry_after_ms)
    except ChivespanError as error:
        return error
    return ChivespanError(kind, body.message, retry_after=retry_after)


def _decode(content: bytes, cls: type[T]) -> T:
    with decoding("response of the entry", error_of(ErrorKind.PROTOCOL)):
        return msgspec.json.decode(content, type=cls)
