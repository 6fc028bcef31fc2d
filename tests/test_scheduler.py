from dataclasses import replace
from datetime import timedelta

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chivespan.engineapi import EngineLoad
from chivespan.errors import ErrorKind
from chivespan.messages import Outcome, WorkClass
from chivespan.policies import Policies
from tests.schedulerharness import (
    HOLDER,
    SLOTS,
    SchedulerHarness,
    SubmittedRequest,
    rule,
    runner,
    settle,
)

SECOND = timedelta(seconds=1)
ONLINE = WorkClass.online
BATCH = WorkClass.batch

pytestmark = pytest.mark.anyio


async def test_online_takes_a_batch_slot_and_batch_comes_back() -> None:
    quarter = Policies(prefill_reserve=0.25, headroom_cooldown=timedelta(0))
    async with anyio.create_task_group() as tasks:
        bench = SchedulerHarness(tasks, policies=quarter)
        batch = [await bench.ask(BATCH) for _ in range(SLOTS + 1)]
        assert [each.ended for each in batch] == [True, True, False]
        online = await bench.ask(ONLINE)
        assert online.grant is not None
        youngest = batch[1]
        assert youngest.grant is not None
        assert bench.revoked == [youngest.grant.grant_id]
        await bench.release(youngest, Outcome.cancelled)
        assert not batch[2].ended
        await bench.release(online)
        assert batch[2].grant is not None


async def test_without_grant_on_revoke_the_slot_is_waited_for_up_to_the_bound() -> None:
    policies = Policies(grant_on_revoke=False, headroom_cooldown=timedelta(0))
    async with anyio.create_task_group() as tasks:
        bench = SchedulerHarness(tasks, policies=policies)
        for _ in range(SLOTS):
            await bench.ask(BATCH)
        online = await bench.ask(ONLINE)
        assert not online.ended
        assert len(bench.revoked) == 1
        bench.advance(policies.revoke_bound)
        await settle()
        assert online.grant is not None


async def test_refusals_come_at_once_with_a_time_and_whose_work_it_is() -> None:
    limits = rule("b", ONLINE, max_in_progress=1)
    async with anyio.create_task_group() as tasks:
        bench = SchedulerHarness(tasks, rules=[limits])
        await bench.ask(ONLINE, "b")
        over = await bench.ask(ONLINE, "b")
        await bench.ask(ONLINE, "a")
        late = await bench.ask(ONLINE, "a", deadline_ms=100)
        elsewhere = await bench.ask(ONLINE, "a", max_wait_ms=0)
        nowhere = await bench.ask(ONLINE, "a", excluded=["r0"])
        unknown = await bench.ask(ONLINE, "stranger")
        refused = [over, late, elsewhere, nowhere, unknown]
        assert [each.error.kind for each in refused if each.error] == [
            ErrorKind.OWNER_LIMIT,
            ErrorKind.NO_CAPACITY,
            ErrorKind.NO_CAPACITY,
            ErrorKind.NO_TARGET,
            ErrorKind.NO_RULE,
        ]
        assert late.error is not None
        assert late.error.retry_after is not None
        shares = {(each.owner, each.slots) for each in late.error.shares}
        assert shares == {("a", 1), ("b", 1)}
        usage = {each.owner: each.refusals for each in bench.scheduler.usage()}
        assert usage == {"a": 2, "b": 1, "stranger": 1}


async def test_a_request_given_up_by_its_asker_is_no_refusal() -> None:
    async with anyio.create_task_group() as tasks:
        bench = SchedulerHarness(tasks)
        for _ in range(SLOTS):
            await bench.ask(ONLINE)
        waiting = await bench.ask(ONLINE)
        bench.scheduler.abandon(waiting.request.request_id)
        await settle()
        assert waiting.ended
        usage = [each.refusals for each in bench.scheduler.usage()]
        assert sum(usage) == 0


async def test_a_waiting_request_is_refused_as_soon_as_it_is_hopeless() -> None:
    async with anyio.create_task_group() as tasks:
        bench = SchedulerHarness(tasks)
        for _ in range(SLOTS):
            await bench.ask(ONLINE)
        waiting = await bench.ask(ONLINE, deadline_ms=3000)
        assert not waiting.ended
        bench.advance(2.5 * SECOND)
        await settle()
        assert waiting.error is not None
        assert waiting.error.kind is ErrorKind.NO_CAPACITY


async def test_batch_owners_share_by_weight() -> None:
    heavy = rule("b", BATCH, weight=3)
    async with anyio.create_task_group() as tasks:
        bench = SchedulerHarness(tasks, [runner(0, 8)], [heavy])
        blocker = [await bench.ask(ONLINE) for _ in range(8)]
        for _ in range(10):
            await bench.ask(BATCH, "a")
            await bench.ask(BATCH, "b")
        bench.advance(bench.policies.prefill_time)
        for each in blocker:
            await bench.release(each)
        owners = [each.request.owner for each in bench.held]
        assert (owners.count("a"), owners.count("b")) == (2, 6)
        tasks.cancel_scope.cancel()


async def test_batch_makes_way_while_an_unknown_prompt_is_read() -> None:
    async with anyio.create_task_group() as tasks:
        bench = SchedulerHarness(tasks, [runner(0, 8)])
        for _ in range(11):
            await bench.ask(BATCH)
        await bench.ask(ONLINE, prefix_hash=7)
        assert len(bench.revoked) == 5
        for each in [one for one in bench.held if _is_revoked(bench, one)]:
            await bench.release(each, Outcome.cancelled)
        assert len(bench.held) == 4
        await bench.ask(ONLINE, prefix_hash=7)
        assert len(bench.revoked) == 6
        bench.advance(bench.policies.prefill_time)
        await settle()
        assert bench.scheduler.load().free_slots == 0
        tasks.cancel_scope.cancel()


async def test_tokens_over_an_owners_rate_wait_for_batch_and_refuse_online() -> None:
    rules = [rule("a", each, max_tokens_per_s=5) for each in WorkClass]
    async with anyio.create_task_group() as tasks:
        bench = SchedulerHarness(tasks, [runner(0, 8)], rules)
        online = [await bench.ask(ONLINE) for _ in range(2)]
        batch = [await bench.ask(BATCH) for _ in range(2)]
        assert [each.grant is not None for each in online] == [True, False]
        assert [each.ended for each in batch] == [True, False]
        bench.advance(SECOND)
        await settle()
        assert batch[1].grant is not None


async def test_new_owner_is_careful_until_holders_report() -> None:
    async with anyio.create_task_group() as tasks:
        old = SchedulerHarness(tasks, [runner(0, 8)])
        held = [await old.ask(ONLINE) for _ in range(6)]
        new = SchedulerHarness(tasks, [runner(0, 8)], recovering=True)
        new.scheduler.expect_reports({HOLDER, "10.0.0.2/entry"})
        fresh = [await new.ask(ONLINE) for _ in range(8)]
        assert len(new.held) == 2
        assert not (await new.ask(BATCH)).ended
        new.report(*held)
        assert new.scheduler.load().free_slots == 0
        new.report(holder="10.0.0.2/entry")
        await settle()
        assert len(held) + len(new.held) == 8
        await old.release(held[0])
        new.report(*held[1:], *new.held)
        assert len(new.held) == 2
        new.advance(new.policies.grant_lifetime)
        new.report(*held[1:], *new.held)
        await settle()
        assert sum(each.grant is not None for each in fresh) == 3
        tasks.cancel_scope.cancel()


async def test_new_owner_believes_the_engine_before_it_believes_idle_slots() -> None:
    async with anyio.create_task_group() as tasks:
        bench = SchedulerHarness(tasks, [runner(0, 8)], recovering=True)
        busy = EngineLoad(
            slots=8,
            running=7,
            waiting=0,
            kv_used=0.5,
            model="m",
            version="1",
            adapters=[],
            role="serve",
            state="ready",
            fence=0,
        )
        bench.scheduler.report_load("r0", busy)
        for _ in range(3):
            await bench.ask(ONLINE)
        assert len(bench.held) == 1
        bench.advance(bench.policies.grant_lifetime)
        await settle()
        assert len(bench.held) == 3


async def test_unreported_grants_exceed_the_slots_by_a_quarter_at_most() -> None:
    async with anyio.create_task_group() as tasks:
        old = SchedulerHarness(tasks, [runner(0, 8)])
        for _ in range(8):
            await old.ask(ONLINE)
        new = SchedulerHarness(tasks, [runner(0, 8)], recovering=True)
        for _ in range(8):
            await new.ask(ONLINE)
        assert len(old.held) + len(new.held) <= 8 + 8 // 4
        tasks.cancel_scope.cancel()


async def test_a_lost_holders_grants_lapse_unless_it_reports_them() -> None:
    async with anyio.create_task_group() as tasks:
        bench = SchedulerHarness(tasks)
        kept, lost = [await bench.ask(ONLINE) for _ in range(2)]
        waiting = await bench.ask(ONLINE)
        bench.scheduler.holder_lost(HOLDER)
        await settle()
        assert waiting.error is not None
        bench.report(kept)
        bench.advance(bench.policies.grant_lifetime)
        assert bench.scheduler.load().free_slots == 1
        await bench.release(lost)
        await bench.release(kept)
        assert bench.scheduler.load().free_slots == SLOTS


async def test_a_runner_taken_out_gets_nothing_new_and_keeps_what_runs() -> None:
    async with anyio.create_task_group() as tasks:
        bench = SchedulerHarness(tasks, [runner(0), runner(1)])
        running = [await bench.ask(ONLINE) for _ in range(3)]
        staying = replace(bench.part, runners=(runner(1),))
        bench.scheduler.reconfigure(staying, bench.configuration)
        before = bench.counts()["r0"]
        await bench.ask(ONLINE)
        waiting = await bench.ask(ONLINE)
        assert bench.counts()["r0"] == before
        assert not waiting.ended
        for each in running:
            await bench.release(each)
        assert waiting.grant is not None
        assert waiting.grant.target == "r1"
        assert [each.target for each in bench.scheduler.statuses()] == ["r1"]


async def test_a_target_that_fails_fast_does_not_draw_the_traffic() -> None:
    async with anyio.create_task_group() as tasks:
        bench = SchedulerHarness(tasks, [runner(0), runner(1)])
        chosen = []
        for _ in range(40):
            asked = await bench.ask(ONLINE)
            assert asked.grant is not None
            chosen.append(asked.grant.target)
            failed = asked.grant.target == "r0"
            await bench.release(asked, Outcome.failed if failed else Outcome.done)
        assert chosen.count("r0") == 3
        bench.advance(1.1 * SECOND)
        back = [await bench.ask(ONLINE) for _ in range(3)]
        assert bench.counts() == {"r0": 1, "r1": 2}
        for each in back:
            await bench.release(each)
        assert bench.scheduler.load().total_slots == 2 * SLOTS
        tasks.cancel_scope.cancel()


async def test_giving_up_the_slice_tells_all_who_wait() -> None:
    async with anyio.create_task_group() as tasks:
        bench = SchedulerHarness(tasks)
        asked = [await bench.ask(ONLINE) for _ in range(SLOTS + 1)]
        with anyio.CancelScope() as scope:
            scope.cancel()
            await bench.scheduler.run()
        await settle()
        late = await bench.ask(ONLINE)
        for each in (asked[-1], late):
            assert each.error is not None
            assert each.error.kind is ErrorKind.NO_DISPATCHER


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["online", "batch", "release", "give_up", "time", "fail"]),
        st.integers(0, 30),
    ),
    min_size=10,
    max_size=60,
)


@pytest.mark.parametrize("grant_on_revoke", [True, False])
@settings(max_examples=150, deadline=None)
@given(steps=STEPS)
async def test_random_sessions_keep_the_counts(
    grant_on_revoke: bool, steps: list[tuple[str, int]]
) -> None:
    policies = Policies(grant_on_revoke=grant_on_revoke)
    async with anyio.create_task_group() as tasks:
        bench = SchedulerHarness(tasks, [runner(0), runner(1, 3)], policies=policies)
        for action, number in steps:
            await _take(bench, action, number)
            _check_counts(bench)
        while bench.held:
            await bench.release(bench.held[0])
        bench.advance(61 * SECOND)
        await settle()
        assert all(each.ended for each in bench.asked)


async def _take(bench: SchedulerHarness, action: str, number: int) -> None:
    held = bench.held
    waiting = [each for each in bench.asked if not each.ended]
    owner = "ab"[number % 2]
    if action == "online":
        await bench.ask(ONLINE, owner, excluded=["r0"] if number % 5 == 0 else [])
    elif action == "batch":
        await bench.ask(BATCH, owner)
    elif action == "release" and held:
        await bench.release(held[number % len(held)])
    elif action == "fail" and held:
        await bench.release(held[number % len(held)], Outcome.failed)
    elif action == "give_up" and waiting:
        waiting[number % len(waiting)].scope.cancel()
        await settle()
    elif action == "time":
        bench.advance(timedelta(milliseconds=20 * number))
        await settle()


def _is_revoked(bench: SchedulerHarness, asked: SubmittedRequest) -> bool:
    return asked.grant is not None and asked.grant.grant_id in bench.revoked


def _check_counts(bench: SchedulerHarness) -> None:
    """Check that slots are never exceeded, and that batch never makes online wait."""
    standing = [each for each in bench.held if not _is_revoked(bench, each)]
    for target in bench.scheduler.statuses():
        own = [each.grant for each in standing if each.grant]
        here = sum(grant.target == target.target for grant in own)
        assert here <= target.slots
    waiting = [each for each in bench.asked if not each.ended]
    online = [each for each in waiting if each.request.work_class is ONLINE]
    assert bench.scheduler.load().queued_online == len(online)
    outstanding = any(_is_revoked(bench, each) for each in bench.held)
    if bench.policies.grant_on_revoke or not outstanding:
        for each in online:
            assert not _batch_in_the_way(bench, each)


def _batch_in_the_way(bench: SchedulerHarness, waiting: SubmittedRequest) -> bool:
    """Return whether batch holds a slot that a waiting request could use."""
    return any(
        target.target not in waiting.request.excluded
        and target.state == "serving"
        and any(
            each.grant
            and each.grant.target == target.target
            and each.request.work_class is BATCH
            and not _is_revoked(bench, each)
            for each in bench.held
        )
        for target in bench.scheduler.statuses()
    )
