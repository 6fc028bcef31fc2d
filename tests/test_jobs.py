"""Batch jobs finish exactly once despite crashes, races, outages and log retention."""

from collections import Counter
from datetime import timedelta

import anyio
import pytest

from chivespan.batchapi import batch_result, parse_items
from chivespan.callerapi import BatchResult
from chivespan.clock import ManualClock
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.jobfold import ENDED_PHASES, jobs_stream
from chivespan.jobmessages import JobPhase
from chivespan.jobplan import JobPlan
from chivespan.partitions import JobPartition
from chivespan.snapshots import SnapshotStore
from tests.batchfakes import (
    MODEL_SERVICE,
    OWNER,
    Site,
    model_plan,
    plain_plan,
)

pytestmark = pytest.mark.anyio

STREAM = jobs_stream(0)
PROMPTS = [f"note {number} of the night" for number in range(40)]


async def wait_results(worker: JobPartition, plan: JobPlan) -> list[BatchResult]:
    """Wait until a job has ended and return its results."""
    with anyio.fail_after(20):
        await worker.follower.wait_caught_up()
        while not _has_ended(worker, plan):
            await worker.follower.wait_changed()
    return await results(worker, plan)


def _has_ended(worker: JobPartition, plan: JobPlan) -> bool:
    job = worker.store.fold.job(plan.job_id)
    return job is not None and job.phase in ENDED_PHASES


async def results(worker: JobPartition, plan: JobPlan) -> list[BatchResult]:
    chunks = len(worker.store.job(OWNER, plan.job_id).chunks)
    found = [
        await worker.store.results(OWNER, plan.job_id, chunk) for chunk in range(chunks)
    ]
    return [batch_result(result) for chunk in found for result in chunk]


async def test_job_runs_once_and_resubmission_is_idempotent() -> None:
    site, plan = Site(), model_plan(PROMPTS)
    async with site.worker() as worker:
        await worker.store.submit(plan)
        found = await wait_results(worker, plan)
        again = await worker.store.submit(plan)
        with pytest.raises(ChivespanError) as reused:
            await worker.store.submit(model_plan(["other content"]))
    assert [one.text for one in found] == [p.replace(" ", "") for p in PROMPTS]
    assert [one.id for one in found] == [f"i{n}" for n in range(40)]
    assert {one.attempts for one in found} == {1}
    assert (again.phase, again.done) == (JobPhase.finished, 40)
    assert reused.value.kind is ErrorKind.KEY_REUSED
    assert set(site.engines.streams.values()) == {1}
    assert not site.slots.held


@pytest.mark.parametrize("fault", ["lost_replies", "dropped", "delayed_appends"])
async def test_unanswered_appends_neither_lose_nor_duplicate_results(
    fault: str,
) -> None:
    site, plan = Site(), model_plan(PROMPTS)
    async with site.worker() as worker:
        await worker.follower.wait_caught_up()
        setattr(site.log, fault, 2)
        await worker.store.submit(plan)
        setattr(site.log, fault, 2)
        found = await wait_results(worker, plan)
        site.log.apply_delayed()
        await anyio.sleep(0.05)
        assert await results(worker, plan) == found
    assert [one.index for one in found] == list(range(40))


async def test_concurrent_owners_agree_on_one_result_per_item() -> None:
    site, plan = Site(), model_plan(PROMPTS)
    async with site.worker() as one, site.worker() as other:
        await one.store.submit(plan)
        found = await wait_results(one, plan)
        assert await wait_results(other, plan) == found
    assert [each.index for each in found] == list(range(40))


async def test_job_continues_after_its_worker_is_lost() -> None:
    site, plan = Site(), model_plan(PROMPTS)
    site.engines.gated = True
    async with site.worker() as lost:
        await lost.store.submit(plan)
        while site.engines.running < 20:
            await anyio.sleep(0.001)
    site.engines.gated = False
    async with site.worker() as worker:
        found = await wait_results(worker, plan)
    assert [one.index for one in found] == list(range(40))


async def test_revoked_stream_resumes_from_its_tokens() -> None:
    site, plan = Site(), model_plan(["alpha beta gamma"])
    site.slots.revoke_next = 1
    async with site.worker() as worker:
        await worker.store.submit(plan)
        found = await wait_results(worker, plan)
    assert [(one.text, one.attempts) for one in found] == [("alphabetagamma", 1)]
    assert site.engines.streams["alpha beta gamma"] == 2
    assert site.engines.resumed["alpha beta gamma"] == ["alpha"]


async def test_permanently_failing_item_fails_with_its_reason() -> None:
    site, plan = Site(), model_plan(["good one", "impossible", "good two"])
    async with site.worker() as worker:
        await worker.store.submit(plan)
        found = await wait_results(worker, plan)
        assert worker.store.job(OWNER, plan.job_id).state().failed == 1
    assert [one.ok for one in found] == [True, False, True]
    assert found[1].attempts == 3
    assert found[1].error is not None
    assert found[1].error.code == ErrorKind.TARGET_FAILED.value
    assert "out of memory" in found[1].error.message


async def test_cancel_stops_running_items_and_ignores_later_results() -> None:
    site, plan = Site(), model_plan(PROMPTS)
    site.engines.gated = True
    async with site.worker() as worker, site.worker(owning=False) as other:
        await worker.store.submit(plan)
        while site.engines.running < 40:
            await anyio.sleep(0.001)
        await other.follower.wait_applied(worker.follower.fold.offset)
        state = await other.store.cancel(OWNER, plan.job_id, "")
        with anyio.fail_after(2):
            while site.engines.running:
                await anyio.sleep(0.001)
        assert state.phase is JobPhase.cancelled
        assert await results(worker, plan) == []
        again = await worker.store.submit(plan)
    assert again.phase is JobPhase.cancelled
    assert not site.slots.held


async def test_log_outage_keeps_results_and_refuses_submissions_at_once() -> None:
    site, plan = Site(), model_plan(PROMPTS)
    site.engines.gated = True
    async with site.worker() as worker:
        await worker.store.submit(plan)
        while site.engines.running < 40:
            await anyio.sleep(0.001)
        site.log.unreachable = True
        site.engines.gate.set()
        while worker.unwritten_results < 40:
            await anyio.sleep(0.001)
        job = worker.store.job(OWNER, plan.job_id)
        assert (job.phase, job.done) == (JobPhase.accepted, 0)
        with pytest.raises(ChivespanError) as refused, anyio.fail_after(1):
            await worker.store.submit(model_plan(["x"], key="later"))
        assert refused.value.kind is ErrorKind.LOG_UNAVAILABLE
        assert refused.value.retry_after
        site.log.unreachable = False
        found = await wait_results(worker, plan)
    assert [one.index for one in found] == list(range(40))
    assert set(site.engines.streams.values()) == {1}


async def test_slow_log_refuses_submissions_at_once() -> None:
    clock = ManualClock()
    site, plan = Site(clock=clock), model_plan(PROMPTS)
    async with site.worker() as worker, anyio.create_task_group() as tasks:
        await worker.follower.wait_caught_up()
        site.log.slow_appends = 1
        tasks.start_soon(worker.store.submit, plan)
        while site.log.slow_appends:
            await anyio.sleep(0.001)
        clock.advance(timedelta(seconds=2))
        with pytest.raises(ChivespanError, match="slow") as refused:
            await worker.store.submit(model_plan(["x"], key="later"))
        assert refused.value.kind is ErrorKind.LOG_UNAVAILABLE
        site.log.slow_appends_released.set()
        assert len(await wait_results(worker, plan)) == 40


async def test_non_idempotent_item_runs_at_most_once() -> None:
    bodies = [f"booking {number}" for number in range(10)] + ["lost 1", "lost 2"]
    site, plan = Site(), plain_plan(bodies)
    async with site.worker() as one, site.worker() as other:
        await one.store.submit(plan)
        found = await wait_results(one, plan)
        assert await wait_results(other, plan) == found
    assert site.plain.calls == Counter(bodies)
    assert [each.ok for each in found] == [True] * 10 + [False] * 2
    assert {each.error.code for each in found if each.error} == {"outcome_unknown"}


async def test_started_item_of_a_lost_worker_fails_with_outcome_unknown() -> None:
    site, plan = Site(), plain_plan(["booking"])
    site.plain.gate = anyio.Event()
    async with site.worker() as paused:
        await paused.store.submit(plan)
        while not site.plain.calls:
            await anyio.sleep(0.001)
        async with site.worker(start_grace=timedelta(milliseconds=50)) as worker:
            found = await wait_results(worker, plan)
            site.plain.gate.set()
            await paused.wait_written()
            assert await results(worker, plan) == found
    assert site.plain.calls["booking"] == 1
    assert [one.error.code for one in found if one.error] == ["outcome_unknown"]


@pytest.mark.parametrize("late", ["start", "answer"])
async def test_started_item_still_runs_when_ownership_is_lost(late: str) -> None:
    """A started item must not fail because ownership moves before it is sent.

    Only the worker that appended the start can determine that the item has not run. If
    it stopped at once, the next owner would wait for ``start_grace`` and then report
    ``outcome_unknown``.
    """
    site, plan = Site(), plain_plan(["booking"])
    site.plain.gate = anyio.Event()
    owned = frozenset({jobs_stream(0)})
    async with site.partitions() as partitions:
        worker = partitions.jobs(0)
        await worker.store.submit(plan)
        if late == "start":
            site.log.slow_appends = 1
        appends = site.log.appends
        partitions.set_owned(owned)
        with anyio.fail_after(5):
            while site.log.appends == appends or (
                late == "answer" and not site.plain.calls
            ):
                await anyio.sleep(0.001)
        partitions.set_owned(frozenset())
        await anyio.sleep(0.01)
        site.log.slow_appends_released.set()
        site.plain.gate.set()
        await anyio.sleep(0.05)
        partitions.set_owned(owned)
        [found] = await wait_results(worker, plan)
    assert found.ok
    assert site.plain.calls["booking"] == 1


async def test_worker_can_be_cancelled_while_a_start_is_appended() -> None:
    site, plan = Site(), plain_plan(["booking"])
    owned = frozenset({jobs_stream(0)})
    with anyio.fail_after(5):
        async with site.partitions() as partitions:
            worker = partitions.jobs(0)
            await worker.store.submit(plan)
            site.log.slow_appends = 2  # the start, and the new owner's snapshot
            appends = site.log.appends
            partitions.set_owned(owned)
            while site.log.appends < appends + 2:
                await anyio.sleep(0.001)
    assert not site.plain.calls


async def test_jobs_outlive_log_retention_until_they_expire() -> None:
    site = Site(clock=ManualClock())
    done, waiting = model_plan(PROMPTS), model_plan(["later please"], key="open")
    clock = site.clock
    assert isinstance(clock, ManualClock)
    async with site.worker() as worker:
        await worker.store.submit(done)
        found = await wait_results(worker, done)
        site.engines.gated = True
        await worker.store.submit(waiting)
        clock.advance(timedelta(hours=20))
        await worker.maintenance.run_pass()
        await worker.follower.wait_applied(len(site.log.records(STREAM)) - 1)
        clock.advance(timedelta(hours=4))
        await worker.maintenance.run_pass()
        site.log.expire(STREAM, _first_live_offset(worker))
    site.engines.gated = False
    async with site.worker() as successor:
        await successor.follower.wait_caught_up()
        assert await results(successor, done) == found
        assert (await successor.store.submit(done)).phase is JobPhase.finished
        assert len(await wait_results(successor, waiting)) == 1
        clock.advance(timedelta(days=8))
        await successor.maintenance.run_pass()
        await successor.follower.wait_applied(_end(site) - 1)
        assert successor.store.states(OWNER) == []
    assert not any(each.counters["upkeep.digest_alarms"] for each in site.metrics)


async def test_items_dropped_by_log_retention_fail() -> None:
    site, plan = Site(), model_plan(PROMPTS)
    async with site.worker(owning=False) as worker:
        await worker.store.submit(plan)
        state = worker.store.fold.snapshot()
        chunks = worker.store.job(OWNER, plan.job_id).chunks
        site.log.expire(STREAM, chunks[0].offset + 1)
        writer = SnapshotStore(site.log, STREAM, "w")
        await writer.write_state(state, worker.store.fold.offset, site.clock.now())
    async with site.worker() as successor:
        found = await wait_results(successor, plan)
    assert [one.ok for one in found] == [False] * 40
    assert {one.error.code for one in found if one.error} == {"item_failed"}


def _first_live_offset(worker: JobPartition) -> int:
    chunks = [chunk for job in worker.store.fold.jobs() for chunk in job.chunks]
    offsets = [offset for chunk in chunks for offset in chunk.results]
    offsets += [chunk.offset for chunk in chunks if not chunk.finished]
    return min(offsets)


def _end(site: Site) -> int:
    return site.log.records(STREAM)[-1].offset + 1


async def test_invalid_line_is_rejected_with_its_number() -> None:
    lines = [f'{{"id": "i{n}", "prompt": "p"}}' for n in range(1, 41)]
    lines[36] = '{"id": "i37", "promt": "p"}'
    with pytest.raises(ChivespanError) as broken:
        await parse_items("\n".join(lines).encode(), MODEL_SERVICE, 1000)
    assert broken.value.kind is ErrorKind.UNKNOWN_FIELD
    assert "line 37" in broken.value.message
    lines[36] = lines[35]
    with pytest.raises(ChivespanError, match=r"line 37.*twice"):
        await parse_items("\n".join(lines).encode(), MODEL_SERVICE, 1000)
