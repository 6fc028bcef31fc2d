"""Faults while a snapshot of the configuration is written, and who reads it after."""

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
QUICK_CHECK = configsnapshots.CHECK_INTERVAL / 300
LATE_MS = 200


class Holder:
    """A node's copy of the configuration, with its snapshots in the log."""

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
    """A log, and nodes that write snapshots of what it holds.

    :param first: reaches the log through the relay.
    :param kept: all records of the stream, also those the log has forgotten.
    """

    log: LogStandIn
    url: str
    relay: Relay
    first: Holder
    second: Holder
    kept: list[LogRecord] = field(default_factory=list)
    observations: Observations = field(default_factory=Observations)

    @property
    def version(self) -> int:
        """The version of the one region in force."""
        region = DocumentId(DocumentKind.region, "r")
        return self.whole().configuration.version(region)

    def change(self, operator: str, *, base: int | None = None) -> None:
        """Put a change of the one region into the log."""
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
        offset = ChangeWriter(self.log, f"{operator}-{len(self.kept)}").write(change)
        self.kept.append(LogRecord(offset, self.log.records(CONFIG_STREAM)[-1]))

    def whole(self) -> ConfigFold:
        """Return the configuration as one who read every record has it."""
        fold = ConfigFold()
        for record in self.kept:
            fold.apply(record)
        return fold

    def follow(self, holder: Holder) -> None:
        """Let a node apply all that is new."""
        holder.copy.apply(self.kept)
        self.note(holder)

    def note(self, holder: Holder) -> None:
        """Note the version that a node has in force."""
        self.observations.config_offsets.setdefault(str(id(holder)), []).append(
            holder.copy.offset
        )

    async def check_newcomer(self) -> None:
        """A node that starts from the log has what everybody else has."""
        for holder in (Holder("newcomer", self.url), self.first, self.second):
            snapshot = await holder.snapshots.newest()
            assert snapshot is not None
            holder.copy.apply_snapshot(snapshot)
            self.note(holder)
            start = holder.copy.offset + 1
            page = await holder.log.read(CONFIG_STREAM, start, 100, NO_WAIT)
            holder.copy.apply(page.records)
            self.note(holder)
            assert holder.copy.fold.digest == self.whole().digest
        assert violations(self.observations) == []

    async def settle(self) -> None:
        """Wait until no append is on its way any more."""
        await anyio.sleep(self.log.faults.delay_ms * 2 / 1000)

    async def next_check(self, writer: Holder) -> None:
        """Let a node write its next snapshot, and the log forget what it holds."""
        self.change("eve")
        self.follow(writer)
        await writer.snapshots.write()
        await self.forget()
        assert not self.log.records(CONFIG_STREAM)
        await self.check_newcomer()

    async def forget(self) -> None:
        """Let the log forget every record that the newest usable snapshot holds."""
        newest = await Holder("retention", self.url).snapshots.newest()
        assert newest is not None
        self.log.trim(CONFIG_STREAM, newest.as_of + 1)

    async def others_go_on(self) -> None:
        """Two more changes come, and another node writes a snapshot of them."""
        self.change("ana")
        self.change("ben")
        self.follow(self.second)
        await self.second.snapshots.write()

    def at_second_part(self, act: Callable[[], Awaitable[None]]) -> None:
        """Act once, before the second part of the next snapshot has its effect."""
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
    """Run a log with some changes and a snapshot of the first of them."""
    log = LogStandIn()
    async with serving(log) as [address], relaying(address) as [relay, at]:
        url = f"http://{address}"
        first, second = Holder("first", f"http://{at}"), Holder("second", url)
        rig = SnapshotRig(log, url, relay, first, second)
        for _ in range(2):
            rig.change("ana")
        rig.follow(second)
        await second.snapshots.write()
        rig.change("ben")
        rig.follow(first)
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
    """Its first part is in the log; what comes of the others does no harm."""
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
                    await rig.relay.cut_open_ones()
                case Fault.SILENT:
                    rig.relay.hold_open_ones()
                case Fault.LOG_DOWN:
                    rig.log.faults = LogFaults(down=True)
                case Fault.LOG_EXPIRED:
                    first_part = len(rig.log.records(SNAPSHOTS))
                    await rig.others_go_on()
                    await rig.forget()
                    rig.log.trim(SNAPSHOTS, first_part)
                case Fault.OPERATOR_RACE:
                    base = rig.version
                    rig.change("ana", base=base)
                    rig.change("ben", base=base)

        async def write() -> None:
            with scope:
                await rig.first.snapshots.write()

        rig.at_second_part(act)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write)
            await reached.wait()
            if cell.fault in (Fault.FROZEN, Fault.TWO):
                await rig.others_go_on()
                await rig.forget()
                await rig.check_newcomer()
                if cell.fault is Fault.TWO:
                    scope.cancel()
                thawed.set()
        rig.log.faults = LogFaults()
        await rig.check_newcomer()
        await rig.next_check(rig.second if scope.cancel_called else rig.first)


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
        await rig.check_newcomer()
        if cell.fault is Fault.TWICE:
            await rig.first.snapshots.write()
            await rig.check_newcomer()
        assert not rig.log.faults.drop_answers + rig.log.faults.delay_effects
        await rig.settle()
        rig.log.faults = LogFaults()
        await rig.next_check(rig.first)


@proves(Row.CONFIG_SNAPSHOT, (Fault.LIST_DOWN, Fault.LIST_STALE), reduced_every=2)
async def writer_is_killed_while_the_list_is_of_no_use(cell: Cell) -> None:
    """Another VM writes a snapshot in its place."""
    with _quick_checks():
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
            await rig.wait("in force", lambda: rig.in_force(offset))
            rig.log.trim(CONFIG_STREAM, offset + 1)
            running = rig.running[0].dispatcher
            newest = await running.snapshots.newest()
            assert newest is not None
            copy = ConfigCopy()
            copy.apply_snapshot(newest)
            assert copy.fold.digest == running.copy.fold.digest
            rig.note_versions()
            rig.check()


def _opened(payload: bytes) -> Snapshot:
    record = open_envelope(decode_envelope(payload))
    assert isinstance(record, Snapshot)
    return record


@contextmanager
def _quick_checks() -> Iterator[None]:
    """Let nodes see to their snapshots often, and write one for every change."""
    usual = configsnapshots.CHECK_INTERVAL, configsnapshots.SNAPSHOT_RECORDS
    configsnapshots.CHECK_INTERVAL = QUICK_CHECK
    configsnapshots.SNAPSHOT_RECORDS = 1
    try:
        yield
    finally:
        configsnapshots.CHECK_INTERVAL, configsnapshots.SNAPSHOT_RECORDS = usual
