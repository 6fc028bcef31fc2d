"""Stand-in of a model runner that streams events."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from review.harness_2.wire import (
    Request,
    reset,
    respond,
    serve,
    start_stream,
    write_chunk,
)

PORT = 8140
ID = "x-chivespan-request-id"
NOT_RUN = {"X-Chivespan-Not-Executed": "1"}


@dataclass
class Arrival:
    """A request that reached a runner."""

    at: float
    request_id: str
    path: str
    last_event: int
    deadline_ms: float
    headers: list[tuple[str, str]]
    body: bytes
    ran: bool = False
    ended: str = ""
    events: int = 0


Step = Callable[["Runner", Arrival, int], Awaitable[None]]


@dataclass
class Runner:
    """One runner; it runs ``slots`` requests at once and queues a few more.

    :ivar before_event: awaited before each event, with its number.
    :ivar admit: awaited before a request is admitted; returns a status to refuse it
        with as not run, or 0.
    :ivar events_of: returns the number of events of a request; ``events`` for None.
    :ivar is_up: whether it accepts connections.
    """

    runner_id: str
    host: str
    slots: int = 8
    queue: int = 24
    events: int = 34
    events_of: Callable[[str], int] | None = None
    first_s: float = 0.03
    gap_s: float = 0.02
    arrivals: list[Arrival] = field(default_factory=list)
    before_event: Step | None = None
    admit: Callable[["Runner", Arrival], Awaitable[int]] | None = None
    is_up: bool = False
    starts: int = 0
    born: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _waiting: int = 0

    @property
    def address(self) -> str:
        """The address in its entry."""
        return f"{self.host}:{PORT}"

    def entry(self, service: str, zone: str, state: str = "ready") -> bytes:
        """Return what the runner writes to the store about itself."""
        return json.dumps(
            {
                "service": service,
                "address": self.address,
                "zone": zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "coldLeftMs": 0,
                "seq": self.starts,
                "born": self.born,
            }
        ).encode()

    async def start(self) -> None:
        """Begin to accept connections, as a new run that knows nothing of before."""
        self.starts += 1
        self.born = int(time.time() * 1000)
        self._running = asyncio.Semaphore(self.slots)
        self._waiting = 0
        self._server = await serve(self.host, PORT, self._handle)
        self.is_up = True

    def crash(self) -> None:
        """End the run: connections are reset and new ones are refused."""
        if not self.is_up:
            return
        self.is_up = False
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        if not self.is_up:
            reset(writer)
            return
        self._writers.add(writer)
        try:
            await self._respond(request, writer)
        finally:
            self._writers.discard(writer)

    async def _respond(self, request: Request, writer: asyncio.StreamWriter) -> None:
        arrival = Arrival(
            time.time(),
            request.header(ID),
            request.path,
            int(request.header("last-event-id", "0")),
            float(request.header("x-chivespan-deadline-ms", "0")),
            request.headers,
            request.body,
        )
        self.arrivals.append(arrival)
        expected = request.header("x-chivespan-expect-instance", self.runner_id)
        status = 421 if expected != self.runner_id else 0
        if not status and self.admit is not None:
            status = await self.admit(self, arrival)
        if not status and self._running.locked() and self._waiting >= self.queue:
            status = 503
        if status:
            arrival.ended = str(status)
            respond(writer, status, b"", NOT_RUN)
            return
        self._waiting += 1
        try:
            await self._running.acquire()
        finally:
            self._waiting -= 1
        try:
            await self._stream(arrival, request, writer)
        finally:
            arrival.ended = arrival.ended or "cut"
            self._running.release()

    async def _stream(
        self, arrival: Arrival, request: Request, writer: asyncio.StreamWriter
    ) -> None:
        await _pause(self.first_s, request)
        arrival.ran = True
        last = arrival.last_event
        total = self.events
        if self.events_of is not None:
            total = self.events_of(arrival.request_id)
        for number in range(last + 1, total + 1):
            if number > last + 1:
                await _pause(self.gap_s, request)
            if self.before_event is not None:
                await self.before_event(self, arrival, number)
            if number == last + 1:
                headers = {
                    "Content-Type": "text/event-stream",
                    "X-Chivespan-Request-Id": arrival.request_id,
                    "X-Chivespan-Server-Seal": f"s.{arrival.request_id}",
                }
                start_stream(writer, headers)
            event = f"id: {number}\ndata: {arrival.request_id}-{number}\n\n"
            write_chunk(writer, event.encode())
            await writer.drain()
            arrival.events += 1
        write_chunk(writer, b"")
        arrival.ended = "whole"


async def _pause(time_s: float, request: Request) -> None:
    """Wait; a runner drops a request when its connection closes."""
    assert request.gone is not None
    done, _ = await asyncio.wait([request.gone], timeout=time_s)
    if done:
        raise ConnectionResetError
