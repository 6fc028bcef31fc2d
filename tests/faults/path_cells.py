"""Connections to a job's owner, to the log and to peers break at a step."""

from chivespan.configfold import CONFIG_STREAM
from chivespan.failpoints import FailPoint, installed_hook
from chivespan.jobplan import new_job_id
from standins.logservice import LogFaults
from standins.vmlist import VmListFaults
from tests.faults.batch_cells import (
    APPENDS_BEFORE_FAULT,
    batch_rig,
    disturb_owner_after,
    job_for_step,
    submission,
)
from tests.faults.matrix import Cell, Fault, Row, proves
from tests.faults.noderig import PARTITIONS, Node, NodeRig, node_rig
from tests.relay import ConnectionMode, Relay

CHANGES = 3


async def _inject_fault(rig: NodeRig, node: Node, fault: Fault) -> None:
    """Cut or silence a batch program's connections, or kill it during another fault."""
    relays = [*node.batch_relays.values(), rig.log_relays[rig.nodes.index(node)]]
    for relay in relays:
        if fault is Fault.CUT:
            await relay.close_open_connections()
        elif fault is Fault.SILENT:
            relay.stall_open_connections()
    if fault in (Fault.CUT, Fault.SILENT):
        return
    match fault:
        case Fault.LIST_DOWN:
            rig.vm_list.faults = VmListFaults(down=True)
        case Fault.LIST_STALE:
            rig.vm_list.faults = VmListFaults(stale=True)
        case Fault.TWO:
            rig.log.faults = LogFaults(drop_answers=1)
    rig.kill_batch(node)
    rig.kill(node)


@proves(
    APPENDS_BEFORE_FAULT,
    (Fault.CUT, Fault.LIST_DOWN, Fault.LIST_STALE, Fault.TWO),
    reduced_every=4,
)
@proves(APPENDS_BEFORE_FAULT, Fault.SILENT, slow=True)
async def path_breaks_during_a_submission(cell: Cell) -> None:
    """The owner is unreachable after an append; a resend leads to one job."""
    async with batch_rig() as rig:
        job = job_for_step(cell.row)

        async def inject(job_owner: Node) -> None:
            await _inject_fault(rig.site, job_owner, cell.fault)

        disturbed = disturb_owner_after(rig, cell.row, job, inject)
        await rig.caller.submit_until_accepted(job)
        assert disturbed
        await rig.finish(job)


@proves(
    Row.RESULT_APPEND, (Fault.CUT, Fault.LIST_DOWN, Fault.LIST_STALE), reduced_every=3
)
@proves(Row.RESULT_APPEND, Fault.SILENT, slow=True)
async def path_breaks_at_a_result(cell: Cell) -> None:
    async with batch_rig() as rig:
        job = submission("results", items=30)
        job_owner = rig.owner_of(new_job_id("o", job.key, PARTITIONS))
        left = 1

        async def hook(step: FailPoint) -> None:
            nonlocal left
            if step is FailPoint.RESULT_APPEND and left:
                left -= 1
                await _inject_fault(rig.site, job_owner, cell.fault)

        with installed_hook(hook):
            await rig.caller.submit_until_accepted(job)
            await rig.finish(job)
        assert not left


@proves(Row.CONFIG_PUSH, Fault.LOG_EXPIRED)
async def node_apart_falls_behind_retention(cell: Cell) -> None:
    """An isolated node catches up from a snapshot and never goes to an older offset."""
    async with node_rig() as rig:
        isolated, *others = rig.nodes
        relays: list[Relay] = [rig.log_relays[0], *isolated.control_relays.values()]
        relays += [node.control_relays[isolated.vm] for node in others]
        for relay in relays:
            relay.new_connection_mode = ConnectionMode.CUT
            await relay.close_open_connections()
        rig.record_config_offsets()
        other = others[0].dispatcher
        for _ in range(CHANGES):
            offset = rig.operator.write(
                rig.operator.change_rule_weight(other.copy.configuration, "o")
            )
            await rig.wait("in force", lambda: rig.has_applied(offset, others))  # noqa: B023
        await other.snapshots.write()
        rig.log.trim(CONFIG_STREAM, offset + 1)
        assert isolated.dispatcher.copy.offset < offset
        rig.record_config_offsets()
        rig.log_relays[0].new_connection_mode = ConnectionMode.PASS
        await rig.wait("in force on the isolated node", lambda: rig.has_applied(offset))
        rig.record_config_offsets()
        assert isolated.dispatcher.copy.fold.digest == other.copy.fold.digest
        rig.check()
