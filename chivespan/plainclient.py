"""Client of plain services, which forwards each call unchanged."""

from dataclasses import dataclass
from datetime import timedelta

from chivespan.targethttp import Header, HttpRequest, HttpResponse, TargetHttp


@dataclass(frozen=True, slots=True)
class PlainRequest:
    """A call of a plain service as received from the caller.

    :param path: path and query on the target.
    :param idempotent: whether the call may be retried.
    """

    request_id: str
    method: str
    path: str
    content_type: str
    body: bytes
    idempotent: bool


class PlainClient:
    """Sends calls to the targets of plain services; one per process."""

    def __init__(self, http: TargetHttp) -> None:
        self._http = http

    async def call(
        self, address: str, request: PlainRequest, timeout: timedelta
    ) -> HttpResponse:
        """Send the call once and return the target's response.

        Responses of plain services don't name their request. Each call therefore uses
        a new connection, on which no response to an earlier one can arrive.

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
            fresh=True,
        )
        return await self._http.call(outgoing, timeout)
