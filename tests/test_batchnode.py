"""Scheduling of batch items at a node whose partitions come and go."""

from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from chivespan import batchnode
from chivespan.batchnode import TICK, BatchNode
from chivespan.clock import MILLISECOND

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
