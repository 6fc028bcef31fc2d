"""Links with silence timeouts, a missing key, or invalid frames."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from random import Random

import anyio
import cbor2
import pytest
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, InvalidStatus

from chivespan.clock import SystemClock
from chivespan.codec import PROTOCOL_VERSION, decode_message, encode_message
from chivespan.linkmessages import Heartbeat, Program
from chivespan.messages import GrantAbandon, StatusRequest
from chivespan.metrics import Metrics
from chivespan.peerlink import (
    LinkEnd,
    LinkOptions,
    PeerLink,
    dial,
    listen,
    new_hello,
)
from tests.controlnodes import settings_of, until
from tests.relay import relaying

pytestmark = pytest.mark.anyio
HOST = "127.43.0.1"
ABANDON = GrantAbandon(request_id="r")


def end_of(vm: str) -> LinkEnd:
    settings = settings_of(vm, 0)
    hello = new_hello(settings, Program.entry)
    return LinkEnd(hello, LinkOptions.from_settings(settings), SystemClock(), Metrics())


@dataclass
class Recorder:
    """Records the links of one end and the messages received except heartbeats."""

    end: LinkEnd
    links: list[PeerLink] = field(default_factory=list)
    messages: list[object] = field(default_factory=list)

    @property
    def counters(self) -> dict[str, int]:
        assert isinstance(self.end.counters, Metrics)
        return dict(self.end.counters.counters)

    async def handle(self, link: PeerLink) -> None:
        self.links.append(link)
        async for message in link:
            if not isinstance(message, Heartbeat):
                self.messages.append(message)


@asynccontextmanager
async def recording_server() -> AsyncIterator[tuple[Recorder, str]]:
    server = Recorder(end_of(HOST))
    async with listen(HOST, 0, server.end, server.handle) as port:
        yield server, f"{HOST}:{port}"


def headers(key: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {key}"}


async def test_silent_connection_is_closed_and_replaced() -> None:
    client = Recorder(end_of("127.43.0.2"))
    async with (
        recording_server() as (server, address),
        relaying(address) as (relay, through),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(dial, through, client.end, client.handle)
        await until(lambda: len(client.links) == 1 and len(server.links) == 1)
        relay.stall_open_connections()
        client.links[0].send(ABANDON)
        silence = (
            client.end.options.silence_timeout
            + 4 * client.end.options.heartbeat_interval
        )
        with anyio.fail_after(silence.total_seconds()):
            await until(lambda: len(client.links) == 2)
        assert not client.links[0].is_open
        assert client.counters["peer.silent"] == 1
        await until(lambda: not server.links[0].is_open)
        client.links[1].send(StatusRequest(request_id="s"))
        await until(lambda: bool(server.messages))
        assert server.messages == [StatusRequest(request_id="s")]
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("given", [{}, headers("wrong"), headers("peer-ke\xff")])
async def test_wrong_key_gets_401_and_is_counted(given: dict[str, str]) -> None:
    async with recording_server() as (server, address):
        with pytest.raises(InvalidStatus) as refused:
            await connect(f"ws://{address}", additional_headers=given)
        assert refused.value.response.status_code == 401
        assert server.counters == {"peer.unauthenticated": 1}
        assert server.links == []


@pytest.mark.parametrize(
    "invalid_frame",
    [
        b"\xff",
        b"",
        "text",
        encode_message(ABANDON)[:-1],
        b"\x82gNothing\xa0",
        b"\x82lGrantAbandon\xa1jrequest_id\x01",
        b"\x82lGrantAbandon\xa1jrequest_idar",
        b"\x82lGrantAbandon\x81\x01",
        b"\x82lGrantAbandon\x80",
    ],
)
async def test_invalid_frame_closes_only_its_link(invalid_frame: bytes | str) -> None:
    async with recording_server() as (server, address):
        hello = encode_message(new_hello(settings_of(HOST, 0), Program.batch))
        for first in ([hello, invalid_frame], [invalid_frame]):
            async with connect(
                f"ws://{address}", additional_headers=headers("peer-key")
            ) as client:
                for frame in first:
                    await client.send(frame)
                with pytest.raises(ConnectionClosed):
                    await drain(client)
        assert server.counters["peer.protocol_errors"] == 2
        valid_client = Recorder(end_of("127.43.0.2"))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(dial, address, valid_client.end, valid_client.handle)
            await until(lambda: bool(valid_client.links))
            valid_client.links[0].send(ABANDON)
            await until(lambda: server.messages == [ABANDON])
            tasks.cancel_scope.cancel()


@dataclass
class HeartbeatCounter(Recorder):
    """Counts the heartbeats received."""

    heartbeats: int = 0

    async def handle(self, link: PeerLink) -> None:
        self.links.append(link)
        async for message in link:
            self.heartbeats += isinstance(message, Heartbeat)


async def test_sent_frames_replace_idle_heartbeats() -> None:
    server, client = (
        HeartbeatCounter(end_of(HOST)),
        HeartbeatCounter(end_of("127.43.0.2")),
    )
    silence = client.end.options.silence_timeout.total_seconds()
    async with (
        listen(HOST, 0, server.end, server.handle) as port,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(dial, f"{HOST}:{port}", client.end, client.handle)
        await until(lambda: client.heartbeats > 0 and server.heartbeats > 0)
        before = server.heartbeats, client.heartbeats
        for _ in range(20):
            assert client.links[0].send(ABANDON)
            assert server.links[0].send(ABANDON)
            await anyio.sleep(silence / 8)
        assert (server.heartbeats, client.heartbeats) == before
        await until(
            lambda: server.heartbeats > before[0] and client.heartbeats > before[1]
        )
        assert len(client.links) == 1
        assert client.counters == server.counters == {}
        tasks.cancel_scope.cancel()


async def test_hello_of_another_protocol_version_closes_the_link() -> None:
    hello = new_hello(settings_of(HOST, 0), Program.batch)
    async with recording_server() as (server, address):
        for other in (1, PROTOCOL_VERSION + 1):
            async with connect(
                f"ws://{address}", additional_headers=headers("peer-key")
            ) as client:
                await client.send(encode_message(replace(hello, protocol=other)))
                with pytest.raises(ConnectionClosed):
                    await drain(client)
        assert server.counters["peer.protocol_errors"] == 2
        assert server.links == []


def test_fields_appended_to_a_message_are_ignored() -> None:
    heartbeat = Heartbeat(config_offset=7, leaving=False, slices=[])
    name, fields = cbor2.loads(encode_message(heartbeat))
    assert fields == [7, False, [], True, None]
    assert decode_message(cbor2.dumps([name, [*fields, "later"]])) == heartbeat
    assert decode_message(cbor2.dumps([name, fields[:3]])) == heartbeat


def test_hello_keeps_the_names_of_its_fields() -> None:
    hello = new_hello(settings_of(HOST, 0), Program.batch)
    name, fields = cbor2.loads(encode_message(hello))
    assert (name, fields["protocol"]) == ("Hello", PROTOCOL_VERSION)
    old = {key: value for key, value in fields.items() if key != "protocol"}
    assert decode_message(cbor2.dumps([name, old])) == replace(hello, protocol=1)


async def drain(websocket: object) -> None:
    with anyio.fail_after(2):
        while True:
            await websocket.recv()  # type: ignore[attr-defined]


async def test_link_to_a_slow_reader_is_aborted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("chivespan.peerlink.SEND_BUFFER_LIMIT_BYTES", 64 * 1024)
    client = Recorder(end_of("127.43.0.2"))
    long_timeout = replace(
        client.end.options, silence_timeout=10 * client.end.options.silence_timeout
    )
    client.end = replace(client.end, options=long_timeout)
    # Random text, which compression can't shorten much.
    large = GrantAbandon(request_id=Random(1).randbytes(32 * 1024).hex())
    async with (
        recording_server() as (_, address),
        relaying(address) as (relay, through),
        anyio.create_task_group() as tasks,
    ):
        relay.delay_s = 0.05
        tasks.start_soon(dial, through, client.end, client.handle)
        await until(lambda: bool(client.links))
        link = client.links[0]
        sent = 0
        while link.send(large) and sent < 1000:
            sent += 1
        assert 0 < sent < 1000
        assert not link.is_open
        assert client.counters["peer.overflows"] == 1
        assert not link.send(ABANDON)
        tasks.cancel_scope.cancel()
