"""An operator's command is killed or frozen around its append, also past retention."""

from collections.abc import Sequence

import anyio

from chivespan.clock import ManualClock
from chivespan.codec import encode
from chivespan.configfold import CONFIG_STREAM, ConfigFold
from chivespan.documents import DocumentKind, Region
from chivespan.envelope import decode_envelope
from chivespan.operatorlog import OperatorLog, PublishResult
from chivespan.operatorresults import ApplyOutcome
from chivespan.platformservices import LogRecord
from chivespan.records import ConfigChange, DocumentChange, RecordId
from chivespan.snapshots import SnapshotStore, replay
from tests.fakelog import FakeLog
from tests.faults.matrix import Cell, Fault, Row, proves
from tests.faults.staterig import RETENTION, At, Door

WITHIN_S = 10


class RecordingLog(FakeLog):
    """A log of which a test remembers what it forgets."""

    def __init__(self) -> None:
        super().__init__()
        self.all: list[LogRecord] = []

    def put(self, stream: str, payloads: Sequence[bytes]) -> int:
        first = super().put(stream, payloads)
        if stream == CONFIG_STREAM:
            self.all += [LogRecord(first + n, one) for n, one in enumerate(payloads)]
        return first

    def whole(self) -> ConfigFold:
        """Return what one who read every record has in force."""
        fold = ConfigFold()
        for record in self.all:
            fold.apply(record)
        return fold


async def _publish(log: Door | FakeLog, name: str, clock: ManualClock) -> PublishResult:
    """Change the one region against the version that the operator reads."""
    async with OperatorLog.opened(log, name, clock) as opened:
        fold = await opened.read()
        base = max(
            (one.version for one in fold.configuration.stored.values()), default=0
        )
        document = DocumentChange(
            kind=DocumentKind.region.value,
            name="r",
            base_version=base,
            document=encode(Region(name="r")),
        )
        change = ConfigChange(operator=name, reason="test", changes=[document])
        return await opened.publish(change)


async def _pass_retention(log: FakeLog, clock: ManualClock) -> None:
    """Let the log forget all but a snapshot that is written meanwhile."""
    clock.advance(RETENTION)
    store = SnapshotStore(log, CONFIG_STREAM, "keeper")
    fold = await store.load(ConfigFold, ConfigFold.from_snapshot)
    await replay(log, CONFIG_STREAM, fold, (await log.bounds(CONFIG_STREAM)).end)
    await store.write(fold, clock.now())
    clock.advance(RETENTION / 2)
    log.expire_written_before(clock.now() - RETENTION)


async def _check_readers(log: RecordingLog) -> None:
    """A newcomer has in force what one who read every record has."""
    store = SnapshotStore(log, CONFIG_STREAM, "newcomer")
    fold = await store.load(ConfigFold, ConfigFold.from_snapshot)
    await replay(log, CONFIG_STREAM, fold, (await log.bounds(CONFIG_STREAM)).end)
    assert fold.digest == log.whole().digest


def _agrees(outcome: ApplyOutcome, in_force: bool) -> None:
    assert outcome is ApplyOutcome.UNKNOWN or in_force is (
        outcome is ApplyOutcome.ACCEPTED
    )


@proves(
    (Row.CONFIG_APPEND, Row.CONFIG_READ_BACK),
    (Fault.KILLED, Fault.FROZEN, Fault.LOG_EXPIRED),
)
@proves(Row.CONFIG_READ_BACK, Fault.RESEND)
async def operator_stops_at_a_step(cell: Cell) -> None:
    """Another changes the same meanwhile; whoever asks by the id is told the truth."""
    log, clock = RecordingLog(), ManualClock()
    await _publish(log, "ana", clock)
    door = Door(log)
    door.stop_at = At("ConfigChange", after=cell.row is Row.CONFIG_READ_BACK)
    told: list[PublishResult] = []

    async def change() -> None:
        told.append(await _publish(door, "ben", clock))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(change)
        with anyio.fail_after(WITHIN_S):
            await door.stopped.wait()
        if cell.fault is not Fault.RESEND:
            await _publish(log, "cleo", clock)
        if cell.fault is Fault.LOG_EXPIRED:
            await _pass_retention(log, clock)
            await _check_readers(log)
        if cell.fault in (Fault.KILLED, Fault.RESEND):
            await _check_asked(log, door, clock)
        door.open()
    await _check_readers(log)
    _agrees(told[0].outcome, _is_in_force(log, door))
    if cell.fault in (Fault.FROZEN, Fault.RESEND):
        assert told[0].outcome is not ApplyOutcome.UNKNOWN
    await _check_asked(log, door, clock)
    await _pass_retention(log, clock)
    await _check_readers(log)


def _id_of(door: Door) -> RecordId:
    envelope = decode_envelope(door.stopped_with[0])
    return RecordId(writer=envelope.writer, sequence=envelope.sequence)


def _is_in_force(log: RecordingLog, door: Door) -> bool:
    writer = _id_of(door).writer
    return any(one.writer == writer and one.accepted for one in log.whole().history)


async def _check_asked(log: RecordingLog, door: Door, clock: ManualClock) -> None:
    """Ask for a change by its id; what is said holds, whatever arrives later."""
    async with OperatorLog.opened(log, "dana", clock) as opened:
        found = await opened.outcome(_id_of(door))
    _agrees(found.outcome, _is_in_force(log, door))
