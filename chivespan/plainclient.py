"""Plain services: one call passed on whole, repeated only where that is allowed."""

from dataclasses import dataclass
from datetime import timedelta

from chivespan.targethttp import Header, HttpRequest, HttpResponse, TargetHttp


@dataclass(frozen=True, slots=True)
class PlainRequest:
    """A call of a plain service, as a caller made it.

    :param path: path and query on the target.
    :param idempotent: whether the call may be repeated.
    """

    request_id: str
    method: str
    path: str
    content_type: str
    body: bytes
    idempotent: bool


class PlainClient:
    """Speaks to the targets of plain services; one for a process."""

    def __init__(self, http: TargetHttp) -> None:
        self._http = http

    async def call(
        self, address: str, request: PlainRequest, timeout: timedelta
    ) -> HttpResponse:
        """Send the call once and return the target's answer.

        :raises ChivespanError: ``target_unreachable`` only if no byte was sent.
        """
        headers: list[Header] = [(b"x-request-id", request.request_id.encode())]
        if request.content_type:
            headers.append((b"content-type", request.content_type.encode()))
        outgoing = HttpRequest(
            address,
            request.method,
            request.path,
            headers,
            request.body,
            fresh=not request.idempotent,
        )
        return await self._http.call(outgoing, timeout)
