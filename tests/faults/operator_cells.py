"""An operator's command is killed or frozen around its append, or past retention."""

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
from tests.faults.staterig import RETENTION, PausableLog, PausePoint

TIMEOUT_S = 10


class RecordingLog(FakeLog):
    """A log that also keeps configuration records after they have expired."""

    def __init__(self) -> None:
        super().__init__()
        self.config_records: list[LogRecord] = []

    def put(self, stream: str, payloads: Sequence[bytes]) -> int:
        first = super().put(stream, payloads)
        if stream == CONFIG_STREAM:
            self.config_records += [
                LogRecord(first + n, one) for n, one in enumerate(payloads)
            ]
        return first

    def expected_fold(self) -> ConfigFold:
        """Return the configuration obtained by folding every record ever appended."""
        fold = ConfigFold()
        for record in self.config_records:
            fold.apply(record)
        return fold


async def _publish(
    log: PausableLog | FakeLog, name: str, clock: ManualClock
) -> PublishResult:
    """Publish a change of the only region, based on the version read from the log."""
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


async def _expire_log(log: FakeLog, clock: ManualClock) -> None:
    """Write a snapshot and expire all earlier records."""
    clock.advance(RETENTION)
    store = SnapshotStore(log, CONFIG_STREAM, "keeper")
    fold = await store.load(ConfigFold, ConfigFold.from_snapshot)
    await replay(log, CONFIG_STREAM, fold, (await log.bounds(CONFIG_STREAM)).end)
    await store.write(fold, clock.now())
    clock.advance(RETENTION / 2)
    log.expire_written_before(clock.now() - RETENTION)


async def _check_new_reader(log: RecordingLog) -> None:
    """Assert that a new reader gets the same configuration as from all records."""
    store = SnapshotStore(log, CONFIG_STREAM, "newcomer")
    fold = await store.load(ConfigFold, ConfigFold.from_snapshot)
    await replay(log, CONFIG_STREAM, fold, (await log.bounds(CONFIG_STREAM)).end)
    assert fold.digest == log.expected_fold().digest


def _assert_outcome_in_log(outcome: ApplyOutcome, in_force: bool) -> None:
    assert outcome is ApplyOutcome.UNKNOWN or in_force is (
        outcome is ApplyOutcome.ACCEPTED
    )


@proves(
    (Row.CONFIG_APPEND, Row.CONFIG_READ_BACK),
    (Fault.KILLED, Fault.FROZEN, Fault.LOG_EXPIRED),
)
@proves(Row.CONFIG_READ_BACK, Fault.RESEND)
async def operator_stops_at_a_step(cell: Cell) -> None:
    """The outcome of an interrupted change, looked up by id, agrees with the log.

    Except in the resend case, another operator changes the same region meanwhile.
    """
    log, clock = RecordingLog(), ManualClock()
    await _publish(log, "ana", clock)
    paused_log = PausableLog(log)
    paused_log.pause_at = PausePoint(
        "ConfigChange", after=cell.row is Row.CONFIG_READ_BACK
    )
    published: list[PublishResult] = []

    async def change() -> None:
        published.append(await _publish(paused_log, "ben", clock))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(change)
        with anyio.fail_after(TIMEOUT_S):
            await paused_log.reached.wait()
        if cell.fault is not Fault.RESEND:
            await _publish(log, "cleo", clock)
        if cell.fault is Fault.LOG_EXPIRED:
            await _expire_log(log, clock)
            await _check_new_reader(log)
        if cell.fault in (Fault.KILLED, Fault.RESEND):
            await _check_outcome_by_id(log, paused_log, clock)
        paused_log.resume()
    await _check_new_reader(log)
    _assert_outcome_in_log(published[0].outcome, _is_in_force(log, paused_log))
    if cell.fault in (Fault.FROZEN, Fault.RESEND):
        assert published[0].outcome is not ApplyOutcome.UNKNOWN
    await _check_outcome_by_id(log, paused_log, clock)
    await _expire_log(log, clock)
    await _check_new_reader(log)


def _record_id_of(paused_log: PausableLog) -> RecordId:
    envelope = decode_envelope(paused_log.paused_payloads[0])
    return RecordId(writer=envelope.writer, sequence=envelope.sequence)


def _is_in_force(log: RecordingLog, paused_log: PausableLog) -> bool:
    writer = _record_id_of(paused_log).writer
    return any(
        one.writer == writer and one.accepted for one in log.expected_fold().history
    )


async def _check_outcome_by_id(
    log: RecordingLog, paused_log: PausableLog, clock: ManualClock
) -> None:
    """Look up a change's outcome by its id; it must still hold after later appends."""
    async with OperatorLog.opened(log, "dana", clock) as opened:
        found = await opened.outcome(_record_id_of(paused_log))
    _assert_outcome_in_log(found.outcome, _is_in_force(log, paused_log))
