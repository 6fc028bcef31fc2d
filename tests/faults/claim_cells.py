"""Faults around a booking with a key: it runs at most once, also after a resend."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from chivespan.claimfold import claim_partition, claims_stream
from chivespan.placement import select_owner
from standins.logservice import LogFaults
from standins.plainservice import PlainFaults
from tests.faults.matrix import Cell, Fault, Row, proves
from tests.faults.noderig import NodeRig, node_rig
from tests.oracle import CallAnswer

BOOKINGS_PATH = "/services/desk/bookings"
KEY = {"idempotency-key": "evening-7"}
TRIES = 12
RETRY_DELAY_S = 0.3


@asynccontextmanager
async def claim_rig() -> AsyncIterator[NodeRig]:
    async with node_rig(batch=True) as rig:
        yield rig


async def _book(rig: NodeRig, body: str = "12 pigs, gate 2") -> CallAnswer:
    got = await rig.caller.call("POST", BOOKINGS_PATH, body, KEY)
    if body not in rig.observations.not_repeatable:
        rig.observations.not_repeatable.append(body)
    rig.observations.calls.append(got)
    return got


async def _book_until_answered(rig: NodeRig) -> CallAnswer:
    """Resend the same booking until its response is final."""
    for _ in range(TRIES):
        got = await _book(rig)
        if got.status < 400 or got.code == "outcome_unknown":
            return got
        await anyio.sleep(RETRY_DELAY_S)
    raise TimeoutError(f"no final response: {got}")


def _run_count(rig: NodeRig) -> int:
    return sum(entry.event == "start" for entry in rig.plain.journal.entries)


def _check(rig: NodeRig) -> None:
    """Check the observations without the refusals that precede the run.

    The oracle identifies a call by its body, which all resends share, so it would take
    those refusals for false ones.
    """
    first_run = next(
        (n for n, got in enumerate(rig.observations.calls) if got.was_run != "no"), 0
    )
    later = rig.observations.calls[first_run:]
    assert all(got.was_run != "no" for got in later), later
    rig.observations.calls = later
    rig.check()


@proves(Row.CALL, Fault.RESEND)
async def resent_booking_gets_the_recorded_answer(cell: Cell) -> None:
    async with claim_rig() as rig:
        first, second = await _book(rig), await _book(rig)
        assert (first.status, second.status) == (201, 201)
        assert first.answer == second.answer
        assert _run_count(rig) == 1
        _check(rig)


@proves(Row.CALL, Fault.TWO)
async def bookings_with_one_key_race(cell: Cell) -> None:
    """Concurrent bookings with one key and a lost answer of the log lead to one run."""
    async with claim_rig() as rig:
        rig.log.faults = LogFaults(drop_answers=1)
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(_book, rig)
        assert _run_count(rig) <= 1
        assert (await _book_until_answered(rig)).status in (201, 409)
        assert _run_count(rig) == 1
        rig.observations.calls = []
        rig.check()


@proves(
    Row.CALL,
    (Fault.ANSWER_LATE, Fault.TWICE, Fault.LOG_SLOW, Fault.LOG_DOWN),
)
async def claim_meets_a_bad_log(cell: Cell) -> None:
    faults = {
        Fault.ANSWER_LATE: LogFaults(delay_effects=1, delay_ms=400),
        Fault.TWICE: LogFaults(drop_answers=1, delay_effects=1, delay_ms=400),
        Fault.LOG_SLOW: LogFaults(slow_ms=200),
        Fault.LOG_DOWN: LogFaults(down=True),
    }
    async with claim_rig() as rig:
        rig.log.faults = faults[cell.fault]
        first = await _book(rig)
        if cell.fault is Fault.LOG_DOWN:
            assert first.was_run == "no"
            assert _run_count(rig) == 0
        rig.log.faults = LogFaults()
        assert (await _book_until_answered(rig)).status == 201
        assert _run_count(rig) == 1
        _check(rig)


@proves(Row.CALL, (Fault.ANSWER_LOST, Fault.SILENT))
async def answer_of_a_claimed_booking_is_lost(cell: Cell) -> None:
    """A resend gets ``outcome_unknown``, and the booking doesn't run again."""
    async with claim_rig() as rig:
        mode = PlainFaults("drop" if cell.fault is Fault.ANSWER_LOST else "silent")
        rig.plain.faults = mode
        first = await _book(rig)
        assert first.was_run == "unknown"
        rig.plain.faults = PlainFaults()
        again = await _book_until_answered(rig)
        assert again.code == "outcome_unknown"
        assert _run_count(rig) == 1
        _check(rig)


@proves(Row.CALL, Fault.KILLED)
async def owner_of_the_claim_is_killed(cell: Cell) -> None:
    async with claim_rig() as rig:
        assert (await _book(rig)).status == 201
        stream = claims_stream(claim_partition("o", KEY["idempotency-key"]))
        vm = select_owner(stream, [node.vm for node in rig.nodes])
        killed = next(node for node in rig.nodes if node.vm == vm)
        rig.kill_batch(killed)
        again = await _book_until_answered(rig)
        assert again.status == 201
        assert _run_count(rig) == 1
        _check(rig)
