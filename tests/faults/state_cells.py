"""A worker is killed or frozen at a step, also while the log forgets all it held."""

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
    At,
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
        rig.log.outage = cell.fault is Fault.TWO
        if cell.fault is Fault.LOG_EXPIRED:
            rig.free = anyio.Event()
            second.own()
            await rig.pass_retention(second)
            rig.free.set()
        if cell.fault is not Fault.RESEND:
            second.own()
        if rig.log.outage:
            await rig.wait(lambda: rig.log.failed_calls > 0)
            rig.log.outage = False
        if cell.row is Row.JOB_CANCEL:
            await _cancel(rig, plan)
        else:
            await _submit(rig, plan)
        if cell.fault not in (Fault.KILLED, Fault.TWO):
            first.door.open()
        await rig.finish(plan, finished=cell.row is not Row.JOB_CANCEL)


@proves(STEPS_OF, (Fault.LOG_EXPIRED, Fault.FROZEN), reduced_every=2)
@proves((Row.ITEM_CLAIM, Row.RESULT_APPEND), Fault.KILLED)
@proves(RESENT, Fault.RESEND, reduced_every=2)
@proves(KILLED_IN_OUTAGE, Fault.TWO, reduced_every=2)
async def worker_stops_at_a_step(cell: Cell) -> None:
    """Another takes over meanwhile, and the first goes on where it stood or never.

    With two faults the log is away as well when the first is killed.
    """
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
            third.partitions.set_owned(frozenset())
        if cell.fault is Fault.TWO:
            third.door.close()
        if cell.fault is not Fault.LOG_EXPIRED:
            rig.log.outage = True
        newcomer.door.open()
        if rig.log.outage:
            await rig.wait(lambda: rig.log.failed_calls > 2)
            rig.log.outage = False
        rig.free.set()
        await rig.finish(plan)


KEY = "evening-7"
BOOKING = "12 pigs, gate 2"


async def _book(rig: StateRig) -> CallAnswer:
    """Send a booking with its key, as an entry does with a claim."""
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

    reply = await rig.ask(claim)
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

    await rig.ask(record)
    return CallAnswer(BOOKING, "/bookings", 201, answer=BOOKING.encode())


@proves(Row.CALL, (Fault.LOG_EXPIRED, Fault.FROZEN))
async def claim_stops_at_a_step(cell: Cell) -> None:
    """A resend, also past retention, gets the answer of the one run."""
    for step in ("Claim", "ClaimOutcome"):
        for after in (False, True):
            await _stop_claim_at(cell, At(step, after))


async def _stop_claim_at(cell: Cell, at: At) -> None:
    async with state_rig() as rig:
        first, second = rig.workers
        rig.observations.not_repeatable.append(BOOKING)
        first.door.stop_at = at
        rig.observations.calls.append(await _book(rig))
        assert first.door.stopped.is_set()
        if cell.fault is Fault.LOG_EXPIRED:
            second.own()
            await rig.pass_retention(second)
        rig.observations.calls.append(await _book(rig))
        first.door.open()
        rig.observations.calls.append(await _book(rig))
        await rig.pass_retention(second)
        rig.workers.append(rig.workers.pop(0))
        rig.observations.calls.append(await _book(rig))
        assert {got.status for got in rig.observations.calls} == {201}
        rig.check()
