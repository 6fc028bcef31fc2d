"""Orders to targets where nothing fails: drained first, few at a time, on trial."""

from datetime import timedelta

import anyio
import pytest

from chivespan.clock import ManualClock
from chivespan.configuration import Configuration
from chivespan.documents import Model
from chivespan.errors import ErrorKind
from chivespan.messages import Outcome, WorkClass
from chivespan.orderaudit import read_orders
from chivespan.targetreconciler import CANARY_FAILURES, CANARY_SUCCESSES
from chivespan.targetsetup import TargetSetup
from chivespan.weightloadlimiter import WeightLoadLimiter
from tests.faults.orderrig import NEW, OLD, OrderRig
from tests.schedulerharness import SLOTS

pytestmark = pytest.mark.anyio

STEPS_OF_A_LOAD = 4


async def test_version_changes_on_all_with_a_quarter_out_at_most() -> None:
    async with anyio.create_task_group() as tasks:
        rig = OrderRig(tasks, True, 8)
        await rig.step()
        rig.publish(NEW, rig.first)
        most_out = 0
        while not rig.settled:
            for _ in range(STEPS_OF_A_LOAD):
                await rig.first.step()
            await rig.step()
            held = [each for each in rig.first.bench.scheduler.targets if each.cordoned]
            most_out = max(most_out, len(held))
        assert most_out == 2
        rig.check([NEW])
        noted = await read_orders(rig.log, 20)
        assert {each.order.target for each in noted} == {r.name for r in rig.runners}
        assert {each.order.fence for each in noted} == {rig.offset}
        tasks.cancel_scope.cancel()


async def test_no_order_goes_out_while_a_request_runs() -> None:
    async with anyio.create_task_group() as tasks:
        rig = OrderRig(tasks, False, 1)
        await rig.step()
        online, batch = await rig.first.ask(), await rig.first.ask(WorkClass.batch)
        rig.publish(NEW, rig.first)
        await rig.step()
        assert batch.grant is not None
        assert rig.first.bench.revoked == [batch.grant.grant_id]
        await rig.first.bench.release(batch, Outcome.cancelled)
        for _ in range(20):
            await rig.step()
        assert rig.engines[0].loads == []
        refused = await rig.first.ask()
        assert refused.error is not None
        assert refused.error.kind is ErrorKind.NO_TARGET
        await rig.first.bench.release(online)
        await rig.settle()
        rig.check([NEW])
        await rig.step()
        assert (await rig.first.ask()).grant is not None
        tasks.cancel_scope.cancel()


async def test_version_that_fails_its_first_requests_goes_no_further() -> None:
    async with anyio.create_task_group() as tasks:
        rig = OrderRig(tasks, True, 4)
        await rig.step()
        rig.publish(NEW, rig.first)
        while not any(engine.setup == NEW for engine in rig.engines):
            await rig.step()
        await rig.step()
        for _ in range(20):
            asked = await rig.first.ask()
            assert asked.grant is not None
            index = int(asked.grant.target[1:])
            failed = rig.engines[index].setup == NEW
            outcome = Outcome.failed if failed else Outcome.done
            await rig.first.bench.release(asked, outcome)
        for _ in range(40):
            await rig.step()
        assert [engine.setup for engine in rig.engines].count(NEW) == 1
        statuses = rig.first.bench.scheduler.statuses()
        phases = [rig.first.reconciler.annotate(each).phase for each in statuses]
        assert phases.count("stopped: the new version fails") == 3
        assert CANARY_FAILURES == CANARY_SUCCESSES
        rig.publish(OLD, rig.first)
        await rig.settle()
        tasks.cancel_scope.cancel()


async def test_grants_go_by_what_was_seen_to_be_loaded() -> None:
    async with anyio.create_task_group() as tasks:
        rig = OrderRig(tasks, True, 1)
        rig.engines[0].setup = TargetSetup("other", "1", (), "serve")
        for owner in (rig.first, rig.owner()):
            owner.bench.scheduler.report_load("r0", rig.engines[0].report())
            refused = await owner.ask()
            assert refused.error is not None
            assert refused.error.kind is ErrorKind.NO_TARGET
        await rig.settle()
        await rig.step()
        assert (await rig.first.ask()).grant is not None
        tasks.cancel_scope.cancel()


async def test_target_that_left_the_inventory_holds_up_no_order() -> None:
    async with anyio.create_task_group() as tasks:
        rig = OrderRig(tasks, True, 2)
        await rig.step()
        running = [await rig.first.ask() for _ in range(2 * SLOTS)]
        left = rig.runners.pop(0)
        target = rig.first.bench.scheduler.target(left.name)
        assert target is not None
        target.runner = left
        rig.publish(NEW, rig.first)
        model = Model(name=left.model, version=NEW.version)
        rig.first.reconciler.reconfigure(Configuration(rig.offset, models={"m": model}))
        for asked in running:
            if asked.grant is not None and asked.grant.target != left.name:
                await rig.first.bench.release(asked)
        for _ in range(20):
            await rig.step()
        assert [engine.loads for engine in rig.engines] == [[], [NEW]]
        tasks.cancel_scope.cancel()


def test_permits_share_the_rate_of_the_weight_store() -> None:
    clock = ManualClock()
    live = 3
    permits = WeightLoadLimiter(60, lambda: live, clock)
    assert permits.try_acquire()
    clock.advance(timedelta(seconds=2.9))
    assert not permits.try_acquire()
    clock.advance(timedelta(seconds=0.1))
    assert permits.try_acquire()
    live = 1
    clock.advance(timedelta(seconds=1))
    assert permits.try_acquire()
