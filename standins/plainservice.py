"""Stand-in for a plain service with a call that is not idempotent."""

from dataclasses import dataclass
from typing import Literal

import anyio
import fire
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from standins.journal import Journal
from standins.requestfaults import RequestFaults
from standins.serving import (
    HangingResponse,
    TruncatedResponse,
    decode_body,
    error_response,
    json_response,
    parse_options,
    serve_until_stopped,
)


@dataclass(frozen=True)
class PlainOptions:
    """Command line options of the plain service.

    :param call_ms: duration of one call.
    """

    call_ms: float = 5


@dataclass
class PlainFaults(RequestFaults):
    """Active faults; ``PUT /faults`` replaces all of them.

    :param mode: ``error`` fails without taking effect. The others take effect first:
        ``drop`` loses the response, ``silent`` never responds and ``garbage`` returns a
        malformed body.
    :param slow_ms: additional duration of every call before it takes effect.
    """

    mode: Literal["", "error", "drop", "silent", "garbage"] = ""


class PlainStandIn:
    """A service with bookings, which are not idempotent, and permit look-ups."""

    def __init__(self, options: PlainOptions | None = None) -> None:
        self.options = options or PlainOptions()
        self.faults = PlainFaults()
        self.journal = Journal()
        self.app = Starlette(
            routes=[
                Route("/bookings", self._book, methods=["POST"]),
                Route("/permits/{number}", self._permit),
                Route("/journal", self.journal.answer),
                Route("/faults", self._set_faults, methods=["PUT"]),
            ]
        )
        self._bookings = 0

    async def run(self) -> None:
        """Return at once; there is no background work."""

    async def _book(self, request: Request) -> Response:
        body = (await request.body()).decode()
        return await self._call(request, body)

    async def _permit(self, request: Request) -> Response:
        return await self._call(request, request.path_params["number"])

    async def _call(self, request: Request, detail: str) -> Response:
        request_id = request.headers.get("x-request-id", "")
        self.journal.add("start", request_id, request.url.path, detail)
        mode = self.faults.next_mode()
        await anyio.sleep((self.options.call_ms + self.faults.slow_ms) / 1000)
        if mode == "error":
            return error_response(self.faults.status, "failed")
        answer = self._perform(request, detail)
        self.journal.add("end", request_id, request.url.path, detail)
        faulty: dict[str, Response] = {
            "drop": TruncatedResponse(),
            "silent": HangingResponse(),
            "garbage": Response(b"\x00{garbage", media_type="application/json"),
        }
        return faulty.get(mode, answer)

    def _perform(self, request: Request, detail: str) -> Response:
        if request.method != "POST":
            return json_response({"permit": detail, "valid": not detail.endswith("0")})
        self._bookings += 1
        return json_response({"booking": self._bookings, "for": detail}, 201)

    async def _set_faults(self, request: Request) -> Response:
        self.faults = await decode_body(request, PlainFaults)
        return json_response(self.faults)


def main(address: str, **flags: object) -> None:
    """Serve the plain service at ``address``."""
    service = PlainStandIn(parse_options(PlainOptions, flags))
    serve_until_stopped([(address, service)])


if __name__ == "__main__":
    fire.Fire(main)
