"""HTTP client of the platform's VM list, described in ``docs/PLATFORM.md``."""

import anyio
import httpcore
import msgspec

from chivespan.boundedstream import BoundedResponseStream
from chivespan.decoding import decoding, error_of
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.platformservices import ListedVm
from chivespan.resetbackend import ResetAwareBackend

FETCH_TIMEOUT_S = 2.0
_TIMEOUTS = {
    "connect": FETCH_TIMEOUT_S,
    "read": FETCH_TIMEOUT_S,
    "write": FETCH_TIMEOUT_S,
    "pool": FETCH_TIMEOUT_S,
}


class HttpVmList:
    """Fetches the VM list, conditionally by entity tag where the service supports it.

    :param base_url: URL of the service, with an IP number as host.
    """

    def __init__(self, base_url: str) -> None:
        self._url = f"{base_url.rstrip('/')}/vms"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1, network_backend=ResetAwareBackend(BoundedResponseStream)
        )
        self._entity_tag = b""
        self._last: tuple[ListedVm, ...] = ()

    async def fetch(self) -> tuple[ListedVm, ...]:
        """Return the list; the same object as before if it is unchanged.

        :raises ChivespanError: ``not_ready`` when the list can't be fetched.
        """
        try:
            with anyio.fail_after(FETCH_TIMEOUT_S):
                response = await self._pool.request(
                    "GET",
                    self._url,
                    headers=self._headers(),
                    extensions=self._extensions(),
                )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            TimeoutError,
        ) as error:
            raise _unavailable(repr(error)) from error
        except httpcore.ProtocolError as error:
            raise _unavailable(repr(error)) from error
        return self._handle_response(response)

    async def close(self) -> None:
        """Close the connection to the service."""
        await self._pool.aclose()

    def _headers(self) -> list[tuple[bytes, bytes]]:
        if not self._entity_tag:
            return []
        return [(b"If-None-Match", self._entity_tag)]

    def _extensions(self) -> dict[str, dict[str, float]]:
        return {"timeout": _TIMEOUTS}

    def _handle_response(self, response: httpcore.Response) -> tuple[ListedVm, ...]:
        if response.status == 304:
            return self._last
        if response.status != 200:
            raise _unavailable(f"status {response.status}")
        with decoding("VM list", error_of(ErrorKind.NOT_READY)):
            listed = msgspec.json.decode(response.content, type=list[ListedVm])
        headers = dict(response.headers)
        self._entity_tag = headers.get(b"ETag", headers.get(b"etag", b""))
        self._last = tuple(listed)
        return self._last


def _unavailable(reason: str) -> ChivespanError:
    return ChivespanError(ErrorKind.NOT_READY, f"cannot fetch the VM list: {reason}")
