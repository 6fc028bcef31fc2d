"""Targets that send given bytes, behind the forwarder and HTTP server of a node."""

import json
import socket
import struct
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import count
from types import SimpleNamespace
from typing import Any, cast

import anyio
from anyio.abc import SocketAttribute, SocketStream

from chivespan.addresses import Address
from chivespan.batchexecutor import BatchExecutor
from chivespan.batchfront import BatchFrontend
from chivespan.callerapp import CallerApp, Listener
from chivespan.callerserver import CallerServer
from chivespan.clock import SystemClock
from chivespan.forwarding import Forwarder
from chivespan.heldbodies import HeldBodies
from chivespan.loadtable import LoadTable
from chivespan.nodemessages import ItemHeader, ItemStart, ItemState, ItemStatus
from chivespan.nodemetrics import NodeMetrics
from chivespan.nodestatus import NodeStatus
from chivespan.platform.documents import decode_config
from chivespan.quarantine import Quarantine
from chivespan.requestguard import RequestGuard
from chivespan.responseparser import ResponseParser
from chivespan.routes import CallerLimits
from chivespan.routingstate import RoutingState
from chivespan.targetchoices import TARGET_CHOICES
from chivespan.targetpick import TargetPicker
from chivespan.targetset import TargetSet
from chivespan.targetsilence import SilenceDetector
from tests.addresses import own_block
from tests.factories import MAX_OUTPUT_BYTES, target_entry
from tests.fleet import HOST, SERVICE, config, route

REQUEST_ID = "r"
LINGER_RESET = struct.pack("ii", 1, 0)
_front_host = f"{own_block()}.237.1"
_front_ports = count(18_400)


def head(
    status: str = "200 OK",
    *lines: str,
    request_id: str | None = REQUEST_ID,
    content_type: str = "text/event-stream",
) -> bytes:
    """Return the head of a target's response; without ``request_id`` it names none."""
    named = [] if request_id is None else [f"X-Chivespan-Request-Id: {request_id}"]
    seal = "X-Chivespan-Server-Seal: s"
    typed = f"Content-Type: {content_type}"
    return "\r\n".join(
        [f"HTTP/1.1 {status}", seal, *named, typed, *lines, "", ""]
    ).encode()


CHUNKED = "Transfer-Encoding: chunked"
LAST_CHUNK = b"0\r\n\r\n"


def chunk(body: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(body), body)


def events(*numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: e%d\n\n" % (n, n) for n in numbers)


@dataclass
class RawTarget:
    """Sends one of its responses to each request, the last one again and again.

    :param responses: for each request the parts of its response; a number among them is
        a pause in seconds.
    :param reset: whether connections are reset after the response, not closed.
    :ivar requests: heads of the requests received.
    """

    responses: Sequence[Sequence[bytes | float]]
    reset: bool = False
    requests: list[bytes] = field(default_factory=list)
    address: str = ""

    async def serve(self, stream: SocketStream) -> None:
        async with stream:
            request = b""
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while b"\r\n\r\n" not in request:
                    request += await stream.receive()
                self.requests.append(request)
                index = min(len(self.requests), len(self.responses)) - 1
                await self._send(stream, self.responses[index])

    async def _send(self, stream: SocketStream, parts: Sequence[bytes | float]) -> None:
        for part in parts:
            if isinstance(part, bytes):
                await stream.send(part)
            else:
                await anyio.sleep(part)
        if self.reset:
            await anyio.sleep(0.05)
            raw = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def target(*parts: bytes | float, reset: bool = False) -> RawTarget:
    """Return a target that answers every request alike."""
    return RawTarget([parts], reset)


@dataclass(frozen=True)
class Answer:
    """What a caller received until the node closed the connection."""

    status: int
    body: bytes
    complete: bool
    headers: dict[str, str]


@dataclass
class RawSite:
    """The components of one node, with a target in this data centre and in others."""

    targets: Sequence[RawTarget]
    route_fields: dict[str, Any]
    bodies: HeldBodies | None = None
    stall_timeout: timedelta | None = None

    def __post_init__(self) -> None:
        self.clock = SystemClock()
        self.target_set = TargetSet(self.clock)
        self.target_set.replace(
            target_entry(
                f"i-{number}",
                service=SERVICE,
                address=each.address,
                data_centre=f"dc-{number}",
            )
            for number, each in enumerate(self.targets, 1)
        )
        self.load_table = LoadTable(self.clock)
        self.silence = SilenceDetector(self.clock)
        self.metrics = NodeMetrics()
        self.picker = TargetPicker(
            self.target_set,
            self.load_table,
            "dc-1",
            self.clock,
            self.silence,
            TARGET_CHOICES["shared_counts"],
            timedelta,
        )
        self.statuses: list[ItemStatus] = []
        self.quarantine = Quarantine(self.clock)
        self.executor = BatchExecutor(
            self.target_set,
            self.picker,
            self.load_table,
            self.silence,
            self.clock,
            self.metrics,
            self.statuses.append,
            self.quarantine,
            MAX_OUTPUT_BYTES,
        )
        self.front = Address(_front_host, next(_front_ports))
        routing = RoutingState(decode_config)
        document = json.loads(config(1, route("r", "/s/", **self.route_fields)))
        routing.apply_if_newer(json.dumps(document).encode(), "test")
        app = CallerApp(
            {self.front.port: Listener.FRONT},
            cast(NodeStatus, SimpleNamespace(is_leaving=False, refuses_new=False)),
            routing,
            Forwarder(
                self.picker,
                self.load_table,
                self.silence,
                self.clock,
                self.metrics,
                RequestGuard(self.quarantine),
                self.stall_timeout,
            ),
            cast(BatchFrontend, None),
            self.metrics,
            self.clock,
            bodies=self.bodies,
        )
        self.server = CallerServer(app, [self.front], CallerLimits)

    async def ask(
        self,
        *lines: str,
        method: str = "POST",
        version: str = "1.1",
        content: bytes = b"",
    ) -> Answer:
        """Send a request and return what arrived until the connection ended."""
        parser = ResponseParser(method)
        body = b""
        with anyio.fail_after(8):
            async with await anyio.connect_tcp(*self.front_address) as stream:
                request = self.request(
                    *lines, method=method, version=version, content=content
                )
                await stream.send(request)
                with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                    while not parser.is_complete:
                        parser.feed(await stream.receive())
                        body += parser.pop_body()
        assert parser.parse_error is None
        headers = {n.decode().lower(): v.decode() for n, v in parser.headers}
        return Answer(parser.status, body, parser.is_complete, headers)

    async def exchange_bytes(self, request: bytes) -> bytes:
        """Send bytes and return all that arrives until the connection ends."""
        received = b""
        with anyio.fail_after(8):
            async with await anyio.connect_tcp(*self.front_address) as stream:
                await stream.send(request)
                with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                    while True:
                        received += await stream.receive()
        return received

    def request(
        self,
        *lines: str,
        method: str = "POST",
        version: str = "1.1",
        content: bytes = b"",
    ) -> bytes:
        """Return the bytes of a request."""
        sent = [f"{method} /s/1 HTTP/{version}", f"Host: {HOST}"]
        sent += [f"Content-Length: {len(content)}"]
        sent += [f"X-Chivespan-Request-Id: {REQUEST_ID}", *lines, "", ""]
        return "\r\n".join(sent).encode() + content

    @property
    def front_address(self) -> tuple[str, int]:
        return (self.front.host, self.front.port)

    async def run_item(
        self,
        events_before: Sequence[str] = (),
        body: bytes = b"x",
        headers: Mapping[str, str] | None = None,
    ) -> ItemStatus:
        """Run a batch item at the first target; return the status of its end.

        On a busy machine, the connection may not be made in time. The run then says
        nothing of the target, and is repeated.
        """
        with anyio.fail_after(8):
            while True:
                received = len(self.targets[0].requests)
                ended = await self.run_item_once(events_before, body, headers)
                is_reached = len(self.targets[0].requests) > received
                if is_reached or ended.state is not ItemState.not_run:
                    return ended

    async def run_item_once(
        self,
        events_before: Sequence[str] = (),
        body: bytes = b"x",
        headers: Mapping[str, str] | None = None,
        path: str = "/batch/1",
    ) -> ItemStatus:
        """Run a batch item at the first target, which it may not reach."""
        own = (headers or {}).items()
        self.executor.return_items()
        self.statuses.clear()
        self.executor.start(
            ItemStart(
                partition=1,
                job_id="j",
                item_id=REQUEST_ID,
                target_id="i-1",
                host=HOST,
                path=path,
                headers=[ItemHeader(name=name, value=value) for name, value in own],
                body=body,
                events=list(events_before),
            )
        )
        while True:
            for each in self.statuses:
                if not each.repeated and each.state is not ItemState.running:
                    return each
            await anyio.sleep(0.01)


@asynccontextmanager
async def raw_site(
    *targets: RawTarget,
    bodies: HeldBodies | None = None,
    stall_timeout: timedelta | None = None,
    **route_fields: Any,
) -> AsyncIterator[RawSite]:
    """Serve the targets, and run a node's components before them."""
    async with AsyncExitStack() as stack:
        listeners = [
            await stack.enter_async_context(
                await anyio.create_tcp_listener(local_host="127.0.0.1")
            )
            for _ in targets
        ]
        tasks = await stack.enter_async_context(anyio.create_task_group())
        for each, listener in zip(targets, listeners, strict=True):
            each.address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
            tasks.start_soon(listener.serve, each.serve)
        site = RawSite(targets, route_fields, bodies, stall_timeout)
        tasks.start_soon(site.server.run)
        tasks.start_soon(site.executor.run)
        await _wait_listening(site)
        try:
            yield site
        finally:
            site.server.stop_now()
            tasks.cancel_scope.cancel()


async def _wait_listening(site: RawSite) -> None:
    with anyio.fail_after(5):
        while True:
            try:
                stream = await anyio.connect_tcp(*site.front_address)
            except OSError:
                await anyio.sleep(0.01)
            else:
                await stream.aclose()
                return
