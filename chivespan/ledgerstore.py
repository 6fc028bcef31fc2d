"""Reads and writes the ledger of one partition of batch jobs in the store.

Pending changes are group-committed by a conditional append: it succeeds only if the log
still ends at the offset up to which this node has read it. If another node has written
in between, its records are read first and the pending changes are evaluated again.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

import anyio

from chivespan.batchledger import Ledger
from chivespan.clock import NO_WAIT, Clock
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.keyedstore import (
    KeyedRecord,
    KeyedStore,
    Partition,
    StoreEndMoved,
    StoreExpired,
    StoreOutcomeUnknown,
    StoreUnavailable,
    load_newest,
)
from chivespan.logs import logger

MIN_RETRY_DELAY = timedelta(milliseconds=100)
MAX_RETRY_DELAY = timedelta(seconds=1)
MAX_READ_PAGES = 1000
# Size of the length fields of record and key, which the store counts as well.
RECORD_OVERHEAD_BYTES = 5

_log = logger("ledger")


@dataclass(slots=True)
class Staged:
    """The combined effect of the changes that are staged for one append.

    :ivar jobs: ids of the jobs that it accepts.
    :ivar results: ids of the items that get their result, by job.
    :ivar tokens: number of tokens of the accepted jobs, by customer and route.
    """

    jobs: set[str] = field(default_factory=set)
    results: dict[str, set[str]] = field(default_factory=dict)
    tokens: dict[tuple[str, str], int] = field(default_factory=dict)


class AlreadyStaged(Exception):
    """An equivalent change is already staged for the current append."""


class LedgerChange(Protocol):
    """A change to the ledger that can be committed."""

    def records(self, ledger: Ledger, staged: Staged) -> Sequence[KeyedRecord]:
        """Return the records that make the change; none if it is already in effect.

        :raises AlreadyStaged: if a staged change has the same effect.
        :raises ChivespanError: if the change is not possible.
        """
        ...


@dataclass(slots=True)
class _Pending:
    """A change that waits for its commit.

    :ivar deadline: end of the commit attempts, on the monotonic clock; None for none.
    :ivar unconfirmed_end: expected end of an append that was not confirmed; the append
        can still take effect while the log ends there.
    """

    change: LedgerChange
    deadline: timedelta | None
    settled: anyio.Event = field(default_factory=anyio.Event)
    error: ChivespanError | None = None
    unconfirmed_end: int = -1

    def settle(self, error: ChivespanError | None = None) -> None:
        self.error = error
        self.settled.set()

    def fail_timed_out(self, end: int) -> None:
        """Fail after a timeout, with ``log_unavailable`` only if certainly not done.

        :param end: the current end of the log.
        """
        if self.unconfirmed_end >= end:
            reason = "the store did not confirm whether it committed the change"
            self.settle(ChivespanError(ErrorKind.ACCEPTANCE_UNKNOWN, reason))
        else:
            self.settle(StoreUnavailable("timed out committing the change"))


class LedgerStore:
    """The ledger of one partition, and its only writer in this process.

    :param max_call_bytes: maximum total size of the records of one append.
    """

    def __init__(
        self,
        store: KeyedStore,
        partition: Partition,
        clock: Clock,
        max_call_bytes: int,
    ) -> None:
        self._store = store
        self._partition = partition
        self._clock = clock
        self._max_call_bytes = max_call_bytes
        self._ledger = Ledger()
        self._current_as_of: timedelta | None = None
        self._lock = anyio.Lock()
        self._pending: list[_Pending] = []
        self._wake = anyio.Event()
        self._changed = anyio.Event()

    @property
    def ledger(self) -> Ledger:
        """The state as of the last record read or written."""
        return self._ledger

    @property
    def is_loaded(self) -> bool:
        """Whether the ledger has been read from the store."""
        return self._current_as_of is not None

    @property
    def age(self) -> timedelta:
        """Time since the last successful read or append began.

        Other nodes may have written in that time; the time of suspensions counts.
        """
        if self._current_as_of is None:
            return timedelta.max
        return self._clock.boottime() - self._current_as_of

    def is_current_as_of(self, time: timedelta) -> bool:
        """Return whether the ledger has been read as it was at a time or later.

        :param time: as told by ``Clock.boottime``.
        """
        return self._current_as_of is not None and self._current_as_of >= time

    async def wait_changed(self) -> None:
        """Wait until the ledger changes."""
        await self._changed.wait()

    async def refresh(self, max_age: timedelta) -> None:
        """Read from the store unless the ledger is recent enough.

        :param max_age: maximum staleness of the ledger.
        :raises StoreUnavailable: if the store cannot be read.
        """
        min_as_of = self._clock.boottime() - max_age
        if self.is_current_as_of(min_as_of):
            return
        async with self._lock:
            if not self.is_current_as_of(min_as_of):
                await self._read_new_records()

    async def commit(
        self, change: LedgerChange, timeout: timedelta | None = None
    ) -> None:
        """Commit a change, and return when it is in effect.

        :param timeout: how long to retry; None for no limit.
        :raises ChivespanError: the error raised by the change; ``log_unavailable`` if
            it is certainly not committed, ``acceptance_unknown`` if that is not known.
        """
        deadline = None if timeout is None else self._clock.monotonic() + timeout
        pending = _Pending(change, deadline)
        self._pending.append(pending)
        self._wake.set()
        await pending.settled.wait()
        if pending.error is not None:
            raise pending.error

    async def run(self) -> None:
        """Commit pending changes until cancelled."""
        while True:
            if not self._pending:
                self._wake = anyio.Event()
                await self._wake.wait()
            await self._write()

    async def _write(self) -> None:
        """Append pending changes, retrying until one append succeeds or none is left.

        Changes whose deadline has passed fail after each failed attempt.
        """
        retry_delay = MIN_RETRY_DELAY
        while self._pending:
            try:
                await self._append_staged()
                return
            except StoreEndMoved:
                if await self._try_read_new_records():
                    continue
            except StoreOutcomeUnknown as error:
                _log.warning("append_in_doubt", reason=error.message)
            except ChivespanError as error:
                _log.warning("append_failed", reason=error.message)
            self._fail_timed_out()
            await anyio.sleep(retry_delay.total_seconds())
            retry_delay = min(2 * retry_delay, MAX_RETRY_DELAY)

    async def _try_read_new_records(self) -> bool:
        try:
            async with self._lock:
                await self._read_new_records()
        except ChivespanError as error:
            _log.warning("read_failed", reason=error.message)
            return False
        return True

    async def _append_staged(self) -> None:
        if not self.is_loaded:
            await self.refresh(NO_WAIT)
        async with self._lock:
            chosen, records = self._stage()
            if not records:
                return
            began = self._clock.boottime()
            expected_end = self._ledger.end
            try:
                end = await self._store.append(self._partition, records, expected_end)
            except StoreOutcomeUnknown:
                for pending in chosen:
                    pending.unconfirmed_end = expected_end
                raise
            self._apply(records, end)
            self._current_as_of = began
        for pending in chosen:
            self._pending.remove(pending)
            pending.settle()

    def _stage(self) -> tuple[list[_Pending], list[KeyedRecord]]:
        """Return the changes for the next append, with their records.

        Changes that are already in effect, or not possible, are settled immediately.
        """
        staged = Staged()
        chosen: list[_Pending] = []
        records: list[KeyedRecord] = []
        size = 0
        for pending in tuple(self._pending):
            try:
                change_records = pending.change.records(self._ledger, staged)
            except AlreadyStaged:
                continue
            except ChivespanError as error:
                self._pending.remove(pending)
                pending.settle(error)
                continue
            if not change_records:
                self._pending.remove(pending)
                pending.settle()
                continue
            change_size = sum(map(_size, change_records))
            if change_size > self._max_call_bytes:
                reason = f"{change_size} bytes exceed the store's limit for one append"
                self._pending.remove(pending)
                pending.settle(ChivespanError(ErrorKind.BODY_TOO_LARGE, reason))
                continue
            if chosen and size + change_size > self._max_call_bytes:
                break
            chosen.append(pending)
            records.extend(change_records)
            size += change_size
        return chosen, records

    def _fail_timed_out(self) -> None:
        now = self._clock.monotonic()
        for pending in tuple(self._pending):
            if pending.deadline is not None and now >= pending.deadline:
                self._pending.remove(pending)
                pending.fail_timed_out(self._ledger.end)

    async def _read_new_records(self) -> None:
        """Apply all records of the store that are not in the ledger yet."""
        began = self._clock.boottime()
        if not self.is_loaded:
            await self._load()
        try:
            await self._read_to_end()
        except StoreExpired:
            await self._load()
            await self._read_to_end()
        self._current_as_of = began

    async def _load(self) -> None:
        page = await load_newest(self._store, self._partition)
        ledger = Ledger()
        for record in page.records:
            self._apply_record(ledger, record)
        ledger.end = page.end
        self._ledger = ledger
        _log.info(
            "ledger_loaded",
            partition=self._partition.number,
            records=len(page.records),
            end=page.end,
        )
        self._notify_changed()

    async def _read_to_end(self) -> None:
        for _ in range(MAX_READ_PAGES):
            page = await self._store.read(self._partition, self._ledger.end, NO_WAIT)
            if page.records:
                self._apply(page.records, self._ledger.end + len(page.records))
            if self._ledger.end >= page.end:
                return

    def _apply(self, records: Iterable[KeyedRecord], end: int) -> None:
        for record in records:
            self._apply_record(self._ledger, record)
        self._ledger.end = end
        self._notify_changed()

    def _apply_record(self, ledger: Ledger, record: KeyedRecord) -> None:
        """Apply a record; one that can't be read must not stop its partition."""
        try:
            ledger.apply(record)
        except ChivespanError as error:
            _log.error(
                "record_unreadable",
                partition=self._partition.number,
                key=record.key,
                size=len(record.value),
                reason=error.message,
            )

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def _size(record: KeyedRecord) -> int:
    return len(record.key) + len(record.value) + RECORD_OVERHEAD_BYTES
