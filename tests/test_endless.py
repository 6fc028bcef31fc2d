"""Bytes that are no answer and come without end, in a head or a body.

Each server here goes on until its connection is closed, and notes when that was.
"""

import json
import os
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count
from types import SimpleNamespace
from typing import cast

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from websockets.asyncio.client import connect

from chivespan.addresses import Address
from chivespan.batchexecutor import BatchExecutor
from chivespan.batchfront import BatchFrontend
from chivespan.callerapp import CallerApp, Listener
from chivespan.callerrequest import CallerRequest, Responder
from chivespan.callerserver import CallerServer
from chivespan.clock import SystemClock
from chivespan.codec import encode_message
from chivespan.engineapi import EngineRequest
from chivespan.engineclient import EngineClient, StreamLimits
from chivespan.errors import ChivespanError
from chivespan.eventstream import MAX_EVENT_BYTES, EventSplitter, parse_events
from chivespan.exchange import Call, exchange
from chivespan.forwarding import Forwarder
from chivespan.httplog import HttpLog
from chivespan.httpvmlist import HttpVmList
from chivespan.keyedstore import (
    KeyedRecord,
    Partition,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from chivespan.loadtable import LoadTable
from chivespan.nodemessages import ItemStart, ItemState, ItemStatus
from chivespan.nodemetrics import NodeMetrics
from chivespan.nodestatus import NodeStatus
from chivespan.peerlink import PeerLink, dial_once, listen
from chivespan.platform.documents import decode_config
from chivespan.platform.store import PlatformStore
from chivespan.routes import CallerLimits, Route
from chivespan.routingstate import RoutingState
from chivespan.targethttp import HttpRequest, TargetHttp
from chivespan.targetpick import TARGET_CHOICES, TargetPicker
from chivespan.targetset import TargetSet
from chivespan.targetsilence import SilenceDetector
from tests.factories import target_entry
from tests.fleet import HOST, config, route
from tests.test_peerlink import end_of

pytestmark = pytest.mark.anyio

S = timedelta(seconds=1)
OK = b"HTTP/1.1 200 OK\r\nx-chivespan-server-seal: s\r\nx-chivespan-request-id: r\r\n"
STREAM = OK + b"content-type: text/event-stream\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
DRIP_S = 0.05
FLOOD = 64 * 1024
# Until the server notices that its connection was closed.
NOTICE_S = 1.0
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
_ports = count(18_200 + 20 * WORKER)


@dataclass
class Endless:
    """What a server sends: first some bytes, then others without end.

    :param pause_s: between two sends.
    """

    first: bytes
    then: bytes
    pause_s: float = DRIP_S
    address: str = ""
    sent: int = 0
    open: int = 0

    async def serve(self, stream: SocketStream) -> None:
        async with stream:
            with suppress(anyio.EndOfStream):
                await stream.receive()
            await self.send_to(stream)

    async def send_to(self, stream: SocketStream) -> None:
        """Send until the other end closes the connection."""
        self.open += 1
        try:
            await stream.send(self.first)
            while True:
                await stream.send(self.then)
                self.sent += len(self.then)
                await anyio.sleep(self.pause_s)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self.open -= 1

    async def wait_closed(self) -> None:
        with anyio.fail_after(NOTICE_S):
            while self.open:
                await anyio.sleep(0.01)


@asynccontextmanager
async def serving(endless: Endless) -> AsyncIterator[Endless]:
    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as tasks,
    ):
        port = listener.extra(SocketAttribute.local_port)
        endless.address = f"127.0.0.1:{port}"
        tasks.start_soon(listener.serve, endless.serve)
        yield endless
        tasks.cancel_scope.cancel()


def call(address: str, **fields: object) -> Call:
    given = {"head_timeout": S / 2, "body_timeout": S / 2} | fields
    return Call(address, "POST", b"/x", [(b"host", b"x")], b"", **given)  # type: ignore[arg-type]


HEADS = {
    "interim answers": Endless(b"", INTERIM),
    "interim answers in a flood": Endless(b"", INTERIM * 2000, 0),
    "header lines": Endless(b"HTTP/1.1 200 OK\r\n", b"x-a: b\r\n"),
    "one long line in a flood": Endless(b"HTTP/1.1 200 OK\r\nx: ", b"y" * FLOOD, 0),
    "bytes that are no HTTP": Endless(b"", b"\x00"),
}


@pytest.mark.parametrize("what", HEADS)
async def test_head_without_end_is_left_in_time_and_closed(what: str) -> None:
    """A target sent interim answers for ever, each in time for a read (issue 17)."""
    endless = Endless(HEADS[what].first, HEADS[what].then, HEADS[what].pause_s)
    async with serving(endless):
        with anyio.fail_after(2), pytest.raises(ChivespanError):
            async with exchange(call(endless.address)):
                raise AssertionError("an answer")
        await endless.wait_closed()


BODIES = {
    "a drip": Endless(STREAM, b"x"),
    "a flood": Endless(STREAM, b"x" * FLOOD, 0),
}


@pytest.mark.parametrize("what", BODIES)
async def test_body_without_end_is_left_in_time_and_closed(what: str) -> None:
    """A target's body went on for ever, and all of it was kept (issue 17)."""
    endless = Endless(BODIES[what].first, BODIES[what].then, BODIES[what].pause_s)
    async with serving(endless):
        with anyio.fail_after(2), pytest.raises(ChivespanError):
            async with exchange(call(endless.address, max_body_bytes=4 * FLOOD)) as r:
                await r.body()
        await endless.wait_closed()


def test_event_without_end_is_refused_at_its_bound() -> None:
    """An event that never ended grew, and each chunk copied all before it."""
    splitter = EventSplitter()
    for _ in range(MAX_EVENT_BYTES // 2):
        assert splitter.feed(b"xy") == b""
    with pytest.raises(ChivespanError):
        splitter.feed(b"xy")


@pytest.mark.parametrize("event_id", [b"9" * 5000, "²".encode(), b"-1", b"x"])
def test_ids_that_are_no_numbers_name_no_event(event_id: bytes) -> None:
    """A number too long for int(), or a digit that is none, raised ValueError."""
    event = b"id: " + event_id + b"\ndata: a\n\n"
    splitter = EventSplitter()
    assert parse_events(splitter.feed(event))[0].event_id is None
    assert splitter.last_id == 0


@dataclass
class Rig:
    """The parts of a node that ask targets, before one of them."""

    address: str

    def __post_init__(self) -> None:
        self.clock = SystemClock()
        self.targets = TargetSet(self.clock)
        self.targets.replace([target_entry("t", service="svc", address=self.address)])
        self.load_table = LoadTable(self.clock)
        self.silence = SilenceDetector(self.clock)
        self.metrics = NodeMetrics()
        self.told: list[ItemStatus] = []
        self.picker = TargetPicker(
            self.targets,
            self.load_table,
            "dc-1",
            self.clock,
            self.silence,
            TARGET_CHOICES["shared_counts"],
        )
        self.executor = BatchExecutor(
            self.targets,
            self.picker,
            self.load_table,
            self.silence,
            self.clock,
            self.metrics,
            self.told.append,
        )

    async def run_item(self, tasks: TaskGroup) -> ItemState:
        """Run an item and return how its run ended; the node's task goes on."""
        tasks.start_soon(self.executor.run)
        await anyio.sleep(0.01)
        self.executor.start(
            ItemStart(
                partition=1,
                job_id="j",
                item_id="r",
                target_id="t",
                host=HOST,
                path="/batch/1",
                headers=[],
                body=b"x",
                events=[],
            )
        )
        while not [each for each in self.told if not each.repeated]:
            await anyio.sleep(0.01)
        return next(each.state for each in self.told if not each.repeated)


NO_EVENTS = {
    "not UTF-8": Endless(STREAM, b"id: 1\ndata: \xff\xfe\n\n", 0.2),
    "a number too long": Endless(STREAM, b"id: " + b"9" * 5000 + b"\ndata: a\n\n", 0.2),
    "no event's end, in a flood": Endless(STREAM, b"x" * FLOOD, 0),
    "no event's end, in a drip": Endless(STREAM, b"x", 0.01),
    "interim answers": Endless(b"", INTERIM, 0.01),
    "a huge length": Endless(
        OK + b"content-length: " + b"9" * 30 + b"\r\n\r\n", b"x", 0
    ),
}


@pytest.mark.parametrize("what", NO_EVENTS)
async def test_no_answer_to_an_item_ends_the_node(
    what: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An event that was no UTF-8 ended the task group of the node (issue 17)."""
    monkeypatch.setattr("chivespan.batchexecutor.RUN_TIME", S / 2)
    endless = Endless(
        NO_EVENTS[what].first, NO_EVENTS[what].then, NO_EVENTS[what].pause_s
    )
    async with serving(endless), anyio.create_task_group() as tasks:
        rig = Rig(endless.address)
        with anyio.fail_after(3):
            assert await rig.run_item(tasks) is ItemState.broken
        await endless.wait_closed()
        tasks.cancel_scope.cancel()


@dataclass
class Caller:
    """A caller of online requests; notes what it is sent."""

    received: int = 0
    statuses: list[int] = field(default_factory=list)

    async def send(self, message: dict[str, object]) -> None:
        if message["type"] == "http.response.start":
            self.statuses.append(int(str(message["status"])))
        body = message.get("body", b"")
        assert isinstance(body, bytes)
        self.received += len(body)


def online_request(rig: Rig, **fields: object) -> tuple[CallerRequest, Route]:
    routing = RoutingState(decode_config)
    routing.apply_if_newer(
        config(1, route("r", "/s/", timeoutMs=800, **fields)), "test"
    )
    table = routing.table
    assert table is not None
    found = table.find(HOST, "/s/1")
    assert found is not None
    request = CallerRequest(
        request_id="r",
        method="POST",
        host=HOST,
        path="/s/1",
        target=b"/s/1",
        headers=[(b"x-chivespan-request-id", b"r")],
        body=b"x",
        arrived=rig.clock.monotonic(),
    )
    return request, found


ONLINE = {
    "resumable, head": (True, HEADS["interim answers"]),
    "resumable, body": (True, BODIES["a drip"]),
    "resumable, body in a flood": (True, BODIES["a flood"]),
    "not resumable, head": (False, HEADS["interim answers in a flood"]),
    "not resumable, body": (False, BODIES["a drip"]),
}


@pytest.mark.parametrize("what", ONLINE)
@pytest.mark.parametrize("leaves", [False, True])
async def test_online_request_ends_in_time_and_closes_its_target(
    what: str, leaves: bool
) -> None:
    """Bytes without end held a request's connection, also once its caller had left."""
    resumable, kind = ONLINE[what]
    async with serving(Endless(kind.first, kind.then, kind.pause_s)) as endless:
        rig = Rig(endless.address)
        forwarder = Forwarder(
            rig.picker, rig.load_table, rig.silence, rig.clock, rig.metrics
        )
        request, found = online_request(rig, resumable=resumable)
        caller = Caller()
        patience = 0.2 if leaves else 2.0
        with anyio.move_on_after(patience) as waiting:
            await forwarder.serve(request, found, Responder(caller.send, "r"))
        assert waiting.cancelled_caught <= leaves
        await endless.wait_closed()
        assert rig.load_table.total("t") == 0


STORE_CALLS: dict[str, Callable[[PlatformStore], object]] = {
    "append": lambda store: store.append(Partition("keyed.t"), [KeyedRecord("k", b"")]),
    "read": lambda store: store.read(Partition("keyed.t"), 0, S / 10),
    "newest": lambda store: store.newest(Partition("keyed.t")),
}


@pytest.mark.parametrize("name", STORE_CALLS)
@pytest.mark.parametrize("kind", [*HEADS.values(), *BODIES.values()])
async def test_store_that_answers_without_end_is_one_that_gave_no_answer(
    name: str, kind: Endless, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Reads of a store whose answer went on for ever never came back."""
    monkeypatch.setattr("chivespan.platform.store.BODY_TIMEOUT", S / 2)
    async with serving(Endless(kind.first, kind.then, kind.pause_s)) as endless:
        store = PlatformStore(endless.address, S / 2)
        raised = StoreOutcomeUnknown if name == "append" else StoreUnavailable
        with anyio.fail_after(3), pytest.raises(raised):
            await STORE_CALLS[name](store)  # type: ignore[misc]
        await endless.wait_closed()


@pytest.mark.parametrize("kind", [*HEADS.values(), *BODIES.values()])
async def test_pooled_call_to_a_target_ends_in_time(
    kind: Endless, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The separate programs' calls bounded each read, and no answer."""
    monkeypatch.setattr("chivespan.targethttp.CONNECT_TIMEOUT", S / 4)
    monkeypatch.setattr("chivespan.targethttp.WRITE_TIMEOUT", S / 4)
    async with (
        serving(Endless(kind.first, kind.then, kind.pause_s)) as endless,
        TargetHttp() as http,
    ):
        request = HttpRequest(endless.address, "GET", "/load")
        with anyio.fail_after(3), pytest.raises(ChivespanError):
            await http.call(request, S / 2)
        await endless.wait_closed()


@pytest.mark.parametrize("what", HEADS)
async def test_pooled_head_without_end_is_left_in_time(
    what: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The head of a stream's answer was waited for without a bound on the whole."""
    monkeypatch.setattr("chivespan.targethttp.CONNECT_TIMEOUT", S / 4)
    monkeypatch.setattr("chivespan.targethttp.WRITE_TIMEOUT", S / 4)
    kind = HEADS[what]
    async with (
        serving(Endless(kind.first, kind.then, kind.pause_s)) as endless,
        TargetHttp() as http,
    ):
        request = HttpRequest(endless.address, "GET", "/load")
        with anyio.fail_after(3), pytest.raises(ChivespanError):
            async with http.open(request, S / 2):
                raise AssertionError("an answer")
        await endless.wait_closed()


async def test_error_of_an_engine_whose_body_has_no_end_is_told() -> None:
    """The whole body of an error was read before it was told."""
    failed = Endless(b"HTTP/1.1 500 no\r\n\r\n", b"x")
    async with serving(failed) as endless, TargetHttp() as http:
        client = EngineClient(http)
        request = EngineRequest(
            model="m",
            prompt="p",
            max_tokens=1,
            stream=True,
            request_id="r",
            resume_tokens=[],
        )
        stream = client.stream(endless.address, request, StreamLimits(S, S))
        with anyio.fail_after(3), pytest.raises(ChivespanError):
            await anext(stream)


@pytest.mark.parametrize("kind", [*HEADS.values(), *BODIES.values()])
async def test_log_and_vm_list_that_answer_without_end_are_left(
    kind: Endless, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The separate programs waited for ever for a log or VM list that dripped."""
    monkeypatch.setattr("chivespan.httpvmlist.FETCH_TIMEOUT_S", 0.5)
    monkeypatch.setattr("chivespan.httplog.READ_TIMEOUT", S / 2)
    monkeypatch.setattr("chivespan.httplog.CONNECT_TIMEOUT", S / 2)
    async with serving(Endless(kind.first, kind.then, kind.pause_s)) as endless:
        vm_list = HttpVmList(f"http://{endless.address}")
        with anyio.fail_after(3), pytest.raises(ChivespanError):
            await vm_list.fetch()
        log = HttpLog(f"http://{endless.address}")
        with anyio.fail_after(3), pytest.raises(ChivespanError):
            await log.bounds("s")
        await vm_list.close()
        await log.aclose()
        await endless.wait_closed()


class CallerSite:
    """A caller's end of a node's server, which takes what bodies come."""

    limits = CallerLimits(
        max_header_bytes=2_000,
        max_body_bytes=100_000,
        header_timeout=S / 2,
        idle_timeout=S / 2,
    )

    def __init__(self) -> None:
        routing = RoutingState(decode_config)
        document = json.loads(config(1))
        document["limits"] = {"maxBodyBytes": 100_000, "idleTimeoutMs": 500}
        routing.apply_if_newer(json.dumps(document).encode(), "test")
        port = next(_ports)
        self.address = Address("127.0.0.1", port)
        app = CallerApp(
            {port: Listener.FRONT},
            cast(NodeStatus, SimpleNamespace(is_leaving=False, refuses_new=False)),
            routing,
            cast(Forwarder, None),
            cast(BatchFrontend, None),
            NodeMetrics(),
            SystemClock(),
        )
        self.server = CallerServer(app, [self.address], lambda: self.limits)


CHUNKED = b"POST /s/1 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
FROM_CALLERS = {
    "a head in a drip": (Endless(b"GET / HTTP/1.1\r\n", b"a: b\r\n"), 408),
    "a head in a flood": (Endless(b"GET / HTTP/1.1\r\na: ", b"y" * FLOOD, 0), 431),
    "a body in a drip": (Endless(CHUNKED, b"1\r\nx\r\n"), 408),
    "a body in a flood": (
        Endless(CHUNKED, b"2710\r\n%b\r\n" % (b"x" * 10_000), 0),
        413,
    ),
    "bytes that are no request": (Endless(b"\x16\x03\x01", b"\x00" * 50), 400),
}


@pytest.mark.parametrize("what", FROM_CALLERS)
async def test_caller_that_sends_without_end_is_answered_and_left(what: str) -> None:
    """A caller's body that dripped was read for ever, and held its connection."""
    kind, status = FROM_CALLERS[what]
    site = CallerSite()
    answer = b""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(site.server.run)
        stream = await _connected(site.address)
        endless = Endless(kind.first, kind.then, kind.pause_s)

        async def send() -> None:
            await endless.send_to(stream)

        tasks.start_soon(send)
        with anyio.fail_after(3):
            try:
                while True:
                    answer += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass
        assert answer.startswith(b"HTTP/1.1 %d " % status)
        await endless.wait_closed()
        await stream.aclose()
        site.server.stop()


async def _connected(address: Address) -> SocketStream:
    while True:
        try:
            return await anyio.connect_tcp(address.host, address.port)
        except OSError:
            await anyio.sleep(0.02)


async def _ignore(_link: PeerLink) -> None:
    raise AssertionError("a link")


@pytest.mark.parametrize("what", HEADS)
async def test_node_that_answers_a_dial_without_end_is_left(what: str) -> None:
    """Bytes without end in place of a handshake held no dial; guards against that."""
    kind = HEADS[what]
    async with serving(Endless(kind.first, kind.then, kind.pause_s)) as endless:
        with anyio.fail_after(3):
            assert not await dial_once(endless.address, end_of("a"), _ignore)
        await endless.wait_closed()


FROM_DIALLERS = {
    "header lines": Endless(b"GET / HTTP/1.1\r\n", b"a: b\r\n"),
    "one long line in a flood": Endless(b"GET / HTTP/1.1\r\na: ", b"y" * FLOOD, 0),
    "bytes that are no HTTP": Endless(b"", b"\x00"),
}


@pytest.mark.parametrize("what", FROM_DIALLERS)
async def test_node_that_dials_without_end_is_left(what: str) -> None:
    """Bytes without end in place of a handshake held no end that was dialled."""
    kind = FROM_DIALLERS[what]
    endless = Endless(kind.first, kind.then, kind.pause_s)
    async with listen("127.0.0.1", 0, end_of("a"), _ignore) as port:
        stream = await anyio.connect_tcp("127.0.0.1", port)
        with anyio.fail_after(3):
            await endless.send_to(stream)
        await stream.aclose()


async def test_frame_without_end_leaves_its_link() -> None:
    """A frame that dripped for ever was never whole, and the link never silent."""
    heard: list[object] = []

    async def hear(link: PeerLink) -> None:
        heard.extend([message async for message in link])

    end = end_of("a")
    async with (
        listen("127.0.0.1", 0, end, hear) as port,
        connect(
            f"ws://127.0.0.1:{port}",
            additional_headers={"Authorization": f"Bearer {end.options.peer_key}"},
            compression=None,
            proxy=None,
            ping_interval=None,
        ) as websocket,
    ):
        await websocket.send(encode_message(end_of("b").hello))
        # The head of a frame of 1 MB, whose bytes then drip.
        websocket.transport.write(b"\x82\xff" + (1 << 20).to_bytes(8) + b"\0" * 4)
        with anyio.fail_after(5):
            while not websocket.transport.is_closing():
                websocket.transport.write(b"x")
                await anyio.sleep(DRIP_S)
    assert not heard
