"""Appends records to one stream and confirms them only after reading them back.

If the reply to an append is lost, the appender reads the stream forward to find out
whether the records are in it. As an append may take effect late, the appender reports
records as not accepted only after it has read back a void record for their ids that
precedes any copy of them. Until then callers get ``acceptance_unknown``. Records that
are waiting at the same time are combined into one append (group commit).
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
SCAN_PAGE_RECORDS = 512
SLOW_APPEND_TIME = timedelta(seconds=1.5)


@dataclass(frozen=True, slots=True)
class AppenderOptions:
    """Rate limit, retries and queue limit of an appender.

    :param interval: minimum time between two appends; a record that arrives after a
        longer pause is appended immediately.
    :param latency_factor: the interval is at least this multiple of the log's latency.
    :param max_interval: upper bound of the interval when the log is slow.
    :param retry_for: how long an unconfirmed append is retried before it is voided.
    :param unknown_after: time after which callers get ``acceptance_unknown``.
    :param retry_delay: delay between two attempts while the log is unavailable.
    :param max_waiting: maximum number of queued records; more are refused.
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
    """Records of one ``append_all`` call, which are accepted or refused together."""

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
    """Records that are sent to the log in one append.

    :ivar position: offset from which the stream is scanned for the records.
    :ivar first_effects: for each sequence number the offset of the record's first copy,
        or ``_VOIDED`` if a void record precedes it.
    :ivar gap: whether the log has dropped records that had not been scanned.
    """

    pending: list[_Pending]
    first_sequence: int
    payloads: list[bytes]
    position: int
    first_effects: dict[int, int] = field(default_factory=dict)
    gap: bool = False

    @property
    def sequences(self) -> range:
        return range(self.first_sequence, self.first_sequence + len(self.payloads))

    @property
    def is_decided(self) -> bool:
        return len(self.first_effects) == len(self.payloads)


_VOIDED = -1


class Appender:
    """The only writer of one process to one stream; requires a running ``run`` task.

    ``await append(record)`` returns the record's offset, ``await append_all(records)``
    the offsets of records that are appended as one unit.

    :param writer: writer id, unique to this run of the process, for example the VM and
        its incarnation.
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
        self._waiting_count = 0
        self._has_waiting = anyio.Event()
        self._sequence = 0
        self._end = -1
        self._unavailable = False
        self._became_available = anyio.Event()
        self._latency = NO_WAIT
        self._last_append: timedelta | None = None
        self._append_started: timedelta | None = None
        self.appends = 0

    @property
    def is_slow(self) -> bool:
        """Whether an append has been in progress for more than ``SLOW_APPEND_TIME``."""
        if self._append_started is None:
            return False
        return self._clock.monotonic() - self._append_started > SLOW_APPEND_TIME

    @property
    def latency(self) -> timedelta:
        """Moving average of the time to append a group and read it back."""
        return self._latency

    @property
    def interval(self) -> timedelta:
        """Current minimum time between two appends."""
        adapted = self._latency * self._options.latency_factor
        return min(self._options.max_interval, max(self._options.interval, adapted))

    def require_available(self) -> None:
        """Raise an error if the log is unavailable or slow.

        For work whose caller waits for the result.

        :raises ChivespanError: ``log_unavailable``; nothing was appended.
        """
        if self._unavailable:
            reason = "not accepted: the log is unavailable"
            raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason)
        if self.is_slow:
            reason = "not accepted: the log is slow"
            raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason)

    async def wait_available(self) -> None:
        """Wait until the log is available."""
        await self._became_available.wait()

    async def append(self, record: object) -> int:
        """Append one record; return its offset once it has been read back.

        :raises ChivespanError: as :meth:`append_all`.
        """
        offsets = await self.append_all((record,))
        return offsets[0]

    async def append_all(self, records: Sequence[object]) -> tuple[int, ...]:
        """Append records as one unit; return their offsets once they are read back.

        :raises ChivespanError: ``log_unavailable`` if they are not accepted and will
            never be; ``acceptance_unknown`` if that is not yet decided.
        """
        if self._unavailable:
            raise ChivespanError(
                ErrorKind.LOG_UNAVAILABLE, "not accepted: the log is unavailable"
            )
        if self._waiting_count + len(records) > self._options.max_waiting:
            raise ChivespanError(
                ErrorKind.LOG_UNAVAILABLE,
                "not accepted: too many appends are waiting for the log",
            )
        pending = _Pending(tuple(records))
        self._waiting.append(pending)
        self._waiting_count += len(pending.records)
        self._has_waiting.set()
        try:
            await pending.decided.wait()
        finally:
            self._remove_waiting(pending)
        if pending.error:
            raise pending.error
        return pending.offsets

    async def run(self) -> None:
        """Append groups until cancelled, then fail the appends that are still waiting.

        An append in progress ends as ``acceptance_unknown``, a queued one as
        ``log_unavailable``.
        """
        group: _Group | None = None
        try:
            await self._find_end()
            while True:
                await self._has_waiting.wait()
                await self._wait_for_interval()
                group = self._next_group()
                if group:
                    self._append_started = self._clock.monotonic()
                    await self._commit(group)
                    self._append_started = None
        finally:
            self._mark_unavailable()
            if group:
                self._fail_as_unknown(group)

    def _remove_waiting(self, pending: _Pending) -> None:
        if pending in self._waiting:
            self._waiting.remove(pending)
            self._waiting_count -= len(pending.records)

    async def _find_end(self) -> None:
        while True:
            try:
                page = await self._log.bounds(self._stream)
            except ChivespanError:
                self._mark_unavailable()
                await anyio.sleep(self._options.retry_delay.total_seconds())
            else:
                self._end = page.end
                self._mark_available()
                return

    def _mark_available(self) -> None:
        self._unavailable = False
        self._became_available.set()

    def _mark_unavailable(self) -> None:
        self._unavailable = True
        if self._became_available.is_set():
            self._became_available = anyio.Event()
        while self._waiting:
            pending = self._waiting.popleft()
            self._waiting_count -= len(pending.records)
            pending.fail(
                ErrorKind.LOG_UNAVAILABLE, "not accepted: the log is unavailable"
            )

    async def _wait_for_interval(self) -> None:
        if self._last_append is None:
            return
        due = self._last_append + self.interval
        wait = due - self._clock.monotonic()
        if wait > NO_WAIT:
            await anyio.sleep(wait.total_seconds())

    def _next_group(self) -> _Group | None:
        first_sequence = self._sequence + 1
        chosen: list[_Pending] = []
        payloads: list[bytes] = []
        size = 0
        while self._waiting:
            pending = self._waiting[0]
            full = len(payloads) + len(pending.records) > MAX_GROUP_RECORDS
            if chosen and (full or size > MAX_GROUP_BYTES):
                break
            self._waiting.popleft()
            self._waiting_count -= len(pending.records)
            encoded = [self._encode(record) for record in pending.records]
            payloads.extend(encoded)
            size += sum(map(len, encoded))
            chosen.append(pending)
        if not self._waiting:
            self._has_waiting = anyio.Event()
        if not chosen:
            return None
        return _Group(chosen, first_sequence, payloads, self._end)

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
            self._fail_not_reached(group)
            await self._find_end()
            return
        except ChivespanError:
            await self._resolve(group, started)
            return
        if not await self._read_back(group, first):
            await self._resolve(group, started)
            return
        self._update_latency(self._clock.monotonic() - started)

    def _update_latency(self, duration: timedelta) -> None:
        """Add an append to the moving average of the latency.

        The duration is capped, as it may include a pause of the whole VM.
        """
        duration = min(duration, self._options.max_interval)
        self._latency = (self._latency * 7 + duration) / 8

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
            group.first_effects[sequence] = first + number
        self._end = first + len(group.payloads)
        self._complete(group)
        return True

    async def _resolve(self, group: _Group, started: timedelta) -> None:
        """Determine the outcome of a group whose append may have taken effect.

        The append is retried for ``retry_for``, then voids are appended for its ids.
        """
        self._mark_unavailable()
        voids = self._encode_voids(group)
        while not group.is_decided:
            elapsed = self._clock.monotonic() - started
            if elapsed > self._options.unknown_after:
                self._fail_as_unknown(group)
            try:
                await self._scan(group)
                if not group.is_decided:
                    retry = elapsed < self._options.retry_for
                    payloads = group.payloads if retry else voids
                    await self._log.append(self._stream, payloads)
                    await self._scan(group)
            except ChivespanError:
                await anyio.sleep(self._options.retry_delay.total_seconds())
        self._complete(group)
        self._end = group.position
        self._mark_available()

    async def _scan(self, group: _Group) -> None:
        """Read to the end; record for each id whether a copy or a void comes first."""
        while True:
            try:
                page = await self._log.read(
                    self._stream, group.position, SCAN_PAGE_RECORDS, NO_WAIT
                )
            except ChivespanError as error:
                if error.kind is not ErrorKind.LOG_EXPIRED:
                    raise
                group.gap = True
                group.position = (await self._log.bounds(self._stream)).oldest
                continue
            for record in page.records:
                self._record_first_effect(group, record)
                group.position = record.offset + 1
            if group.position >= page.end:
                return

    def _record_first_effect(self, group: _Group, record: LogRecord) -> None:
        try:
            envelope = decode_envelope(record.payload)
        except ChivespanError:
            return
        if envelope.writer != self._writer:
            return
        sequence, effect = envelope.sequence, record.offset
        if envelope.kind == VoidRecord.__name__:
            void = open_envelope(envelope)
            assert isinstance(void, VoidRecord)
            sequence, effect = void.sequence, _VOIDED
        if sequence in group.sequences:
            group.first_effects.setdefault(sequence, effect)

    def _encode_voids(self, group: _Group) -> list[bytes]:
        return [
            self._encode(VoidRecord(writer=self._writer, sequence=sequence))
            for sequence in group.sequences
        ]

    def _complete(self, group: _Group) -> None:
        sequences = iter(group.sequences)
        for pending in group.pending:
            effects = [group.first_effects[next(sequences)] for _ in pending.records]
            if _VOIDED not in effects:
                pending.accept(effects)
            elif group.gap:
                pending.fail(
                    ErrorKind.ACCEPTANCE_UNKNOWN,
                    "the log no longer keeps the offsets that decide the outcome",
                )
            else:
                pending.fail(
                    ErrorKind.LOG_UNAVAILABLE, "not accepted: the append was voided"
                )

    def _fail_not_reached(self, group: _Group) -> None:
        self._mark_unavailable()
        for pending in group.pending:
            pending.fail(
                ErrorKind.LOG_UNAVAILABLE, "not accepted: the log was unreachable"
            )

    def _fail_as_unknown(self, group: _Group) -> None:
        last = group.sequences[-1]
        reason = (
            f"records {self._writer}/{group.first_sequence}-{last} are unconfirmed; "
            "query their outcome later"
        )
        for pending in group.pending:
            pending.fail(ErrorKind.ACCEPTANCE_UNKNOWN, reason)
