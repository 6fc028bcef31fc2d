"""Scheduling of batch items at a node whose partitions come and go."""

from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from chivespan import batchnode
from chivespan.batchnode import TICK, BatchNode
from chivespan.batchownership import PartitionOwnership
from chivespan.clock import MILLISECOND, ManualClock
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.fleetlinks import NO_REPORT
from chivespan.nodemessages import ItemStart, ItemState
from tests.fakelinks import FakeLinks

pytestmark = pytest.mark.anyio


class Node(BatchNode):
    """A node that counts its rounds of scheduling in place of starting items."""

    def __init__(self) -> None:
        self.rounds = 0
        self._ownership = cast(Any, SimpleNamespace(owned=frozenset()))
        self._partition_taken = anyio.Event()
        self._owners = cast(Any, [None])

    def _start_items(self) -> None:
        self.rounds += 1

    async def _maintain_partition(self, owner: object) -> None:
        pass

    def own(self, *partitions: int) -> None:
        self._ownership = cast(Any, SimpleNamespace(owned=frozenset(partitions)))
        if partitions:
            self._partition_taken.set()


# Guards against: a node that takes a partition for the second time never starts its
# items, since its scheduler waits for an event that nobody sets any more.
async def test_items_are_scheduled_again_after_a_partition_came_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(batchnode, "UPKEEP_INTERVAL", 20 * MILLISECOND)
    node = Node()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node._schedule)
        tasks.start_soon(node._maintain)
        for _ in range(3):
            before = node.rounds
            node.own(0)
            await anyio.sleep(5 * TICK.total_seconds())
            assert node.rounds > before
            node.own()
            await anyio.sleep(5 * TICK.total_seconds())
        tasks.cancel_scope.cancel()


class Receiver(BatchNode):
    """A node that records the items it starts; linked to two owners of a partition."""

    def __init__(self) -> None:
        self.links = FakeLinks()
        self.started: list[ItemStart] = []
        links = cast(Any, self.links)
        self._ownership = PartitionOwnership(links, ManualClock())
        self._executor = cast(Any, SimpleNamespace(start=self.started.append))
        for vm in ("10.0.0.2", "10.0.0.3"):
            self.links.join(vm, "b")

    def claim(self, vm: str, *partitions: int, store_reached: bool = True) -> None:
        self.links.peers[vm].report = replace(
            NO_REPORT, owned=list(partitions), store_reached=store_reached
        )

    async def receive_start(self, vm: str) -> None:
        message = ItemStart(
            partition=1,
            job_id="j",
            item_id="j-0",
            target_id="t",
            host="h",
            path="/",
            headers=[],
            body=b"",
            events=[],
        )
        await self.handle_message(self.links.peers[vm], message)


# Guards against: around a change of owners both start an item, which then runs twice.
async def test_only_one_of_two_claiming_owners_starts_an_item() -> None:
    node = Receiver()
    node.claim("10.0.0.2", 1, store_reached=False)
    await node.receive_start("10.0.0.2")
    assert len(node.started) == 1
    node.claim("10.0.0.3", 1)
    await node.receive_start("10.0.0.2")
    assert len(node.started) == 1, "the previous owner started an item once more"
    ((vm, status),) = node.links.sent
    assert (vm, status.state) == ("10.0.0.2", ItemState.not_run)
    await node.receive_start("10.0.0.3")
    assert len(node.started) == 2


async def test_start_by_a_node_whose_claim_has_not_arrived_is_served() -> None:
    node = Receiver()
    await node.receive_start("10.0.0.3")
    assert len(node.started) == 1


# Guards against: items of a lost node wait for the end of a store outage.
async def test_items_of_a_lost_node_are_released_without_the_store() -> None:
    released: list[str] = []
    checks: list[str] = []

    async def load() -> None:
        raise ChivespanError(ErrorKind.NOT_READY, "the store is down")

    owner = SimpleNamespace(
        partition=0,
        load=load,
        release_silent_items=lambda: released.append("items"),
        ledger_age=timedelta(0),
    )
    itself = SimpleNamespace(_store_failed=lambda: checks.append("store"))
    await BatchNode._maintain_partition(cast(Any, itself), cast(Any, owner))
    assert released == ["items"]
    assert checks == ["store"]


# Guards against: one partition of the store that doesn't answer lets the ledgers of all
# others become too old to start items.
async def test_slow_read_of_a_partition_delays_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(batchnode, "UPKEEP_INTERVAL", 20 * MILLISECOND)
    reads: list[int] = []

    class SlowNode(Node):
        async def _maintain_partition(self, owner: object) -> None:
            number = cast(int, owner)
            reads.append(number)
            if number == 0:
                await anyio.sleep_forever()

    node = SlowNode()
    node._owners = cast(Any, [0, 1])
    node.own(0, 1)
    with anyio.move_on_after(0.3):
        await node._maintain()
    assert reads.count(0) == 1
    assert reads.count(1) > 3
