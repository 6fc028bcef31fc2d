"""Paths to a job's owner, to the log and to peers break at a step."""

from chivespan.configfold import CONFIG_STREAM
from chivespan.failpoints import FailPoint, installed_hook
from chivespan.jobplan import new_job_id
from standins.logservice import LogFaults
from standins.vmlist import VmListFaults
from tests.faults.batch_cells import (
    UNITS_BEFORE,
    batch_rig,
    in_units,
    strike_owner_after,
    submission,
)
from tests.faults.matrix import Cell, Fault, Row, proves
from tests.faults.noderig import PARTITIONS, Node, NodeRig, node_rig
from tests.relay import Relay, Treatment

CHANGES = 3


async def _break(rig: NodeRig, node: Node, fault: Fault) -> None:
    """Bring a fault about on a batch program's paths, or kill it with one besides."""
    paths = [*node.batch_relays.values(), rig.log_relays[rig.nodes.index(node)]]
    for relay in paths:
        if fault is Fault.CUT:
            await relay.cut_open_ones()
        elif fault is Fault.SILENT:
            relay.hold_open_ones()
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
    UNITS_BEFORE,
    (Fault.CUT, Fault.LIST_DOWN, Fault.LIST_STALE, Fault.TWO),
    reduced_every=4,
)
@proves(UNITS_BEFORE, Fault.SILENT, slow=True)
async def path_breaks_during_a_submission(cell: Cell) -> None:
    """After a unit is in the log its owner is out of reach; a resend makes one job."""
    async with batch_rig() as rig:
        wanted = in_units(cell.row)

        async def break_paths(holder: Node) -> None:
            await _break(rig.site, holder, cell.fault)

        broken = strike_owner_after(rig, cell.row, wanted, break_paths)
        await rig.caller.submit_until_accepted(wanted)
        assert broken
        await rig.finish(wanted)


@proves(
    Row.RESULT_APPEND, (Fault.CUT, Fault.LIST_DOWN, Fault.LIST_STALE), reduced_every=3
)
@proves(Row.RESULT_APPEND, Fault.SILENT, slow=True)
async def path_breaks_at_a_result(cell: Cell) -> None:
    async with batch_rig() as rig:
        wanted = submission("results", items=30)
        holder = rig.owner_of(new_job_id("o", wanted.key, PARTITIONS))
        left = 1

        async def hook(step: FailPoint) -> None:
            nonlocal left
            if step is FailPoint.RESULT_APPEND and left:
                left -= 1
                await _break(rig.site, holder, cell.fault)

        with installed_hook(hook):
            await rig.caller.submit_until_accepted(wanted)
            await rig.finish(wanted)
        assert not left


@proves(Row.CONFIG_PUSH, Fault.LOG_EXPIRED)
async def node_apart_falls_behind_retention(cell: Cell) -> None:
    """A node that nothing reached starts from a snapshot; its version only rises."""
    async with node_rig() as rig:
        apart, *others = rig.nodes
        paths: list[Relay] = [rig.log_relays[0], *apart.paths.values()]
        paths += [node.paths[apart.vm] for node in others]
        for relay in paths:
            relay.new = Treatment.CUT
            await relay.cut_open_ones()
        rig.note_versions()
        other = others[0].dispatcher
        for _ in range(CHANGES):
            offset = rig.operator.write(
                rig.operator.change_rule_weight(other.copy.configuration, "o")
            )
            await rig.wait("in force", lambda: rig.in_force(offset, others))  # noqa: B023
        await other.snapshots.write()
        rig.log.trim(CONFIG_STREAM, offset + 1)
        assert apart.dispatcher.copy.offset < offset
        rig.note_versions()
        rig.log_relays[0].new = Treatment.PASS
        await rig.wait("in force apart", lambda: rig.in_force(offset))
        rig.note_versions()
        assert apart.dispatcher.copy.fold.digest == other.copy.fold.digest
        rig.check()
