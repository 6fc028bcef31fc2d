"""Stand-in of the platform's store: keyed logs in memory, linearizable."""

import asyncio
import base64
import contextlib
import json
import struct
from dataclasses import dataclass, field

from review.harness_3.httpio import HttpServer, Request, respond

KEYED = "keyed."
MAX_ITEMS = 500
MAX_BYTES = 1 << 20


@dataclass
class Part:
    """A partition: its records, and the newest one of each key."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, records: list[bytes], keyed: bool) -> None:
        """Append records, and keep the newest of each key."""
        for record in records:
            if keyed:
                size = record[0]
                key, value = record[1 : 1 + size].decode(), record[1 + size :]
                if value:
                    self.newest[key] = (len(self.records), value)
                else:
                    self.newest.pop(key, None)
            self.records.append(record)
        self.appended.set()
        self.appended = asyncio.Event()


class Store:
    """The store at one address."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.server = HttpServer(address, self._handle)
        self._parts: dict[tuple[str, int], Part] = {}

    def part(self, topic: str, number: int = 0) -> Part:
        """Return a partition, created on first use."""
        return self._parts.setdefault((topic, number), Part())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator or a runner does; empty to remove it."""
        name = key.encode()
        self.part(topic).add([bytes((len(name),)) + name + value], keyed=True)

    async def _handle(self, request: Request) -> bool:
        name = request.path.rpartition("/")[2]
        handlers = {
            "log-append": self._append,
            "log-read": self._read,
            "log-newest": self._newest,
        }
        await handlers[name](request)
        await request.writer.drain()
        return True

    async def _append(self, request: Request) -> None:
        query, body = request.query, request.body
        topic = query["topic"]
        part = self.part(topic, int(query["part"]))
        await asyncio.sleep(0.001)
        if "asOf" in query and int(query["asOf"]) != len(part.records):
            answer = json.dumps({"end": len(part.records)}).encode()
            respond(request.writer, 412, answer)
            return
        records = []
        start = 0
        while start < len(body):
            (size,) = struct.unpack_from(">I", body, start)
            records.append(body[start + 4 : start + 4 + size])
            start += 4 + size
        offset = len(part.records)
        part.add(records, topic.startswith(KEYED))
        answer = json.dumps({"offset": offset, "end": len(part.records)}).encode()
        respond(request.writer, 200, answer)

    async def _read(self, request: Request) -> None:
        query = request.query
        part = self.part(query["topic"], int(query["part"]))
        start = int(query["from"])
        wait_s = min(30000, int(query.get("waitMs", "0"))) / 1000
        if start >= len(part.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(part.appended.wait(), wait_s)
        limit = int(query.get("maxKb", "1024")) * 1024
        content = struct.pack(">QQ", len(part.records), 0)
        for record in part.records[start:]:
            if len(content) > 16 and len(content) + len(record) > limit:
                break
            content += struct.pack(">I", len(record)) + record
        respond(request.writer, 200, content)

    async def _newest(self, request: Request) -> None:
        query = request.query
        part = self.part(query["topic"], int(query["part"]))
        after = query.get("after", "")
        items, size, more = [], 0, False
        for key in sorted(part.newest):
            if key <= after:
                continue
            offset, value = part.newest[key]
            if items and (len(items) >= MAX_ITEMS or size + len(value) > MAX_BYTES):
                more = True
                break
            size += len(value)
            encoded = base64.b64encode(value).decode()
            items.append({"key": key, "value": encoded, "offset": offset})
        answer = {"items": items, "hasMore": more, "end": len(part.records)}
        respond(request.writer, 200, json.dumps(answer).encode())
