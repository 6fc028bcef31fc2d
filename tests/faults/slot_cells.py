"""Faults while a request waits for or holds a slot, and while its owner changes."""

from itertools import count

import anyio

from chivespan.slices import slice_owner
from standins.engine import EngineFaults, EngineStandIn
from standins.logservice import LogFaults
from standins.vmlist import VmListFaults
from tests.callers import Caller
from tests.faults.matrix import Cell, Fault, Row, proves
from tests.faults.node_cells import RESPONSE_TIMEOUT_S, disrupt_node_relays
from tests.faults.noderig import ENGINE, Node, NodeRig, node_rig
from tests.faults.rig import QUICK_ENGINE, OnlineRig, online_rig

TOKENS_PAST_LIFETIME = 150
TOKENS_PAST_TAKEOVER = 350
UNREACHED_TOKENS = 10 * TOKENS_PAST_TAKEOVER
PLATFORM_FAULTS = (Fault.LOG_DOWN, Fault.LOG_SLOW, Fault.LIST_DOWN, Fault.LIST_STALE)
RECOVERY_TIMEOUT_S = 8.0
NEW_OWNER_FAULTS = {
    Fault.CUT: Fault.CUT,
    Fault.SILENT: Fault.SILENT,
    Fault.ANSWER_LOST: Fault.ANSWER_LOST,
    Fault.ANSWER_LATE: Fault.ANSWER_LATE,
    Fault.TWO: Fault.CUT,
}


def _inject_platform_fault(rig: NodeRig, fault: Fault) -> None:
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
    """Kill the owner of the engines' slice and wait for the takeover."""
    rig.kill(rig.owner_of())
    await rig.wait("taken over", rig.is_settled)


@proves(
    Row.GRANT,
    (*PLATFORM_FAULTS, Fault.RESEND, Fault.TARGET_ERROR, Fault.TWICE, Fault.TWO),
    reduced_every=2,
)
async def grant_in_use_meets_a_fault(cell: Cell) -> None:
    """An answer takes longer than the grant lifetime; its slot is released once."""
    async with node_rig() as rig:
        faults = EngineFaults()
        if cell.fault in (Fault.TARGET_ERROR, Fault.TWO):
            faults = EngineFaults("error_event", after_tokens=UNREACHED_TOKENS, times=1)
        rig.inject_faults(faults)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.stream, "holds a grant", TOKENS_PAST_LIFETIME)
            await rig.caller.on_token.wait()
            faults.after_tokens = 0
            _inject_platform_fault(rig, cell.fault)
            for _ in range({Fault.TWICE: 2, Fault.TWO: 1}.get(cell.fault, 0)):
                await _kill_owner(rig)
            if cell.fault is Fault.RESEND:
                tasks.start_soon(rig.stream, "holds a grant", TOKENS_PAST_LIFETIME)
        runs = 2 if cell.fault in (Fault.TARGET_ERROR, Fault.TWO, Fault.RESEND) else 1
        assert rig.started_prompts().count("holds a grant") >= runs
        await _assert_all_answered(rig)


@proves(
    Row.SLICE_TAKEOVER,
    (*NEW_OWNER_FAULTS, Fault.LOG_DOWN, Fault.LOG_SLOW, Fault.TARGET_ERROR),
    reduced_every=2,
)
async def new_owner_meets_a_fault(cell: Cell) -> None:
    """The new owner counts the grants reported to it, even during another fault."""
    async with node_rig() as rig:
        faults = EngineFaults("error_event", after_tokens=UNREACHED_TOKENS, times=1)
        if cell.fault is Fault.TARGET_ERROR:
            rig.inject_faults(faults)
        killed = rig.owner_of()
        _inject_platform_fault(rig, cell.fault)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.stream, "runs on", TOKENS_PAST_TAKEOVER)
            await rig.caller.on_token.wait()
            new_owner = _next_owner(rig, killed)
            if cell.fault is Fault.TWO:
                _inject_platform_fault(rig, Fault.LIST_DOWN)
            rig.kill(killed)
            tasks.start_soon(rig.stream, "asked during the take-over")
            await rig.wait("slice taken over", lambda: rig.owns(new_owner))
            await rig.wait(
                "linked", lambda: new_owner.control_relays["entry"].open_connections > 0
            )
            faults.after_tokens = 0
            if cell.fault in NEW_OWNER_FAULTS:
                await disrupt_node_relays(new_owner, NEW_OWNER_FAULTS[cell.fault])
        runs = 2 if cell.fault is Fault.TARGET_ERROR else 1
        assert rig.started_prompts().count("runs on") >= runs
        await _assert_all_answered(rig)


def _next_owner(rig: NodeRig, killed: Node) -> Node:
    vms = [node.vm for node in rig.running if node is not killed]
    new_owner = slice_owner("lm/a/0", vms)
    return next(node for node in rig.running if node.vm == new_owner)


async def _assert_all_answered(rig: NodeRig) -> None:
    with anyio.fail_after(RESPONSE_TIMEOUT_S):
        await rig.stream("afterwards")
    assert {got.ended for got in rig.observations.generated} == {"done"}
    await rig.wait_slots_free()
    rig.check()


@proves(Row.ADMISSION, (Fault.KILLED, Fault.RESEND))
async def waiting_request_meets_a_fault(cell: Cell) -> None:
    """The fault occurs while all slots are in use and one request waits."""
    async with node_rig() as rig:
        async with anyio.create_task_group() as tasks:
            slots = len(rig.engines) * ENGINE.slots
            for number in range(slots):
                tasks.start_soon(
                    rig.stream, f"uses a slot {number}", TOKENS_PAST_LIFETIME
                )
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
                tasks.start_soon(rig.stream, "waits")
        await _assert_all_answered(rig)


def _running(rig: NodeRig) -> int:
    return sum(len(engine.batch.running) for engine in rig.engines)


@proves(Row.ADMISSION, (Fault.TARGET_ERROR, Fault.TARGET_GARBAGE))
async def bad_target_is_given_nothing(cell: Cell) -> None:
    """A failing target is ejected for a while, and then serves again."""
    async with online_rig() as rig:
        bad = rig.engines[0]
        garbage = cell.fault is Fault.TARGET_GARBAGE
        bad.faults = EngineFaults("garbage" if garbage else "error_event")
        with anyio.fail_after(RECOVERY_TIMEOUT_S):
            await _stream_until(rig, "ejected")
            starts = _starts(bad)
            for number in range(3):
                assert await rig.stream(f"{number} while it is out", 2) == "done"
            assert _starts(bad) == starts
            bad.faults = EngineFaults()
            await _stream_until(rig, "serving")
        rig.check()


def _starts(engine: EngineStandIn) -> int:
    return sum(entry.event == "start" for entry in engine.journal.entries)


async def _stream_until(rig: OnlineRig, state: str) -> None:
    """Use all slots repeatedly until the first target reaches a state."""
    scheduler = rig.slots.schedulers["lm"]
    numbers = count()
    while next(iter(scheduler.statuses())).state != state:
        async with anyio.create_task_group() as tasks:
            for _ in range(len(rig.engines) * QUICK_ENGINE.slots):
                tasks.start_soon(rig.stream, f"{next(numbers)} until {state}", 2)
    assert {got.ended for got in rig.observations.generated} == {"done"}
