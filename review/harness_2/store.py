"""Stand-in of the platform's store: logs with conditional appends, keyed topics."""

import asyncio
import base64
import json
import struct
from dataclasses import dataclass, field

from review.harness_2.wire import Request, reset, respond, serve

PORT = 8169
MAX_ITEMS = 500
MAX_NEWEST_BYTES = 1_000_000
APPEND_S = 0.001
ANSWER_S = 0.004
READ_ONLY = ("keyed.op", "keyed.servers")


@dataclass
class Part:
    """One partition of a topic."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)


class Store:
    """The store; each node calls it at an address of its own.

    :ivar down: by the node's number, how the store turns it away: ``busy`` (503),
        ``reset`` or ``silent``.
    """

    def __init__(self) -> None:
        self.down: dict[int, str] = {}
        # Set when the node of that number begins to wait for a configuration.
        self.waits_for_config: dict[int, asyncio.Event] = {}
        self._parts: dict[tuple[str, int], Part] = {}

    async def serve(self, host: str, node: int) -> asyncio.Server:
        """Listen at the address at which one node calls."""

        async def handle(request: Request, writer: asyncio.StreamWriter) -> None:
            mode = self.down.get(node, "")
            if mode == "busy":
                respond(writer, 503)
            elif mode == "reset":
                reset(writer)
            elif mode == "silent":
                await asyncio.sleep(60)
            else:
                await asyncio.sleep(ANSWER_S)
                self._note_wait(node, request)
                await self._answer(request, writer)

        return await serve(host, PORT, handle)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record of a keyed topic, as the operator or a runner does."""
        name = key.encode()
        self._add(topic, 0, [bytes((len(name),)) + name + value])

    def _note_wait(self, node: int, request: Request) -> None:
        if request.path == "/-/log-read" and request.query["topic"] == "keyed.op":
            self.waits_for_config.pop(node, asyncio.Event()).set()

    def _part(self, topic: str, number: int) -> Part:
        return self._parts.setdefault((topic, number), Part())

    def _add(self, topic: str, number: int, records: list[bytes]) -> None:
        part = self._part(topic, number)
        for record in records:
            if topic.startswith("keyed."):
                size = 1 + record[0]
                key, value = record[1:size].decode(), record[size:]
                if value:
                    part.newest[key] = (value, len(part.records))
                else:
                    part.newest.pop(key, None)
            part.records.append(record)
        part.grown.set()
        part.grown = asyncio.Event()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        query = request.query
        if request.path == "/-/log-append":
            await self._append(query, request.body, writer)
        elif request.path == "/-/log-read":
            await self._read(query, writer)
        elif request.path == "/-/log-newest":
            self._newest(query, writer)
        else:
            respond(writer, 404)

    async def _append(
        self, query: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if query["topic"] in READ_ONLY:
            respond(writer, 403)
            return
        records = []
        while body:
            (length,) = struct.unpack_from(">I", body)
            records.append(body[4 : 4 + length])
            body = body[4 + length :]
        part = self._part(query["topic"], int(query["part"]))
        async with part.lock:
            await asyncio.sleep(APPEND_S)
            offset = len(part.records)
            if "asOf" in query and int(query["asOf"]) != offset:
                respond(writer, 412, json.dumps({"end": offset}).encode())
                return
            self._add(query["topic"], int(query["part"]), records)
        answer = {"offset": offset, "end": len(part.records)}
        respond(writer, 200, json.dumps(answer).encode())

    async def _read(self, query: dict[str, str], writer: asyncio.StreamWriter) -> None:
        part = self._part(query["topic"], int(query["part"]))
        start = int(query["from"])
        try:
            async with asyncio.timeout(float(query.get("waitMs", "0")) / 1000):
                while len(part.records) <= start:
                    await part.grown.wait()
        except TimeoutError:
            pass
        content = struct.pack(">QQ", len(part.records), 0)
        limit = int(query.get("maxKb", "1024")) * 1024
        for record in part.records[start:]:
            if len(content) > 16 and len(content) + len(record) + 4 > limit:
                break
            content += struct.pack(">I", len(record)) + record
        respond(writer, 200, content)

    def _newest(self, query: dict[str, str], writer: asyncio.StreamWriter) -> None:
        part = self._part(query["topic"], int(query["part"]))
        items: list[dict[str, object]] = []
        size = 0
        more = False
        for key in sorted(part.newest):
            if key <= query.get("after", ""):
                continue
            value, offset = part.newest[key]
            size += len(value)
            if items and (len(items) == MAX_ITEMS or size > MAX_NEWEST_BYTES):
                more = True
                break
            encoded = base64.b64encode(value).decode()
            items.append({"key": key, "value": encoded, "offset": offset})
        body = {"items": items, "hasMore": more, "end": len(part.records)}
        respond(writer, 200, json.dumps(body).encode())
