"""Stand-in for a model runner, which streams events and says what it has run."""

import asyncio
import json
import time
from collections import Counter
from dataclasses import dataclass, field

from review.harness.http import Request, respond, serve
from review.harness.store import Store

NOT_RUN = {"X-Chivespan-Not-Executed": "1"}
HEARTBEAT_S = 1.2


def event_text(request_id: str, number: int) -> str:
    """Return the data of an event; any runner makes the same."""
    return f"{request_id}-{number}"


@dataclass
class Run:
    """One request that a runner has worked on."""

    at: float
    runner: str
    service: str
    request_id: str
    path: str
    status: int
    resumed_after: int


@dataclass
class Runner:
    """One runner; it registers itself in the store.

    :ivar events: number of events of requests, by the beginning of their paths.
    :ivar failures: answers of 500 still to be given, by request.
    """

    name: str
    service: str
    host: str
    store: Store
    runs: list[Run]
    slots: int = 8
    queue: int = 24
    gap_s: float = 0.02
    events: dict[str, int] = field(default_factory=dict)
    failures: Counter[str] = field(default_factory=Counter)
    port: int = 9000
    _waiting: int = 0
    _seq: int = 0
    _expiry: "asyncio.Future[None] | None" = None

    async def start(self) -> None:
        """Serve, and report to the store at each heartbeat.

        After a crash, it starts again under its id and knows nothing of before.
        """
        self._free = asyncio.Semaphore(self.slots)
        self._born = round(time.time() * 1000)
        self._waiting = self._seq = 0
        self._connections: set[asyncio.StreamWriter] = set()
        self._server = await serve(self.host, self.port, self._accept)
        self._heartbeat = asyncio.ensure_future(self._beat())
        if self._expiry is not None:
            self._expiry.cancel()

    @property
    def busy(self) -> int:
        """Number of requests in progress."""
        return len(self._connections)

    async def crash(self) -> None:
        """End at once, with a reset of all connections; the store isn't told."""
        self._heartbeat.cancel()
        self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        self._expiry = asyncio.ensure_future(self._expire())

    async def _expire(self) -> None:
        """Let the store remove the entry after three heartbeats of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.put("keyed.servers", self.name, b"")

    async def _accept(self, request: Request, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            await self._handle(request, writer)
        finally:
            self._connections.discard(writer)

    async def _beat(self) -> None:
        while True:
            self._seq += 1
            entry = {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": "z-1",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldLeftMs": 0,
                "stage": "hybrid",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "seq": self._seq,
                "born": self._born,
            }
            self.store.put("keyed.servers", self.name, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        expected = request.headers.get("x-chivespan-expect-instance", self.name)
        request_id = request.headers.get("x-chivespan-request-id", "")
        if request.path == "/healthz":
            await respond(writer, 200, headers={"X-Chivespan-Instance-Id": self.name})
        elif expected != self.name:
            await respond(writer, 421, headers=NOT_RUN)
        elif not request_id:
            await respond(writer, 400, headers=NOT_RUN)
        elif self._waiting >= self.queue:
            named = {"X-Chivespan-Request-Id": request_id}
            await respond(writer, 503, headers=NOT_RUN | named)
        else:
            await self._admit(request, request_id, writer)

    async def _admit(
        self, request: Request, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            await self._run(request, request_id, writer)
        finally:
            self._free.release()

    async def _run(
        self, request: Request, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        headers = {
            "X-Chivespan-Request-Id": request_id,
            "X-Chivespan-Server-Seal": f"seal-{request_id}",
        }
        last = int(request.headers.get("last-event-id", "0"))
        fails = self.failures[request_id] > 0
        status = 500 if fails else 200
        self.runs.append(
            Run(
                time.monotonic(),
                self.name,
                self.service,
                request_id,
                request.path,
                status,
                last,
            )
        )
        if fails:
            self.failures[request_id] -= 1
            await respond(writer, 500, b"failed", headers)
            return
        headers |= {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "X-Chivespan-Weight-Versions": "1",
        }
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(last + 1, self._count(request.path) + 1):
            await asyncio.sleep(self.gap_s)
            data = f"id: {number}\ndata: {event_text(request_id, number)}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _count(self, path: str) -> int:
        for prefix, count in self.events.items():
            if path.startswith(prefix):
                return count
        return 10
