"""Stand-in for the platform's append-only log service, with injectable faults."""

import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import cbor2
import fire
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from standins.serving import (
    TruncatedResponse,
    decode_body,
    json_response,
    parse_options,
    serve_until_stopped,
)


@dataclass(frozen=True)
class LogOptions:
    """Command line options of the log service.

    :param retention: maximum number of records retained in each stream.
    :param appends_per_s: maximum rate of appends over all streams; 0 for no limit.
    :param append_ms: additional duration of each append.
    """

    retention: int = 1_000_000
    appends_per_s: float = 0
    append_ms: float = 0


@dataclass
class LogFaults:
    """Active faults; ``PUT /faults`` replaces all of them.

    :param down: whether every call fails with 503 and has no effect.
    :param slow_ms: additional duration of every call.
    :param drop_answers: number of appends that take effect and whose response is lost.
    :param delay_effects: number of appends that fail with 503 and take effect
        ``delay_ms`` later.
    :param spared: number of appends that succeed before any fault but ``down`` applies.
    """

    down: bool = False
    slow_ms: float = 0
    drop_answers: int = 0
    delay_effects: int = 0
    delay_ms: float = 0
    spared: int = 0


AppendHook = Callable[[bool], Awaitable[None]]


@dataclass
class _Stream:
    """The retained records of one stream, from offset ``oldest`` on."""

    records: deque[bytes] = field(default_factory=deque)
    oldest: int = 0
    appended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def end(self) -> int:
        return self.oldest + len(self.records)


def _answer(value: object, status: int = 200) -> Response:
    return Response(cbor2.dumps(value), status, media_type="application/cbor")


class LogStandIn:
    """The log service with its streams in memory.

    :ivar appends: number of appends that took effect.
    :ivar on_append: awaited for every immediate append, with False before it takes
        effect and with True after it.
    """

    def __init__(self, options: LogOptions | None = None) -> None:
        self.options = options or LogOptions()
        self.faults = LogFaults()
        self.appends = 0
        self.on_append: AppendHook | None = None
        self.app = Starlette(
            routes=[
                Route("/streams/{stream:path}/append", self._append, methods=["POST"]),
                Route("/streams/{stream:path}/records", self._records),
                Route("/streams/{stream:path}/bounds", self._bounds),
                Route("/faults", self._set_faults, methods=["PUT"]),
            ]
        )
        self._streams: dict[str, _Stream] = {}
        self._next_append = 0.0
        self._delayed_appends = anyio.create_memory_object_stream[
            tuple[str, list[bytes]]
        ](1000)

    async def run(self) -> None:
        """Apply delayed appends until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for stream, payloads in self._delayed_appends[1]:
                tasks.start_soon(self._append_after_delay, stream, payloads)

    def append(self, stream: str, payloads: list[bytes]) -> int:
        """Append records immediately; return the offset of the first."""
        kept = self._streams.setdefault(stream, _Stream())
        first = kept.end
        self.appends += 1
        kept.records.extend(payloads)
        self.trim(stream, kept.end - self.options.retention)
        kept.appended.set()
        kept.appended = anyio.Event()
        return first

    def trim(self, stream: str, oldest: int) -> None:
        """Drop the records before an offset, as retention does."""
        kept = self._streams.setdefault(stream, _Stream())
        while kept.records and kept.oldest < oldest:
            kept.records.popleft()
            kept.oldest += 1

    def records(self, stream: str) -> list[bytes]:
        """Return all retained records of a stream."""
        return list(self._streams.get(stream, _Stream()).records)

    async def _append_after_delay(self, stream: str, payloads: list[bytes]) -> None:
        await anyio.sleep(self.faults.delay_ms / 1000)
        self.append(stream, payloads)

    async def _apply_outage(self) -> bool:
        if self.faults.slow_ms and not self.faults.spared:
            await anyio.sleep(self.faults.slow_ms / 1000)
        return self.faults.down

    async def _throttle(self) -> None:
        options = self.options
        if options.appends_per_s:
            self._next_append = max(self._next_append, time.monotonic())
            self._next_append += 1 / options.appends_per_s
            await anyio.sleep(self._next_append - time.monotonic())
        if options.append_ms:
            await anyio.sleep(options.append_ms / 1000)

    async def _append(self, request: Request) -> Response:
        payloads = cbor2.loads(await request.body())
        stream = request.path_params["stream"]
        if await self._apply_outage():
            return _answer({"error": "down"}, 503)
        spared = self.faults.spared > 0
        self.faults.spared -= spared
        if self.faults.delay_effects > 0 and not spared:
            self.faults.delay_effects -= 1
            self._delayed_appends[0].send_nowait((stream, payloads))
            return _answer({"error": "slow"}, 503)
        await self._throttle()
        if self.on_append:
            await self.on_append(False)
        first = self.append(stream, payloads)
        if self.on_append:
            await self.on_append(True)
        if self.faults.drop_answers > 0 and not spared:
            self.faults.drop_answers -= 1
            return TruncatedResponse()
        return _answer({"offset": first})

    async def _records(self, request: Request) -> Response:
        start = int(request.query_params.get("start", 0))
        limit = int(request.query_params.get("limit", 1000))
        wait_ms = float(request.query_params.get("wait_ms", 0))
        stream = self._streams.setdefault(request.path_params["stream"], _Stream())
        if await self._apply_outage():
            return _answer({"error": "down"}, 503)
        with anyio.move_on_after(wait_ms / 1000):
            while stream.end <= start:
                await stream.appended.wait()
        if self.faults.down:
            return _answer({"error": "down"}, 503)
        if start < stream.oldest:
            return _answer({"oldest": stream.oldest, "end": stream.end}, 410)
        return self._page(stream, start, limit)

    async def _bounds(self, request: Request) -> Response:
        stream = self._streams.get(request.path_params["stream"], _Stream())
        if await self._apply_outage():
            return _answer({"error": "down"}, 503)
        return self._page(stream, stream.end, 0)

    def _page(self, stream: _Stream, start: int, limit: int) -> Response:
        last = min(start + limit, stream.end)
        chosen = [
            [offset, stream.records[offset - stream.oldest]]
            for offset in range(start, last)
        ]
        page = {"oldest": stream.oldest, "end": stream.end, "records": chosen}
        return _answer(page)

    async def _set_faults(self, request: Request) -> Response:
        self.faults = await decode_body(request, LogFaults)
        return json_response(self.faults)


def main(address: str, **flags: object) -> None:
    """Serve the log at ``address``."""
    log = LogStandIn(parse_options(LogOptions, flags))
    serve_until_stopped([(address, log)])


if __name__ == "__main__":
    fire.Fire(main)
