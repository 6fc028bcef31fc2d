"""Faults while a configuration snapshot is written, and reading it afterwards."""

from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field

import anyio

from chivespan import configsnapshots
from chivespan.clock import NO_WAIT, SystemClock
from chivespan.codec import encode
from chivespan.configcopy import ConfigCopy
from chivespan.configfold import CONFIG_STREAM, ConfigFold
from chivespan.configsnapshots import ConfigSnapshots
from chivespan.configuration import DocumentId
from chivespan.documents import DocumentKind, Region
from chivespan.envelope import decode_envelope, open_envelope
from chivespan.httplog import HttpLog
from chivespan.membership import Membership
from chivespan.metrics import Metrics
from chivespan.placement import select_owner
from chivespan.platformservices import LogRecord
from chivespan.records import ConfigChange, DocumentChange, Snapshot
from chivespan.snapshots import snapshots_stream
from standins.logservice import LogFaults, LogStandIn
from standins.serving import serving
from standins.vmlist import VmListFaults
from tests.controlnodes import settings_of
from tests.faults.matrix import Cell, Fault, Row, proves
from tests.faults.noderig import ChangeWriter, node_rig
from tests.oracle import Observations, violations
from tests.relay import Relay, relaying

SNAPSHOTS = snapshots_stream(CONFIG_STREAM)
LARGE_REASON = "loading plan " * 30_000
SHORT_CHECK_INTERVAL = configsnapshots.CHECK_INTERVAL / 300
LATE_MS = 200


class SnapshotNode:
    """A node's copy of the configuration and its access to snapshots in the log."""

    def __init__(self, name: str, url: str) -> None:
        settings, clock = settings_of("127.44.0.1", 1), SystemClock()
        self.log = HttpLog(url)
        self.copy = ConfigCopy()
        self.snapshots = ConfigSnapshots(
            settings,
            self.log,
            self.copy,
            Membership(settings, clock),
            clock,
            Metrics(),
            name,
        )


@dataclass
class SnapshotRig:
    """A log, and two nodes that write configuration snapshots to it.

    :param first: reaches the log through the relay.
    :param all_records: all records of the stream, including trimmed ones.
    """

    log: LogStandIn
    url: str
    relay: Relay
    first: SnapshotNode
    second: SnapshotNode
    all_records: list[LogRecord] = field(default_factory=list)
    observations: Observations = field(default_factory=Observations)

    @property
    def version(self) -> int:
        """The current version of the only region."""
        region = DocumentId(DocumentKind.region, "r")
        return self.expected_fold().configuration.version(region)

    def change(self, operator: str, *, base: int | None = None) -> None:
        """Append a change of the only region.

        :param base: base version of the change; the current version when None.
        """
        version = self.version if base is None else base
        document = DocumentChange(
            kind=DocumentKind.region.value,
            name="r",
            base_version=version,
            document=encode(Region(name="r")),
        )
        change = ConfigChange(
            operator=operator, reason=LARGE_REASON, changes=[document]
        )
        offset = ChangeWriter(self.log, f"{operator}-{len(self.all_records)}").write(
            change
        )
        self.all_records.append(LogRecord(offset, self.log.records(CONFIG_STREAM)[-1]))

    def expected_fold(self) -> ConfigFold:
        """Return the configuration obtained by folding every record ever appended."""
        fold = ConfigFold()
        for record in self.all_records:
            fold.apply(record)
        return fold

    def apply_new_records(self, node: SnapshotNode) -> None:
        """Apply all new records at a node."""
        node.copy.apply(self.all_records)
        self.record_config_offset(node)

    def record_config_offset(self, node: SnapshotNode) -> None:
        """Record the configuration offset of a node."""
        self.observations.config_offsets.setdefault(str(id(node)), []).append(
            node.copy.offset
        )

    async def check_nodes(self) -> None:
        """Assert that a new node and both others reach the expected configuration."""
        for node in (SnapshotNode("newcomer", self.url), self.first, self.second):
            snapshot = await node.snapshots.newest()
            assert snapshot is not None
            node.copy.apply_snapshot(snapshot)
            self.record_config_offset(node)
            start = node.copy.offset + 1
            page = await node.log.read(CONFIG_STREAM, start, 100, NO_WAIT)
            node.copy.apply(page.records)
            self.record_config_offset(node)
            assert node.copy.fold.digest == self.expected_fold().digest
        assert violations(self.observations) == []

    async def wait_late_appends(self) -> None:
        """Wait until all delayed appends have taken effect."""
        await anyio.sleep(self.log.faults.delay_ms * 2 / 1000)

    async def check_next_snapshot(self, writer: SnapshotNode) -> None:
        """Write a node's next snapshot, trim all records in it, and check all nodes."""
        self.change("eve")
        self.apply_new_records(writer)
        await writer.snapshots.write()
        await self.trim_log()
        assert not self.log.records(CONFIG_STREAM)
        await self.check_nodes()

    async def trim_log(self) -> None:
        """Trim the records that the newest usable snapshot includes."""
        newest = await SnapshotNode("retention", self.url).snapshots.newest()
        assert newest is not None
        self.log.trim(CONFIG_STREAM, newest.as_of + 1)

    async def write_newer_snapshot(self) -> None:
        """Append two more changes and write a snapshot of them from the second node."""
        self.change("ana")
        self.change("ben")
        self.apply_new_records(self.second)
        await self.second.snapshots.write()

    def on_second_part(self, act: Callable[[], Awaitable[None]]) -> None:
        """Call ``act`` once, before the next snapshot's second part takes effect."""
        parts = 0

        async def hook(has_effect: bool) -> None:
            nonlocal parts
            parts += not has_effect
            if parts == 2:
                self.log.on_append = None
                await act()

        self.log.on_append = hook


@asynccontextmanager
async def snapshot_rig() -> AsyncIterator[SnapshotRig]:
    """Run a log with three changes and a snapshot of the first two."""
    log = LogStandIn()
    async with serving(log) as [address], relaying(address) as [relay, at]:
        url = f"http://{address}"
        first, second = (
            SnapshotNode("first", f"http://{at}"),
            SnapshotNode("second", url),
        )
        rig = SnapshotRig(log, url, relay, first, second)
        for _ in range(2):
            rig.change("ana")
        rig.apply_new_records(second)
        await second.snapshots.write()
        rig.change("ben")
        rig.apply_new_records(first)
        yield rig


@proves(
    Row.CONFIG_SNAPSHOT,
    (
        Fault.KILLED,
        Fault.FROZEN,
        Fault.CUT,
        Fault.SILENT,
        Fault.LOG_DOWN,
        Fault.LOG_EXPIRED,
        Fault.OPERATOR_RACE,
        Fault.TWO,
    ),
    reduced_every=2,
)
async def snapshot_is_broken_off_or_held_up(cell: Cell) -> None:
    """A snapshot interrupted after its first part doesn't affect later readers."""
    async with snapshot_rig() as rig:
        thawed, reached = anyio.Event(), anyio.Event()
        scope = anyio.CancelScope()

        async def act() -> None:
            reached.set()
            match cell.fault:
                case Fault.KILLED:
                    scope.cancel()
                case Fault.FROZEN | Fault.TWO:
                    await thawed.wait()
                case Fault.CUT:
                    await rig.relay.close_open_connections()
                case Fault.SILENT:
                    rig.relay.stall_open_connections()
                case Fault.LOG_DOWN:
                    rig.log.faults = LogFaults(down=True)
                case Fault.LOG_EXPIRED:
                    first_part = len(rig.log.records(SNAPSHOTS))
                    await rig.write_newer_snapshot()
                    await rig.trim_log()
                    rig.log.trim(SNAPSHOTS, first_part)
                case Fault.OPERATOR_RACE:
                    base = rig.version
                    rig.change("ana", base=base)
                    rig.change("ben", base=base)

        async def write() -> None:
            with scope:
                await rig.first.snapshots.write()

        rig.on_second_part(act)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            await reached.wait()
            if cell.fault in (Fault.FROZEN, Fault.TWO):
                await rig.write_newer_snapshot()
                await rig.trim_log()
                await rig.check_nodes()
                if cell.fault is Fault.TWO:
                    scope.cancel()
                thawed.set()
        rig.log.faults = LogFaults()
        await rig.check_nodes()
        await rig.check_next_snapshot(rig.second if scope.cancel_called else rig.first)


@proves(
    Row.CONFIG_SNAPSHOT,
    (Fault.ANSWER_LOST, Fault.ANSWER_LATE, Fault.LOG_SLOW, Fault.TWICE),
    reduced_every=2,
)
async def snapshot_meets_a_bad_log(cell: Cell) -> None:
    faults = {
        Fault.ANSWER_LOST: LogFaults(drop_answers=1, spared=1),
        Fault.ANSWER_LATE: LogFaults(delay_effects=1, delay_ms=LATE_MS, spared=1),
        Fault.LOG_SLOW: LogFaults(slow_ms=LATE_MS, spared=1),
        Fault.TWICE: LogFaults(drop_answers=2, spared=1),
    }
    async with snapshot_rig() as rig:
        rig.log.faults = faults[cell.fault]
        await rig.first.snapshots.write()
        await rig.check_nodes()
        if cell.fault is Fault.TWICE:
            await rig.first.snapshots.write()
            await rig.check_nodes()
        assert not rig.log.faults.drop_answers + rig.log.faults.delay_effects
        await rig.wait_late_appends()
        rig.log.faults = LogFaults()
        await rig.check_next_snapshot(rig.first)


@proves(Row.CONFIG_SNAPSHOT, (Fault.LIST_DOWN, Fault.LIST_STALE), reduced_every=2)
async def writer_is_killed_while_the_list_is_of_no_use(cell: Cell) -> None:
    """Another VM writes the next snapshot after the writer was killed."""
    with _frequent_snapshots():
        async with node_rig() as rig:

            def written_to() -> int:
                records = [_opened(one) for one in rig.log.records(SNAPSHOTS)]
                return max((one.as_of for one in records), default=-1)

            await rig.wait("a first snapshot", lambda: written_to() >= 0)
            down = cell.fault is Fault.LIST_DOWN
            rig.vm_list.faults = VmListFaults(down=down, stale=not down)
            live = [node.vm for node in rig.nodes]
            rig.kill(
                next(n for n in rig.nodes if n.vm == select_owner(CONFIG_STREAM, live))
            )
            configuration = rig.running[0].dispatcher.copy.configuration
            offset = rig.operator.write(
                rig.operator.change_rule_weight(configuration, "o")
            )
            await rig.wait("another's snapshot", lambda: written_to() >= offset)
            await rig.wait("in force", lambda: rig.has_applied(offset))
            rig.log.trim(CONFIG_STREAM, offset + 1)
            running = rig.running[0].dispatcher
            newest = await running.snapshots.newest()
            assert newest is not None
            copy = ConfigCopy()
            copy.apply_snapshot(newest)
            assert copy.fold.digest == running.copy.fold.digest
            rig.record_config_offsets()
            rig.check()


def _opened(payload: bytes) -> Snapshot:
    record = open_envelope(decode_envelope(payload))
    assert isinstance(record, Snapshot)
    return record


@contextmanager
def _frequent_snapshots() -> Iterator[None]:
    """Shorten the check interval and make nodes write a snapshot for every change."""
    usual = configsnapshots.CHECK_INTERVAL, configsnapshots.SNAPSHOT_RECORDS
    configsnapshots.CHECK_INTERVAL = SHORT_CHECK_INTERVAL
    configsnapshots.SNAPSHOT_RECORDS = 1
    try:
        yield
    finally:
        configsnapshots.CHECK_INTERVAL, configsnapshots.SNAPSHOT_RECORDS = usual
