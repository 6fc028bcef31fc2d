"""A target that ends, for a while, when it begins to answer a harmful prompt."""

import asyncio
import re
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

HARMFUL_PART = "bad0"
DOWN_S = 0.4
EVENTS = 3
EVENT_INTERVAL_S = 0.02


@dataclass
class CrashingTarget:
    """One target on a socket of its own.

    :ivar started: is called at each start, with the number of starts before it.
    :ivar harmful: monotonic time of each request with the harmful part.
    :ivar crashes: monotonic time of each crash.
    """

    target_id: str
    address: str
    started: Callable[["CrashingTarget", int], None]
    harmful: list[float] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)
    _server: asyncio.Server | None = None
    _connections: set[asyncio.StreamWriter] = field(default_factory=set)

    async def listen(self) -> None:
        """Start to accept connections."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.started(self, len(self.crashes))

    def stop(self) -> None:
        """Refuse connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in self._connections:
            connection.transport.abort()
        self._connections.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            await self._answer(head, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        match = re.search(rb"x-chivespan-request-id: (\S+)", head, re.IGNORECASE)
        request_id = b"" if match is None else match[1]
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"transfer-encoding: chunked\r\nconnection: close\r\n"
            b"x-chivespan-server-seal: s\r\nx-chivespan-request-id: %b\r\n\r\n"
            % request_id
        )
        await writer.drain()
        await asyncio.sleep(EVENT_INTERVAL_S)
        if HARMFUL_PART.encode() in head:
            self.harmful.append(time.monotonic())
            await self._crash()
            return
        for number in range(1, EVENTS + 1):
            if writer.is_closing():
                return
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        if not writer.is_closing():
            writer.write(b"0\r\n\r\n")

    async def _crash(self) -> None:
        self.crashes.append(time.monotonic())
        if self._server is None:
            return
        self.stop()
        await asyncio.sleep(DOWN_S)
        await self.listen()


@asynccontextmanager
async def crashing_targets(
    addresses: list[str], started: Callable[[CrashingTarget, int], None]
) -> AsyncIterator[list[CrashingTarget]]:
    """Run a target at each address."""
    targets = [
        CrashingTarget(f"i-{number}", address, started)
        for number, address in enumerate(addresses)
    ]
    for target in targets:
        await target.listen()
    try:
        yield targets
    finally:
        for target in targets:
            target.stop()
