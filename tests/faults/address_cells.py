"""Faults around the answer that names the entries to use."""

import json

import anyio

from standins.vmlist import VmListFaults
from tests.faults.matrix import Cell, Fault, Row, proves
from tests.faults.node_cells import QUICK_S, break_path
from tests.faults.noderig import POLL_S, NodeRig, node_rig
from tests.relay import Treatment


@proves(
    Row.ADDRESS,
    (
        Fault.CUT,
        Fault.SILENT,
        Fault.ANSWER_LOST,
        Fault.ANSWER_LATE,
        Fault.RESEND,
        Fault.TWICE,
        Fault.TWO,
    ),
    reduced_every=3,
)
async def lost_vm_is_named_no_more(cell: Cell) -> None:
    """The entry's way to what it knows of the VMs breaks, and then a VM dies."""
    async with node_rig(entries=True) as rig:
        path = rig.home.paths["entry"]
        killed = next(node for node in rig.nodes if node is not rig.home)
        match cell.fault:
            case Fault.TWICE:
                await break_path(path, Fault.CUT)
                await rig.wait("linked again", lambda: path.open > 0)
                await break_path(path, Fault.CUT)
            case Fault.TWO:
                rig.vm_list.faults = VmListFaults(stale=True)
                await break_path(path, Fault.SILENT)
            case Fault.RESEND:
                rig.caller_relay.new = Treatment.DROP_ANSWER
            case _:
                await break_path(path, cell.fault)
        rig.kill(killed)
        await _are_named(rig, {node.vm for node in rig.running})


async def _are_named(rig: NodeRig, vms: set[str]) -> None:
    """Ask until just these VMs are named, again where no answer comes."""
    with anyio.fail_after(QUICK_S):
        while True:
            answer = await rig.caller.send("GET", "/v1/addresses")
            if answer is None:
                rig.caller_relay.new = Treatment.PASS
            elif answer.status == 200:
                addresses = json.loads(answer.content)["addresses"]
                if {address.rpartition(":")[0] for address in addresses} == vms:
                    return
            await anyio.sleep(POLL_S)
