"""Stand-in for a runner of the users' platform: slots, a queue, streams, and faults."""

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
SEAL = "X-Chivespan-Server-Seal"
NOT_RUN = {"X-Chivespan-Not-Executed": "1"}


@dataclass(frozen=True)
class TargetOptions:
    """Flags of a target.

    :param target_id: its id in the store.
    :param slots: requests that run at a time.
    :param queue: requests that may wait besides.
    :param events: events of each stream.
    :param first_ms: time to a stream's first event.
    :param gap_ms: time between two events.
    :param data_centre: where its entry says that it is.
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
    """Faults in force, replaced as a whole by ``PUT /faults``.

    :param break_after: streams break off behind this event; 0 for none.
    :param break_count: so many streams do.
    :param silent_after: streams fall silent behind this event; -1 for none.
    :param status: every request is answered with this status, having run; 0 for none.
    :param other_id: answers carry another request's id.
    :param full: every request is refused as not run.
    """

    break_after: int = 0
    break_count: int = 1_000_000
    silent_after: int = -1
    status: int = 0
    other_id: bool = False
    full: bool = False


@dataclass(frozen=True)
class Arrival:
    """One request as it reached the target."""

    request_id: str
    path: str
    body: bytes
    deadline_ms: float
    last_event: int
    at: float = field(default_factory=time.monotonic)


@dataclass
class TargetStandIn:
    """One target.

    :ivar arrivals: all requests that reached it.
    :ivar ran: ids of the requests that began to run, with repeats.
    :ivar left: ids of the requests whose connection closed before their end.
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
        """There is no background work."""

    async def _set_faults(self, request: Request) -> Response:
        self.faults = await decode_body(request, TargetFaults)
        return json_response(self.faults)

    async def _show_arrivals(self, request: Request) -> Response:
        return json_response({"ran": self.ran, "left": self.aborted})

    async def _serve(self, request: Request) -> Response:
        request_id = request.headers.get(REQUEST_ID, "")
        expected = request.headers.get(EXPECTED, self.options.target_id)
        if expected != self.options.target_id:
            return PlainTextResponse("another target", 421, NOT_RUN)
        if not request_id:
            return PlainTextResponse("no id", 400, NOT_RUN)
        body = await request.body()
        last_event = int(request.headers.get("last-event-id", "0"))
        deadline_ms = float(request.headers.get(DEADLINE, "0"))
        self.arrivals.append(
            Arrival(request_id, request.url.path, body, deadline_ms, last_event)
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
                raise ConnectionResetError("ordered to break off")
            if 0 < faults.silent_after < number:
                await anyio.sleep(3600)
            yield f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def encode_target_entry(
    service: str, address: str, zone: str, slots: int, sequence: int, state: str = ""
) -> bytes:
    """Return what a target writes of itself into the store."""
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
            "born": 1,
        }
    )


def main(address: str, **flags: object) -> None:
    """Serve the target at ``address``."""
    target = TargetStandIn(parse_options(TargetOptions, flags))
    serve_until_stopped([(address, target)])


if __name__ == "__main__":
    fire.Fire(main)
