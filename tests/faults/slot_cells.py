"""Faults while a request waits for a slot or holds it, and while its owner changes."""

from itertools import count

import anyio

from chivespan.slices import slice_owner
from standins.engine import EngineFaults, EngineStandIn
from standins.logservice import LogFaults
from standins.vmlist import VmListFaults
from tests.callers import Caller
from tests.faults.matrix import Cell, Fault, Row, proves
from tests.faults.node_cells import QUICK_S, break_paths_to
from tests.faults.noderig import ENGINE, Node, NodeRig, node_rig
from tests.faults.rig import QUICK_ENGINE, OnlineRig, online_rig

PAST_LIFETIME = 150
PAST_TAKEOVER = 350
NOT_YET = 10 * PAST_TAKEOVER
PLATFORM = (Fault.LOG_DOWN, Fault.LOG_SLOW, Fault.LIST_DOWN, Fault.LIST_STALE)
RETURN_S = 8.0
HEIR_PATH = {
    Fault.CUT: Fault.CUT,
    Fault.SILENT: Fault.SILENT,
    Fault.ANSWER_LOST: Fault.ANSWER_LOST,
    Fault.ANSWER_LATE: Fault.ANSWER_LATE,
    Fault.TWO: Fault.CUT,
}


def _disturb_platform(rig: NodeRig, fault: Fault) -> None:
    match fault:
        case Fault.LOG_DOWN:
            rig.log.faults = LogFaults(down=True)
        case Fault.LOG_SLOW:
            rig.log.faults = LogFaults(slow_ms=1000)
        case Fault.LIST_DOWN:
            rig.vm_list.faults = VmListFaults(down=True)
        case Fault.LIST_STALE:
            rig.vm_list.faults = VmListFaults(stale=True)


async def _kill_owner(rig: NodeRig) -> None:
    """Kill the owner of the engines' slice, and wait for the next one."""
    rig.kill(rig.owner_of())
    await rig.wait("taken over", rig.is_settled)


@proves(
    Row.GRANT,
    (*PLATFORM, Fault.RESEND, Fault.TARGET_ERROR, Fault.TWICE, Fault.TWO),
    reduced_every=2,
)
async def grant_in_use_meets_a_fault(cell: Cell) -> None:
    """The answer outlives its grant's lifetime, and its slot is given back once."""
    async with node_rig() as rig:
        faults = EngineFaults()
        if cell.fault in (Fault.TARGET_ERROR, Fault.TWO):
            faults = EngineFaults("error_event", after_tokens=NOT_YET, times=1)
        rig.inject_faults(faults)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.ask, "holds a grant", PAST_LIFETIME)
            await rig.caller.on_token.wait()
            faults.after_tokens = 0
            _disturb_platform(rig, cell.fault)
            for _ in range({Fault.TWICE: 2, Fault.TWO: 1}.get(cell.fault, 0)):
                await _kill_owner(rig)
            if cell.fault is Fault.RESEND:
                tasks.start_soon(rig.ask, "holds a grant", PAST_LIFETIME)
        runs = 2 if cell.fault in (Fault.TARGET_ERROR, Fault.TWO, Fault.RESEND) else 1
        assert rig.batch_starts().count("holds a grant") >= runs
        await _all_well(rig)


@proves(
    Row.SLICE_TAKEOVER,
    (*HEIR_PATH, Fault.LOG_DOWN, Fault.LOG_SLOW, Fault.TARGET_ERROR),
    reduced_every=2,
)
async def new_owner_meets_a_fault(cell: Cell) -> None:
    """It counts the grants that it was told of, whatever befalls it meanwhile."""
    async with node_rig() as rig:
        faults = EngineFaults("error_event", after_tokens=NOT_YET, times=1)
        if cell.fault is Fault.TARGET_ERROR:
            rig.inject_faults(faults)
        killed = rig.owner_of()
        _disturb_platform(rig, cell.fault)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.ask, "runs on", PAST_TAKEOVER)
            await rig.caller.on_token.wait()
            heir = _next_owner(rig, killed)
            if cell.fault is Fault.TWO:
                _disturb_platform(rig, Fault.LIST_DOWN)
            rig.kill(killed)
            tasks.start_soon(rig.ask, "asked during the take-over")
            await rig.wait("owner again", lambda: rig.owns(heir))
            await rig.wait("linked", lambda: heir.paths["entry"].open > 0)
            faults.after_tokens = 0
            if cell.fault in HEIR_PATH:
                await break_paths_to(heir, HEIR_PATH[cell.fault])
        runs = 2 if cell.fault is Fault.TARGET_ERROR else 1
        assert rig.batch_starts().count("runs on") >= runs
        await _all_well(rig)


def _next_owner(rig: NodeRig, killed: Node) -> Node:
    vms = [node.vm for node in rig.running if node is not killed]
    heir = slice_owner("lm/a/0", vms)
    return next(node for node in rig.running if node.vm == heir)


async def _all_well(rig: NodeRig) -> None:
    with anyio.fail_after(QUICK_S):
        await rig.ask("afterwards")
    assert {got.ended for got in rig.observations.generated} == {"done"}
    await rig.wait_slots_free()
    rig.check()


@proves(Row.ADMISSION, (Fault.KILLED, Fault.RESEND))
async def waiting_request_meets_a_fault(cell: Cell) -> None:
    """All slots are in use and one request waits when the fault comes."""
    async with node_rig() as rig:
        async with anyio.create_task_group() as tasks:
            slots = len(rig.engines) * ENGINE.slots
            for number in range(slots):
                tasks.start_soon(rig.ask, f"uses a slot {number}", PAST_LIFETIME)
            await rig.wait("slots full", lambda: _running(rig) == slots)
            caller = Caller(rig.caller.address, rig.caller.key)
            waiting = anyio.CancelScope()

            async def wait_in_queue() -> None:
                with waiting:
                    rig.observations.generated.append(await caller.stream("waits", 6))

            tasks.start_soon(wait_in_queue)
            await rig.wait("one waits", lambda: rig.waiting() == 1)
            if cell.fault is Fault.KILLED:
                rig.kill(rig.owner_of())
            else:
                waiting.cancel()
                tasks.start_soon(rig.ask, "waits")
        await _all_well(rig)


def _running(rig: NodeRig) -> int:
    return sum(len(engine.batch.running) for engine in rig.engines)


@proves(Row.ADMISSION, (Fault.TARGET_ERROR, Fault.TARGET_GARBAGE))
async def bad_target_is_given_nothing(cell: Cell) -> None:
    """After some failures it is left out for a while, and then comes back."""
    async with online_rig() as rig:
        bad = rig.engines[0]
        garbage = cell.fault is Fault.TARGET_GARBAGE
        bad.faults = EngineFaults("garbage" if garbage else "error_event")
        with anyio.fail_after(RETURN_S):
            await _ask_until(rig, "ejected")
            starts = _starts(bad)
            for number in range(3):
                assert await rig.ask(f"{number} while it is out", 2) == "done"
            assert _starts(bad) == starts
            bad.faults = EngineFaults()
            await _ask_until(rig, "serving")
        rig.check()


def _starts(engine: EngineStandIn) -> int:
    return sum(entry.event == "start" for entry in engine.journal.entries)


async def _ask_until(rig: OnlineRig, state: str) -> None:
    """Use all slots again and again until the first target is in a state."""
    scheduler = rig.slots.schedulers["lm"]
    numbers = count()
    while next(iter(scheduler.statuses())).state != state:
        async with anyio.create_task_group() as tasks:
            for _ in range(len(rig.engines) * QUICK_ENGINE.slots):
                tasks.start_soon(rig.ask, f"{next(numbers)} until {state}", 2)
    assert {got.ended for got in rig.observations.generated} == {"done"}
