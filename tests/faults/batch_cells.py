"""Faults on the way of a batch job: submission, run, results, cancel, take-over."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio

from chivespan.jobfold import jobs_stream
from chivespan.jobplan import partition_of
from chivespan.placement import owner
from standins.engine import EngineFaults
from standins.logservice import LogFaults
from tests.faults.matrix import Cell, Fault, Row, proves
from tests.faults.noderig import Node, NodeRig, node_rig
from tests.jobs import JobCaller, Submission
from tests.oracle import JobSeen
from tests.relay import Treatment

ITEMS = 12
TOKENS = 4
DONE_S = 25.0
SUBMIT_STEPS = (Row.JOB_BEGIN, Row.JOB_CHUNK, Row.JOB_CLOSE, Row.JOB_ACKNOWLEDGE)


@dataclass
class BatchRig:
    """A site with batch programs, and one caller's job."""

    site: NodeRig
    caller: JobCaller

    def owner_of(self, job_id: str) -> Node:
        """Return the node that runs a job."""
        live = [n.vm for n in self.site.nodes if not n.batch_scope.cancel_called]
        vm = owner(jobs_stream(partition_of(job_id)), live)
        return next(node for node in self.site.nodes if node.vm == vm)

    async def finish(self, submission: Submission) -> None:
        """Wait for the job's end, read its results twice, and check everything."""
        seen = await self.caller.finish(submission, DONE_S)
        self.site.witness.jobs.append(seen)
        self.site.check()


@asynccontextmanager
async def batch_rig() -> AsyncIterator[BatchRig]:
    async with node_rig(batch=True) as site:
        yield BatchRig(site, JobCaller(site.caller))


def submission(name: str, items: int = ITEMS, tokens: int = TOKENS) -> Submission:
    """Return a job of which every prompt is its own."""
    prompts = {f"{name}-{n}": f"{name}: route summary {n}" for n in range(items)}
    return Submission(key=name, prompts=prompts, max_tokens=tokens)


async def _until(what: str, met: Callable[[], bool], rig: BatchRig) -> None:
    await rig.site.wait(what, met)


@proves(
    SUBMIT_STEPS,
    (Fault.ANSWER_LOST, Fault.ANSWER_LATE, Fault.TWICE, Fault.RESEND, Fault.LOG_SLOW),
)
async def append_of_a_submission_fails(cell: Cell) -> None:
    """However the log's answer goes, a resend of the job leads to one job."""
    faults = {
        Fault.ANSWER_LOST: LogFaults(drop_answers=1),
        Fault.ANSWER_LATE: LogFaults(delay_effects=1, delay_ms=300),
        Fault.TWICE: LogFaults(drop_answers=2),
        Fault.RESEND: LogFaults(),
        Fault.LOG_SLOW: LogFaults(slow_ms=150),
    }
    async with batch_rig() as rig:
        wanted = submission("lost answer")
        rig.site.log.faults = faults[cell.fault]
        first = await rig.caller.submit(wanted)
        rig.site.log.faults = LogFaults()
        again = await rig.caller.submit_until_accepted(wanted)
        assert first.job_id in ("", again.job_id)
        await rig.finish(wanted)


@proves(SUBMIT_STEPS, Fault.LOG_DOWN)
async def log_is_down_at_a_submission(cell: Cell) -> None:
    """A refused job was not taken; nothing of it runs until it is sent again."""
    async with batch_rig() as rig:
        wanted = submission("log down")
        rig.site.log.faults = LogFaults(down=True)
        refused = await rig.caller.submit(wanted)
        assert refused.code in ("log_unavailable", "acceptance_unknown", "not_ready")
        assert refused.retry_after_ms
        assert not rig.site.batch_starts()
        rig.site.log.faults = LogFaults()
        await rig.caller.submit_until_accepted(wanted)
        await rig.finish(wanted)


@proves((Row.JOB_ACKNOWLEDGE, Row.PARTITION_TAKEOVER, Row.ITEM_RUN), Fault.KILLED)
async def owner_is_killed_after_the_acknowledgement(cell: Cell) -> None:
    async with batch_rig() as rig:
        wanted = submission("killed", items=40, tokens=20)
        accepted = await rig.caller.submit_until_accepted(wanted)
        killed = rig.owner_of(accepted.job_id)
        if cell.row is not Row.JOB_ACKNOWLEDGE:
            await _until("items run", lambda: len(rig.site.batch_starts()) > 4, rig)
        rig.site.kill_batch(killed)
        rig.site.kill(killed)
        await rig.finish(wanted)


@proves((Row.PARTITION_TAKEOVER, Row.ITEM_RUN), Fault.TWICE)
async def two_owners_are_killed_in_turn(cell: Cell) -> None:
    async with batch_rig() as rig:
        wanted = submission("killed twice", items=40, tokens=20)
        accepted = await rig.caller.submit_until_accepted(wanted)
        for _ in range(2):
            killed = rig.owner_of(accepted.job_id)
            before = len(rig.site.batch_starts())
            await _until("runs", lambda: len(rig.site.batch_starts()) > before, rig)  # noqa: B023
            rig.site.kill_batch(killed)
            rig.site.kill(killed)
        await rig.finish(wanted)


@proves(
    Row.RESULT_APPEND,
    (
        Fault.ANSWER_LOST,
        Fault.ANSWER_LATE,
        Fault.TWICE,
        Fault.LOG_DOWN,
        Fault.LOG_SLOW,
        Fault.TWO,
    ),
)
async def results_meet_a_bad_log(cell: Cell) -> None:
    faults = {
        Fault.ANSWER_LOST: LogFaults(drop_answers=1),
        Fault.ANSWER_LATE: LogFaults(delay_effects=1, delay_ms=500),
        Fault.TWICE: LogFaults(drop_answers=3),
        Fault.LOG_DOWN: LogFaults(down=True),
        Fault.LOG_SLOW: LogFaults(slow_ms=200),
        Fault.TWO: LogFaults(drop_answers=1, delay_effects=1, delay_ms=400),
    }
    async with batch_rig() as rig:
        wanted = submission("bad log", items=30)
        await rig.caller.submit_until_accepted(wanted)
        await _until("items run", lambda: len(rig.site.batch_starts()) > 2, rig)
        rig.site.log.faults = faults[cell.fault]
        if cell.fault is Fault.LOG_DOWN:
            await _until("all ran", lambda: rig.site.batch_ended() >= 30, rig)
            rig.site.log.faults = LogFaults()
        await rig.finish(wanted)


@proves(Row.ITEM_RUN, (Fault.TARGET_ERROR, Fault.TARGET_GARBAGE, Fault.CUT, Fault.TWO))
async def items_meet_bad_targets(cell: Cell) -> None:
    faults = {
        Fault.TARGET_ERROR: EngineFaults("error", times=4),
        Fault.TARGET_GARBAGE: EngineFaults("garbage", after_tokens=1, times=4),
        Fault.CUT: EngineFaults("break", after_tokens=2, times=4),
        Fault.TWO: EngineFaults("break", after_tokens=2, times=4),
    }
    async with batch_rig() as rig:
        for engine in rig.site.engines:
            engine.faults = faults[cell.fault]
        if cell.fault is Fault.TWO:
            rig.site.log.faults = LogFaults(drop_answers=1)
        wanted = submission("bad target")
        await rig.caller.submit_until_accepted(wanted)
        await rig.finish(wanted)


@proves(Row.ITEM_RUN, Fault.TARGET_ERROR)
async def items_that_never_work_end_as_failed(cell: Cell) -> None:
    async with batch_rig() as rig:
        wanted = submission("never", items=2)
        for engine in rig.site.engines:
            engine.faults = EngineFaults("error", status=422)
        await rig.caller.submit_until_accepted(wanted)
        await rig.finish(wanted)
        [seen] = rig.site.witness.jobs
        assert [item.ok for item in seen.reads[0]] == [False, False]


@proves(Row.JOB_CANCEL, (Fault.ANSWER_LOST, Fault.KILLED, Fault.RESEND, Fault.CUT))
async def cancel_meets_a_fault(cell: Cell) -> None:
    async with batch_rig() as rig:
        wanted = submission("cancelled", items=200, tokens=30)
        accepted = await rig.caller.submit_until_accepted(wanted)
        await _until("items run", lambda: len(rig.site.batch_starts()) > 4, rig)
        holder = rig.owner_of(accepted.job_id)
        match cell.fault:
            case Fault.ANSWER_LOST:
                rig.site.log.faults = LogFaults(drop_answers=1)
            case Fault.KILLED:
                rig.site.kill_batch(holder)
            case Fault.CUT:
                for relay in holder.batch_paths.values():
                    await relay.cut_open_ones()
        stopped_at = await rig.caller.cancel_until_said(accepted.job_id)
        if cell.fault is Fault.RESEND:
            await rig.caller.cancel_until_said(accepted.job_id)
        await anyio.sleep(0.5)
        seen = await rig.caller.results(accepted.job_id)
        later = await rig.caller.results(accepted.job_id)
        job = JobSeen(
            accepted.job_id, wanted.prompts, TOKENS, [], False, stopped_at + 0.3
        )
        assert seen == later
        rig.site.witness.jobs.append(job)
        rig.site.check()
        assert len(rig.site.batch_starts()) < 200


@proves(Row.RESULT_READ, (Fault.KILLED, Fault.CUT, Fault.SILENT, Fault.LOG_DOWN))
async def results_are_read_through_a_fault(cell: Cell) -> None:
    async with batch_rig() as rig:
        wanted = submission("read")
        accepted = await rig.caller.submit_until_accepted(wanted)
        await rig.caller.wait_ended(accepted.job_id, DONE_S)
        holder = rig.owner_of(accepted.job_id)
        match cell.fault:
            case Fault.KILLED:
                rig.site.kill_batch(holder)
            case Fault.CUT:
                for relay in holder.batch_paths.values():
                    relay.new = Treatment.CUT
                    await relay.cut_open_ones()
            case Fault.SILENT:
                for relay in holder.batch_paths.values():
                    relay.hold_open_ones()
            case Fault.LOG_DOWN:
                rig.site.log.faults = LogFaults(down=True)
                assert await rig.caller.results_or_code(accepted.job_id) in (
                    "log_unavailable",
                    "not_ready",
                )
                rig.site.log.faults = LogFaults()
        await rig.finish(wanted)
