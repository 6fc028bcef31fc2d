"""Faults around the response that lists the addresses of the entries."""

import json

import anyio

from standins.vmlist import VmListFaults
from tests.faults.matrix import Cell, Fault, Row, proves
from tests.faults.node_cells import RESPONSE_TIMEOUT_S, disrupt_relay
from tests.faults.noderig import POLL_S, NodeRig, node_rig
from tests.relay import ConnectionMode


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
    """A killed VM is no longer listed, even if a link or a response is lost."""
    async with node_rig(entries=True) as rig:
        relay = rig.entry_node.control_relays["entry"]
        killed = next(node for node in rig.nodes if node is not rig.entry_node)
        match cell.fault:
            case Fault.TWICE:
                await disrupt_relay(relay, Fault.CUT)
                await rig.wait("linked again", lambda: relay.open_connections > 0)
                await disrupt_relay(relay, Fault.CUT)
            case Fault.TWO:
                rig.vm_list.faults = VmListFaults(stale=True)
                await disrupt_relay(relay, Fault.SILENT)
            case Fault.RESEND:
                rig.caller_relay.new_connection_mode = ConnectionMode.DROP_ANSWER
            case _:
                await disrupt_relay(relay, cell.fault)
        rig.kill(killed)
        await _wait_for_addresses(rig, {node.vm for node in rig.running})


async def _wait_for_addresses(rig: NodeRig, vms: set[str]) -> None:
    """Request the addresses, retrying lost responses, until they are of these VMs."""
    with anyio.fail_after(RESPONSE_TIMEOUT_S):
        while True:
            answer = await rig.caller.send("GET", "/v1/addresses")
            if answer is None:
                rig.caller_relay.new_connection_mode = ConnectionMode.PASS
            elif answer.status == 200:
                addresses = json.loads(answer.content)["addresses"]
                if {address.rpartition(":")[0] for address in addresses} == vms:
                    return
            await anyio.sleep(POLL_S)
