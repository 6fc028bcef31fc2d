"""Batch items whose prompt holds a part that crashes targets, and items beside them."""

import asyncio
import re
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import cycle

import anyio
import pytest

from chivespan.batchchanges import AcceptJob
from chivespan.batchexecutor import BatchExecutor
from chivespan.batchowner import FAILED_RETRY_DELAY
from chivespan.batchrecords import BatchHeader, BatchItem
from chivespan.batchschedule import Placement
from chivespan.evidencemessages import NOT_ANSWERED
from chivespan.itemeligibility import ABANDON_MARGIN
from chivespan.itemquarantine import SUSPECT_DELAY, ItemBreaks
from chivespan.loadtable import LoadTable
from chivespan.nodemessages import (
    ItemHeader,
    ItemStart,
    ItemState,
    ItemStatus,
    ItemStop,
    PartCrash,
    PartEvidence,
    TargetRun,
)
from chivespan.quarantine import SuspectStatus
from chivespan.suspicion import MIN_CRASHES, CrashedRequest
from chivespan.targetchoices import TARGET_CHOICES
from chivespan.targetpick import TargetPicker
from chivespan.targetset import TargetSet
from chivespan.targetsilence import SilenceDetector
from tests.addresses import own_block
from tests.factories import MAX_OUTPUT_BYTES, target_entry
from tests.fleet import HOST
from tests.test_batchowner import OwnerHarness

pytestmark = pytest.mark.anyio

PARTS_HEADER = "X-Chivespan-Prompt-Prefix"
HARMFUL, CUT, UNFRAMED, SOUND = "bad0", "c0de", "f00d", "50"
HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n"
    b"transfer-encoding: chunked\r\nx-chivespan-server-seal: s\r\n"
    b"x-chivespan-request-id: %b\r\n\r\n"
)
# Such an answer ends with its connection.
UNFRAMED_HEAD = HEAD.replace(b"transfer-encoding: chunked\r\n", b"")
EVENTS = 3
EVENT_INTERVAL_S = 0.01
DOWN_S = 0.05
RETENTION = timedelta(seconds=60)
CRASH = PartCrash(
    run=TargetRun(target_id="t9", started_ms=1), request_id="other", age_ms=0
)
QUARANTINED = PartEvidence(
    part=HARMFUL, crashes=[CRASH], answered_age_ms=NOT_ANSWERED, quarantine_ms=20_000
)


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
        writer.write((UNFRAMED_HEAD if UNFRAMED.encode() in head else HEAD) % item_id)
        await asyncio.sleep(EVENT_INTERVAL_S)
        if HARMFUL.encode() in head:
            self.harmful += 1
            writer.close()
            self.stop()
            await asyncio.sleep(DOWN_S)
            await self.listen()
        elif CUT.encode() in head:
            writer.transport.abort()
        for number in range(EVENTS):
            if writer.is_closing():
                return
            event = b"id: %d\ndata: x\n\n" % (number + 1)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        if not writer.is_closing():
            writer.write(b"0\r\n\r\n")


class Site(OwnerHarness):
    """Targets, a node that runs items on them, and the owner of their partition."""

    def __init__(self, targets: list[Target]) -> None:
        super().__init__()
        self.targets = targets
        self.statuses: list[ItemStatus] = []
        self.next_target = cycle(range(len(targets)))
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
            self.metrics,
            self.receive,
            self.quarantine,
            MAX_OUTPUT_BYTES,
        )

    def receive(self, status: ItemStatus) -> None:
        if not status.repeated:
            self.statuses.append(status)
        if status.job_id in self.ledger.ledger.jobs:
            self.owner.handle_status("n1", status)

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
        await until(lambda: len(self.statuses) > before)
        return self.statuses[-1].state

    @property
    def harmful(self) -> int:
        """Number of harmful requests that reached targets."""
        return sum(target.harmful for target in self.targets)

    @property
    def done(self) -> set[str]:
        """Ids of the items that are listed as done."""
        jobs = self.ledger.ledger.jobs.values()
        results = [each for job in jobs for each in job.results]
        assert all(each.done for each in results), "one was given up"
        return {each.item_id for each in results}

    async def accept_job(self, change: AcceptJob) -> None:
        await self.ledger.commit(change)
        await self.owner.load()

    async def schedule(self) -> None:
        """Start waiting items at the targets in turn, in real time, until cancelled."""
        before = anyio.current_time()
        while True:
            now = anyio.current_time()
            self.clock.advance(timedelta(seconds=now - before))
            before = now
            self.quarantine.update()
            for item in list(self.owner.waiting()):
                entry = self.entries[next(self.next_target)]
                self.owner.start(Placement(item, entry, "n1"))
            await anyio.sleep(0.005)

    def _send(self, vm: str, message: object) -> bool:
        if isinstance(message, ItemStart):
            self.executor.start(message)
        elif isinstance(message, ItemStop):
            self.executor.stop(message)
        return True


def prompt(*parts: str) -> str:
    return ",".join(f"{part}:100" for part in (*parts, "1a57"))


def job_of(harness: OwnerHarness, job_id: str, *parts: str) -> AcceptJob:
    """Return a job with an item for each part, beside a part that all share."""
    items = (
        BatchItem(
            item_id=f"{job_id}-{number}",
            path="/b/1",
            headers=[BatchHeader(name=PARTS_HEADER, value=prompt(SOUND, part))],
            body=b"x",
            tokens=100,
        )
        for number, part in enumerate(parts)
    )
    now = harness.clock.now()
    return AcceptJob(job_id, "r", HOST, tuple(items), now, 0, 100_000)


async def until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0.005)


@asynccontextmanager
async def site(targets: int) -> AsyncIterator[Site]:
    made = [Target(f"t{n}", f"{own_block()}.1.{n + 1}") for n in range(targets)]
    for target in made:
        await target.listen()
    async with anyio.create_task_group() as tasks:
        running = Site(made)
        tasks.start_soon(running.ledger.run)
        tasks.start_soon(running.executor.run)
        tasks.start_soon(running.owner.write_results)
        tasks.start_soon(running.schedule)
        tasks.start_soon(running.owner.write_results)
        running.owner.take_over()
        await running.owner.load()
        yield running
        tasks.cancel_scope.cancel()
    for target in made:
        target.stop()


# Guards against: items crash targets without end, as batch tells nobody of the part.
async def test_item_that_crashes_its_target_makes_its_parts_suspect() -> None:
    async with site(1) as running:
        assert await running.run_item(SOUND) is ItemState.done
        assert await running.run_item(SOUND, HARMFUL) is ItemState.broken
        assert running.quarantine.status(HARMFUL) is SuspectStatus.SUSPECT
        assert running.quarantine.status(SOUND) is SuspectStatus.ANSWERED
        assert running.quarantine.status("1a57") is SuspectStatus.UNKNOWN, "not shared"


# Guards against: an item whose connection alone was cut makes its parts suspect.
async def test_broken_connection_to_a_running_target_is_no_evidence() -> None:
    async with site(1) as running:
        assert await running.run_item(CUT) is ItemState.broken
        assert running.quarantine.status(CUT) is SuspectStatus.UNKNOWN


# Guards against: an answer that ends with its connection, at a crash before the first
# event, counts as complete: the item is listed as done, and the crash is no evidence.
async def test_unframed_answer_without_an_event_is_a_broken_one() -> None:
    async with site(1) as running:
        assert await running.run_item(UNFRAMED, HARMFUL) is ItemState.broken
        assert running.quarantine.status(HARMFUL) is SuspectStatus.SUSPECT


# Guards against: parts of items that targets answer stay suspect after a crash.
async def test_answered_item_exonerates_its_parts() -> None:
    async with site(1) as running:
        running.quarantine.record_crash([SOUND], CrashedRequest("t9", 1, "other"))
        assert await running.run_item(SOUND) is ItemState.done
        assert running.quarantine.status(SOUND) is SuspectStatus.ANSWERED


# Guards against: harmful items end one target after the other (issue 28), or sound
# items of their job wait with them.
async def test_harmful_items_end_few_targets_and_sound_ones_are_done() -> None:
    async with site(8) as running:
        await running.accept_job(job_of(running, "j", *[HARMFUL] * 3, *["5a"] * 20))
        sound = {f"j-{number}" for number in range(3, 23)}
        await until(lambda: running.done == sound)
        with anyio.fail_after(10):
            while running.quarantine.quarantined != [HARMFUL]:
                running.clock.advance(SUSPECT_DELAY / 50)
                await anyio.sleep(0.01)
        cut = {
            each.item_id for each in running.statuses if each.state is ItemState.broken
        }
        assert cut & sound, "no sound item sat at a target that crashed"
        # Each of the three may be sent twice at once, and then one by one, late.
        assert MIN_CRASHES <= running.harmful <= 2 * 3 + 2
        before = running.harmful
        await running.accept_job(job_of(running, "k", *[HARMFUL] * 5, "5a"))
        await until(lambda: running.done == sound | {"k-5"})
        await anyio.sleep(3 * FAILED_RETRY_DELAY.total_seconds())
        assert running.harmful == before
        assert running.waiting() == []


# Guards against: the only item with a harmful part ends a target at each retry, or a
# sound item that met two crashes by chance is never done.
async def test_suspect_item_is_tried_again_late() -> None:
    async with site(3) as running:
        await running.accept_job(job_of(running, "j", HARMFUL, "5a"))
        await until(lambda: running.harmful == 2)
        await anyio.sleep(3 * FAILED_RETRY_DELAY.total_seconds())
        assert running.harmful == 2
        assert running.done == {"j-1"}
        # Two crashes of one item double the delay, and it is spread over twice that.
        running.clock.advance(2 * 2 * SUSPECT_DELAY)
        await until(lambda: running.harmful == 3)


# Guards against: an owner that doesn't know of a quarantine yet has its item sent.
async def test_node_does_not_send_an_item_in_quarantine() -> None:
    async with site(1) as running:
        running.quarantine.merge([QUARANTINED], "peer")
        assert await running.run_item(HARMFUL) is ItemState.not_run
        assert await running.run_item(SOUND) is ItemState.done
        assert running.harmful == 0


# Guards against: an item in quarantine is given up early, or costs messages each round.
async def test_quarantined_item_waits_until_the_quarantine_or_its_time_ends() -> None:
    harness = OwnerHarness()
    await harness.accept_job(job_of(harness, "j", HARMFUL, "5a"))
    harness.quarantine.merge([QUARANTINED], "peer")
    for _ in range(19):
        assert harness.waiting() == ["j-1"]
        harness.clock.advance(timedelta(seconds=1))
        harness.owner.fail_abandoned_items()
    harness.clock.advance(timedelta(seconds=1))
    assert harness.waiting() == ["j-0", "j-1"]
    assert not harness.sent
    assert not harness.owner._finished
    harness.quarantine.merge([QUARANTINED], "peer")
    harness.clock.advance(RETENTION - timedelta(seconds=20) + 2 * ABANDON_MARGIN)
    harness.owner.fail_abandoned_items()
    given_up = [(each.item_id, each.done) for each in harness.owner._finished]
    assert given_up == [("j-0", False), ("j-1", False)]


# Guards against: an item that breaks very often ends its owner with an error.
def test_item_that_breaks_without_end_has_a_bounded_delay() -> None:
    breaks = ItemBreaks(count=1000)
    assert breaks.end_of_delay("item") < timedelta(minutes=10)
