"""Stand-in for a target of the users' platform: slots, queue, streams and faults."""

import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import anyio
import fire
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response, StreamingResponse
from starlette.routing import Route

from standins.serving import (
    HangingResponse,
    decode_body,
    json_response,
    parse_options,
    serve_until_stopped,
)

REQUEST_ID = "x-chivespan-request-id"
EXPECTED = "x-chivespan-expect-instance"
DEADLINE = "x-chivespan-deadline-ms"
# Headers that say who a request comes from.
IDENTITY = ("api-key", "x-chivespan-tenant")
SEAL = "X-Chivespan-Server-Seal"
NOT_RUN = {"X-Chivespan-Not-Executed": "1"}
LEAVING = {"Server-Leaving": "1"}
RATE_LIMIT = "Server-Limit"
TRICKLE_INTERVAL_S = 0.1


@dataclass(frozen=True)
class TargetOptions:
    """Command line options of a target.

    :param target_id: id of the target in the store.
    :param slots: maximum number of concurrently running requests.
    :param queue: maximum number of queued requests.
    :param events: number of events of each stream.
    :param first_ms: time to the first event of a stream.
    :param gap_ms: time between two events.
    :param data_centre: data centre in the target's entry.
    """

    target_id: str = "i-1"
    slots: int = 8
    queue: int = 8
    events: int = 5
    first_ms: float = 2
    gap_ms: float = 2
    data_centre: str = "dc-1"


@dataclass
class TargetFaults:
    """Active faults; ``PUT /faults`` replaces all of them.

    :param break_after: event after which streams are aborted; 0 for none.
    :param break_count: number of streams that are aborted.
    :param silent_after: event after which streams stall; 0 stalls the response itself,
        -1 nothing.
    :param trickle_after: event after which streams send single bytes of the next event
        without end; -1 for none.
    :param pause_after: event after which streams pause once for ``pause_ms``; 0 pauses
        before the first, -1 for none.
    :param status: status with which every request fails after it ran; 0 for none.
    :param other_id: whether responses carry the id of another request.
    :param full: whether every request is refused as not run.
    :param leaving: whether every response announces that the target is shutting down.
    :param limit: rate limit that every response states; empty for none.
    """

    break_after: int = 0
    break_count: int = 1_000_000
    silent_after: int = -1
    trickle_after: int = -1
    pause_after: int = -1
    pause_ms: float = 0
    status: int = 0
    other_id: bool = False
    full: bool = False
    leaving: bool = False
    limit: str = ""


@dataclass(frozen=True)
class Arrival:
    """One received request.

    :param at: monotonic time of its arrival.
    :param identity: its headers that say who it comes from.
    """

    request_id: str
    path: str
    body: bytes
    deadline_ms: float
    last_event: int
    at: float = field(default_factory=time.monotonic)
    identity: tuple[tuple[str, str], ...] = ()


@dataclass
class TargetStandIn:
    """An HTTP application that behaves like one target.

    :ivar arrivals: all received requests.
    :ivar ran: id of each request that started to run, once per run.
    :ivar aborted: id of each request whose stream closed before its end.
    """

    options: TargetOptions = field(default_factory=TargetOptions)
    faults: TargetFaults = field(default_factory=TargetFaults)
    arrivals: list[Arrival] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    aborted: list[str] = field(default_factory=list)
    _waiting: int = 0

    def __post_init__(self) -> None:
        self._slots = anyio.Semaphore(self.options.slots)
        self.app = Starlette(
            routes=[
                Route("/faults", self._set_faults, methods=["PUT"]),
                Route("/arrivals", self._show_arrivals),
                Route("/{path:path}", self._serve, methods=["GET", "POST"]),
            ]
        )

    async def run(self) -> None:
        """Return at once; there is no background work."""

    async def _set_faults(self, request: Request) -> Response:
        self.faults = await decode_body(request, TargetFaults)
        return json_response(self.faults)

    async def _show_arrivals(self, request: Request) -> Response:
        return json_response({"ran": self.ran, "left": self.aborted})

    async def _serve(self, request: Request) -> Response:
        response = await self._respond(request)
        if self.faults.leaving:
            response.headers.update(LEAVING)
        if self.faults.limit:
            response.headers[RATE_LIMIT] = self.faults.limit
        return response

    async def _respond(self, request: Request) -> Response:
        request_id = request.headers.get(REQUEST_ID, "")
        expected = request.headers.get(EXPECTED, self.options.target_id)
        if expected != self.options.target_id:
            return PlainTextResponse("another target", 421, NOT_RUN)
        if not request_id:
            return PlainTextResponse("no id", 400, NOT_RUN)
        body = await request.body()
        last_event = int(request.headers.get("last-event-id", "0"))
        deadline_ms = float(request.headers.get(DEADLINE, "0"))
        identity = tuple(
            (name, value) for name, value in request.headers.items() if name in IDENTITY
        )
        path = request.url.path
        self.arrivals.append(
            Arrival(request_id, path, body, deadline_ms, last_event, identity=identity)
        )
        if self.faults.full or self._waiting >= self.options.queue:
            return PlainTextResponse("full", 503, NOT_RUN)
        return self._run(request_id, last_event)

    def _run(self, request_id: str, last: int) -> Response:
        headers = {
            "X-Chivespan-Request-Id": "other" if self.faults.other_id else request_id,
            SEAL: f"seal-{request_id}",
        }
        if self.faults.silent_after == 0:
            self.ran.append(request_id)
            return HangingResponse()
        if self.faults.status:
            self.ran.append(request_id)
            return PlainTextResponse("failed", self.faults.status, headers)
        events = self._events(request_id, last)
        return StreamingResponse(
            events, headers=headers, media_type="text/event-stream"
        )

    async def _events(self, request_id: str, last: int) -> AsyncIterator[bytes]:
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self.ran.append(request_id)
        done = False
        try:
            async for event in self._stream(request_id, last):
                yield event
            done = True
        finally:
            self._slots.release()
            if not done:
                self.aborted.append(request_id)

    async def _stream(self, request_id: str, last: int) -> AsyncIterator[bytes]:
        faults = self.faults
        breaks = faults.break_after and faults.break_count > 0
        if breaks:
            faults.break_count -= 1
        for number in range(last + 1, self.options.events + 1):
            first = number == last + 1
            pause_ms = self.options.first_ms if first else self.options.gap_ms
            await anyio.sleep(pause_ms / 1000)
            if breaks and number > faults.break_after:
                yield b"id: 9"
                raise ConnectionResetError("stream aborted by an injected fault")
            if number == faults.pause_after + 1:
                await anyio.sleep(faults.pause_ms / 1000)
            if 0 < faults.silent_after < number:
                await anyio.sleep(3600)
            while 0 <= faults.trickle_after < number:
                yield b"i"
                await anyio.sleep(TRICKLE_INTERVAL_S)
            yield f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def encode_target_entry(
    service: str,
    address: str,
    zone: str,
    slots: int,
    sequence: int,
    state: str = "",
    born: int = 1,
) -> bytes:
    """Return the encoded entry that a target writes to the store about itself.

    :param born: start time of its run in Unix milliseconds.
    """
    return msgspec.json.encode(
        {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": state or "ready",
            "coldLeftMs": 0,
            "seq": sequence,
            "born": born,
        }
    )


def main(address: str, **flags: object) -> None:
    """Serve the target at ``address``."""
    target = TargetStandIn(parse_options(TargetOptions, flags))
    serve_until_stopped([(address, target)])


if __name__ == "__main__":
    fire.Fire(main)
