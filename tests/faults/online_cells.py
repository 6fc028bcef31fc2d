"""Faults between an entry and its targets, at each step of an online request."""

from dataclasses import replace

import anyio

from standins.engine import EngineFaults
from standins.plainservice import PlainFaults
from tests.faults.matrix import Cell, Fault, Row, proves
from tests.faults.rig import OnlineRig, online_rig
from tests.relay import ConnectionMode, Relay

TOKENS = 8
TOKENS_BEFORE_FAULT = {Row.FIRST_BYTE: 0, Row.MID_STREAM: 3, Row.END: TOKENS - 1}
TARGET_STEPS = tuple(TOKENS_BEFORE_FAULT)
ENGINE_FAULTS = {
    Fault.CUT: EngineFaults("break", times=1),
    Fault.SILENT: EngineFaults("hang", times=1),
    Fault.ANSWER_LATE: EngineFaults("foreign", times=1),
    Fault.TARGET_ERROR: EngineFaults("error_event", times=1),
    Fault.TARGET_GARBAGE: EngineFaults("garbage", times=1),
    Fault.TWICE: EngineFaults("break", times=2),
}


def _faults(cell: Cell) -> EngineFaults:
    return replace(
        ENGINE_FAULTS[cell.fault], after_tokens=TOKENS_BEFORE_FAULT[cell.row]
    )


@proves(TARGET_STEPS, ENGINE_FAULTS)
async def stream_goes_on_elsewhere(cell: Cell) -> None:
    async with online_rig() as rig:
        faults = _faults(cell)
        rig.inject_faults(faults)
        assert await rig.stream(tokens=TOKENS) == "done"
        assert faults.times == 0
        rig.check()


@proves(TARGET_STEPS, Fault.KILLED)
async def target_killed(cell: Cell) -> None:
    async with online_rig() as rig:
        rig.inject_faults(
            EngineFaults("hang", after_tokens=TOKENS_BEFORE_FAULT[cell.row], times=1)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.stream, "Is the meter at gate 3 clear?", TOKENS)
            killed = await _relay_in_use(rig)
            killed.new_connection_mode = ConnectionMode.CUT
            await killed.close_open_connections()
        assert rig.observations.generated[0].ended == "done"
        assert await rig.stream("and at gate 4?") == "done"
        rig.check()


@proves(TARGET_STEPS, Fault.TWO)
async def one_target_hangs_and_another_breaks(cell: Cell) -> None:
    async with online_rig() as rig:
        after = TOKENS_BEFORE_FAULT[cell.row]
        shared = EngineFaults("break", after_tokens=after, times=1)
        rig.inject_faults(shared)
        rig.engines[0].faults = EngineFaults("hang", after_tokens=after, times=1)
        assert await rig.stream(tokens=TOKENS) == "done"
        rig.check()


@proves(TARGET_STEPS, Fault.RESEND)
async def resend_gets_its_own_whole_answer(cell: Cell) -> None:
    async with online_rig() as rig:
        rig.inject_faults(
            replace(
                EngineFaults("hang", times=1),
                after_tokens=TOKENS_BEFORE_FAULT[cell.row],
            )
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.stream)
            tasks.start_soon(rig.stream)
        assert [got.ended for got in rig.observations.generated] == ["done", "done"]
        rig.check()


@proves(Row.END, Fault.ANSWER_LOST)
async def end_mark_is_lost(cell: Cell) -> None:
    async with online_rig() as rig:
        faults = EngineFaults("no_end", times=1)
        rig.inject_faults(faults)
        assert await rig.stream(tokens=TOKENS) == "done"
        assert faults.times == 0
        rig.check()


@proves((Row.FIRST_BYTE, Row.MID_STREAM), Fault.ANSWER_LOST)
async def answer_lost_on_the_way(cell: Cell) -> None:
    async with online_rig() as rig:
        rig.inject_faults(
            EngineFaults("hang", after_tokens=TOKENS_BEFORE_FAULT[cell.row], times=1)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.stream)
            relay = await _relay_in_use(rig)
            relay.stall_open_connections()
        assert rig.observations.generated[0].ended == "done"
        rig.check()


@proves(Row.FIRST_BYTE, Fault.TARGET_ERROR)
async def target_answers_errors(cell: Cell) -> None:
    for status in (429, 500, 503):
        async with online_rig() as rig:
            rig.inject_faults(EngineFaults("error", status=status, times=1))
            assert await rig.stream() == "done"
            rig.check()


@proves(Row.FIRST_BYTE, Fault.TARGET_ERROR)
async def every_target_fails_at_once(cell: Cell) -> None:
    async with online_rig() as rig:
        rig.inject_faults(EngineFaults("error"))
        with anyio.fail_after(1):
            assert await rig.stream() == "error"
        [got] = rig.observations.generated
        assert (got.code, got.was_run) == ("target_failed", "unknown")
        rig.check()


@proves(Row.FIRST_BYTE, Fault.TWICE)
async def pooled_connections_went_silent(cell: Cell) -> None:
    """Requests succeed although all pooled idle connections have gone silent."""
    async with online_rig() as rig:
        for number in range(6):
            assert await rig.stream(f"warm {number}") == "done"
        for relay in rig.relays:
            relay.stall_open_connections()
        assert await rig.stream("after the silence") == "done"
        assert await rig.stream("once more") == "done"
        rig.check()


@proves(Row.CALL, Fault.ANSWER_LOST)
async def booking_answer_lost(cell: Cell) -> None:
    async with online_rig() as rig:
        rig.plain.faults = PlainFaults("drop", times=1)
        assert await rig.book() >= 500
        assert rig.observations.calls[0].was_run == "unknown"
        rig.check()


@proves(Row.CALL, (Fault.SILENT, Fault.TARGET_GARBAGE, Fault.TARGET_ERROR))
async def booking_meets_a_bad_target(cell: Cell) -> None:
    modes = {
        Fault.SILENT: PlainFaults("silent"),
        Fault.TARGET_GARBAGE: PlainFaults("garbage"),
        Fault.TARGET_ERROR: PlainFaults("error"),
    }
    async with online_rig(deadline_ms=900) as rig:
        rig.plain.faults = modes[cell.fault]
        await rig.caller.call("POST", "/services/desk/bookings", "12 pigs")
        rig.observations.not_repeatable.append("12 pigs")
        rig.check()


@proves(Row.CALL, (Fault.CUT, Fault.KILLED))
async def booking_target_is_gone(cell: Cell) -> None:
    async with online_rig(deadline_ms=900) as rig:
        assert await rig.book("6 sheep") == 201
        await rig.plain_relay.close_open_connections()
        assert await rig.book("7 sheep") == 201
        if cell.fault is Fault.KILLED:
            rig.plain_relay.new_connection_mode = ConnectionMode.CUT
            assert await rig.book("8 sheep") >= 500
        rig.check()


@proves(Row.CALL, Fault.TWICE)
async def permit_is_asked_again_and_booking_is_not(cell: Cell) -> None:
    async with online_rig() as rig:
        rig.plain.faults = PlainFaults("drop", times=1)
        assert await rig.permit("HR-1171") in (200, 502)
        rig.plain.faults = PlainFaults("drop", times=2)
        assert await rig.book() >= 500
        rig.check()


async def _relay_in_use(rig: OnlineRig) -> Relay:
    """Return the relay that carries the first stream, after time for a first token."""
    while True:
        for relay in rig.relays:
            if relay.open_connections:
                await anyio.sleep(0.03)
                return relay
        await anyio.sleep(0.005)
