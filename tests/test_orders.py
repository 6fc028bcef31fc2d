"""Orders to targets without faults: draining, rollout limits, and canaries."""

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

STEPS_PER_LOAD = 4


async def test_version_rollout_takes_at_most_a_quarter_out_of_service() -> None:
    async with anyio.create_task_group() as tasks:
        rig = OrderRig(tasks, True, 8)
        await rig.step()
        rig.publish(NEW, rig.first)
        max_cordoned = 0
        while not rig.settled:
            for _ in range(STEPS_PER_LOAD):
                await rig.first.step()
            await rig.step()
            cordoned = [
                each for each in rig.first.harness.scheduler.targets if each.cordoned
            ]
            max_cordoned = max(max_cordoned, len(cordoned))
        assert max_cordoned == 2
        rig.check([NEW])
        audited = await read_orders(rig.log, 20)
        assert {each.order.target for each in audited} == {r.name for r in rig.runners}
        assert {each.order.fence for each in audited} == {rig.offset}
        tasks.cancel_scope.cancel()


async def test_no_order_is_sent_while_a_request_runs() -> None:
    async with anyio.create_task_group() as tasks:
        rig = OrderRig(tasks, False, 1)
        await rig.step()
        online, batch = (
            await rig.first.submit(),
            await rig.first.submit(WorkClass.batch),
        )
        rig.publish(NEW, rig.first)
        await rig.step()
        assert batch.grant is not None
        assert rig.first.harness.revoked == [batch.grant.grant_id]
        await rig.first.harness.release(batch, Outcome.cancelled)
        for _ in range(20):
            await rig.step()
        assert rig.engines[0].loads == []
        refused = await rig.first.submit()
        assert refused.error is not None
        assert refused.error.kind is ErrorKind.NO_TARGET
        await rig.first.harness.release(online)
        await rig.settle()
        rig.check([NEW])
        await rig.step()
        assert (await rig.first.submit()).grant is not None
        tasks.cancel_scope.cancel()


async def test_rollout_stops_after_the_canary_fails() -> None:
    async with anyio.create_task_group() as tasks:
        rig = OrderRig(tasks, True, 4)
        await rig.step()
        rig.publish(NEW, rig.first)
        while not any(engine.setup == NEW for engine in rig.engines):
            await rig.step()
        await rig.step()
        for _ in range(20):
            asked = await rig.first.submit()
            assert asked.grant is not None
            index = int(asked.grant.target[1:])
            failed = rig.engines[index].setup == NEW
            outcome = Outcome.failed if failed else Outcome.done
            await rig.first.harness.release(asked, outcome)
        for _ in range(40):
            await rig.step()
        assert [engine.setup for engine in rig.engines].count(NEW) == 1
        statuses = rig.first.harness.scheduler.statuses()
        phases = [rig.first.reconciler.annotate(each).phase for each in statuses]
        assert phases.count("stopped: the new version fails") == 3
        assert CANARY_FAILURES == CANARY_SUCCESSES
        rig.publish(OLD, rig.first)
        await rig.settle()
        tasks.cancel_scope.cancel()


async def test_grants_depend_on_the_reported_setup() -> None:
    async with anyio.create_task_group() as tasks:
        rig = OrderRig(tasks, True, 1)
        rig.engines[0].setup = TargetSetup("other", "1", (), "serve")
        for owner in (rig.first, rig.owner()):
            owner.harness.scheduler.report_load("r0", rig.engines[0].report())
            refused = await owner.submit()
            assert refused.error is not None
            assert refused.error.kind is ErrorKind.NO_TARGET
        await rig.settle()
        await rig.step()
        assert (await rig.first.submit()).grant is not None
        tasks.cancel_scope.cancel()


async def test_removed_target_does_not_block_orders() -> None:
    async with anyio.create_task_group() as tasks:
        rig = OrderRig(tasks, True, 2)
        await rig.step()
        running = [await rig.first.submit() for _ in range(2 * SLOTS)]
        removed = rig.runners.pop(0)
        target = rig.first.harness.scheduler.target(removed.name)
        assert target is not None
        target.runner = removed
        rig.publish(NEW, rig.first)
        model = Model(name=removed.model, version=NEW.version)
        rig.first.reconciler.reconfigure(Configuration(rig.offset, models={"m": model}))
        for asked in running:
            if asked.grant is not None and asked.grant.target != removed.name:
                await rig.first.harness.release(asked)
        for _ in range(20):
            await rig.step()
        assert [engine.loads for engine in rig.engines] == [[], [NEW]]
        tasks.cancel_scope.cancel()


def test_weight_loads_share_the_rate_of_the_weight_store() -> None:
    clock = ManualClock()
    live_vms = 3
    limiter = WeightLoadLimiter(60, lambda: live_vms, clock)
    assert limiter.try_acquire()
    clock.advance(timedelta(seconds=2.9))
    assert not limiter.try_acquire()
    clock.advance(timedelta(seconds=0.1))
    assert limiter.try_acquire()
    live_vms = 1
    clock.advance(timedelta(seconds=1))
    assert limiter.try_acquire()
