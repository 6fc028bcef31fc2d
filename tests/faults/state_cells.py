"""A worker is killed or frozen at a step, also until the log's records expire."""

import anyio

from chivespan.batchlinks import new_request_id
from chivespan.claimfold import claim_partition
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.jobmessages import ClaimReply, ClaimRequest, Done, OutcomeRequest
from chivespan.jobplan import JobPlan
from tests.batchfakes import OWNER
from tests.faults.matrix import Cell, Fault, Row, proves
from tests.faults.staterig import (
    READ,
    RUN,
    PausePoint,
    StateRig,
    Worker,
    booking_plan,
    job_plan,
    state_rig,
)
from tests.oracle import CallAnswer

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
RESENT = (
    Row.JOB_ACKNOWLEDGE,
    Row.ITEM_CLAIM,
    Row.ITEM_RUN,
    Row.RESULT_APPEND,
    Row.RESULT_READ,
)
KILLED_IN_OUTAGE = (*SUBMISSION, Row.ITEM_CLAIM, Row.RESULT_READ, Row.JOB_CANCEL)
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
        await worker.log.checkpoint(ACKNOWLEDGE)
        return state.job_id

    assert await rig.request_any(submit) == plan.job_id


async def _cancel(rig: StateRig, plan: JobPlan) -> None:
    async def cancel(worker: Worker) -> str:
        state = await worker.jobs.store.cancel(OWNER, plan.job_id, "test")
        return state.phase.value

    assert await rig.request_any(cancel) == "cancelled"


async def _pause_first_worker(
    rig: StateRig, row: Row, plan: JobPlan, at: PausePoint
) -> None:
    """Run the first worker until it pauses at the step."""
    first = rig.workers[0]
    if row in (Row.RESULT_READ, Row.JOB_CANCEL):
        if row is Row.JOB_CANCEL:
            rig.streams_released = anyio.Event()
        await _submit(rig, plan)
        if row is Row.RESULT_READ:
            await rig.wait_ended(plan)
        else:
            await rig.wait(lambda: bool(rig.journal.entries))
    first.log.pause_at = at
    match row:
        case Row.RESULT_READ:
            rig.tasks.start_soon(first.try_request, lambda w: rig.read(w, plan))
        case Row.JOB_CANCEL:
            rig.tasks.start_soon(_cancel, rig, plan)
        case _:
            rig.tasks.start_soon(_submit, rig, plan)
    with anyio.fail_after(5):
        await first.log.reached.wait()


async def _check_pause(cell: Cell, *, after: bool) -> None:
    plan = _plan(cell.row)
    async with state_rig() as rig:
        first, second = rig.workers
        await _pause_first_worker(
            rig, cell.row, plan, PausePoint(STEPS_OF[cell.row], after)
        )
        assert first.log.paused.is_set()
        rig.log.outage = cell.fault is Fault.TWO
        if cell.fault is Fault.LOG_EXPIRED:
            rig.streams_released = anyio.Event()
            second.own_all_partitions()
            await rig.expire_log(second)
            rig.streams_released.set()
        if cell.fault is not Fault.RESEND:
            second.own_all_partitions()
        if rig.log.outage:
            await rig.wait(lambda: rig.log.failed_calls > 0)
            rig.log.outage = False
        if cell.row is Row.JOB_CANCEL:
            await _cancel(rig, plan)
        else:
            await _submit(rig, plan)
        if cell.fault not in (Fault.KILLED, Fault.TWO):
            first.log.resume()
        await rig.finish(plan, finished=cell.row is not Row.JOB_CANCEL)


@proves(STEPS_OF, (Fault.LOG_EXPIRED, Fault.FROZEN), reduced_every=2)
@proves((Row.ITEM_CLAIM, Row.RESULT_APPEND), Fault.KILLED)
@proves(RESENT, Fault.RESEND, reduced_every=2)
@proves(KILLED_IN_OUTAGE, Fault.TWO, reduced_every=2)
async def worker_stops_at_a_step(cell: Cell) -> None:
    """Another worker takes over; the first resumes where it stopped, or never.

    With two faults at once the log is also down when the first worker is killed.
    """
    for after in (False, True) if cell.row in APPENDS else (False,):
        await _check_pause(cell, after=after)


@proves(Row.PARTITION_TAKEOVER, (Fault.LOG_EXPIRED, Fault.TWO, Fault.LOG_DOWN))
async def newcomer_stops_while_it_takes_over(cell: Cell) -> None:
    """A new worker pauses between reading its snapshot and the records after it.

    Meanwhile those records expire, or the log is down. The job must still complete.
    """
    plan = _plan(Row.ITEM_RUN)
    async with state_rig() as rig:
        first, third = rig.workers
        rig.streams_released = anyio.Event()
        await _submit(rig, plan)
        await rig.expire_log(first)
        first.log.pause()
        new_worker = await rig.start_worker(PausePoint(READ, after=True))
        new_worker.own_all_partitions()
        with anyio.fail_after(5):
            await new_worker.log.reached.wait()
        if cell.fault is not Fault.LOG_DOWN:
            third.own_all_partitions()
            await rig.expire_log(third)
            third.partitions.set_owned(frozenset())
        if cell.fault is Fault.TWO:
            third.log.pause()
        if cell.fault is not Fault.LOG_EXPIRED:
            rig.log.outage = True
        new_worker.log.resume()
        if rig.log.outage:
            await rig.wait(lambda: rig.log.failed_calls > 2)
            rig.log.outage = False
        rig.streams_released.set()
        await rig.finish(plan)


KEY = "evening-7"
BOOKING = "12 pigs, gate 2"


async def _book(rig: StateRig) -> CallAnswer:
    """Send a booking with its key, claiming it first as an entry does."""
    number = claim_partition(OWNER, KEY)
    request = ClaimRequest(
        request_id=new_request_id(),
        owner=OWNER,
        key=KEY,
        digest="d",
        service="bookings",
        path="/bookings",
        claimant=new_request_id(),
    )

    async def claim(worker: Worker) -> ClaimReply | ErrorKind:
        try:
            return await worker.partitions.claims(number).store.claim(request)
        except ChivespanError as error:
            if error.kind is not ErrorKind.OUTCOME_UNKNOWN:
                raise
            return error.kind

    reply = await rig.request_any(claim)
    if isinstance(reply, ErrorKind):
        return CallAnswer(BOOKING, "/bookings", 409, reply.value, "unknown")
    if not reply.granted:
        return CallAnswer(BOOKING, "/bookings", reply.status, answer=reply.body or b"")
    rig.journal.add("start", request.request_id, detail=BOOKING)
    outcome = OutcomeRequest(
        request_id=new_request_id(),
        owner=OWNER,
        key=KEY,
        known=True,
        ran=True,
        claim_offset=reply.claim_offset,
        status=201,
        body=BOOKING.encode(),
    )

    async def record(worker: Worker) -> Done:
        await worker.partitions.claims(number).store.record(outcome)
        return Done(request_id=outcome.request_id)

    await rig.request_any(record)
    return CallAnswer(BOOKING, "/bookings", 201, answer=BOOKING.encode())


@proves(Row.CALL, (Fault.LOG_EXPIRED, Fault.FROZEN))
async def claim_stops_at_a_step(cell: Cell) -> None:
    """A resend, even after retention has passed, gets the answer of the only run."""
    for step in ("Claim", "ClaimOutcome"):
        for after in (False, True):
            await _check_claim_pause(cell, PausePoint(step, after))


async def _check_claim_pause(cell: Cell, at: PausePoint) -> None:
    async with state_rig() as rig:
        first, second = rig.workers
        rig.observations.not_repeatable.append(BOOKING)
        first.log.pause_at = at
        rig.observations.calls.append(await _book(rig))
        assert first.log.reached.is_set()
        if cell.fault is Fault.LOG_EXPIRED:
            second.own_all_partitions()
            await rig.expire_log(second)
        rig.observations.calls.append(await _book(rig))
        first.log.resume()
        rig.observations.calls.append(await _book(rig))
        await rig.expire_log(second)
        rig.workers.append(rig.workers.pop(0))
        rig.observations.calls.append(await _book(rig))
        assert {got.status for got in rig.observations.calls} == {201}
        rig.check()
