"""Faults of orders to targets, for engines that check fencing numbers and others."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import TypeAlias

import anyio

from chivespan.failpoints import FailPoint, Hook, installed_hook
from chivespan.targetsetup import TargetSetup
from tests.faults.matrix import Cell, Fault, Row, cannot_happen, proves
from tests.faults.orderrig import NEW, NEWEST, OrderRig, Owner

KINDS = (True, False)
TARGETS = 2
SOME_STEPS = 4
LONG = timedelta(minutes=1)
OTHER = TargetSetup("other", "1", (), "serve")

Action: TypeAlias = Callable[[], Awaitable[None]]

cannot_happen(
    (Row.ORDER, Row.LOAD),
    (Fault.LIST_DOWN, Fault.LIST_STALE),
    "an order uses the VM list only through who owns the slice; see slice take-over",
)
cannot_happen((Row.ORDER, Row.LOAD), Fault.RESEND, "no client takes part in this step")
cannot_happen(
    (Row.ORDER, Row.LOAD),
    Fault.LOG_EXPIRED,
    "nothing is read from the log; operators read what it still keeps",
)


@asynccontextmanager
async def order_rigs() -> AsyncIterator[list[OrderRig]]:
    """Give a rig of each kind of engine; the inventory wants the new version."""
    async with anyio.create_task_group() as tasks:
        rigs = [OrderRig(tasks, checks, TARGETS) for checks in KINDS]
        for rig in rigs:
            await rig.step()
            rig.publish(NEW, rig.first)
        yield rigs
        tasks.cancel_scope.cancel()


def at(step: FailPoint, action: Action) -> Hook:
    """Return a hook that does something the first time that a step is reached."""
    reached = False

    async def hook(named: FailPoint) -> None:
        nonlocal reached
        if named is step and not reached:
            reached = True
            await action()

    return hook


@proves(
    Row.ORDER,
    (Fault.CUT, Fault.ANSWER_LOST, Fault.ANSWER_LATE, Fault.TARGET_ERROR, Fault.TWICE),
)
async def order_meets_a_fault(cell: Cell) -> None:
    """Each engine loads the new version once, whatever became of the order."""
    async with order_rigs() as rigs:
        for rig in rigs:
            for engine in rig.engines:
                match cell.fault:
                    case Fault.CUT:
                        engine.lose_orders = 1
                    case Fault.ANSWER_LOST:
                        engine.lose_answers = 1
                    case Fault.ANSWER_LATE:
                        engine.lag = 3
                    case Fault.TARGET_ERROR:
                        engine.refuse = 1
                    case Fault.TWICE:
                        engine.lose_orders = 2
            await rig.settle()
            rig.check([NEW])


@proves(Row.ORDER, (Fault.SILENT, Fault.KILLED))
async def target_is_gone_when_it_should_be_ordered(cell: Cell) -> None:
    """A drained target that answers nothing gets its order when it is back."""
    async with order_rigs() as rigs:
        for rig in rigs:

            async def fall_silent(rig: OrderRig = rig) -> None:
                for engine in rig.engines:
                    engine.silent = True

            with installed_hook(at(FailPoint.ORDER_NOTED, fall_silent)):
                for _ in range(SOME_STEPS):
                    await rig.first.step()
            rig.check([])
            for engine in rig.engines:
                engine.silent = False
                if cell.fault is Fault.KILLED:
                    engine.restart()
            await rig.settle()
            rig.check([NEW])


@proves(Row.ORDER, (Fault.LOG_DOWN, Fault.LOG_SLOW))
async def log_is_away_when_an_order_is_noted(cell: Cell) -> None:
    """Orders go out all the same, and what may be missing on the trail is counted."""
    async with order_rigs() as rigs:
        for rig in rigs:
            rig.log.outage = cell.fault is Fault.LOG_DOWN
            rig.log.lost_replies = TARGETS
            await rig.settle()
            rig.check([NEW])
            assert rig.first.metrics.counters["orders.unnoted"] == TARGETS


@proves(Row.ORDER, Fault.OPERATOR_RACE)
async def inventory_changes_before_the_order_goes_out(cell: Cell) -> None:
    """Only the newest is loaded where the older order wasn't sent yet."""
    async with order_rigs() as rigs:
        for rig in rigs:

            async def change_again(rig: OrderRig = rig) -> None:
                rig.publish(NEWEST, rig.first)

            with installed_hook(at(FailPoint.ORDER_NOTED, change_again)):
                await rig.settle()
            assert rig.desired == NEWEST
            rig.check([NEWEST])


@proves(Row.ORDER, Fault.FROZEN)
async def owner_wakes_after_its_last_look(cell: Cell) -> None:
    """It sends nothing, since what it saw is old."""
    async with order_rigs() as rigs:
        for rig in rigs:
            other = rig.owner()

            async def freeze(rig: OrderRig = rig, other: Owner = other) -> None:
                await _pass_by(rig, other)

            async def freeze_at_the_report(
                rig: OrderRig = rig, freeze: Action = freeze
            ) -> None:
                rig.control.on_report = freeze

            with installed_hook(at(FailPoint.ORDER_NOTED, freeze_at_the_report)):
                for _ in range(SOME_STEPS):
                    await rig.first.step()
            assert rig.first.metrics.counters["orders.held_back"] == 1
            assert rig.first.metrics.counters["orders.sent"] == 0
            rig.check([NEWEST])


@proves(Row.ORDER, (Fault.FROZEN, Fault.TWO))
async def owner_wakes_with_its_order_on_the_way(cell: Cell) -> None:
    """The stale order is refused, or put right at the next look of the new owner."""
    async with order_rigs() as rigs:
        for rig in rigs:
            rig.log.outage = cell.fault is Fault.TWO
            other = rig.owner()

            async def freeze(rig: OrderRig = rig, other: Owner = other) -> None:
                await _pass_by(rig, other)

            with installed_hook(at(FailPoint.ORDER_SEND, freeze)):
                while not rig.first.metrics.counters["orders.sent"]:
                    await rig.first.step()
            if rig.engines[0].checks_fencing:
                rig.check([NEWEST])
                assert rig.first.metrics.counters["orders.refused"] == 1
                continue
            assert not rig.settled
            await rig.first.probe(rig.control)
            await rig.settle(rig.first, other)
            assert rig.first.metrics.counters["orders.sent"] == 1
            assert not any(engine.cut for engine in rig.engines)


async def _pass_by(rig: OrderRig, other: Owner) -> None:
    """Let another owner bring a newer version, while the first one is frozen."""
    before = other.bench.clock.monotonic()
    rig.publish(NEWEST, other)
    await rig.settle(other)
    rig.first.bench.advance(other.bench.clock.monotonic() - before)


@proves(Row.LOAD, (Fault.KILLED, Fault.TWICE))
async def engine_restarts_in_the_middle_of_a_load(cell: Cell) -> None:
    """It is seen to have the old version, and is ordered again."""
    restarts = 2 if cell.fault is Fault.TWICE else 1
    async with order_rigs() as rigs:
        for rig in rigs:
            for _ in range(restarts):
                await rig.until_loading()
                for engine in rig.engines:
                    if engine.loading:
                        engine.restart()
            await rig.settle()
            loads = sorted(len(engine.loads) for engine in rig.engines)
            assert sum(loads) == TARGETS + restarts
            assert not any(engine.cut for engine in rig.engines)


@proves(Row.LOAD, (Fault.SILENT, Fault.CUT, Fault.ANSWER_LATE))
async def loading_engine_does_not_say_so(cell: Cell) -> None:
    """It gets no second order while it says nothing, or what was so before."""
    async with order_rigs() as rigs:
        for rig in rigs:
            await rig.until_loading()
            loading = next(engine for engine in rig.engines if engine.loading)
            if cell.fault is Fault.ANSWER_LATE:
                loading.lag = 3
            else:
                loading.silent = True
            for _ in range(SOME_STEPS):
                await rig.first.step()
            loading.silent = False
            await rig.settle()
            rig.check([NEW])


@proves((Row.ORDER, Row.LOAD), Fault.KILLED)
async def owner_is_killed_and_another_goes_on(cell: Cell) -> None:
    """The new owner starts from what the engines say."""
    async with order_rigs() as rigs:
        for rig in rigs:
            other = rig.owner()
            if cell.row is Row.LOAD:
                await rig.until_loading()
            else:
                await rig.first.step()
                assert any(each.cordoned for each in rig.first.bench.scheduler.targets)
            await rig.settle(other)
            rig.check([NEW])


@proves((Row.ORDER, Row.LOAD), Fault.TWO)
async def two_owners_order_at_once(cell: Cell) -> None:
    """Both want the same, so each engine loads it once."""
    async with order_rigs() as rigs:
        for rig in rigs:
            await rig.settle(rig.first, rig.owner())
            rig.check([NEW])


@proves(Row.LOAD, Fault.FROZEN)
async def owner_is_frozen_during_a_load(cell: Cell) -> None:
    """It wakes when another has gone on, and finds nothing to do."""
    async with order_rigs() as rigs:
        for rig in rigs:
            await rig.until_loading()
            await rig.settle(rig.owner())
            rig.first.bench.advance(LONG)
            for _ in range(SOME_STEPS):
                await rig.step()
            rig.check([NEW])


@proves(Row.LOAD, Fault.OPERATOR_RACE)
async def inventory_changes_during_a_load(cell: Cell) -> None:
    """The load that runs ends, and the newest follows it."""
    async with order_rigs() as rigs:
        for rig in rigs:
            await rig.until_loading()
            rig.publish(NEWEST, rig.first)
            await rig.settle()
            assert [engine.loads[-1] for engine in rig.engines] == [NEWEST] * TARGETS
            assert not any(engine.cut for engine in rig.engines)


@proves(Row.LOAD, Fault.TARGET_ERROR)
async def loaded_version_is_not_the_one_ordered(cell: Cell) -> None:
    """An engine that comes back with something else gets requests for that only."""
    async with order_rigs() as rigs:
        for rig in rigs:
            await rig.settle()
            await rig.step()
            rig.engines[0].restart(OTHER)
            await rig.first.probe(rig.control)
            for _ in range(TARGETS):
                asked = await rig.first.ask()
                assert asked.grant is not None
                assert asked.grant.target == "r1"
                await rig.first.bench.release(asked)
            await rig.settle()
            assert rig.engines[0].loads == [NEW, NEW]
