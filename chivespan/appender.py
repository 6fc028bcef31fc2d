"""Appends records to one stream and says "accepted" only after reading them back.

An append whose answer was lost is resolved by reading the stream forward. "Not
accepted" is as strong a word: once an append may still arrive late, it is said only
after a void for the same ids has been read back first. Until then the answer is
``acceptance_unknown``. Records that wait together go into one append (group commit).
"""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

import anyio

from chivespan.clock import NO_WAIT, Clock
from chivespan.envelope import decode_envelope, encode_record, open_envelope
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.platformservices import LogNotReached, LogRecord, LogService
from chivespan.records import RecordId, VoidRecord

MAX_GROUP_RECORDS = 1024
MAX_GROUP_BYTES = 4 * 1024 * 1024
SCAN_LIMIT = 512
SLOW_APPEND = timedelta(seconds=1.5)


@dataclass(frozen=True, slots=True)
class AppenderOptions:
    """How an appender shares the log with others and how long it tries.

    :param interval: least time between two appends; a record that comes after a
        longer pause goes at once.
    :param latency_factor: the interval is at least this many times the log's latency.
    :param max_interval: bound of the interval when the log is slow.
    :param retry_for: a lost append is sent again for this long, then voided.
    :param unknown_after: callers get ``acceptance_unknown`` after this long.
    :param retry_delay: pause between two tries while the log is away.
    :param max_waiting: records that may wait; more are refused.
    """

    interval: timedelta = NO_WAIT
    latency_factor: float = 0.0
    max_interval: timedelta = timedelta(seconds=5)
    retry_for: timedelta = timedelta(seconds=2)
    unknown_after: timedelta = timedelta(seconds=4)
    retry_delay: timedelta = timedelta(milliseconds=200)
    max_waiting: int = 8192


@dataclass(eq=False, slots=True)
class _Pending:
    """Records of one caller, decided together."""

    records: tuple[object, ...]
    decided: anyio.Event = field(default_factory=anyio.Event)
    offsets: tuple[int, ...] = ()
    error: ChivespanError | None = None

    def accept(self, offsets: Sequence[int]) -> None:
        if not self.decided.is_set():
            self.offsets = tuple(offsets)
            self.decided.set()

    def fail(self, kind: ErrorKind, reason: str) -> None:
        if not self.decided.is_set():
            self.error = ChivespanError(kind, reason)
            self.decided.set()


@dataclass(eq=False, slots=True)
class _Group:
    """Records of one append; ``deciding`` maps an id's sequence to what came first."""

    pending: list[_Pending]
    first_sequence: int
    payloads: list[bytes]
    position: int
    deciding: dict[int, int] = field(default_factory=dict)
    hole: bool = False

    @property
    def sequences(self) -> range:
        return range(self.first_sequence, self.first_sequence + len(self.payloads))

    @property
    def decided(self) -> bool:
        return len(self.deciding) == len(self.payloads)


_VOIDED = -1


class Appender:
    """The only writer of one process to one stream; ``run`` must be going.

    ``await append(record)`` returns the record's offset, ``await append_all(records)``
    the offsets of records that go into the log as one unit.

    :param writer: unique to this run of the process, such as VM and incarnation.
    """

    def __init__(
        self,
        log: LogService,
        stream: str,
        writer: str,
        clock: Clock,
        options: AppenderOptions | None = None,
    ) -> None:
        self._log = log
        self._stream = stream
        self._writer = writer
        self._clock = clock
        self._options = options or AppenderOptions()
        self._waiting: deque[_Pending] = deque()
        self._waiting_records = 0
        self._work = anyio.Event()
        self._sequence = 0
        self._end = -1
        self._down = False
        self._up = anyio.Event()
        self._latency = NO_WAIT
        self._last_append: timedelta | None = None
        self._append_began: timedelta | None = None
        self.appends = 0

    @property
    def is_slow(self) -> bool:
        """Whether an append has been on its way for long."""
        if self._append_began is None:
            return False
        return self._clock.monotonic() - self._append_began > SLOW_APPEND

    @property
    def latency(self) -> timedelta:
        """Smoothed time of one append with its reading back."""
        return self._latency

    @property
    def interval(self) -> timedelta:
        """Least time between two appends now."""
        adapted = self._latency * self._options.latency_factor
        return min(self._options.max_interval, max(self._options.interval, adapted))

    def require_ready(self) -> None:
        """Refuse what a caller waits for while the log is away or slow.

        :raises ChivespanError: ``log_unavailable``; nothing was appended.
        """
        if self._down:
            reason = "not accepted: the log is away"
            raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason)
        if self.is_slow:
            reason = "not accepted: the log is slow"
            raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason)

    async def wait_available(self) -> None:
        """Return when the log answers again."""
        await self._up.wait()

    async def append(self, record: object) -> int:
        """Append one record; return its offset once it was read back.

        :raises ChivespanError: as :meth:`append_all`.
        """
        offsets = await self.append_all((record,))
        return offsets[0]

    async def append_all(self, records: Sequence[object]) -> tuple[int, ...]:
        """Append records as one unit; return their offsets once they were read back.

        :raises ChivespanError: ``log_unavailable`` when they are not accepted and never
            will be; ``acceptance_unknown`` when nobody can know yet.
        """
        if self._down:
            raise ChivespanError(
                ErrorKind.LOG_UNAVAILABLE, "not accepted: the log is away"
            )
        if self._waiting_records + len(records) > self._options.max_waiting:
            raise ChivespanError(
                ErrorKind.LOG_UNAVAILABLE, "not accepted: the log is too slow"
            )
        pending = _Pending(tuple(records))
        self._waiting.append(pending)
        self._waiting_records += len(pending.records)
        self._work.set()
        try:
            await pending.decided.wait()
        finally:
            self._forget(pending)
        if pending.error:
            raise pending.error
        return pending.offsets

    async def run(self) -> None:
        """Append groups until cancelled; who still waits then is answered."""
        group: _Group | None = None
        try:
            await self._find_end()
            while True:
                await self._work.wait()
                await self._wait_for_turn()
                group = self._take_group()
                if group:
                    self._append_began = self._clock.monotonic()
                    await self._commit(group)
                    self._append_began = None
        finally:
            self._go_down()
            if group:
                self._tell_unknown(group)

    def _forget(self, pending: _Pending) -> None:
        if pending in self._waiting:
            self._waiting.remove(pending)
            self._waiting_records -= len(pending.records)

    async def _find_end(self) -> None:
        while True:
            try:
                page = await self._log.bounds(self._stream)
            except ChivespanError:
                self._go_down()
                await anyio.sleep(self._options.retry_delay.total_seconds())
            else:
                self._end = page.end
                self._come_up()
                return

    def _come_up(self) -> None:
        self._down = False
        self._up.set()

    def _go_down(self) -> None:
        self._down = True
        if self._up.is_set():
            self._up = anyio.Event()
        while self._waiting:
            pending = self._waiting.popleft()
            self._waiting_records -= len(pending.records)
            pending.fail(ErrorKind.LOG_UNAVAILABLE, "not accepted: the log is away")

    async def _wait_for_turn(self) -> None:
        if self._last_append is None:
            return
        due = self._last_append + self.interval
        wait = due - self._clock.monotonic()
        if wait > NO_WAIT:
            await anyio.sleep(wait.total_seconds())

    def _take_group(self) -> _Group | None:
        first_sequence = self._sequence + 1
        taken: list[_Pending] = []
        payloads: list[bytes] = []
        size = 0
        while self._waiting:
            pending = self._waiting[0]
            full = len(payloads) + len(pending.records) > MAX_GROUP_RECORDS
            if taken and (full or size > MAX_GROUP_BYTES):
                break
            self._waiting.popleft()
            self._waiting_records -= len(pending.records)
            encoded = [self._encode(record) for record in pending.records]
            payloads.extend(encoded)
            size += sum(map(len, encoded))
            taken.append(pending)
        if not self._waiting:
            self._work = anyio.Event()
        if not taken:
            return None
        return _Group(taken, first_sequence, payloads, self._end)

    def _encode(self, record: object) -> bytes:
        self._sequence += 1
        record_id = RecordId(writer=self._writer, sequence=self._sequence)
        return encode_record(record, record_id, self._clock.now())

    async def _commit(self, group: _Group) -> None:
        started = self._clock.monotonic()
        self._last_append = started
        self.appends += 1
        try:
            first = await self._log.append(self._stream, group.payloads)
        except LogNotReached:
            self._refuse(group)
            await self._find_end()
            return
        except ChivespanError:
            await self._resolve(group, started)
            return
        if not await self._read_back(group, first):
            await self._resolve(group, started)
            return
        self._note_latency(self._clock.monotonic() - started)

    def _note_latency(self, taken: timedelta) -> None:
        """Smooth the time of an append; one during which the VM stood still is cut."""
        taken = min(taken, self._options.max_interval)
        self._latency = (self._latency * 7 + taken) / 8

    async def _read_back(self, group: _Group, first: int) -> bool:
        try:
            page = await self._log.read(
                self._stream, first, len(group.payloads), NO_WAIT
            )
        except ChivespanError:
            return False
        if [record.payload for record in page.records] != group.payloads:
            return False
        for number, sequence in enumerate(group.sequences):
            group.deciding[sequence] = first + number
        self._end = first + len(group.payloads)
        self._answer(group)
        return True

    async def _resolve(self, group: _Group, started: timedelta) -> None:
        """Find out what became of a group whose append may have had effect."""
        self._go_down()
        voids = self._voids(group)
        while not group.decided:
            elapsed = self._clock.monotonic() - started
            if elapsed > self._options.unknown_after:
                self._tell_unknown(group)
            try:
                await self._scan(group)
                if not group.decided:
                    again = elapsed < self._options.retry_for
                    payloads = group.payloads if again else voids
                    await self._log.append(self._stream, payloads)
                    await self._scan(group)
            except ChivespanError:
                await anyio.sleep(self._options.retry_delay.total_seconds())
        self._answer(group)
        self._end = group.position
        self._come_up()

    async def _scan(self, group: _Group) -> None:
        """Read to the end; note for each id whether a copy or a void came first."""
        while True:
            try:
                page = await self._log.read(
                    self._stream, group.position, SCAN_LIMIT, NO_WAIT
                )
            except ChivespanError as error:
                if error.kind is not ErrorKind.LOG_EXPIRED:
                    raise
                group.hole = True
                group.position = (await self._log.bounds(self._stream)).oldest
                continue
            for record in page.records:
                self._note(group, record)
                group.position = record.offset + 1
            if group.position >= page.end:
                return

    def _note(self, group: _Group, record: LogRecord) -> None:
        try:
            envelope = decode_envelope(record.payload)
        except ChivespanError:
            return
        if envelope.writer != self._writer:
            return
        sequence, first = envelope.sequence, record.offset
        if envelope.kind == VoidRecord.__name__:
            void = open_envelope(envelope)
            assert isinstance(void, VoidRecord)
            sequence, first = void.sequence, _VOIDED
        if sequence in group.sequences:
            group.deciding.setdefault(sequence, first)

    def _voids(self, group: _Group) -> list[bytes]:
        return [
            self._encode(VoidRecord(writer=self._writer, sequence=sequence))
            for sequence in group.sequences
        ]

    def _answer(self, group: _Group) -> None:
        sequences = iter(group.sequences)
        for pending in group.pending:
            firsts = [group.deciding[next(sequences)] for _ in pending.records]
            if _VOIDED not in firsts:
                pending.accept(firsts)
            elif group.hole:
                pending.fail(
                    ErrorKind.ACCEPTANCE_UNKNOWN, "the log has dropped the records"
                )
            else:
                pending.fail(
                    ErrorKind.LOG_UNAVAILABLE, "not accepted: the append was voided"
                )

    def _refuse(self, group: _Group) -> None:
        self._go_down()
        for pending in group.pending:
            pending.fail(
                ErrorKind.LOG_UNAVAILABLE, "not accepted: the log was not reached"
            )

    def _tell_unknown(self, group: _Group) -> None:
        last = group.sequences[-1]
        reason = f"ask later by {self._writer}/{group.first_sequence}-{last}"
        for pending in group.pending:
            pending.fail(ErrorKind.ACCEPTANCE_UNKNOWN, reason)
