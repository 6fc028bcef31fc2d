"""Batch items whose prompt holds a part that crashes targets, and items beside them."""

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from datetime import timedelta

import anyio
import pytest

from chivespan.batchexecutor import BatchExecutor
from chivespan.clock import SystemClock
from chivespan.loadtable import LoadTable
from chivespan.nodemessages import ItemHeader, ItemStart, ItemState, ItemStatus
from chivespan.nodemetrics import NodeMetrics
from chivespan.partsuspicion import CrashedRequest
from chivespan.promptquarantine import PartStatus, PromptQuarantine
from chivespan.targetpick import TARGET_CHOICES, TargetPicker
from chivespan.targetset import TargetSet
from chivespan.targetsilence import SilenceDetector
from tests.addresses import own_block
from tests.factories import target_entry
from tests.fleet import HOST

pytestmark = pytest.mark.anyio

PARTS_HEADER = "X-Chivespan-Prompt-Prefix"
HARMFUL, CUT, SOUND = "bad0", "c0de", "50"
HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n"
    b"transfer-encoding: chunked\r\nx-chivespan-server-seal: s\r\n"
    b"x-chivespan-request-id: %b\r\n\r\n"
)
EVENTS = 3
EVENT_INTERVAL_S = 0.01
DOWN_S = 0.05


@dataclass
class Target:
    """Ends when it begins to answer a harmful part; cuts one connection for another.

    :ivar harmful: number of requests with the harmful part.
    """

    target_id: str
    host: str
    port: int = 0
    harmful: int = 0
    _server: asyncio.Server | None = None
    _open: set[asyncio.StreamWriter] = field(default_factory=set)

    async def listen(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._open:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            await self._answer(await reader.readuntil(b"\r\n\r\n"), writer)
        self._open.discard(writer)
        writer.close()

    async def _answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        (item_id,) = re.findall(rb"(?i)x-chivespan-request-id: (\S+)", head)
        writer.write(HEAD % item_id)
        await asyncio.sleep(EVENT_INTERVAL_S)
        if HARMFUL.encode() in head:
            self.harmful += 1
            self.stop()
            await asyncio.sleep(DOWN_S)
            await self.listen()
        elif CUT.encode() in head:
            writer.transport.abort()
        for number in range(EVENTS):
            event = b"id: %d\ndata: x\n\n" % (number + 1)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")


class Site:
    """Targets, and a node that runs items on them."""

    def __init__(self, targets: list[Target]) -> None:
        self.targets = targets
        self.clock = SystemClock()
        self.quarantine = PromptQuarantine(self.clock)
        self.statuses: list[ItemStatus] = []
        listed = TargetSet(self.clock)
        self.entries = [
            target_entry(
                each.target_id, service="svc", address=f"{each.host}:{each.port}"
            )
            for each in targets
        ]
        listed.replace(self.entries)
        load_table = LoadTable(self.clock)
        silence = SilenceDetector(self.clock)
        choice = TARGET_CHOICES["shared_counts"]
        self.executor = BatchExecutor(
            listed,
            TargetPicker(
                listed, load_table, "a", self.clock, silence, choice, timedelta
            ),
            load_table,
            silence,
            self.clock,
            NodeMetrics(),
            self.receive,
            self.quarantine,
        )

    def receive(self, status: ItemStatus) -> None:
        if not status.repeated:
            self.statuses.append(status)

    async def run_item(self, *parts: str, target: int = 0) -> ItemState:
        """Run an item with the given shared parts once."""
        self.executor.start(
            ItemStart(
                partition=1,
                job_id="j",
                item_id=f"j-{len(self.statuses)}",
                target_id=self.targets[target].target_id,
                host=HOST,
                path="/b/1",
                headers=[ItemHeader(name=PARTS_HEADER, value=prompt(*parts))],
                body=b"x",
                events=[],
            )
        )
        before = len(self.statuses)
        with anyio.fail_after(3):
            while len(self.statuses) == before:
                await anyio.sleep(0.005)
        return self.statuses[-1].state


def prompt(*parts: str) -> str:
    return ",".join(f"{part}:100" for part in (*parts, "1a57"))


@asynccontextmanager
async def site(targets: int) -> AsyncIterator[Site]:
    made = [Target(f"t{n}", f"{own_block()}.1.{n + 1}") for n in range(targets)]
    for target in made:
        await target.listen()
    async with anyio.create_task_group() as tasks:
        running = Site(made)
        tasks.start_soon(running.executor.run)
        await anyio.sleep(0.01)
        yield running
        tasks.cancel_scope.cancel()
    for target in made:
        target.stop()


# Guards against: items crash targets without end, as batch tells nobody of the part.
async def test_item_that_crashes_its_target_makes_its_parts_suspect() -> None:
    async with site(1) as running:
        assert await running.run_item(SOUND) is ItemState.done
        assert await running.run_item(SOUND, HARMFUL) is ItemState.broken
        assert running.quarantine.status(HARMFUL) is PartStatus.SUSPECT
        assert running.quarantine.status(SOUND) is PartStatus.ANSWERED
        assert running.quarantine.status("1a57") is PartStatus.UNKNOWN, "not shared"


# Guards against: an item whose connection alone was cut makes its parts suspect.
async def test_broken_connection_to_a_running_target_is_no_evidence() -> None:
    async with site(1) as running:
        assert await running.run_item(CUT) is ItemState.broken
        assert running.quarantine.status(CUT) is PartStatus.UNKNOWN


# Guards against: parts of items that targets answer stay suspect after a crash.
async def test_answered_item_exonerates_its_parts() -> None:
    async with site(1) as running:
        running.quarantine.record_crash([SOUND], CrashedRequest("t9", 1, "other"))
        assert await running.run_item(SOUND) is ItemState.done
        assert running.quarantine.status(SOUND) is PartStatus.ANSWERED
