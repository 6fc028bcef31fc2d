"""Items that wait get started: no state of the targets leaves none a slot for good."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from chivespan.batchcapacity import below_peaks
from chivespan.batchnode import TICK, BatchNode
from chivespan.batchschedule import (
    NodeLoad,
    Placement,
    WaitingItem,
    has_capacity,
    place_items,
)
from chivespan.batchtargets import BatchTargets
from chivespan.batchyield import YIELD_WINDOW, YieldRule
from chivespan.clock import ManualClock
from chivespan.loadtable import LoadTable
from chivespan.nodemessages import ItemState, ItemStatus, TargetLoad
from chivespan.ratelimits import StatedLimit
from chivespan.sendlimiter import MIN_RATE_PER_S
from chivespan.targetchoices import TARGET_CHOICES
from chivespan.targethealth import (
    EJECT_AFTER_FAILURES,
    MAX_EJECTION,
    RECOVERY_SUCCESSES,
)
from chivespan.targetpick import TargetPicker
from chivespan.targetset import TargetSet
from chivespan.targetsilence import SilenceDetector
from tests.factories import target_entry
from tests.fleet import HOST
from tests.test_batchowner import status

START = datetime(2026, 12, 4, tzinfo=UTC)
SERVICE = "svc"
SLOTS = 8
# The end of an ejection, and the time until the lowest rate limit allows a request.
START_BOUND = MAX_EJECTION + timedelta(seconds=1 / MIN_RATE_PER_S) + 2 * TICK
NODES = [NodeLoad("n1", "a", 0)]


@dataclass
class TargetHistory:
    """What a node has seen of a target so far.

    :ivar per_s: the target's rate limit; None for none.
    """

    slots: int = SLOTS
    ejections: int = 0
    successes: int = 0
    per_s: float | None = None


class Scheduler(BatchNode):
    """A node that owns a partition, whose targets get no online requests."""

    def __init__(self, histories: list[TargetHistory]) -> None:
        self._clock = self.clock = ManualClock()
        targets = TargetSet(self.clock)
        entries = [
            target_entry(f"t{n}", service=SERVICE, slots=each.slots)
            for n, each in enumerate(histories)
        ]
        targets.replace(entries)
        self.load_table = LoadTable(self.clock)
        self.picker = self._picker = TargetPicker(
            targets,
            self.load_table,
            "a",
            self.clock,
            SilenceDetector(self.clock),
            TARGET_CHOICES["shared_counts"],
            timedelta,
        )
        self._targets = BatchTargets(self.picker, self.clock)
        self.running = True
        owner = SimpleNamespace(
            handle_status=self.end_run, is_running_at=lambda *_: self.running
        )
        self._owners = cast(Any, [owner])
        for entry, each in zip(entries, histories, strict=True):
            if each.per_s is not None:
                targets.limits.record(entry, StatedLimit(each.per_s))
            for _ in range(each.ejections):
                self.fail(entry.target_id)
            for _ in range(each.successes):
                self.picker.record_success(entry.target_id)

    def end_run(self, vm: str, ended: ItemStatus) -> None:
        """Handle the status of an item that a node has run."""
        self.running = False

    def fail(self, target_id: str) -> None:
        """Eject a target, and let it return."""
        for _ in range(EJECT_AFTER_FAILURES):
            self.picker.record_failure(target_id)
        self.clock.advance(MAX_EJECTION)
        self.picker.candidates(SERVICE)

    def place(self, items: list[WaitingItem]) -> list[Placement]:
        """Return what one round of scheduling starts."""
        targets = self._targets.capacities({SERVICE}, Counter())
        if not has_capacity(targets, below_peaks):
            return []
        now = START + self.clock.monotonic()
        return list(place_items(items, targets, NODES, now))

    def time_to_start(self, items: list[WaitingItem]) -> timedelta:
        """Return how long it takes until an item starts."""
        began = self.clock.monotonic()
        while not self.place(items):
            self.clock.advance(TICK)
            if self.clock.monotonic() - began > START_BOUND:
                break
        return self.clock.monotonic() - began


def waiting_items(count: int, due: timedelta) -> list[WaitingItem]:
    return [
        WaitingItem(
            partition=0,
            job_id="j",
            item_id=f"j-{order}",
            host=HOST,
            service=SERVICE,
            due=START + due,
            order=order,
            remaining=timedelta(seconds=5),
        )
        for order in range(count)
    ]


# Guards against: once each target has failed once and no online requests come, the
# owner of a partition starts no item any more (review case 1, LOST).
def test_items_start_when_all_targets_are_returning() -> None:
    node = Scheduler([TargetHistory(ejections=1)] * 6)
    placed = node.place(waiting_items(12, timedelta(seconds=18)))
    assert len({each.entry.target_id for each in placed}) == 6


# Guards against: the same, for a returning target beside busy ones.
def test_a_returning_target_gets_an_item_beside_full_ones() -> None:
    node = Scheduler([TargetHistory(), TargetHistory(ejections=1)])
    load = TargetLoad(target_id="t0", online=SLOTS - 1, batch=0)
    node.load_table.report("peer", [load])
    (placed,) = node.place(waiting_items(3, timedelta(seconds=18)))
    assert placed.entry.target_id == "t1"


# Guards against: an item in the only slot of a returning target keeps online requests
# away, so that the target returns as late as its items end.
def test_an_item_at_a_returning_target_leaves_its_slot_to_online_requests() -> None:
    node = Scheduler([TargetHistory(ejections=1)])
    (placed,) = node.place(waiting_items(3, timedelta(seconds=18)))
    load = TargetLoad(target_id="t0", online=0, batch=1)
    node.load_table.report("peer", [load])
    assert node.place(waiting_items(3, timedelta(seconds=18))) == []
    (candidate,) = node.picker.candidates(SERVICE)
    assert (candidate.slots, candidate.free) == (1, 1)
    full = TargetLoad(target_id="t0", online=0, batch=SLOTS)
    node.load_table.report("other", [full])
    (candidate,) = node.picker.candidates(SERVICE)
    assert candidate.free <= 0
    assert placed.entry.target_id == "t0"


# Guards against: the same, as the owner runs none of the items itself and so never sees
# that its targets are well again; each then runs one item at a time for good.
@pytest.mark.anyio
async def test_items_of_other_nodes_show_the_owner_that_a_target_is_well() -> None:
    node = Scheduler([TargetHistory(ejections=1)])
    peer = cast(Any, SimpleNamespace(node=SimpleNamespace(vm="n2")))
    done = replace(status(ItemState.done), partition=0, target_id="t0")
    for _ in range(RECOVERY_SUCCESSES):
        node.running = True
        await node.handle_message(peer, done)
    (candidate,) = node.picker.candidates(SERVICE)
    assert candidate.slots == SLOTS


# Guards against: an item that is reported as done again, after a lost link or in case
# the status was lost, counts as another success of its target.
@pytest.mark.anyio
async def test_item_that_is_reported_as_done_again_is_one_success() -> None:
    node = Scheduler([TargetHistory(ejections=1)])
    peer = cast(Any, SimpleNamespace(node=SimpleNamespace(vm="n2")))
    done = replace(status(ItemState.done), partition=0, target_id="t0")
    for _ in range(RECOVERY_SUCCESSES):
        await node.handle_message(peer, done)
        await node.handle_message(peer, replace(done, repeated=True))
    (candidate,) = node.picker.candidates(SERVICE)
    assert candidate.slots == 2


# Guards against: a node that can't reach a target uses it at full again and again,
# since the items of other nodes succeed there.
def test_success_of_other_nodes_makes_the_next_ejection_no_shorter() -> None:
    node = Scheduler([TargetHistory(ejections=2)])
    for _ in range(RECOVERY_SUCCESSES):
        node.picker.record_remote_success("t0")
    node.picker.record_unreachable("t0")
    node.clock.advance(timedelta(seconds=3))
    assert not node.picker.candidates(SERVICE)


# Guards against: targets with one slot get no items, as this slot is kept for online
# requests; or items there yield to nobody, again and again.
def test_targets_with_one_slot_get_items_that_stay() -> None:
    node = Scheduler([TargetHistory(slots=1)] * 2)
    placed = node.place(waiting_items(3, timedelta(seconds=18)))
    assert len(placed) == 2
    loads = [TargetLoad(target_id=f"t{n}", online=0, batch=1) for n in range(2)]
    node.load_table.report("peer", loads)
    rule = YieldRule(node.picker, node.load_table, node.clock, Random(1))
    entry = placed[0].entry
    assert not any(rule.must_yield(entry, YIELD_WINDOW) for _ in range(100))
    node.load_table.report("other", [TargetLoad(target_id="t0", online=1, batch=0)])
    assert rule.must_yield(target_entry("t0", service=SERVICE, slots=1), YIELD_WINDOW)


def random_histories(random: Random) -> Iterator[TargetHistory]:
    """Yield one to six targets, each in a state of its own."""
    for _ in range(random.randint(1, 6)):
        yield TargetHistory(
            slots=random.choice([1, 2, SLOTS]),
            ejections=random.choice([0, 1, 3]),
            successes=random.randint(0, RECOVERY_SUCCESSES),
            per_s=random.choice([None, 0.0, 0.3, 2.5]),
        )


# Guards against: any state of targets that are up in which no item ever starts, though
# no online request comes (review case 1, LOST); a stated limit of 0 was another one.
@pytest.mark.parametrize("seed", range(150))
def test_an_item_starts_in_bounded_time(seed: int) -> None:
    random = Random(seed)
    node = Scheduler(list(random_histories(random)))
    due = timedelta(seconds=random.choice([-60, 1, 18, 3600]))
    items = waiting_items(random.choice([1, 40]), due)
    if random.random() < 0.3:
        items = [replace(each, will_be_late=True) for each in items]
    assert node.time_to_start(items) <= START_BOUND
