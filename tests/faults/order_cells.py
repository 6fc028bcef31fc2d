"""Faults of orders to targets, for engines with and without fencing checks."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import TypeAlias

import anyio

from chivespan.failpoints import FailPoint, Hook, installed_hook
from chivespan.targetsetup import TargetSetup
from tests.faults.matrix import Cell, Fault, Row, cannot_happen, proves
from tests.faults.orderrig import NEW, NEWEST, OrderRig, SliceOwner

CHECKS_FENCING = (True, False)
TARGETS = 2
SOME_STEPS = 4
FREEZE_DURATION = timedelta(minutes=1)
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
    """Run a rig for each kind of engine; the inventory specifies the new version."""
    async with anyio.create_task_group() as tasks:
        rigs = [OrderRig(tasks, checks, TARGETS) for checks in CHECKS_FENCING]
        for rig in rigs:
            await rig.step()
            rig.publish(NEW, rig.first)
        yield rigs
        tasks.cancel_scope.cancel()


def at(step: FailPoint, action: Action) -> Hook:
    """Return a hook that performs an action when a step is first reached."""
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
    """Each engine loads the new version once, even if an order or answer is lost."""
    async with order_rigs() as rigs:
        for rig in rigs:
            for engine in rig.engines:
                match cell.fault:
                    case Fault.CUT:
                        engine.lose_orders = 1
                    case Fault.ANSWER_LOST:
                        engine.lose_answers = 1
                    case Fault.ANSWER_LATE:
                        engine.stale_reports = 3
                    case Fault.TARGET_ERROR:
                        engine.refuse_orders = 1
                    case Fault.TWICE:
                        engine.lose_orders = 2
            await rig.settle()
            rig.check([NEW])


@proves(Row.ORDER, (Fault.SILENT, Fault.KILLED))
async def target_is_gone_when_it_should_be_ordered(cell: Cell) -> None:
    """A drained target that stops answering gets its order once it answers again."""
    async with order_rigs() as rigs:
        for rig in rigs:

            async def silence_engines(rig: OrderRig = rig) -> None:
                for engine in rig.engines:
                    engine.silent = True

            with installed_hook(at(FailPoint.ORDER_NOTED, silence_engines)):
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
    """Orders are sent without an audit record, and the missing records are counted."""
    async with order_rigs() as rigs:
        for rig in rigs:
            rig.log.outage = cell.fault is Fault.LOG_DOWN
            rig.log.lost_replies = TARGETS
            await rig.settle()
            rig.check([NEW])
            assert rig.first.metrics.counters["orders.unnoted"] == TARGETS


@proves(Row.ORDER, Fault.OPERATOR_RACE)
async def inventory_changes_before_the_order_goes_out(cell: Cell) -> None:
    """Only the newest version is loaded if the older order wasn't sent yet."""
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
    """An owner frozen after a load report sends no order, as the report is stale."""
    async with order_rigs() as rigs:
        for rig in rigs:
            other = rig.owner()

            async def freeze(rig: OrderRig = rig, other: SliceOwner = other) -> None:
                await _complete_newer_order(rig, other)

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
    """A stale order is refused, or corrected at the new owner's next reconciliation."""
    async with order_rigs() as rigs:
        for rig in rigs:
            rig.log.outage = cell.fault is Fault.TWO
            other = rig.owner()

            async def freeze(rig: OrderRig = rig, other: SliceOwner = other) -> None:
                await _complete_newer_order(rig, other)

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
            assert not any(engine.orders_while_busy for engine in rig.engines)


async def _complete_newer_order(rig: OrderRig, other: SliceOwner) -> None:
    """Complete a newer version's rollout by another owner while the first is frozen."""
    before = other.harness.clock.monotonic()
    rig.publish(NEWEST, other)
    await rig.settle(other)
    rig.first.harness.advance(other.harness.clock.monotonic() - before)


@proves(Row.LOAD, (Fault.KILLED, Fault.TWICE))
async def engine_restarts_in_the_middle_of_a_load(cell: Cell) -> None:
    """An engine restarted during a load has the old version and is ordered again."""
    restarts = 2 if cell.fault is Fault.TWICE else 1
    async with order_rigs() as rigs:
        for rig in rigs:
            for _ in range(restarts):
                await rig.step_until_loading()
                for engine in rig.engines:
                    if engine.loading:
                        engine.restart()
            await rig.settle()
            loads = sorted(len(engine.loads) for engine in rig.engines)
            assert sum(loads) == TARGETS + restarts
            assert not any(engine.orders_while_busy for engine in rig.engines)


@proves(Row.LOAD, (Fault.SILENT, Fault.CUT, Fault.ANSWER_LATE))
async def loading_engine_does_not_say_so(cell: Cell) -> None:
    """A loading engine gets no second order while its reports are missing or stale."""
    async with order_rigs() as rigs:
        for rig in rigs:
            await rig.step_until_loading()
            loading = next(engine for engine in rig.engines if engine.loading)
            if cell.fault is Fault.ANSWER_LATE:
                loading.stale_reports = 3
            else:
                loading.silent = True
            for _ in range(SOME_STEPS):
                await rig.first.step()
            loading.silent = False
            await rig.settle()
            rig.check([NEW])


@proves((Row.ORDER, Row.LOAD), Fault.KILLED)
async def owner_is_killed_and_another_goes_on(cell: Cell) -> None:
    """The new owner continues from the state that the engines report."""
    async with order_rigs() as rigs:
        for rig in rigs:
            other = rig.owner()
            if cell.row is Row.LOAD:
                await rig.step_until_loading()
            else:
                await rig.first.step()
                assert any(
                    each.cordoned for each in rig.first.harness.scheduler.targets
                )
            await rig.settle(other)
            rig.check([NEW])


@proves((Row.ORDER, Row.LOAD), Fault.TWO)
async def two_owners_order_at_once(cell: Cell) -> None:
    """Both owners want the same version, so each engine loads it once."""
    async with order_rigs() as rigs:
        for rig in rigs:
            await rig.settle(rig.first, rig.owner())
            rig.check([NEW])


@proves(Row.LOAD, Fault.FROZEN)
async def owner_is_frozen_during_a_load(cell: Cell) -> None:
    """An owner that resumes after another has finished the load sends no order."""
    async with order_rigs() as rigs:
        for rig in rigs:
            await rig.step_until_loading()
            await rig.settle(rig.owner())
            rig.first.harness.advance(FREEZE_DURATION)
            for _ in range(SOME_STEPS):
                await rig.step()
            rig.check([NEW])


@proves(Row.LOAD, Fault.OPERATOR_RACE)
async def inventory_changes_during_a_load(cell: Cell) -> None:
    """The load in progress completes, and then the newest version is loaded."""
    async with order_rigs() as rigs:
        for rig in rigs:
            await rig.step_until_loading()
            rig.publish(NEWEST, rig.first)
            await rig.settle()
            assert [engine.loads[-1] for engine in rig.engines] == [NEWEST] * TARGETS
            assert not any(engine.orders_while_busy for engine in rig.engines)


@proves(Row.LOAD, Fault.TARGET_ERROR)
async def loaded_version_is_not_the_one_ordered(cell: Cell) -> None:
    """An engine that restarts with another model gets requests only for that one."""
    async with order_rigs() as rigs:
        for rig in rigs:
            await rig.settle()
            await rig.step()
            rig.engines[0].restart(OTHER)
            await rig.first.probe(rig.control)
            for _ in range(TARGETS):
                submitted = await rig.first.submit()
                assert submitted.grant is not None
                assert submitted.grant.target == "r1"
                await rig.first.harness.release(submitted)
            await rig.settle()
            assert rig.engines[0].loads == [NEW, NEW]
