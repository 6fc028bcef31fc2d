"""Peers that send data without end, in a head, a body, a handshake or a frame.

Each peer sends until its connection is closed. The tests check that the connection is
closed in time, so that no such peer can occupy a request, a connection or memory.
"""

import json
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
from chivespan.exchange import exchange
from chivespan.forwarding import Forwarder
from chivespan.httpcall import Call
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
from chivespan.quarantine import Quarantine
from chivespan.requestguard import RequestGuard
from chivespan.routes import CallerLimits, Route
from chivespan.routingstate import RoutingState
from chivespan.targetchoices import TARGET_CHOICES
from chivespan.targethttp import HttpRequest, TargetHttp
from chivespan.targetpick import TargetPicker
from chivespan.targetset import TargetSet
from chivespan.targetsilence import SilenceDetector
from tests.addresses import own_block
from tests.factories import MAX_OUTPUT_BYTES, target_entry
from tests.fleet import HOST, config, route
from tests.test_peerlink import end_of

pytestmark = pytest.mark.anyio

S = timedelta(seconds=1)
OK = b"HTTP/1.1 200 OK\r\nx-chivespan-server-seal: s\r\nx-chivespan-request-id: r\r\n"
STREAM = OK + b"content-type: text/event-stream\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
SLOW_PAUSE_S = 0.05
FAST_CHUNK_BYTES = 64 * 1024
# Until the sender detects that its connection was closed.
CLOSE_TIMEOUT_S = 1.0
SERVER_HOST = f"{own_block()}.238.1"
_ports = count(18_200)


@dataclass
class EndlessSender:
    """A server that sends some bytes once, and then others until it is disconnected.

    :param initial_bytes: sent once.
    :param repeated_bytes: sent repeatedly.
    :param pause_s: pause between two sends.
    :ivar sent: number of repeated bytes sent.
    :ivar open_connections: number of open connections.
    """

    initial_bytes: bytes
    repeated_bytes: bytes
    pause_s: float = SLOW_PAUSE_S
    address: str = ""
    sent: int = 0
    open_connections: int = 0

    async def serve(self, stream: SocketStream) -> None:
        async with stream:
            with suppress(anyio.EndOfStream):
                await stream.receive()
            await self.send_to(stream)

    async def send_to(self, stream: SocketStream) -> None:
        """Send until the peer closes the connection."""
        self.open_connections += 1
        try:
            await stream.send(self.initial_bytes)
            while True:
                await stream.send(self.repeated_bytes)
                self.sent += len(self.repeated_bytes)
                await anyio.sleep(self.pause_s)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self.open_connections -= 1

    async def wait_closed(self) -> None:
        with anyio.fail_after(CLOSE_TIMEOUT_S):
            while self.open_connections:
                await anyio.sleep(0.01)


@asynccontextmanager
async def serving(endless: EndlessSender) -> AsyncIterator[EndlessSender]:
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
    "interim responses": EndlessSender(b"", INTERIM),
    "fast interim responses": EndlessSender(b"", INTERIM * 2000, 0),
    "header lines": EndlessSender(b"HTTP/1.1 200 OK\r\n", b"x-a: b\r\n"),
    "one long line, fast": EndlessSender(
        b"HTTP/1.1 200 OK\r\nx: ", b"y" * FAST_CHUNK_BYTES, 0
    ),
    "invalid HTTP": EndlessSender(b"", b"\x00"),
}


@pytest.mark.parametrize("case", HEADS)
async def test_exchange_with_endless_head_times_out_and_closes(case: str) -> None:
    """A target sent interim responses without end, each within the read timeout
    (issue 17).
    """
    endless = EndlessSender(
        HEADS[case].initial_bytes, HEADS[case].repeated_bytes, HEADS[case].pause_s
    )
    async with serving(endless):
        with anyio.fail_after(2), pytest.raises(ChivespanError):
            async with exchange(call(endless.address)):
                raise AssertionError("unexpected response")
        await endless.wait_closed()


BODIES = {
    "slow": EndlessSender(STREAM, b"x"),
    "fast": EndlessSender(STREAM, b"x" * FAST_CHUNK_BYTES, 0),
}


@pytest.mark.parametrize("case", BODIES)
async def test_exchange_with_endless_body_fails_and_closes(case: str) -> None:
    """A target sent a body without end, and all of it was buffered (issue 17)."""
    endless = EndlessSender(
        BODIES[case].initial_bytes, BODIES[case].repeated_bytes, BODIES[case].pause_s
    )
    async with serving(endless):
        with anyio.fail_after(2), pytest.raises(ChivespanError):
            async with exchange(
                call(endless.address, max_body_bytes=4 * FAST_CHUNK_BYTES)
            ) as r:
                await r.body()
        await endless.wait_closed()


def test_endless_event_is_rejected_at_the_size_limit() -> None:
    """An event without end grew without limit, and each chunk copied the buffer."""
    splitter = EventSplitter()
    for _ in range(MAX_EVENT_BYTES // 2):
        assert splitter.feed(b"xy") == b""
    with pytest.raises(ChivespanError):
        splitter.feed(b"xy")


@pytest.mark.parametrize("event_id", [b"9" * 5000, "²".encode(), b"-1", b"x"])
def test_invalid_event_ids_are_ignored(event_id: bytes) -> None:
    """A number too long for ``int()``, or a non-decimal digit, raised ValueError."""
    event = b"id: " + event_id + b"\ndata: a\n\n"
    splitter = EventSplitter()
    assert parse_events(splitter.feed(event))[0].event_id is None
    assert splitter.last_id == 0


@dataclass
class Rig:
    """The components of a node that send requests to targets, with one target."""

    address: str

    def __post_init__(self) -> None:
        self.clock = SystemClock()
        self.targets = TargetSet(self.clock)
        self.targets.replace([target_entry("t", service="svc", address=self.address)])
        self.load_table = LoadTable(self.clock)
        self.silence = SilenceDetector(self.clock)
        self.metrics = NodeMetrics()
        self.statuses: list[ItemStatus] = []
        self.picker = TargetPicker(
            self.targets,
            self.load_table,
            "dc-1",
            self.clock,
            self.silence,
            TARGET_CHOICES["shared_counts"],
            timedelta,
        )
        self.executor = BatchExecutor(
            self.targets,
            self.picker,
            self.load_table,
            self.silence,
            self.clock,
            self.metrics,
            self.statuses.append,
            Quarantine(self.clock),
            MAX_OUTPUT_BYTES,
        )

    async def run_item(self, tasks: TaskGroup) -> ItemState:
        """Run an item and return its final state; the executor's task keeps running."""
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
        while not [each for each in self.statuses if not each.repeated]:
            await anyio.sleep(0.01)
        return next(each.state for each in self.statuses if not each.repeated)


INVALID_RESPONSES = {
    "not UTF-8": EndlessSender(STREAM, b"id: 1\ndata: \xff\xfe\n\n", 0.2),
    "too long number": EndlessSender(
        STREAM, b"id: " + b"9" * 5000 + b"\ndata: a\n\n", 0.2
    ),
    "endless event, fast": EndlessSender(STREAM, b"x" * FAST_CHUNK_BYTES, 0),
    "endless event, slow": EndlessSender(STREAM, b"x", 0.01),
    "interim responses": EndlessSender(b"", INTERIM, 0.01),
    "huge length": EndlessSender(
        OK + b"content-length: " + b"9" * 30 + b"\r\n\r\n", b"x", 0
    ),
}


@pytest.mark.parametrize("case", INVALID_RESPONSES)
async def test_invalid_response_to_an_item_does_not_end_the_node(
    case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An event that wasn't valid UTF-8 ended the task group of the node (issue 17)."""
    monkeypatch.setattr("chivespan.itemrequest.RUN_TIME", S / 2)
    endless = EndlessSender(
        INVALID_RESPONSES[case].initial_bytes,
        INVALID_RESPONSES[case].repeated_bytes,
        INVALID_RESPONSES[case].pause_s,
    )
    async with serving(endless), anyio.create_task_group() as tasks:
        rig = Rig(endless.address)
        with anyio.fail_after(3):
            assert await rig.run_item(tasks) is ItemState.broken
        await endless.wait_closed()
        tasks.cancel_scope.cancel()


@dataclass
class Caller:
    """A caller of online requests; records status codes and bytes received."""

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
        headers=[(b"host", HOST.encode()), (b"x-chivespan-request-id", b"r")],
        body=b"x",
        arrived=rig.clock.monotonic(),
    )
    return request, found


ONLINE = {
    "resumable, head": (True, HEADS["interim responses"]),
    "resumable, body": (True, BODIES["slow"]),
    "resumable, fast body": (True, BODIES["fast"]),
    "not resumable, head": (False, HEADS["fast interim responses"]),
    "not resumable, body": (False, BODIES["slow"]),
}


@pytest.mark.parametrize("case", ONLINE)
@pytest.mark.parametrize("caller_leaves", [False, True])
async def test_online_request_ends_in_time_and_closes_its_connection(
    case: str, caller_leaves: bool
) -> None:
    """Data without end kept a request's connection open, even after its caller had
    disconnected.
    """
    resumable, kind = ONLINE[case]
    async with serving(
        EndlessSender(kind.initial_bytes, kind.repeated_bytes, kind.pause_s)
    ) as endless:
        rig = Rig(endless.address)
        forwarder = Forwarder(
            rig.picker,
            rig.load_table,
            rig.silence,
            rig.clock,
            rig.metrics,
            RequestGuard(Quarantine(rig.clock)),
        )
        request, found = online_request(rig, resumable=resumable)
        caller = Caller()
        time_limit_s = 0.2 if caller_leaves else 2.0
        with anyio.move_on_after(time_limit_s) as waiting:
            await forwarder.serve(request, found, Responder(caller.send, "r"))
        assert waiting.cancelled_caught <= caller_leaves
        await endless.wait_closed()
        assert rig.load_table.total("t") == 0


STORE_CALLS: dict[str, Callable[[PlatformStore], object]] = {
    "append": lambda store: store.append(Partition("keyed.t"), [KeyedRecord("k", b"")]),
    "read": lambda store: store.read(Partition("keyed.t"), 0, S / 10),
    "newest": lambda store: store.newest(Partition("keyed.t")),
}


@pytest.mark.parametrize("name", STORE_CALLS)
@pytest.mark.parametrize("kind", [*HEADS.values(), *BODIES.values()])
async def test_endless_response_of_the_store_counts_as_no_response(
    name: str, kind: EndlessSender, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Reads of a store that responded without end never returned."""
    monkeypatch.setattr("chivespan.platform.store.BODY_TIMEOUT", S / 2)
    async with serving(
        EndlessSender(kind.initial_bytes, kind.repeated_bytes, kind.pause_s)
    ) as endless:
        store = PlatformStore(endless.address, S / 2)
        raised = StoreOutcomeUnknown if name == "append" else StoreUnavailable
        with anyio.fail_after(3), pytest.raises(raised):
            await STORE_CALLS[name](store)  # type: ignore[misc]
        await endless.wait_closed()


@pytest.mark.parametrize("kind", [*HEADS.values(), *BODIES.values()])
async def test_pooled_call_with_endless_response_times_out(
    kind: EndlessSender, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The calls of the separate programs limited each read, but not the response."""
    monkeypatch.setattr("chivespan.targethttp.CONNECT_TIMEOUT", S / 4)
    monkeypatch.setattr("chivespan.targethttp.WRITE_TIMEOUT", S / 4)
    async with (
        serving(
            EndlessSender(kind.initial_bytes, kind.repeated_bytes, kind.pause_s)
        ) as endless,
        TargetHttp() as http,
    ):
        request = HttpRequest(endless.address, "GET", "/load")
        with anyio.fail_after(3), pytest.raises(ChivespanError):
            await http.call(request, S / 2)
        await endless.wait_closed()


@pytest.mark.parametrize("case", HEADS)
async def test_pooled_stream_with_endless_head_times_out(
    case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The time for the head of a streaming response had no total limit."""
    monkeypatch.setattr("chivespan.targethttp.CONNECT_TIMEOUT", S / 4)
    monkeypatch.setattr("chivespan.targethttp.WRITE_TIMEOUT", S / 4)
    kind = HEADS[case]
    async with (
        serving(
            EndlessSender(kind.initial_bytes, kind.repeated_bytes, kind.pause_s)
        ) as endless,
        TargetHttp() as http,
    ):
        request = HttpRequest(endless.address, "GET", "/load")
        with anyio.fail_after(3), pytest.raises(ChivespanError):
            async with http.open(request, S / 2):
                raise AssertionError("unexpected response")
        await endless.wait_closed()


async def test_engine_error_with_endless_body_is_raised() -> None:
    """The whole body of an error response was read before the error was raised."""
    failed = EndlessSender(b"HTTP/1.1 500 no\r\n\r\n", b"x")
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
async def test_endless_responses_of_log_and_vm_list_time_out(
    kind: EndlessSender, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The separate programs waited forever for a log or VM list that sent slowly."""
    monkeypatch.setattr("chivespan.httpvmlist.FETCH_TIMEOUT_S", 0.5)
    monkeypatch.setattr("chivespan.httplog.READ_TIMEOUT", S / 2)
    monkeypatch.setattr("chivespan.httplog.CONNECT_TIMEOUT", S / 2)
    async with serving(
        EndlessSender(kind.initial_bytes, kind.repeated_bytes, kind.pause_s)
    ) as endless:
        vm_list = HttpVmList(f"http://{endless.address}")
        with anyio.fail_after(3), pytest.raises(ChivespanError):
            await vm_list.fetch()
        log = HttpLog(f"http://{endless.address}")
        with anyio.fail_after(3), pytest.raises(ChivespanError):
            await log.bounds("s")
        await vm_list.close()
        await log.aclose()
        await endless.wait_closed()


class CallerNode:
    """A node's server for callers, without the components behind it."""

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
        self.address = Address(SERVER_HOST, port)
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
CALLER_DATA = {
    "slow head": (EndlessSender(b"GET / HTTP/1.1\r\n", b"a: b\r\n"), 408),
    "fast head": (
        EndlessSender(b"GET / HTTP/1.1\r\na: ", b"y" * FAST_CHUNK_BYTES, 0),
        431,
    ),
    "slow body": (EndlessSender(CHUNKED, b"1\r\nx\r\n"), 408),
    "fast body": (
        EndlessSender(CHUNKED, b"2710\r\n%b\r\n" % (b"x" * 10_000), 0),
        413,
    ),
    "invalid request": (EndlessSender(b"\x16\x03\x01", b"\x00" * 50), 400),
}


@pytest.mark.parametrize("case", CALLER_DATA)
async def test_caller_that_sends_without_end_is_rejected_and_disconnected(
    case: str,
) -> None:
    """A caller's slow endless body was read forever, and kept its connection open."""
    kind, status = CALLER_DATA[case]
    node = CallerNode()
    response = b""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.server.run)
        stream = await _connect(node.address)
        endless = EndlessSender(kind.initial_bytes, kind.repeated_bytes, kind.pause_s)

        async def send() -> None:
            await endless.send_to(stream)

        tasks.start_soon(send)
        with anyio.fail_after(3):
            try:
                while True:
                    response += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass
        assert response.startswith(b"HTTP/1.1 %d " % status)
        await endless.wait_closed()
        await stream.aclose()
        node.server.stop()


async def _connect(address: Address) -> SocketStream:
    while True:
        try:
            return await anyio.connect_tcp(address.host, address.port)
        except OSError:
            await anyio.sleep(0.02)


async def _reject_link(_link: PeerLink) -> None:
    raise AssertionError("unexpected link")


@pytest.mark.parametrize("case", HEADS)
async def test_endless_response_to_a_handshake_times_out(case: str) -> None:
    """Data without end instead of a handshake must not block the dialling node."""
    kind = HEADS[case]
    async with serving(
        EndlessSender(kind.initial_bytes, kind.repeated_bytes, kind.pause_s)
    ) as endless:
        with anyio.fail_after(3):
            assert not await dial_once(endless.address, end_of("a"), _reject_link)
        await endless.wait_closed()


DIALLER_DATA = {
    "header lines": EndlessSender(b"GET / HTTP/1.1\r\n", b"a: b\r\n"),
    "one long line, fast": EndlessSender(
        b"GET / HTTP/1.1\r\na: ", b"y" * FAST_CHUNK_BYTES, 0
    ),
    "invalid HTTP": EndlessSender(b"", b"\x00"),
}


@pytest.mark.parametrize("case", DIALLER_DATA)
async def test_endless_handshake_request_times_out(case: str) -> None:
    """Data without end instead of a handshake must not block the dialled node."""
    kind = DIALLER_DATA[case]
    endless = EndlessSender(kind.initial_bytes, kind.repeated_bytes, kind.pause_s)
    async with listen("127.0.0.1", 0, end_of("a"), _reject_link) as port:
        stream = await anyio.connect_tcp("127.0.0.1", port)
        with anyio.fail_after(3):
            await endless.send_to(stream)
        await stream.aclose()


async def test_endless_frame_closes_its_link() -> None:
    """A frame whose bytes arrived slowly was never complete, but its link was never
    silent either, so no timeout applied.
    """
    received_messages: list[object] = []

    async def receive(link: PeerLink) -> None:
        received_messages.extend([message async for message in link])

    end = end_of("a")
    async with (
        listen("127.0.0.1", 0, end, receive) as port,
        connect(
            f"ws://127.0.0.1:{port}",
            additional_headers={"Authorization": f"Bearer {end.options.peer_key}"},
            compression=None,
            proxy=None,
            ping_interval=None,
        ) as websocket,
    ):
        await websocket.send(encode_message(end_of("b").hello))
        # The header of a frame of 1 MB, whose payload then arrives slowly.
        websocket.transport.write(b"\x82\xff" + (1 << 20).to_bytes(8) + b"\0" * 4)
        with anyio.fail_after(5):
            while not websocket.transport.is_closing():
                websocket.transport.write(b"x")
                await anyio.sleep(SLOW_PAUSE_S)
    assert not received_messages
