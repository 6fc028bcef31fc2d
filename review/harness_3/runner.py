"""Stand-in of a model runner: slots, streams, restarts."""

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

from review.harness_3.httpio import HttpServer, Request, respond
from review.harness_3.store import Store

REQUEST_ID = "x-chivespan-request-id"
# A step of an engine.
STEP_S = 0.004
NOT_RUN = {"X-Chivespan-Not-Executed": "1"}


@dataclass
class RunnerOptions:
    """How a runner behaves.

    :ivar first_ms: time until the first event of a run, besides that for its prompt.
    :ivar tokens_per_ms: prompt tokens that are read in a ms, of all requests
        together; 0 for no time.
    :ivar gap_ms: time between two events.
    :ivar line_end: what ends the lines of events.
    :ivar tokens: tokens in each event, whose id is the number of the last one.
    :ivar comment: line that follows the first event; empty for none.
    """

    service: str
    zone: str
    slots: int = 8
    queue: int = 24
    events: int = 20
    first_ms: float = 60.0
    tokens_per_ms: float = 0.0
    gap_ms: float = 10.0
    line_end: str = "\n"
    comment: str = ""
    tokens: int = 1


@dataclass
class Run:
    """One request that reached a runner; times are monotonic."""

    request_id: str
    runner: str
    path: str
    last_event: int
    arrived: float
    began: float = 0.0
    ended: float = 0.0
    outcome: str = "waiting"
    body: bytes = b""
    method: str = ""
    headers: dict[str, str] = field(default_factory=dict)


class Prompts:
    """Reads the prompts of all requests at once, in equal shares of the rate.

    A part that was read is kept for requests with the same parts before it.
    """

    def __init__(self, tokens_per_ms: float) -> None:
        self._rate = tokens_per_ms
        self._active = 0
        self._kept: set[tuple[str, ...]] = set()

    async def read(self, prefix: str) -> None:
        """Return when the prompt with some parts, as ID:TOKENS, has been read."""
        if not self._rate or not prefix:
            return
        chain: tuple[str, ...] = ()
        self._active += 1
        try:
            for part in prefix.split(","):
                name, _, tokens = part.partition(":")
                chain = (*chain, name)
                left = 0.0 if chain in self._kept else float(tokens)
                while left > 0 and chain not in self._kept:
                    before = time.monotonic()
                    await asyncio.sleep(STEP_S)
                    passed_ms = (time.monotonic() - before) * 1000
                    left -= passed_ms * self._rate / self._active
                self._kept.add(chain)
        finally:
            self._active -= 1


class Runner:
    """A runner at one address; each start is a new incarnation."""

    def __init__(
        self, store: Store, runner_id: str, address: str, options: RunnerOptions
    ) -> None:
        self.store, self.id, self.address = store, runner_id, address
        self.options = options
        self.server = HttpServer(address, self._handle)
        self.runs: list[Run] = []
        self.is_up = False
        self.born = 0
        self._seq = 0
        self._slots = asyncio.Semaphore(options.slots)
        self._waiting = 0
        self._beats: asyncio.Task[Any] | None = None
        self._prompts = Prompts(options.tokens_per_ms)

    async def start(self) -> None:
        """Start a new incarnation, which lists itself."""
        self._slots = asyncio.Semaphore(self.options.slots)
        self._waiting = 0
        self._prompts = Prompts(self.options.tokens_per_ms)
        self._seq = 0
        self.born = int(time.time() * 1000)
        await self.server.up()
        self.is_up = True
        self._beats = asyncio.create_task(self._beat())

    async def crash(self) -> None:
        """End at once, as if killed; the entry stays until it expires."""
        self.is_up = False
        if self._beats is not None:
            self._beats.cancel()
        await self.server.down()

    def list(self, state: str = "ready") -> None:
        """Write the entry."""
        self._seq += 1
        entry = {
            "service": self.options.service,
            "address": self.address,
            "zone": self.options.zone,
            "version": "1",
            "slots": self.options.slots,
            "state": state,
            "coldLeftMs": 0,
            "seq": self._seq,
            "born": self.born,
        }
        self.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def _beat(self) -> None:
        while True:
            self.list()
            await asyncio.sleep(1.2)

    async def _handle(self, request: Request) -> bool:
        headers, writer = request.headers, request.writer
        request_id = headers.get(REQUEST_ID, "")
        echo = {"X-Chivespan-Request-Id": request_id}
        if headers.get("x-chivespan-expect-instance", self.id) != self.id:
            respond(writer, 421, b"", echo | NOT_RUN)
            return True
        if not request_id:
            respond(writer, 400, b"", NOT_RUN)
            return True
        run = Run(
            request_id,
            self.id,
            request.path,
            int(headers.get("last-event-id", "0") or "0"),
            time.monotonic(),
            body=request.body,
            method=request.method,
            headers=headers,
        )
        self.runs.append(run)
        if self._slots.locked() and self._waiting >= self.options.queue:
            run.outcome = "refused"
            respond(writer, 503, b"", echo | NOT_RUN)
            return True
        try:
            self._waiting += 1
            try:
                await self._slots.acquire()
            finally:
                self._waiting -= 1
            try:
                return await self._run(run, writer, echo)
            finally:
                self._slots.release()
        finally:
            run.ended = time.monotonic()
            if run.outcome in ("waiting", "running"):
                run.outcome = "cut"

    async def _run(
        self, run: Run, writer: asyncio.StreamWriter, echo: dict[str, str]
    ) -> bool:
        await self._prompts.read(run.headers.get("x-chivespan-prompt-prefix", ""))
        await asyncio.sleep(self.options.first_ms / 1000)
        if writer.is_closing():
            return False
        run.began = time.monotonic()
        run.outcome = "running"
        head = [
            "HTTP/1.1 200 OK",
            f"X-Chivespan-Request-Id: {run.request_id}",
            f"X-Chivespan-Server-Seal: {self.id}.{run.request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        first = run.last_event // self.options.tokens + 1
        for number in range(first, self.options.events + 1):
            event_id = number * self.options.tokens
            lines = [f"id: {event_id}", f"data: {run.request_id}-{number}", "", ""]
            if self.options.comment and number == first:
                lines += [self.options.comment, "", ""]
            event = self.options.line_end.join(lines).encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.options.gap_ms / 1000)
            if writer.is_closing():
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run.outcome = "done"
        return True
