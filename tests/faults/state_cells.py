"""A worker is killed or frozen at a step, also while the log forgets all it held."""

import anyio

from chivespan.jobplan import JobPlan
from tests.batchfakes import OWNER
from tests.faults.matrix import Cell, Fault, Row, proves
from tests.faults.staterig import (
    READ,
    RUN,
    At,
    StateRig,
    Worker,
    booking_plan,
    job_plan,
    state_rig,
)

ACKNOWLEDGE = "acknowledge"
LARGE_PROMPT = "loading plan " * 19_000
LARGE_ITEMS = 22
STEPS_OF = {
    Row.JOB_BEGIN: "JobBegin",
    Row.JOB_CHUNK: "JobChunk",
    Row.JOB_CLOSE: "JobClose",
    Row.JOB_ACKNOWLEDGE: ACKNOWLEDGE,
    Row.ITEM_CLAIM: "ItemStart",
    Row.ITEM_RUN: RUN,
    Row.RESULT_APPEND: "ItemResults",
    Row.RESULT_READ: READ,
    Row.JOB_CANCEL: "JobCancel",
}
SUBMISSION = (Row.JOB_BEGIN, Row.JOB_CHUNK, Row.JOB_CLOSE, Row.JOB_ACKNOWLEDGE)
APPENDS = set(STEPS_OF) - {Row.JOB_ACKNOWLEDGE, Row.ITEM_RUN, Row.RESULT_READ}


def _plan(row: Row) -> JobPlan:
    if row is Row.ITEM_CLAIM:
        return booking_plan("bookings", [f"gate {n}" for n in range(4)])
    if row in (Row.JOB_BEGIN, Row.JOB_CHUNK, Row.JOB_CLOSE):
        return job_plan("large", [f"{n}: {LARGE_PROMPT}" for n in range(LARGE_ITEMS)])
    return job_plan("small", [f"route summary {n}" for n in range(6)])


async def _submit(rig: StateRig, plan: JobPlan) -> None:
    async def submit(worker: Worker) -> str:
        state = await worker.jobs.store.submit(plan)
        await worker.door.reach(ACKNOWLEDGE)
        return state.job_id

    assert await rig.ask(submit) == plan.job_id


async def _cancel(rig: StateRig, plan: JobPlan) -> None:
    async def cancel(worker: Worker) -> str:
        state = await worker.jobs.store.cancel(OWNER, plan.job_id, "test")
        return state.phase.value

    assert await rig.ask(cancel) == "cancelled"


async def _lead_to(rig: StateRig, row: Row, plan: JobPlan, at: At) -> None:
    """Let the first worker come to the step and stop there."""
    first = rig.workers[0]
    if row in (Row.RESULT_READ, Row.JOB_CANCEL):
        if row is Row.JOB_CANCEL:
            rig.free = anyio.Event()
        await _submit(rig, plan)
        if row is Row.RESULT_READ:
            await rig.ended(plan)
        else:
            await rig.wait(lambda: bool(rig.journal.entries))
    first.door.stop_at = at
    match row:
        case Row.RESULT_READ:
            rig.tasks.start_soon(first.answer, lambda w: rig.read(w, plan))
        case Row.JOB_CANCEL:
            rig.tasks.start_soon(_cancel, rig, plan)
        case _:
            rig.tasks.start_soon(_submit, rig, plan)
    with anyio.fail_after(5):
        await first.door.stopped.wait()


async def _stop_at(cell: Cell, *, after: bool) -> None:
    plan = _plan(cell.row)
    async with state_rig() as rig:
        first, second = rig.workers
        await _lead_to(rig, cell.row, plan, At(STEPS_OF[cell.row], after))
        assert first.door.shut.is_set()
        if cell.fault is Fault.LOG_EXPIRED:
            rig.free = anyio.Event()
            second.own()
            await rig.pass_retention(second)
            rig.free.set()
        second.own()
        if cell.row is Row.JOB_CANCEL:
            await _cancel(rig, plan)
        else:
            await _submit(rig, plan)
        if cell.fault is not Fault.KILLED:
            first.door.open()
        await rig.finish(plan, finished=cell.row is not Row.JOB_CANCEL)


@proves(STEPS_OF, (Fault.LOG_EXPIRED, Fault.FROZEN), reduced_every=2)
@proves((Row.ITEM_CLAIM, Row.RESULT_APPEND), Fault.KILLED)
async def worker_stops_at_a_step(cell: Cell) -> None:
    """Another takes over meanwhile, and the first goes on where it stood or never."""
    for after in (False, True) if cell.row in APPENDS else (False,):
        await _stop_at(cell, after=after)


@proves(Row.PARTITION_TAKEOVER, (Fault.LOG_EXPIRED, Fault.TWO, Fault.LOG_DOWN))
async def newcomer_stops_while_it_takes_over(cell: Cell) -> None:
    """It stands still between its snapshot and the records that follow.

    Meanwhile the log forgets these, or is away; it does the work all the same.
    """
    plan = _plan(Row.ITEM_RUN)
    async with state_rig() as rig:
        first, third = rig.workers
        rig.free = anyio.Event()
        await _submit(rig, plan)
        await rig.pass_retention(first)
        first.door.close()
        newcomer = await rig.start_worker(At(READ, after=True))
        newcomer.own()
        with anyio.fail_after(5):
            await newcomer.door.stopped.wait()
        if cell.fault is not Fault.LOG_DOWN:
            third.own()
            await rig.pass_retention(third)
            third.partitions.own(frozenset())
        if cell.fault is Fault.TWO:
            third.door.close()
        if cell.fault is not Fault.LOG_EXPIRED:
            rig.log.outage = True
        newcomer.door.open()
        if rig.log.outage:
            await rig.wait(lambda: rig.log.refused > 2)
            rig.log.outage = False
        rig.free.set()
        await rig.finish(plan)
