"""Requests that have been read whole and must end with an answer or an error."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from itertools import count
from types import SimpleNamespace
from typing import cast

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from chivespan.addresses import Address
from chivespan.batchfront import BatchFrontend
from chivespan.callerapp import CallerApp, Listener
from chivespan.callerserver import CallerServer
from chivespan.forwarding import Forwarder
from chivespan.nodestatus import NodeStatus
from chivespan.platform.documents import decode_config
from chivespan.quarantine import Quarantine
from chivespan.requestguard import RequestGuard
from chivespan.routes import CallerLimits
from chivespan.routingstate import RoutingState
from tests.addresses import own_block
from tests.factories import target_entry
from tests.fleet import HOST, config, route
from tests.test_endlessdata import Rig

pytestmark = pytest.mark.anyio

SERVER_HOST = f"{own_block()}.237.1"
REQUEST = (
    b"POST /s/1 HTTP/1.1\r\nhost: %b\r\nx-chivespan-request-id: r\r\n%%b"
    b"content-length: 1\r\n\r\nx"
) % HOST.encode()
_ports = count(18_200)


def head(status: bytes, *headers: bytes) -> bytes:
    own = [b"x-chivespan-server-seal: s", b"x-chivespan-request-id: r", *headers]
    return b"\r\n".join([b"HTTP/1.1 " + status, *own, b"", b""])


@asynccontextmanager
async def node_before(*responses: bytes) -> AsyncIterator[SocketStream]:
    """Connect to a node whose targets each send a response in turn, and close."""
    left = list(responses)
    routing = RoutingState(decode_config)
    routing.apply_if_newer(config(1, route("r", "/s/", timeoutMs=800)), "test")

    async def answer(stream: SocketStream) -> None:
        # A connection without a request only tells whether the target has ended.
        async with stream:
            with suppress(anyio.EndOfStream):
                await stream.receive()
                await stream.send(left.pop(0))

    listener = await anyio.create_tcp_listener(local_host=SERVER_HOST, local_port=0)
    port = listener.extra(SocketAttribute.local_port)
    rig = Rig(f"{SERVER_HOST}:{port}")
    rig.targets.replace(
        [
            target_entry(f"t-{number}", service="svc", address=rig.address)
            for number in range(len(responses))
        ]
    )
    address = Address(SERVER_HOST, next(_ports))
    app = CallerApp(
        {address.port: Listener.FRONT},
        cast(NodeStatus, SimpleNamespace(is_leaving=False, refuses_new=False)),
        routing,
        Forwarder(
            rig.picker,
            rig.load_table,
            rig.silence,
            rig.clock,
            rig.metrics,
            RequestGuard(Quarantine(rig.clock)),
        ),
        cast(BatchFrontend, None),
        rig.metrics,
        rig.clock,
    )
    server = CallerServer(app, [address], CallerLimits)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, answer)
        tasks.start_soon(server.run)
        while True:
            try:
                stream = await anyio.connect_tcp(address.host, address.port)
                break
            except OSError:
                await anyio.sleep(0.02)
        async with stream:
            yield stream
        server.stop()
        tasks.cancel_scope.cancel()


async def answer_to(stream: SocketStream, headers: bytes = b"") -> bytes:
    """Send a request; return all that arrives until the end of the answer."""
    await stream.send(REQUEST % headers)
    received = b""
    with anyio.move_on_after(2):
        while not received.endswith((b"0\r\n\r\n", b"}")):
            try:
                received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                break
    return received


# Guards against: a status that the HTTP server can't write closes the connection.
@pytest.mark.parametrize("status", [b"600 X", b"999 X"])
async def test_invalid_status_of_a_target_ends_in_an_error(status: bytes) -> None:
    other = head(b"200 OK", b"content-length: 0")
    async with node_before(head(status, b"content-length: 0") + other) as stream:
        assert (await answer_to(stream)).startswith(b"HTTP/1.1 502 ")


# Guards against: a deadline beyond all bounds ends in an error outside the closed list.
@pytest.mark.parametrize("value", [b"1e300", b"inf", b"nan"])
async def test_invalid_deadline_is_refused_as_such(value: bytes) -> None:
    async with node_before(head(b"200 OK", b"content-length: 0")) as stream:
        deadline = b"x-chivespan-deadline-ms: %b\r\n" % value
        answer = await answer_to(stream, deadline)
        assert answer.startswith(b"HTTP/1.1 400 ")


# Guards against: a stream that another target continues is cut at the length that the
# first one announced, which the rest need not have.
@pytest.mark.parametrize("length", [40, 400])
async def test_resumed_stream_ends_as_the_second_target_ends_it(length: int) -> None:
    first = b"id: 1\ndata: a\n\n"
    rest = b"id: 2\ndata: bb\n\nid: 3\ndata: cc\n\n"
    async with node_before(
        head(b"200 OK", b"content-length: %d" % length) + first,
        head(b"200 OK", b"content-length: %d" % len(rest)) + rest,
    ) as stream:
        answer = await answer_to(stream)
        assert b"content-length" not in answer
        assert all(event + b"\n\n" in answer for event in (b"data: a", b"data: bb"))
        assert answer.endswith(b"data: cc\n\n\r\n0\r\n\r\n")


# Guards against: an unexpected error leaves no log line, and an answer without a kind.
async def test_unexpected_error_is_answered_with_its_kind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def fail(*_arguments: object) -> None:
        raise RuntimeError("unexpected")

    monkeypatch.setattr(Forwarder, "serve", fail)
    async with node_before(b"") as stream:
        answer = await answer_to(stream)
        assert answer.startswith(b"HTTP/1.1 500 ")
        assert b'"internal"' in answer
