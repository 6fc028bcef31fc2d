"""What nodes learn of harmful prompts and requests outlasts all of them (review/9).

All nodes are killed at once, and start again with monotonic clocks of their own.
"""

from collections.abc import Collection
from datetime import timedelta
from random import Random
from time import process_time

import anyio
import pytest

from chivespan.clock import NO_WAIT, ManualClock
from chivespan.evidencemessages import NOT_ANSWERED
from chivespan.evidencestore import EVIDENCE, EvidenceStore, evidence_key
from chivespan.evidencewriter import MIN_PROLONGED, EvidenceWriter
from chivespan.keyedstore import KeyedRecord
from chivespan.nodemessages import PartCrash, PartEvidence, TargetRun
from chivespan.quarantine import EXONERATION_TIME, Quarantine, SuspectStatus
from chivespan.suspects import request_suspect
from chivespan.suspicion import (
    EVIDENCE_LIFETIME,
    MAX_CRASHES,
    QUARANTINE_LIFETIME,
    CrashedRequest,
)
from chivespan.suspicions import MAX_PARTS, MAX_REQUESTS
from tests.fakestore import FakeStore

pytestmark = pytest.mark.anyio
HARMFUL = "91bd3f06"
SECOND = timedelta(seconds=1)
CALL_BYTES = 2_000_000
RECORD_BYTES = 262_144
# A node is to serve within a second of its start.
MAX_RESTORE_S = 1.0


class Node:
    """A node whose process can be replaced; it writes the evidence if it is to."""

    def __init__(self, store: FakeStore, clock: ManualClock, writes: bool) -> None:
        self.store = store
        self.clock = clock
        self.writes = writes
        self.restart()

    def restart(self, record_bytes: int = RECORD_BYTES) -> None:
        """Replace the process by one that knows nothing."""
        self.quarantine = Quarantine(self.clock)
        self.writer = EvidenceWriter(
            EvidenceStore(self.store, self.clock, record_bytes, CALL_BYTES),
            self.quarantine,
            self.clock,
            lambda: self.writes,
        )

    async def synchronize(self) -> None:
        self.quarantine.update()
        self.writer.update()
        await self.writer._synchronize()

    def crash(self, run: int, request: int, *suspects: str) -> None:
        crash = CrashedRequest(f"i-{run}", 100, f"r-{request}")
        self.quarantine.record_crash(suspects, crash)
        self.clock.advance(SECOND)

    def refuses(self, *suspects: str) -> bool:
        return self.quarantine.find_quarantined(suspects) is not None

    async def convict(self, *suspects: str) -> None:
        for number in range(4):
            self.crash(number, number, *suspects)
        self.clock.advance(EXONERATION_TIME)
        await self.synchronize()
        assert self.refuses(*suspects)


def new_node(writes: bool = True) -> Node:
    return Node(FakeStore(), ManualClock(), writes)


def stored_keys(store: FakeStore) -> list[str]:
    return [record.key for record in store.newest_records(EVIDENCE)]


@pytest.mark.parametrize("suspect", [HARMFUL, request_suspect([b"harmful"])])
async def test_verdict_outlasts_all_processes(suspect: str) -> None:
    node = new_node()
    await node.convict(suspect)
    node.restart()
    assert not node.refuses(suspect)
    node.clock.advance(3 * SECOND)
    await node.synchronize()
    assert node.refuses(suspect)


# Guards against: only verdicts are kept, so that each loss of all nodes costs as many
# targets as a verdict needs.
async def test_crashes_before_and_after_the_loss_of_all_nodes_count_together() -> None:
    node = new_node()
    for number in range(2):
        node.crash(number, number, HARMFUL)
        await node.synchronize()
        node.restart()
        await node.synchronize()
        assert not node.refuses(HARMFUL)
    node.crash(3, 3, HARMFUL)
    node.clock.advance(EXONERATION_TIME)
    assert node.refuses(HARMFUL)


# Guards against: a part that a target has answered since is refused again after all
# nodes were lost, because an old record condemns it.
async def test_suspect_that_was_answered_is_not_restored() -> None:
    node = new_node()
    await node.convict(HARMFUL)
    node.quarantine.record_answered([HARMFUL])
    await node.synchronize()
    assert stored_keys(node.store) == []
    node.restart()
    await node.synchronize()
    assert node.quarantine.status(HARMFUL) is SuspectStatus.UNKNOWN


# Guards against: an old record of a suspect outweighs what a live node knows by now.
async def test_old_record_does_not_condemn_what_this_node_saw_answered() -> None:
    node = new_node()
    await node.convict(HARMFUL)
    node.restart()
    node.quarantine.record_answered([HARMFUL])
    await node.synchronize()
    assert not node.refuses(HARMFUL)
    assert stored_keys(node.store) == []


async def test_evidence_ends_with_its_lifetime_though_nobody_was_there() -> None:
    node = new_node()
    await node.convict(HARMFUL)
    node.restart()
    node.clock.advance(QUARANTINE_LIFETIME + EVIDENCE_LIFETIME)
    await node.synchronize()
    assert node.quarantine.status(HARMFUL) is SuspectStatus.UNKNOWN
    assert stored_keys(node.store) == []


# Guards against: wall clocks that differ, or step, end a quarantine or make it endless.
@pytest.mark.parametrize("step_s", [-5, -1, 2, 5])
async def test_clocks_of_writer_and_reader_may_differ(step_s: int) -> None:
    node = new_node()
    await node.convict(HARMFUL)
    reader = Node(node.store, ManualClock(node.clock.now() + step_s * SECOND), True)
    await reader.synchronize()
    assert reader.refuses(HARMFUL)
    left = reader.quarantine.quarantine_time_left(HARMFUL)
    assert abs(left - QUARANTINE_LIFETIME) <= 6 * SECOND


@pytest.mark.parametrize("value", [b"", b"\xff", b"\xa1", b"{}"])
async def test_record_that_cannot_be_read_costs_itself_alone(value: bytes) -> None:
    node = new_node()
    await node.store.append(EVIDENCE, [KeyedRecord("0" * 32, value)])
    await node.convict(HARMFUL)
    node.restart()
    await node.synchronize()
    assert node.refuses(HARMFUL)


# Guards against: an outage of many targets, at which each waiting request is another
# suspect, costs a call of the store for each of them.
async def test_many_suspects_cost_few_calls_and_bytes() -> None:
    node = new_node()
    for number in range(3000):
        request = request_suspect([b"%d" % number])
        crash = CrashedRequest(f"i-{number % 50}", 100, f"r-{number}")
        node.quarantine.record_crash([f"part-{number}", request], crash)
    await node.synchronize()
    assert node.store.appends <= 2
    records = node.store.newest_records(EVIDENCE)
    assert len(records) <= MAX_PARTS + MAX_REQUESTS
    assert sum(len(record.value) for record in records) < 100_000


# Guards against: a node that starts weighs all suspects against each other for each
# single crash in the store, and serves nobody for a minute.
async def test_restoring_all_that_is_kept_takes_little_time() -> None:
    node = new_node()
    store = EvidenceStore(node.store, node.clock, RECORD_BYTES, CALL_BYTES)
    crashes = [
        PartCrash(
            run=TargetRun(target_id=f"i-{number}", started_ms=100),
            request_id=f"r-{number}",
            age_ms=200 * number,
        )
        for number in range(MAX_CRASHES)
    ]
    evidence = [
        PartEvidence(
            part=request_suspect([b"%d" % number]),
            crashes=crashes,
            answered_age_ms=NOT_ANSWERED,
            quarantine_ms=0,
        )
        for number in range(MAX_REQUESTS)
    ]
    await store.write(evidence, [])
    began = process_time()
    await node.synchronize()
    assert process_time() - began < MAX_RESTORE_S
    assert len(node.quarantine.report) == MAX_REQUESTS


# Guards against: one suspect with long ids makes the store reject all evidence.
async def test_record_over_the_limit_of_the_store_is_left_out() -> None:
    node = new_node()
    node.restart(record_bytes=2000)
    long_id = "r" * 3000
    crash = CrashedRequest("i-9", 100, long_id)
    node.quarantine.record_crash(["other"], crash)
    await node.convict(HARMFUL)
    assert stored_keys(node.store) == [evidence_key(HARMFUL)]


async def test_evidence_is_written_again_only_when_it_has_changed() -> None:
    node = new_node()
    await node.convict(HARMFUL)
    appends = node.store.appends
    for _ in range(10):
        node.clock.advance(MIN_PROLONGED / 2)
        await node.synchronize()
    assert node.store.appends == appends
    assert node.refuses(HARMFUL)
    await node.synchronize()
    assert node.store.appends == appends + 1


# Guards against: the next writer drops what it hasn't heard of, or writes all again.
async def test_next_writer_keeps_what_the_store_has() -> None:
    first = new_node()
    await first.convict(HARMFUL)
    appends = first.store.appends
    second = Node(first.store, first.clock, writes=False)
    second.writes = True
    await second.synchronize()
    assert stored_keys(first.store) == [evidence_key(HARMFUL)]
    assert first.store.appends == appends
    assert second.refuses(HARMFUL)


async def test_node_that_does_not_write_reads_once() -> None:
    first = new_node()
    await first.convict(HARMFUL)
    reader = Node(first.store, first.clock, writes=False)
    await reader.synchronize()
    assert reader.refuses(HARMFUL)
    appends = first.store.appends
    reader.crash(7, 7, "other")
    await reader.synchronize()
    assert first.store.appends == appends


# Guards against: a node that starts while the store is away never restores anything.
async def test_evidence_is_restored_when_the_store_is_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("chivespan.evidencewriter.RETRY_INTERVAL", SECOND / 50)
    node = new_node()
    await node.convict(HARMFUL)
    node.restart()
    node.store.unavailable = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.writer.run)
        await anyio.sleep(0.1)
        assert not node.refuses(HARMFUL)
        node.store.unavailable = False
        await anyio.sleep(0.2)
        assert node.refuses(HARMFUL)
        tasks.cancel_scope.cancel()


class Fleet:
    """Nodes that exchange their evidence; the first one writes it."""

    def __init__(self, random: Random, nodes: int) -> None:
        self.random = random
        self.clock = ManualClock()
        store = FakeStore()
        self.nodes = [Node(store, self.clock, n == 0) for n in range(nodes)]
        self.crashes: list[timedelta] = []

    async def exchange(self) -> None:
        """Let half a second pass, in which each node hears of all others."""
        self.clock.advance(SECOND / 2)
        for node in self.nodes:
            for other in self.nodes:
                if other is not node:
                    node.quarantine.merge(other.quarantine.report, "peer")
        for node in self.nodes:
            await node.synchronize()

    async def kill_all(self) -> None:
        for node in self.nodes:
            node.restart()
        self.clock.advance(SECOND)
        for node in self.nodes:
            await node.synchronize()

    async def send_harmful(self, number: int, suspects: Collection[str]) -> None:
        node = self.random.choice(self.nodes)
        pending = node.quarantine.pending_time(suspects)
        if pending > NO_WAIT:
            self.clock.advance(pending)
        if node.refuses(*suspects):
            return
        crash = CrashedRequest(f"i-{number}", 100, f"r-{number}")
        node.quarantine.record_crash(suspects, crash)
        self.crashes.append(self.clock.monotonic())


# Guards against: each loss of all nodes lets the fleet learn anew, at the cost of
# several targets and the sound requests on them.
@pytest.mark.parametrize("seed", range(30))
async def test_loss_of_all_nodes_at_any_time_costs_few_targets(seed: int) -> None:
    random = Random(seed)
    fleet = Fleet(random, nodes=3)
    for number in range(40):
        await fleet.send_harmful(number, [HARMFUL, f"rare-{number}"])
        await fleet.exchange()
        if random.random() < 0.25:
            await fleet.kill_all()
        fleet.clock.advance(random.uniform(0, 4) * SECOND)
    fifth = fleet.crashes[min(4, len(fleet.crashes) - 1)]
    assert sum(at > fifth + 3 * SECOND for at in fleet.crashes) <= 3
    assert len(fleet.crashes) >= 3
