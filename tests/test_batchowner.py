"""The owner of a partition: items whose nodes, orders or statuses are lost."""

from datetime import timedelta

import anyio
import pytest

from chivespan.batchowner import TAKEOVER_TIME, UNHEARD_TIME, BatchOwner
from chivespan.batchschedule import Placement
from chivespan.clock import NO_WAIT, ManualClock
from chivespan.keyedstore import Partition
from chivespan.ledgerstore import LedgerStore
from chivespan.nodemessages import ItemStart, ItemState, ItemStatus, ItemStop
from chivespan.nodemetrics import NodeMetrics
from chivespan.platform.documents import decode_config
from chivespan.routingstate import RoutingState
from tests.factories import target_entry
from tests.fakestore import FakeStore
from tests.fleet import HOST, batch_route, config
from tests.test_ledgerstore import SUBMITTED, job

pytestmark = pytest.mark.anyio
PARTITION = Partition("keyed.batch", 1)
TARGET = target_entry("t", service="svc")


class Site:
    """An owner whose messages to nodes are kept."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.metrics = NodeMetrics()
        self.store = FakeStore()
        self.ledger = LedgerStore(self.store, PARTITION, self.clock, 2_000_000)
        routing = RoutingState(decode_config)
        routing.offer(config(1, batch_route(pathPrefix="/b/")), "test")
        self.sent: list[tuple[str, object]] = []
        self.owner = BatchOwner(
            1,
            self.ledger,
            routing,
            self.clock,
            self._send,
            timedelta(seconds=120),
            100_000,
            self.metrics,
        )

    async def accept(self, items: int) -> None:
        change = job("j", items=items)
        object.__setattr__(change, "host", HOST)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.ledger.run)
            await self.ledger.commit(change)
            tasks.cancel_scope.cancel()
        self.owner.take_over()
        await self.owner.load()
        self.clock.advance(TAKEOVER_TIME)

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


async def test_item_of_which_its_node_says_nothing_is_started_elsewhere() -> None:
    """The order to run it was lost on a link that fell silent; darkmoor mix."""
    site = Site()
    await site.accept(1)
    site.start("n1")
    assert site.waiting() == []
    site.clock.advance(UNHEARD_TIME * 0.9)
    site.owner.loosen_unheard()
    assert site.waiting() == []
    site.clock.advance(UNHEARD_TIME * 0.2)
    site.owner.loosen_unheard()
    assert site.waiting() == ["j-0"]


async def test_lost_status_is_made_up_for_by_the_repeated_one() -> None:
    site = Site()
    await site.accept(1)
    site.start("n1")
    site.clock.advance(timedelta(seconds=1))
    site.owner.take_status("n1", status(ItemState.running, repeated=True))
    assert site.waiting() == []
    site.owner.take_status("n1", status(ItemState.paused, repeated=True, events=7))
    site.clock.advance(timedelta(milliseconds=100))
    (item,) = site.owner.waiting()
    assert item.holder == "n1"
    site.start("n1")
    site.owner.take_status("n1", status(ItemState.paused, repeated=True, events=7))
    assert site.waiting() == [], "an old status undid a new order"


async def test_repeated_failure_counts_once_and_done_settles_whatever_was_thought() -> (
    None
):
    site = Site()
    await site.accept(1)
    for _ in range(2):
        site.start("n1")
        site.owner.take_status("n1", status(ItemState.failed))
        for _ in range(5):
            site.clock.advance(timedelta(seconds=1))
            site.owner.take_status("n1", status(ItemState.paused, repeated=True))
    assert site.waiting() == ["j-0"]
    site.owner.take_status("n1", status(ItemState.done, repeated=True, events=3))
    assert site.waiting() == []


async def test_items_held_by_nodes_are_known_after_a_take_over() -> None:
    site = Site()
    site.owner.take_status("n2", status(ItemState.paused, events=9))
    await site.accept(1)
    (item,) = site.owner.waiting()
    assert item.holder == "n2"
    site.start("n2")
    orders = [each for _, each in site.sent if isinstance(each, ItemStart)]
    assert orders[-1].path == "", "the node has the item already"


async def test_second_node_with_the_same_item_is_told_to_stop() -> None:
    site = Site()
    await site.accept(1)
    site.start("n1")
    site.owner.take_status("n2", status(ItemState.running))
    assert ("n2", ItemStop(job_id="j", item_id="j-0")) in site.sent


async def test_job_that_another_node_accepted_is_found_without_being_asked() -> None:
    site = Site()
    await site.accept(0)
    other = LedgerStore(site.store, PARTITION, site.clock, 2_000_000)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(other.run)
        change = job("k", items=1)
        object.__setattr__(change, "host", HOST)
        await other.commit(change)
        tasks.cancel_scope.cancel()
    site.clock.advance(timedelta(seconds=2))
    await site.owner.load()
    assert site.waiting() == ["k-0"]
    await site.ledger.refresh(NO_WAIT)


async def test_metrics_tell_where_the_time_of_a_listed_item_went() -> None:
    """Waiting, running, being cut and being lost could not be told apart (issue 17)."""
    site = Site()
    site.clock.advance(SUBMITTED - site.clock.now())
    await site.accept(1)
    site.clock.advance(timedelta(seconds=2))
    site.start("n1")
    site.clock.advance(timedelta(seconds=3))
    site.owner.take_status("n1", status(ItemState.paused, events=5))
    site.clock.advance(timedelta(seconds=4))
    site.owner.node_lost("n1")
    site.clock.advance(timedelta(seconds=5))
    site.start("n2")
    site.clock.advance(timedelta(seconds=6))
    site.owner.take_status("n2", status(ItemState.done, events=7))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(site.ledger.run)
        tasks.start_soon(site.owner.list_finished)
        with anyio.fail_after(2):
            while site.owner._runs:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    text = site.metrics.text().decode()
    phases = {
        "waiting": 2.3,
        "running": 9.0,
        "paused": 4.0,
        "lost": 5.0,
        "listing": 0.0,
    }
    for phase, seconds in phases.items():
        assert f'item_phase_seconds_sum{{phase="{phase}"}} {seconds}' in text
