"""A TCP relay between a client and a server, controlled by the test."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import StrEnum

import anyio
from anyio.abc import ByteStream, SocketAttribute, SocketStream

CHUNK_BYTES = 65536
EVENT_PREFIX = b"data: "


class ConnectionMode(StrEnum):
    """How the relay handles a connection.

    ``CUT`` closes a new connection immediately. ``HOLD`` discards all data without
    closing the connection. ``DROP_ANSWER`` forwards the request and closes the
    connection when the response arrives.
    """

    PASS = "pass"
    CUT = "cut"
    HOLD = "hold"
    DROP_ANSWER = "drop_answer"


class _Link:
    """One connection through the relay, between a client and a server."""

    def __init__(
        self, client: ByteStream, server: ByteStream, mode: ConnectionMode
    ) -> None:
        self.client = client
        self.server = server
        self.mode = mode
        self.changed = anyio.Event()

    async def close(self) -> None:
        await anyio.aclose_forcefully(self.client)
        await anyio.aclose_forcefully(self.server)


@dataclass
class FreezeTrigger:
    """Freezes the first of several relays that forwards a number of events.

    :param after: number of events of the response; with 0 the request itself is held.
    :param frozen: the relay that was frozen, if any.
    """

    after: int
    frozen: "Relay | None" = None

    def record_events(self, relay: "Relay", events: int) -> None:
        """Freeze a relay if it is the first to reach the number of events."""
        if self.frozen is None and events >= self.after:
            self.frozen = relay
            relay.freeze()


class Relay:
    """Forwards bytes to and from ``target`` until the test changes its mode.

    :ivar address: address on which the relay listens.
    :ivar new_connection_mode: mode of new connections.
    :ivar delay_s: delay of every chunk in seconds.
    :ivar connections: number of accepted connections.
    :ivar dropped: number of responses dropped.
    :ivar freeze_trigger: trigger that counts the forwarded events, if any.
    """

    def __init__(self, target: str) -> None:
        self.address = ""
        self.new_connection_mode = ConnectionMode.PASS
        self.delay_s = 0.0
        self.connections = 0
        self.dropped = 0
        self.freeze_trigger: FreezeTrigger | None = None
        self._events = 0
        self._thawed = anyio.Event()
        self._thawed.set()
        self._target = target
        self._links: set[_Link] = set()

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._links)

    def stall_open_connections(self) -> None:
        """Stop forwarding on the open connections permanently; new ones work."""
        for link in self._links:
            link.mode = ConnectionMode.HOLD

    async def close_open_connections(self) -> None:
        """Close the open connections; new ones work."""
        for link in tuple(self._links):
            await link.close()

    def drop_next_responses(self) -> None:
        """Forward the requests of the open connections and drop their responses."""
        for link in self._links:
            link.mode = ConnectionMode.DROP_ANSWER

    def freeze(self) -> None:
        """Delay all data, also of new connections, as if the target were frozen."""
        self._thawed = anyio.Event()

    def thaw(self) -> None:
        """Forward all delayed data and continue."""
        self._thawed.set()

    async def serve(self, client: SocketStream) -> None:
        """Relay one connection until either end closes it."""
        self.connections += 1
        if self.new_connection_mode is ConnectionMode.CUT:
            await anyio.aclose_forcefully(client)
            return
        host, _, port = self._target.rpartition(":")
        try:
            server = await anyio.connect_tcp(host, int(port))
        except OSError:
            await anyio.aclose_forcefully(client)
            return
        link = _Link(client, server, self.new_connection_mode)
        self._links.add(link)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._forward_requests, link, client, server, tasks.cancel_scope
                )
                tasks.start_soon(
                    self._forward_responses, link, server, client, tasks.cancel_scope
                )
        finally:
            self._links.discard(link)
            with anyio.CancelScope(shield=True):
                await link.close()

    async def _forward_requests(
        self,
        link: _Link,
        source: ByteStream,
        sink: ByteStream,
        scope: anyio.CancelScope,
    ) -> None:
        async for chunk in _chunks(source):
            await anyio.sleep(self.delay_s)
            if self.freeze_trigger is not None:
                self.freeze_trigger.record_events(self, 0)
            await self._thawed.wait()
            if link.mode is not ConnectionMode.HOLD:
                await _send(sink, chunk)
        scope.cancel()

    async def _forward_responses(
        self,
        link: _Link,
        source: ByteStream,
        sink: ByteStream,
        scope: anyio.CancelScope,
    ) -> None:
        async for chunk in _chunks(source):
            await anyio.sleep(self.delay_s)
            if link.mode is ConnectionMode.DROP_ANSWER:
                self.dropped += 1
                break
            if link.mode is not ConnectionMode.HOLD:
                await self._forward_chunk(chunk, sink)
        if link.mode is ConnectionMode.HOLD:
            await anyio.sleep_forever()
        scope.cancel()

    async def _forward_chunk(self, chunk: bytes, sink: ByteStream) -> None:
        pieces = (
            [chunk] if self.freeze_trigger is None else chunk.splitlines(keepends=True)
        )
        for piece in pieces:
            await self._thawed.wait()
            await _send(sink, piece)
            if self.freeze_trigger is not None and piece.startswith(EVENT_PREFIX):
                self._events += 1
                self.freeze_trigger.record_events(self, self._events)


async def _chunks(source: ByteStream) -> AsyncIterator[bytes]:
    while True:
        try:
            yield await source.receive(CHUNK_BYTES)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            return


async def _send(sink: ByteStream, chunk: bytes) -> None:
    try:
        await sink.send(chunk)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        return


@asynccontextmanager
async def relaying(
    target: str, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[tuple[Relay, str]]:
    """Run a relay to ``target``; yield the relay and its address."""
    relay = Relay(target)
    listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
    bound = listener.extra(SocketAttribute.local_port)
    relay.address = f"{host}:{bound}"
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, relay.serve)
        try:
            yield relay, relay.address
        finally:
            tasks.cancel_scope.cancel()
