"""Scheduling of one slice's slots on a manual clock."""

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


async def test_online_preempts_batch_and_batch_resumes() -> None:
    policies = Policies(prefill_reserve=0.25, headroom_cooldown=timedelta(0))
    async with anyio.create_task_group() as tasks:
        harness = SchedulerHarness(tasks, policies=policies)
        batch = [await harness.submit(BATCH) for _ in range(SLOTS + 1)]
        assert [each.ended for each in batch] == [True, True, False]
        online = await harness.submit(ONLINE)
        assert online.grant is not None
        youngest = batch[1]
        assert youngest.grant is not None
        assert harness.revoked == [youngest.grant.grant_id]
        await harness.release(youngest, Outcome.cancelled)
        assert not batch[2].ended
        await harness.release(online)
        assert batch[2].grant is not None


async def test_without_grant_on_revoke_online_waits_up_to_the_revoke_bound() -> None:
    policies = Policies(grant_on_revoke=False, headroom_cooldown=timedelta(0))
    async with anyio.create_task_group() as tasks:
        harness = SchedulerHarness(tasks, policies=policies)
        for _ in range(SLOTS):
            await harness.submit(BATCH)
        online = await harness.submit(ONLINE)
        assert not online.ended
        assert len(harness.revoked) == 1
        harness.advance(policies.revoke_bound)
        await settle()
        assert online.grant is not None


async def test_refusals_are_immediate_and_state_retry_delay_and_shares() -> None:
    limits = rule("b", ONLINE, max_in_progress=1)
    async with anyio.create_task_group() as tasks:
        harness = SchedulerHarness(tasks, rules=[limits])
        await harness.submit(ONLINE, "b")
        over_limit = await harness.submit(ONLINE, "b")
        await harness.submit(ONLINE, "a")
        deadline_too_short = await harness.submit(ONLINE, "a", deadline_ms=100)
        unwilling_to_wait = await harness.submit(ONLINE, "a", max_wait_ms=0)
        excluded_target = await harness.submit(ONLINE, "a", excluded=["r0"])
        no_rule = await harness.submit(ONLINE, "stranger")
        refused = [
            over_limit,
            deadline_too_short,
            unwilling_to_wait,
            excluded_target,
            no_rule,
        ]
        assert [each.error.kind for each in refused if each.error] == [
            ErrorKind.OWNER_LIMIT,
            ErrorKind.NO_CAPACITY,
            ErrorKind.NO_CAPACITY,
            ErrorKind.NO_TARGET,
            ErrorKind.NO_RULE,
        ]
        assert deadline_too_short.error is not None
        assert deadline_too_short.error.retry_after is not None
        shares = {(each.owner, each.slots) for each in deadline_too_short.error.shares}
        assert shares == {("a", 1), ("b", 1)}
        usage = {each.owner: each.refusals for each in harness.scheduler.usage()}
        assert usage == {"a": 2, "b": 1, "stranger": 1}


async def test_abandoned_request_is_not_counted_as_refusal() -> None:
    async with anyio.create_task_group() as tasks:
        harness = SchedulerHarness(tasks)
        for _ in range(SLOTS):
            await harness.submit(ONLINE)
        waiting = await harness.submit(ONLINE)
        harness.scheduler.abandon(waiting.request.request_id)
        await settle()
        assert waiting.ended
        usage = [each.refusals for each in harness.scheduler.usage()]
        assert sum(usage) == 0


async def test_waiting_request_is_refused_once_it_cannot_meet_its_deadline() -> None:
    async with anyio.create_task_group() as tasks:
        harness = SchedulerHarness(tasks)
        for _ in range(SLOTS):
            await harness.submit(ONLINE)
        waiting = await harness.submit(ONLINE, deadline_ms=3000)
        assert not waiting.ended
        harness.advance(2.5 * SECOND)
        await settle()
        assert waiting.error is not None
        assert waiting.error.kind is ErrorKind.NO_CAPACITY


async def test_batch_owners_share_by_weight() -> None:
    weighted_rule = rule("b", BATCH, weight=3)
    async with anyio.create_task_group() as tasks:
        harness = SchedulerHarness(tasks, [runner(0, 8)], [weighted_rule])
        blocking = [await harness.submit(ONLINE) for _ in range(8)]
        for _ in range(10):
            await harness.submit(BATCH, "a")
            await harness.submit(BATCH, "b")
        harness.advance(harness.policies.prefill_time)
        for each in blocking:
            await harness.release(each)
        owners = [each.request.owner for each in harness.held]
        assert (owners.count("a"), owners.count("b")) == (2, 6)
        tasks.cancel_scope.cancel()


async def test_batch_is_preempted_during_prefill_of_an_uncached_prompt() -> None:
    async with anyio.create_task_group() as tasks:
        harness = SchedulerHarness(tasks, [runner(0, 8)])
        for _ in range(11):
            await harness.submit(BATCH)
        await harness.submit(ONLINE, prefix_hash=7)
        assert len(harness.revoked) == 5
        for each in [one for one in harness.held if _is_revoked(harness, one)]:
            await harness.release(each, Outcome.cancelled)
        assert len(harness.held) == 4
        await harness.submit(ONLINE, prefix_hash=7)
        assert len(harness.revoked) == 6
        harness.advance(harness.policies.prefill_time)
        await settle()
        assert harness.scheduler.load().free_slots == 0
        tasks.cancel_scope.cancel()


async def test_token_rate_limit_delays_batch_and_refuses_online() -> None:
    rules = [rule("a", each, max_tokens_per_s=5) for each in WorkClass]
    async with anyio.create_task_group() as tasks:
        harness = SchedulerHarness(tasks, [runner(0, 8)], rules)
        online = [await harness.submit(ONLINE) for _ in range(2)]
        batch = [await harness.submit(BATCH) for _ in range(2)]
        assert [each.grant is not None for each in online] == [True, False]
        assert [each.ended for each in batch] == [True, False]
        harness.advance(SECOND)
        await settle()
        assert batch[1].grant is not None


async def test_new_owner_limits_grants_until_holders_report() -> None:
    async with anyio.create_task_group() as tasks:
        previous_owner = SchedulerHarness(tasks, [runner(0, 8)])
        held = [await previous_owner.submit(ONLINE) for _ in range(6)]
        new_owner = SchedulerHarness(tasks, [runner(0, 8)], recovering=True)
        new_owner.scheduler.expect_reports({HOLDER, "10.0.0.2/entry"})
        fresh = [await new_owner.submit(ONLINE) for _ in range(8)]
        assert len(new_owner.held) == 2
        assert not (await new_owner.submit(BATCH)).ended
        new_owner.report(*held)
        assert new_owner.scheduler.load().free_slots == 0
        new_owner.report(holder="10.0.0.2/entry")
        await settle()
        assert len(held) + len(new_owner.held) == 8
        await previous_owner.release(held[0])
        new_owner.report(*held[1:], *new_owner.held)
        assert len(new_owner.held) == 2
        new_owner.advance(new_owner.policies.grant_lifetime)
        new_owner.report(*held[1:], *new_owner.held)
        await settle()
        assert sum(each.grant is not None for each in fresh) == 3
        tasks.cancel_scope.cancel()


async def test_new_owner_limits_grants_by_the_engine_load_report() -> None:
    async with anyio.create_task_group() as tasks:
        harness = SchedulerHarness(tasks, [runner(0, 8)], recovering=True)
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
        harness.scheduler.report_load("r0", busy)
        for _ in range(3):
            await harness.submit(ONLINE)
        assert len(harness.held) == 1
        harness.advance(harness.policies.grant_lifetime)
        await settle()
        assert len(harness.held) == 3


async def test_unreported_grants_exceed_the_slots_by_at_most_a_quarter() -> None:
    async with anyio.create_task_group() as tasks:
        previous_owner = SchedulerHarness(tasks, [runner(0, 8)])
        for _ in range(8):
            await previous_owner.submit(ONLINE)
        new_owner = SchedulerHarness(tasks, [runner(0, 8)], recovering=True)
        for _ in range(8):
            await new_owner.submit(ONLINE)
        assert len(previous_owner.held) + len(new_owner.held) <= 8 + 8 // 4
        tasks.cancel_scope.cancel()


async def test_grants_of_a_lost_holder_expire_unless_reported() -> None:
    async with anyio.create_task_group() as tasks:
        harness = SchedulerHarness(tasks)
        reported, unreported = [await harness.submit(ONLINE) for _ in range(2)]
        waiting = await harness.submit(ONLINE)
        harness.scheduler.holder_lost(HOLDER)
        await settle()
        assert waiting.error is not None
        harness.report(reported)
        harness.advance(harness.policies.grant_lifetime)
        assert harness.scheduler.load().free_slots == 1
        await harness.release(unreported)
        await harness.release(reported)
        assert harness.scheduler.load().free_slots == SLOTS


async def test_removed_runner_gets_no_new_work_and_finishes_its_requests() -> None:
    async with anyio.create_task_group() as tasks:
        harness = SchedulerHarness(tasks, [runner(0), runner(1)])
        running = [await harness.submit(ONLINE) for _ in range(3)]
        remaining = replace(harness.slice_, runners=(runner(1),))
        harness.scheduler.reconfigure(remaining, harness.configuration)
        before = harness.counts()["r0"]
        await harness.submit(ONLINE)
        waiting = await harness.submit(ONLINE)
        assert harness.counts()["r0"] == before
        assert not waiting.ended
        for each in running:
            await harness.release(each)
        assert waiting.grant is not None
        assert waiting.grant.target == "r1"
        assert [each.target for each in harness.scheduler.statuses()] == ["r1"]


async def test_fast_failing_target_does_not_attract_traffic() -> None:
    async with anyio.create_task_group() as tasks:
        harness = SchedulerHarness(tasks, [runner(0), runner(1)])
        chosen = []
        for _ in range(40):
            submitted = await harness.submit(ONLINE)
            assert submitted.grant is not None
            chosen.append(submitted.grant.target)
            failed = submitted.grant.target == "r0"
            await harness.release(submitted, Outcome.failed if failed else Outcome.done)
        assert chosen.count("r0") == 3
        harness.advance(1.1 * SECOND)
        later = [await harness.submit(ONLINE) for _ in range(3)]
        assert harness.counts() == {"r0": 1, "r1": 2}
        for each in later:
            await harness.release(each)
        assert harness.scheduler.load().total_slots == 2 * SLOTS
        tasks.cancel_scope.cancel()


async def test_stopping_the_scheduler_refuses_all_waiting_requests() -> None:
    async with anyio.create_task_group() as tasks:
        harness = SchedulerHarness(tasks)
        submitted = [await harness.submit(ONLINE) for _ in range(SLOTS + 1)]
        with anyio.CancelScope() as scope:
            scope.cancel()
            await harness.scheduler.run()
        await settle()
        late = await harness.submit(ONLINE)
        for each in (submitted[-1], late):
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
async def test_random_operations_keep_the_counts_consistent(
    grant_on_revoke: bool, steps: list[tuple[str, int]]
) -> None:
    policies = Policies(grant_on_revoke=grant_on_revoke)
    async with anyio.create_task_group() as tasks:
        harness = SchedulerHarness(tasks, [runner(0), runner(1, 3)], policies=policies)
        for action, number in steps:
            await _perform(harness, action, number)
            _check_counts(harness)
        while harness.held:
            await harness.release(harness.held[0])
        harness.advance(61 * SECOND)
        await settle()
        assert all(each.ended for each in harness.submitted)


async def _perform(harness: SchedulerHarness, action: str, number: int) -> None:
    held = harness.held
    waiting = [each for each in harness.submitted if not each.ended]
    owner = "ab"[number % 2]
    if action == "online":
        await harness.submit(ONLINE, owner, excluded=["r0"] if number % 5 == 0 else [])
    elif action == "batch":
        await harness.submit(BATCH, owner)
    elif action == "release" and held:
        await harness.release(held[number % len(held)])
    elif action == "fail" and held:
        await harness.release(held[number % len(held)], Outcome.failed)
    elif action == "give_up" and waiting:
        waiting[number % len(waiting)].scope.cancel()
        await settle()
    elif action == "time":
        harness.advance(timedelta(milliseconds=20 * number))
        await settle()


def _is_revoked(harness: SchedulerHarness, submitted: SubmittedRequest) -> bool:
    return submitted.grant is not None and submitted.grant.grant_id in harness.revoked


def _check_counts(harness: SchedulerHarness) -> None:
    """Check that slots are never exceeded and that batch never delays online work."""
    unrevoked = [each for each in harness.held if not _is_revoked(harness, each)]
    for target in harness.scheduler.statuses():
        grants = [each.grant for each in unrevoked if each.grant]
        on_target = sum(grant.target == target.target for grant in grants)
        assert on_target <= target.slots
    waiting = [each for each in harness.submitted if not each.ended]
    online = [each for each in waiting if each.request.work_class is ONLINE]
    assert harness.scheduler.load().queued_online == len(online)
    outstanding = any(_is_revoked(harness, each) for each in harness.held)
    if harness.policies.grant_on_revoke or not outstanding:
        for each in online:
            assert not _batch_blocks(harness, each)


def _batch_blocks(harness: SchedulerHarness, waiting: SubmittedRequest) -> bool:
    """Return whether unrevoked batch holds a slot that a waiting request could use."""
    return any(
        target.target not in waiting.request.excluded
        and target.state == "serving"
        and any(
            each.grant
            and each.grant.target == target.target
            and each.request.work_class is BATCH
            and not _is_revoked(harness, each)
            for each in harness.held
        )
        for target in harness.scheduler.statuses()
    )
