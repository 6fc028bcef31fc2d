"""Partition owner: recovery from lost nodes, lost start messages and lost statuses."""

from datetime import timedelta
from typing import Any

import anyio
import pytest

from chivespan.batchchanges import AcceptJob
from chivespan.batchledger import job_records
from chivespan.batchowner import TAKEOVER_DELAY, BatchOwner
from chivespan.batchschedule import Placement
from chivespan.clock import NO_WAIT, ManualClock
from chivespan.itemduration import ItemDurationEstimator
from chivespan.itemrun import RECONNECT_TIMEOUT, SILENCE_TIMEOUT
from chivespan.keyedstore import Partition
from chivespan.ledgerage import LedgerAgeLimit
from chivespan.ledgerstore import LedgerStore
from chivespan.nodemessages import ItemStart, ItemState, ItemStatus, ItemStop
from chivespan.nodemetrics import NodeMetrics
from chivespan.platform.documents import decode_config
from chivespan.quarantine import Quarantine
from chivespan.routingstate import RoutingState
from tests.factories import target_entry
from tests.fakestore import FakeStore
from tests.fleet import HOST, batch_route, config
from tests.test_ledgerstore import SUBMITTED, job

pytestmark = pytest.mark.anyio
PARTITION = Partition("keyed.batch", 1)
TARGET = target_entry("t", service="svc")
CANCEL_TIME = timedelta(seconds=3)


class OwnerHarness:
    """An owner with a fake store; records the messages that it sends to nodes."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.metrics = NodeMetrics()
        self.quarantine = Quarantine(self.clock)
        self.store = FakeStore()
        self.ledger = LedgerStore(self.store, PARTITION, self.clock, 2_000_000)
        self.routing = RoutingState(decode_config)
        self.configure(0, batch_route(pathPrefix="/b/"))
        self.sent: list[tuple[str, object]] = []
        self.others_reach_store = False
        self.owner = BatchOwner(
            1,
            self.ledger,
            self.routing,
            self.clock,
            self._send,
            timedelta(seconds=120),
            100_000,
            self.metrics,
            self.quarantine,
            LedgerAgeLimit(
                1, self.ledger, CANCEL_TIME, lambda: self.others_reach_store
            ),
        )

    def configure(self, version: int, *routes: dict[str, Any]) -> None:
        """Put a configuration with the given routes in force."""
        self.routing.apply_if_newer(config(version, *routes), "test")

    async def accept(self, items: int) -> None:
        await self.accept_job(job("j", items=items))

    async def accept_job(self, change: AcceptJob) -> None:
        object.__setattr__(change, "host", HOST)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.ledger.run)
            await self.ledger.commit(change)
            tasks.cancel_scope.cancel()
        self.owner.take_over()
        await self.owner.load()
        self.clock.advance(TAKEOVER_DELAY)

    async def accept_unchecked(self, change: AcceptJob) -> None:
        """Let the store have a job as an earlier release wrote it."""
        records = job_records(
            change.job_id,
            change.route,
            HOST,
            list(change.items),
            change.submitted,
            change.config_version,
            change.max_record_bytes,
        )
        await self.store.append(PARTITION, records)
        self.owner.take_over()
        await self.owner.load()
        self.clock.advance(TAKEOVER_DELAY)

    def start(self, vm: str) -> None:
        for item in list(self.owner.waiting()):
            self.owner.start(Placement(item, TARGET, vm))

    def waiting(self) -> list[str]:
        return [item.item_id for item in self.owner.waiting()]

    def _send(self, vm: str, message: object) -> bool:
        self.sent.append((vm, message))
        return True


def status(state: ItemState, repeated: bool = False, events: int = 0) -> ItemStatus:
    return ItemStatus(
        partition=1,
        job_id="j",
        item_id="j-0",
        target_id="t",
        state=state,
        events=events,
        text=["a"] * events if state is ItemState.done else [],
        repeated=repeated,
    )


async def test_item_is_released_when_its_node_stops_reporting_it() -> None:
    """The start message was lost on a link that went silent (darkmoor mix)."""
    harness = OwnerHarness()
    await harness.accept(1)
    harness.start("n1")
    assert harness.waiting() == []
    harness.clock.advance(SILENCE_TIMEOUT * 0.9)
    harness.owner.release_silent_items()
    assert harness.waiting() == []
    harness.clock.advance(SILENCE_TIMEOUT * 0.2)
    harness.owner.release_silent_items()
    assert harness.waiting() == ["j-0"]


# Guards against: an item is started again elsewhere although the node that runs it was
# only slow, or its link broke for a moment.
@pytest.mark.parametrize("state", [ItemState.running, ItemState.paused])
async def test_item_stays_at_a_node_that_reconnects_in_time(state: ItemState) -> None:
    harness = OwnerHarness()
    await harness.accept(1)
    harness.start("n1")
    harness.owner.handle_status("n1", status(state, events=3))
    harness.owner.link_lost("n1")
    for _ in range(3):
        assert harness.waiting() == []
        harness.clock.advance(RECONNECT_TIMEOUT * 0.3)
        harness.owner.release_silent_items()
    harness.owner.handle_status("n1", status(ItemState.running, events=4))
    harness.clock.advance(RECONNECT_TIMEOUT)
    harness.owner.release_silent_items()
    assert harness.waiting() == []
    (run,) = harness.owner.running()
    assert run.vm == "n1"


async def test_item_of_a_node_that_stays_away_is_released() -> None:
    harness = OwnerHarness()
    await harness.accept(1)
    harness.start("n1")
    harness.owner.link_lost("n1")
    harness.clock.advance(RECONNECT_TIMEOUT * 0.9)
    harness.owner.link_lost("n1")
    harness.clock.advance(RECONNECT_TIMEOUT * 0.2)
    harness.owner.release_silent_items()
    assert harness.waiting() == ["j-0"]


# Guards against: items that ran at fast targets make the run time of the next one at a
# slow target seem short.
async def test_run_time_is_that_of_a_target_of_usual_speed() -> None:
    remaining = []
    for speed in (1.0, 2.0):
        harness = OwnerHarness()
        await harness.accept(2)
        first, _ = harness.owner.waiting()
        harness.owner.start(Placement(first, TARGET, "n1", speed))
        harness.clock.advance(timedelta(seconds=6) / speed)
        harness.owner.handle_status("n1", status(ItemState.paused, events=100))
        remaining += [item.remaining for item in harness.owner.waiting()]
    assert remaining == [remaining[0]] * 2 != [ItemDurationEstimator().remaining(0)] * 2


async def test_repeated_status_replaces_a_lost_one() -> None:
    harness = OwnerHarness()
    await harness.accept(1)
    harness.start("n1")
    harness.clock.advance(timedelta(seconds=1))
    harness.owner.handle_status("n1", status(ItemState.running, repeated=True))
    assert harness.waiting() == []
    harness.owner.handle_status("n1", status(ItemState.paused, repeated=True, events=7))
    harness.clock.advance(timedelta(milliseconds=100))
    (item,) = harness.owner.waiting()
    assert item.holder == "n1"
    harness.start("n1")
    harness.owner.handle_status("n1", status(ItemState.paused, repeated=True, events=7))
    assert harness.waiting() == [], "a stale status undid a newer start"


async def test_repeated_failure_counts_once_and_done_always_finishes_the_item() -> None:
    harness = OwnerHarness()
    await harness.accept(1)
    for _ in range(2):
        harness.start("n1")
        harness.owner.handle_status("n1", status(ItemState.failed))
        for _ in range(5):
            harness.clock.advance(timedelta(seconds=1))
            harness.owner.handle_status("n1", status(ItemState.paused, repeated=True))
    assert harness.waiting() == ["j-0"]
    harness.owner.handle_status("n1", status(ItemState.done, repeated=True, events=3))
    assert harness.waiting() == []


async def test_new_owner_learns_which_nodes_hold_items() -> None:
    harness = OwnerHarness()
    harness.owner.handle_status("n2", status(ItemState.paused, events=9))
    await harness.accept(1)
    (item,) = harness.owner.waiting()
    assert item.holder == "n2"
    harness.start("n2")
    starts = [each for _, each in harness.sent if isinstance(each, ItemStart)]
    assert starts[-1].path == "", "the node has the item already"


async def test_second_node_with_the_same_item_gets_a_stop() -> None:
    harness = OwnerHarness()
    await harness.accept(1)
    harness.start("n1")
    harness.owner.handle_status("n2", status(ItemState.running))
    assert ("n2", ItemStop(job_id="j", item_id="j-0")) in harness.sent


async def test_load_finds_a_job_that_another_node_accepted() -> None:
    harness = OwnerHarness()
    await harness.accept(0)
    other = LedgerStore(harness.store, PARTITION, harness.clock, 2_000_000)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(other.run)
        change = job("k", items=1)
        object.__setattr__(change, "host", HOST)
        await other.commit(change)
        tasks.cancel_scope.cancel()
    harness.clock.advance(timedelta(seconds=2))
    await harness.owner.load()
    assert harness.waiting() == ["k-0"]
    await harness.ledger.refresh(NO_WAIT)


async def test_metrics_split_the_time_of_a_finished_item_by_phase() -> None:
    """Waiting, running, paused and lost time were not distinguishable (issue 17)."""
    harness = OwnerHarness()
    harness.clock.advance(SUBMITTED - harness.clock.now())
    await harness.accept(1)
    harness.clock.advance(timedelta(seconds=2))
    harness.start("n1")
    harness.clock.advance(timedelta(seconds=3))
    harness.owner.handle_status("n1", status(ItemState.paused, events=5))
    harness.clock.advance(timedelta(seconds=3))
    harness.owner.link_lost("n1")
    harness.clock.advance(timedelta(seconds=1))
    harness.owner.release_silent_items()
    harness.clock.advance(timedelta(seconds=5))
    harness.start("n2")
    harness.clock.advance(timedelta(seconds=6))
    harness.owner.handle_status("n2", status(ItemState.done, events=7))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.ledger.run)
        tasks.start_soon(harness.owner.write_results)
        with anyio.fail_after(2):
            while harness.owner._runs:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    text = harness.metrics.text().decode()
    phases = {
        "waiting": 2.3,
        "running": 9.0,
        "paused": 4.0,
        "lost": 5.0,
        "listing": 0.0,
    }
    for phase, seconds in phases.items():
        assert f'item_phase_seconds_sum{{phase="{phase}"}} {seconds}' in text
