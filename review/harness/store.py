"""Stand-in for the platform's store: conditional appends, reads, newest records."""

import asyncio
import base64
import contextlib
import json
import struct
from dataclasses import dataclass, field

from review.harness.http import Request, respond, serve

_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")
MAX_ITEMS = 500
MAX_BYTES = 1 << 20


@dataclass
class _Part:
    records: list[bytes] = field(default_factory=list)
    newest: dict[bytes, tuple[int, bytes]] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)


class Store:
    """The store in memory, of which all answers are linearizable."""

    def __init__(self) -> None:
        self._parts: dict[tuple[str, int], _Part] = {}

    async def start(self, host: str, port: int) -> None:
        """Serve the store at an address."""
        await serve(host, port, self._handle)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record of the operator or of a runner; it is acknowledged at once."""
        name = key.encode()
        self._append(self._part(topic, 0), [bytes((len(name),)) + name + value])

    def _part(self, topic: str, number: int) -> _Part:
        return self._parts.setdefault((topic, number), _Part())

    def _append(self, part: _Part, records: list[bytes]) -> None:
        for record in records:
            end = 1 + record[0]
            key, value = record[1:end], record[end:]
            if value:
                part.newest[key] = (len(part.records), value)
            else:
                part.newest.pop(key, None)
            part.records.append(record)
        part.grown.set()
        part.grown = asyncio.Event()

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        query = request.query
        part = self._part(query["topic"], int(query["part"]))
        if request.path == "/-/log-append":
            status, body = self._appended(query, part, request.body)
            await respond(writer, status, json.dumps(body).encode())
        elif request.path == "/-/log-read":
            await respond(writer, 200, await self._read(query, part))
        elif request.path == "/-/log-newest":
            await respond(writer, 200, json.dumps(_newest(query, part)).encode())
        else:
            await respond(writer, 404)

    def _appended(
        self, query: dict[str, str], part: _Part, body: bytes
    ) -> tuple[int, dict[str, object]]:
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {"error": "read only"}
        end = len(part.records)
        if "asOf" in query and int(query["asOf"]) != end:
            return 412, {"end": end}
        self._append(part, _frames(body))
        return 200, {"offset": end, "end": len(part.records)}

    async def _read(self, query: dict[str, str], part: _Part) -> bytes:
        start = int(query["from"])
        wait_s = min(float(query.get("waitMs", "0")), 30_000) / 1000
        if len(part.records) <= start and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(part.grown.wait(), wait_s)
        content = _BOUNDS.pack(len(part.records), 0)
        limit = int(query.get("maxKb", "1024")) * 1024
        for record in part.records[start:]:
            if len(content) > _BOUNDS.size and len(content) + len(record) > limit:
                break
            content += _LENGTH.pack(len(record)) + record
        return content


def _newest(query: dict[str, str], part: _Part) -> dict[str, object]:
    after = query.get("after", "").encode()
    items: list[dict[str, object]] = []
    size = 0
    more = False
    for key in sorted(each for each in part.newest if each > after):
        offset, value = part.newest[key]
        size += len(value)
        if items and (len(items) == MAX_ITEMS or size > MAX_BYTES):
            more = True
            break
        encoded = base64.b64encode(value).decode()
        items.append({"key": key.decode(), "value": encoded, "offset": offset})
    return {"items": items, "hasMore": more, "end": len(part.records)}


def _frames(body: bytes) -> list[bytes]:
    records = []
    start = 0
    while start < len(body):
        (length,) = _LENGTH.unpack_from(body, start)
        start += _LENGTH.size
        records.append(body[start : start + length])
        start += length
    return records
