"""A target is frozen during an answer, and thawed after the request has ended."""

import anyio

from tests.faults.matrix import Cell, Fault, Row, proves
from tests.faults.online_cells import TOKENS, TOKENS_BEFORE_FAULT
from tests.faults.rig import online_rig
from tests.relay import FreezeTrigger

IDLE_TIMEOUT_S = 5.0
POLL_S = 0.01


@proves(TOKENS_BEFORE_FAULT, Fault.FROZEN)
async def target_is_frozen_and_thawed(cell: Cell) -> None:
    """Late output of the thawed target reaches no caller, and it serves again."""
    async with online_rig() as rig:
        trigger = FreezeTrigger(TOKENS_BEFORE_FAULT[cell.row])
        for relay in rig.relays:
            relay.freeze_trigger = trigger
        assert await rig.stream(tokens=TOKENS) == "done"
        assert trigger.frozen is not None
        assert await rig.stream("while one is frozen") == "done"
        trigger.frozen.thaw()
        for number in range(6):
            assert await rig.stream(f"after the thaw {number}") == "done"
        with anyio.fail_after(IDLE_TIMEOUT_S):
            while any(engine.batch.running for engine in rig.engines):
                await anyio.sleep(POLL_S)
        rig.check()


@proves(Row.CALL, Fault.FROZEN)
async def booking_reaches_a_frozen_target(cell: Cell) -> None:
    """The booking runs once after the thaw, and isn't reported as not run before."""
    async with online_rig(deadline_ms=900, plains=2) as rig:
        rig.plain_relay.freeze()
        assert await rig.book("12 pigs") >= 500
        assert rig.observations.calls[0].was_run == "unknown"
        rig.plain_relay.thaw()
        with anyio.fail_after(IDLE_TIMEOUT_S):
            while not rig.plain.journal.entries:
                await anyio.sleep(POLL_S)
        assert await rig.book("7 sheep") == 201
        rig.check()
