"""Stand-in for the platform's store: conditional logs and injectable faults."""

import base64
import struct
import time
from collections.abc import Iterator
from dataclasses import dataclass, field

import anyio
import fire
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from standins.serving import (
    HangingResponse,
    TruncatedResponse,
    decode_body,
    json_response,
    parse_options,
    serve_until_stopped,
)

KEYED = "keyed."
READ_ONLY_TOPICS = frozenset({"keyed.op", "keyed.servers"})
# Answers to a producer's last appends that are kept to answer repeated calls.
MAX_REPEATS = 5
MAX_NEWEST_ITEMS = 500
MAX_NEWEST_BYTES = 1 << 20
MAX_WAIT_MS = 30_000
_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")


@dataclass(frozen=True)
class StoreOptions:
    """Command line options of the store.

    :param retention_s: retention in seconds of all records but the newest of a key.
    :param record_bytes: maximum size of a record.
    :param call_bytes: maximum total size of the records in one call.
    :param append_ms: duration of each append.
    """

    retention_s: float = 20.0
    record_bytes: int = 262144
    call_bytes: int = 2097152
    append_ms: float = 1.0


@dataclass
class StoreFaults:
    """Active faults; ``PUT /faults`` replaces all of them.

    :param down: ``busy`` responds with 503, ``many`` with 429; ``reset`` closes the
        connection before the response is complete; ``silent`` never responds.
    :param down_for: IP addresses of callers that ``down`` applies to; empty for all.
    :param slow_ms: additional duration of every call.
    :param lose_answers: number of appends that take effect and whose response is lost.
    :param late_appends: number of appends that take effect ``late_ms`` later and get
        no response.
    """

    down: str = ""
    down_for: list[str] = field(default_factory=list)
    slow_ms: float = 0
    lose_answers: int = 0
    late_appends: int = 0
    late_ms: float = 0


@dataclass
class _Producer:
    """An idempotent producer: its newest epoch, sequence number and recent answers."""

    epoch: int = -1
    sequence: int = -1
    answers: dict[int, dict[str, int]] = field(default_factory=dict)


@dataclass
class _Part:
    """One partition of a topic: its log from offset ``first`` on, and newest values."""

    records: list[tuple[bytes, float]] = field(default_factory=list)
    first: int = 0
    newest: dict[bytes, tuple[int, bytes]] = field(default_factory=dict)
    producers: dict[str, _Producer] = field(default_factory=dict)
    append_lock: anyio.Lock = field(default_factory=anyio.Lock)
    appended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def expire(self, before: float) -> None:
        while self.records and self.records[0][1] < before:
            self.records.pop(0)
            self.first += 1


@dataclass
class _Member:
    """One member of a group; it expires ``ttl_s`` seconds after its last join."""

    ttl_s: float
    seen: float
    parts: set[tuple[str, int]] = field(default_factory=set)


@dataclass
class _Group:
    """One consumer group with its members and committed offsets."""

    generation: int = 0
    members: dict[str, _Member] = field(default_factory=dict)
    committed: dict[tuple[str, int], int] = field(default_factory=dict)


@dataclass(frozen=True)
class _Refusal(Exception):
    """A refused call, with the status and body of its response."""

    status: int
    body: dict[str, object]


class StoreStandIn:
    """The platform's store in memory.

    :ivar calls: paths of all received calls, in order.
    """

    def __init__(self, options: StoreOptions | None = None) -> None:
        self.options = options or StoreOptions()
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self._parts: dict[tuple[str, int], _Part] = {}
        self._groups: dict[str, _Group] = {}
        self._late_appends = anyio.create_memory_object_stream[
            tuple[dict[str, str], list[bytes]]
        ](1000)
        self.app = Starlette(
            routes=[
                Route("/-/log-append", self._append, methods=["POST"]),
                Route("/-/log-read", self._read),
                Route("/-/log-newest", self._newest),
                Route("/-/log-trim", self._trim, methods=["POST"]),
                Route("/-/log-join", self._join, methods=["POST"]),
                Route("/-/log-leave", self._leave, methods=["POST"]),
                Route("/-/log-commit", self._commit, methods=["POST"]),
                Route("/-/log-owners", self._owners),
                Route("/faults", self._set_faults, methods=["PUT"]),
                Route("/records/{topic}/{key}", self._put_record, methods=["PUT"]),
            ]
        )

    async def run(self) -> None:
        """Apply late appends until cancelled."""
        async with anyio.create_task_group() as tasks:
            async for query, records in self._late_appends[1]:
                tasks.start_soon(self._append_after_delay, query, records)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record to a keyed topic, as an operator or a target does."""
        name = key.encode()
        self._add(self._part(topic, 0), topic, [bytes((len(name),)) + name + value])

    def compact(self, topic: str, part: int = 0) -> None:
        """Drop the whole log of a partition; the newest value of each key remains."""
        kept = self._part(topic, part)
        kept.first = kept.end
        kept.records.clear()

    def rebalance(self, group: str) -> None:
        """Revoke all partitions of a group and start a new generation."""
        known = self._groups[group]
        for member in known.members.values():
            member.parts.clear()
        known.generation += 1

    def rewind(self, group: str, records: int) -> None:
        """Move the committed offsets of a group back by a number of records."""
        committed = self._groups[group].committed
        for partition in committed:
            committed[partition] = max(0, committed[partition] - records)

    def newest(self, topic: str, part: int = 0) -> dict[str, bytes]:
        """Return the newest value of each key."""
        rows = self._part(topic, part).newest
        return {key.decode(): value for key, (_, value) in rows.items()}

    def _part(self, topic: str, part: int) -> _Part:
        return self._parts.setdefault((topic, part), _Part())

    def _add(self, part: _Part, topic: str, records: list[bytes]) -> dict[str, int]:
        offset = part.end
        part.expire(time.monotonic() - self.options.retention_s)
        for record in records:
            if topic.startswith(KEYED):
                self._update_newest(part, record)
            part.records.append((record, time.monotonic()))
        part.appended.set()
        part.appended = anyio.Event()
        return {"offset": offset, "end": part.end}

    def _update_newest(self, part: _Part, record: bytes) -> None:
        key_end = 1 + record[0]
        key, value = record[1:key_end], record[key_end:]
        if value:
            part.newest[key] = (part.end, value)
        else:
            part.newest.pop(key, None)

    async def _fault_response(self, request: Request) -> Response | None:
        """Return the response that an active fault causes, or None without one."""
        self.calls.append(request.url.path)
        faults = self.faults
        if faults.slow_ms:
            await anyio.sleep(faults.slow_ms / 1000)
        caller = request.client.host if request.client else ""
        if not faults.down or (faults.down_for and caller not in faults.down_for):
            return None
        if faults.down == "busy":
            return json_response({"error": "busy"}, 503)
        if faults.down == "many":
            return json_response({"error": "many"}, 429)
        return TruncatedResponse() if faults.down == "reset" else HangingResponse()

    async def _append(self, request: Request) -> Response:
        if response := await self._fault_response(request):
            return response
        query = dict(request.query_params)
        records = list(_split_frames(await request.body()))
        if query["topic"] in READ_ONLY_TOPICS:
            return json_response({"error": "read only"}, 403)
        if self._is_too_large(records):
            return json_response({"error": "too large"}, 413)
        if self.faults.late_appends > 0:
            self.faults.late_appends -= 1
            self._late_appends[0].send_nowait((query, records))
            return HangingResponse()
        try:
            body = await self._append_now(query, records)
        except _Refusal as refusal:
            return json_response(refusal.body, refusal.status)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return TruncatedResponse()
        return json_response(body)

    def _is_too_large(self, records: list[bytes]) -> bool:
        sizes = [len(record) for record in records]
        options = self.options
        return sum(sizes) > options.call_bytes or any(
            size > options.record_bytes for size in sizes
        )

    async def _append_after_delay(
        self, query: dict[str, str], records: list[bytes]
    ) -> None:
        await anyio.sleep(self.faults.late_ms / 1000)
        try:
            await self._append_now(query, records)
        except _Refusal:
            # The append's condition no longer holds, and its caller gets no response.
            return

    async def _append_now(
        self, query: dict[str, str], records: list[bytes]
    ) -> dict[str, int]:
        part = self._part(query["topic"], int(query["part"]))
        async with part.append_lock:
            await anyio.sleep(self.options.append_ms / 1000)
            repeated = _check_producer(part, query, bool(records))
            if repeated is not None:
                return repeated
            if "asOf" in query and int(query["asOf"]) != part.end:
                raise _Refusal(412, {"end": part.end})
            body = self._add(part, query["topic"], records)
            _record_producer(part, query, body)
            return body

    async def _read(self, request: Request) -> Response:
        if response := await self._fault_response(request):
            return response
        query = request.query_params
        part = self._part(query["topic"], int(query["part"]))
        start = int(query["from"])
        wait_ms = min(float(query.get("waitMs", 0)), MAX_WAIT_MS)
        with anyio.move_on_after(wait_ms / 1000):
            while part.end <= start and start >= part.first:
                await part.appended.wait()
        part.expire(time.monotonic() - self.options.retention_s)
        if start < part.first:
            return json_response({"first": part.first}, 410)
        content = _BOUNDS.pack(part.end, part.first)
        limit = int(query.get("maxKb", 1024)) * 1024
        for record, _ in part.records[start - part.first :]:
            framed = _LENGTH.pack(len(record)) + record
            if len(content) > _BOUNDS.size and len(content) + len(framed) > limit:
                break
            content += framed
        return Response(content, media_type="application/octet-stream")

    async def _newest(self, request: Request) -> Response:
        if response := await self._fault_response(request):
            return response
        query = request.query_params
        part = self._part(query["topic"], int(query["part"]))
        after = query.get("after", "").encode()
        items: list[dict[str, object]] = []
        size = 0
        more = False
        for key in sorted(each for each in part.newest if each > after):
            offset, value = part.newest[key]
            size += len(value)
            if items and (len(items) == MAX_NEWEST_ITEMS or size > MAX_NEWEST_BYTES):
                more = True
                break
            encoded = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": encoded, "offset": offset})
        return json_response({"items": items, "hasMore": more, "end": part.end})

    async def _trim(self, request: Request) -> Response:
        if response := await self._fault_response(request):
            return response
        query = request.query_params
        part = self._part(query["topic"], int(query["part"]))
        drop = max(0, min(int(query["before"]), part.end) - part.first)
        del part.records[:drop]
        part.first += drop
        return json_response({"first": part.first})

    async def _join(self, request: Request) -> Response:
        if response := await self._fault_response(request):
            return response
        call = msgspec.json.decode(await request.body())
        group = self._groups.setdefault(call["group"], _Group())
        now = time.monotonic()
        self._remove_expired_members(group, now)
        if call["member"] not in group.members:
            group.members[call["member"]] = _Member(call["ttlMs"] / 1000, now)
            group.generation += 1
        member = group.members[call["member"]]
        member.seen = now
        partitions = [
            partition for partition in self._parts if partition[0] in call["topics"]
        ]
        _assign_partitions(group, sorted(partitions))
        rows = [
            [topic, part, group.committed.get((topic, part), 0)]
            for topic, part in sorted(member.parts)
        ]
        body = {"generation": group.generation, "ttlMs": call["ttlMs"], "parts": rows}
        return json_response(body)

    def _remove_expired_members(self, group: _Group, now: float) -> None:
        silent = [
            name
            for name, member in group.members.items()
            if now - member.seen > member.ttl_s
        ]
        for name in silent:
            del group.members[name]
            group.generation += 1

    async def _leave(self, request: Request) -> Response:
        if response := await self._fault_response(request):
            return response
        call = msgspec.json.decode(await request.body())
        group = self._groups.setdefault(call["group"], _Group())
        if group.members.pop(call["member"], None):
            group.generation += 1
        return json_response({})

    async def _commit(self, request: Request) -> Response:
        if response := await self._fault_response(request):
            return response
        call = msgspec.json.decode(await request.body())
        group = self._groups.setdefault(call["group"], _Group())
        member = group.members.get(call["member"])
        partition = (call["topic"], call["part"])
        if member is None or partition not in member.parts:
            return json_response({"error": "not held"}, 409)
        group.committed[partition] = call["offset"]
        return json_response({})

    async def _owners(self, request: Request) -> Response:
        if response := await self._fault_response(request):
            return response
        group = self._groups.get(request.query_params["group"], _Group())
        rows = [
            [topic, part, name, group.committed.get((topic, part), 0)]
            for name, member in sorted(group.members.items())
            for topic, part in sorted(member.parts)
        ]
        return json_response(rows)

    async def _set_faults(self, request: Request) -> Response:
        self.faults = await decode_body(request, StoreFaults)
        return json_response(self.faults)

    async def _put_record(self, request: Request) -> Response:
        names = request.path_params
        self.put(names["topic"], names["key"], await request.body())
        return json_response({})


def _split_frames(body: bytes) -> Iterator[bytes]:
    start = 0
    while start < len(body):
        (length,) = _LENGTH.unpack_from(body, start)
        start += _LENGTH.size
        yield body[start : start + length]
        start += length


def _check_producer(
    part: _Part, query: dict[str, str], appends: bool
) -> dict[str, int] | None:
    """Check a producer's epoch and sequence number.

    :return: the original answer to a repeated call, or None for a new call.
    :raises _Refusal: if the producer is fenced or its sequence number is out of order.
    """
    if "producer" not in query:
        return None
    known = part.producers.setdefault(query["producer"], _Producer())
    epoch = int(query["epoch"])
    if epoch < known.epoch:
        raise _Refusal(409, {"why": "fenced"})
    if epoch > known.epoch or not appends:
        return None
    sequence = int(query["seq"])
    if sequence in known.answers:
        return known.answers[sequence]
    if known.sequence >= 0 and sequence != known.sequence + 1:
        raise _Refusal(409, {"why": "seq", "seq": known.sequence + 1})
    return None


def _record_producer(part: _Part, query: dict[str, str], body: dict[str, int]) -> None:
    if "producer" not in query:
        return
    known = part.producers[query["producer"]]
    if int(query["epoch"]) > known.epoch:
        known.epoch = int(query["epoch"])
        known.sequence = -1
        known.answers.clear()
    if "seq" in query:
        known.sequence = int(query["seq"])
        known.answers[known.sequence] = body
        known.answers.pop(known.sequence - MAX_REPEATS, None)


def _assign_partitions(group: _Group, partitions: list[tuple[str, int]]) -> None:
    """Assign each partition to one member of the group, round-robin."""
    names = sorted(group.members)
    for member in group.members.values():
        member.parts = set()
    for number, partition in enumerate(partitions):
        group.members[names[number % len(names)]].parts.add(partition)


def main(address: str, **flags: object) -> None:
    """Serve the store at ``address``."""
    store = StoreStandIn(parse_options(StoreOptions, flags))
    serve_until_stopped([(address, store)])


if __name__ == "__main__":
    fire.Fire(main)
