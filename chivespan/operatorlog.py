"""Operators' access to the configuration stream: read, publish, look up by id."""

import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio

from chivespan.appender import Appender
from chivespan.clock import NO_WAIT, Clock
from chivespan.codec import decode
from chivespan.configfold import CONFIG_STREAM, ConfigFold
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.operatorresults import ApplyOutcome, OutcomeResult
from chivespan.orderaudit import AuditedOrder, read_orders
from chivespan.platformservices import LogService
from chivespan.records import (
    AuditEntry,
    ConfigChange,
    ConfigState,
    RecordId,
    VoidRecord,
)
from chivespan.snapshots import SnapshotStore

READ_LIMIT = 1000


@dataclass(frozen=True, slots=True)
class PublishResult:
    """The outcome of publishing one record.

    :param change_id: id for looking up the outcome later.
    :param entry: entry of the audit trail, if it was read back.
    """

    change_id: str
    outcome: ApplyOutcome
    message: str = ""
    entry: AuditEntry | None = None


def change_id(record_id: RecordId) -> str:
    """Return the id by which operators look up a change.

    >>> change_id(RecordId(writer="ana-1f", sequence=1))
    'ana-1f/1'
    """
    return f"{record_id.writer}/{record_id.sequence}"


def parse_change_id(text: str) -> RecordId:
    """Return the record id of a change id.

    :raises ChivespanError: ``bad_request`` if ``text`` is not a change id.
    """
    writer, _, sequence = text.rpartition("/")
    if not writer or not sequence.isdecimal():
        reason = f"{text!r} is not a change id; give one that 'apply' printed"
        raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
    return RecordId(writer=writer, sequence=int(sequence))


class OperatorLog:
    """The configuration stream as used by one operator command.

    Create it by :meth:`opened`; each command uses a unique writer id.
    """

    def __init__(self, log: LogService, appender: Appender, writer: str) -> None:
        self._log = log
        self._appender = appender
        self._snapshots = SnapshotStore(log, CONFIG_STREAM, writer)
        self._writer = writer
        self._published = 0
        self._fold = ConfigFold()

    @classmethod
    @asynccontextmanager
    async def opened(
        cls, log: LogService, operator: str, clock: Clock
    ) -> AsyncIterator["OperatorLog"]:
        """Open the stream; its appender runs until the block exits.

        :param operator: name of the operator, the prefix of all change ids.
        """
        writer = f"{operator}-{uuid.uuid4().hex[:12]}"
        appender = Appender(log, CONFIG_STREAM, writer, clock)
        failure: ChivespanError | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(appender.run)
            try:
                yield cls(log, appender, writer)
            except ChivespanError as error:
                failure = error
            group.cancel_scope.cancel()
        if failure is not None:
            raise failure

    @property
    def fold(self) -> ConfigFold:
        """The state read so far."""
        return self._fold

    async def read(self) -> ConfigFold:
        """Read to the end of the stream and return the folded state.

        :raises ChivespanError: ``log_unavailable`` if the log does not respond.
        """
        if self._fold.offset < 0:
            self._fold = await self._snapshots.load(
                ConfigFold, ConfigFold.from_snapshot
            )
        while True:
            start = self._fold.offset + 1
            page = await self._log.read(CONFIG_STREAM, start, READ_LIMIT, NO_WAIT)
            for record in page.records:
                self._fold.apply(record)
            if self._fold.offset + 1 >= page.end:
                return self._fold

    async def orders(self, limit: int) -> list[AuditedOrder]:
        """Return the newest orders to targets, in chronological order.

        :raises ChivespanError: ``log_unavailable`` if the log does not respond.
        """
        return await read_orders(self._log, limit)

    async def publish(self, change: ConfigChange) -> PublishResult:
        """Append a change and return its outcome.

        The position of the change in the log decides whether it is accepted, so the
        stream is read back after the append.
        """
        self._published += 1
        record_id = RecordId(writer=self._writer, sequence=self._published)
        name = change_id(record_id)
        try:
            await self._appender.append(change)
        except ChivespanError as error:
            if error.kind is ErrorKind.ACCEPTANCE_UNKNOWN:
                return PublishResult(name, ApplyOutcome.UNKNOWN, error.message)
            return PublishResult(name, ApplyOutcome.NOT_ACCEPTED, error.message)
        try:
            await self.read()
        except ChivespanError as error:
            reason = f"it was appended but could not be read back: {error.message}"
            return PublishResult(name, ApplyOutcome.UNKNOWN, reason)
        return _publish_result(name, self._entry(record_id))

    async def outcome(self, record_id: RecordId) -> OutcomeResult:
        """Return the outcome of a change; an unpublished change is cancelled.

        If the stream does not contain the change, a void record with its id is
        appended, so that a delayed append of the change has no effect.

        :raises ChivespanError: ``log_unavailable`` or ``acceptance_unknown`` if the
            outcome cannot be determined now.
        """
        await self.read()
        name = change_id(record_id)
        entry = self._entry(record_id)
        if entry is None and self._was_processed(record_id):
            return OutcomeResult(name, ApplyOutcome.UNKNOWN, None)
        if entry is None:
            void = VoidRecord(writer=record_id.writer, sequence=record_id.sequence)
            await self._appender.append(void)
            await self.read()
            entry = self._entry(record_id)
        if entry is None:
            return OutcomeResult(name, ApplyOutcome.NOT_ACCEPTED, None)
        return OutcomeResult(name, _publish_result(name, entry).outcome, entry)

    def _entry(self, record_id: RecordId) -> AuditEntry | None:
        for entry in reversed(self._fold.history):
            if (entry.writer, entry.sequence) == (record_id.writer, record_id.sequence):
                return entry
        return None

    def _was_processed(self, record_id: RecordId) -> bool:
        """Return whether the id was processed, even if the audit trail dropped it."""
        state = decode(self._fold.snapshot(), ConfigState)
        return any(
            seen.writer == record_id.writer
            and (record_id.sequence <= seen.floor or record_id.sequence in seen.above)
            for seen in state.seen
        )


def _publish_result(name: str, entry: AuditEntry | None) -> PublishResult:
    if entry is None:
        reason = "it is in the log, but not in the audit trail"
        return PublishResult(name, ApplyOutcome.UNKNOWN, reason)
    if entry.accepted:
        return PublishResult(name, ApplyOutcome.ACCEPTED, entry=entry)
    conflict = entry.error == ErrorKind.VERSION_CONFLICT
    outcome = ApplyOutcome.CONFLICT if conflict else ApplyOutcome.REFUSED
    return PublishResult(name, outcome, entry.detail, entry)
