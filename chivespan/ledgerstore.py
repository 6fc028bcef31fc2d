"""One partition of batch jobs in the store: loaded, kept current, and written to.

All changes that wait are appended in one call, under the condition that the log still
ends where this node has read it to. When somebody else has written, the records in
between are read first, and each change is looked at again.
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

RETRY_PAUSE = timedelta(milliseconds=100)
LONGEST_RETRY_PAUSE = timedelta(seconds=1)
READ_ROUNDS = 1000
# Lengths of record and key, as the store counts them.
RECORD_FRAME_BYTES = 5

_log = logger("ledger")


@dataclass(slots=True)
class Staged:
    """What the changes of one append have claimed so far.

    :ivar jobs: ids of jobs that are accepted with it.
    :ivar results: items of each job that get their result with it.
    :ivar tokens: tokens of the accepted jobs by route.
    """

    jobs: set[str] = field(default_factory=set)
    results: dict[str, set[str]] = field(default_factory=dict)
    tokens: dict[str, int] = field(default_factory=dict)


class AlreadyStaged(Exception):
    """The change says the same as one that is about to be written."""


class LedgerChange(Protocol):
    """Something to be written."""

    def records(self, ledger: Ledger, staged: Staged) -> Sequence[KeyedRecord]:
        """Return the records that bring it about; none when it already holds.

        :raises AlreadyStaged: when it will hold once what is staged does.
        :raises ChivespanError: when it can't be done.
        """
        ...


@dataclass(slots=True)
class _Pending:
    """A change that waits.

    :ivar doubt_end: the end under whose condition an append without answer was made;
        it can still take effect while the log ends there.
    """

    change: LedgerChange
    until: timedelta | None
    settled: anyio.Event = field(default_factory=anyio.Event)
    error: ChivespanError | None = None
    doubt_end: int = -1

    def settle(self, error: ChivespanError | None = None) -> None:
        self.error = error
        self.settled.set()

    def give_up(self, end: int) -> None:
        """Settle as failed, saying "not done" only where that is certain."""
        if self.doubt_end >= end:
            reason = "the store did not say whether it took the change"
            self.settle(ChivespanError(ErrorKind.ACCEPTANCE_UNKNOWN, reason))
        else:
            self.settle(StoreUnavailable("the store did not take the change in time"))


class LedgerStore:
    """One partition's ledger, and the only place of this node that writes to it.

    :param max_call_bytes: largest sum of the records of one append.
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
        self._reading = anyio.Lock()
        self._pending: list[_Pending] = []
        self._wake = anyio.Event()
        self._changed = anyio.Event()

    @property
    def ledger(self) -> Ledger:
        """The jobs, as of the last record that was read or written."""
        return self._ledger

    @property
    def is_loaded(self) -> bool:
        """Whether the ledger has been read at all."""
        return self._current_as_of is not None

    async def wait_changed(self) -> None:
        """Wait until the ledger has changed."""
        await self._changed.wait()

    async def refresh(self, max_age: timedelta) -> None:
        """Have the ledger hold all that was in the store ``max_age`` ago.

        :raises StoreUnavailable: when that can't be had.
        """
        wanted = self._clock.monotonic() - max_age
        if self._is_current(wanted):
            return
        async with self._reading:
            if not self._is_current(wanted):
                await self._read_on()

    async def commit(
        self, change: LedgerChange, patience: timedelta | None = None
    ) -> None:
        """Write a change, and return once it holds.

        :param patience: how long to try; None for as long as it takes.
        :raises ChivespanError: what the change raised; ``log_unavailable`` when it
            surely doesn't hold, ``acceptance_unknown`` when that isn't known.
        """
        until = None if patience is None else self._clock.monotonic() + patience
        pending = _Pending(change, until)
        self._pending.append(pending)
        self._wake.set()
        await pending.settled.wait()
        if pending.error is not None:
            raise pending.error

    async def run(self) -> None:
        """Write changes for ever."""
        while True:
            if not self._pending:
                self._wake = anyio.Event()
                await self._wake.wait()
            await self._write()

    def _is_current(self, wanted: timedelta) -> bool:
        return self._current_as_of is not None and self._current_as_of >= wanted

    async def _write(self) -> None:
        """Settle all changes that wait now, or at least try to once."""
        pause = RETRY_PAUSE
        while self._pending:
            try:
                await self._append_staged()
                return
            except StoreEndMoved:
                if await self._try_reading():
                    continue
            except StoreOutcomeUnknown as error:
                _log.warning("append_in_doubt", reason=error.message)
            except ChivespanError as error:
                _log.warning("append_failed", reason=error.message)
            self._drop_overdue()
            await anyio.sleep(pause.total_seconds())
            pause = min(2 * pause, LONGEST_RETRY_PAUSE)

    async def _try_reading(self) -> bool:
        try:
            async with self._reading:
                await self._read_on()
        except ChivespanError as error:
            _log.warning("read_failed", reason=error.message)
            return False
        return True

    async def _append_staged(self) -> None:
        if not self.is_loaded:
            await self.refresh(NO_WAIT)
        async with self._reading:
            chosen, records = self._stage()
            if not records:
                return
            began = self._clock.monotonic()
            expected_end = self._ledger.end
            try:
                end = await self._store.append(self._partition, records, expected_end)
            except StoreOutcomeUnknown:
                for pending in chosen:
                    pending.doubt_end = expected_end
                raise
            self._apply(records, end)
            self._current_as_of = began
        for pending in chosen:
            self._pending.remove(pending)
            pending.settle()

    def _stage(self) -> tuple[list[_Pending], list[KeyedRecord]]:
        """Return the changes to write now, with their records.

        Changes that hold already, or that can't be done, are settled here.
        """
        staged = Staged()
        chosen: list[_Pending] = []
        records: list[KeyedRecord] = []
        size = 0
        for pending in tuple(self._pending):
            try:
                wanted = pending.change.records(self._ledger, staged)
            except AlreadyStaged:
                continue
            except ChivespanError as error:
                self._pending.remove(pending)
                pending.settle(error)
                continue
            if not wanted:
                self._pending.remove(pending)
                pending.settle()
                continue
            wanted_size = sum(map(_size, wanted))
            if wanted_size > self._max_call_bytes:
                reason = f"{wanted_size} bytes are more than the store takes at once"
                self._pending.remove(pending)
                pending.settle(ChivespanError(ErrorKind.BODY_TOO_LARGE, reason))
                continue
            if chosen and size + wanted_size > self._max_call_bytes:
                break
            chosen.append(pending)
            records.extend(wanted)
            size += wanted_size
        return chosen, records

    def _drop_overdue(self) -> None:
        now = self._clock.monotonic()
        for pending in tuple(self._pending):
            if pending.until is not None and now >= pending.until:
                self._pending.remove(pending)
                pending.give_up(self._ledger.end)

    async def _read_on(self) -> None:
        """Read all records that aren't in the ledger yet."""
        began = self._clock.monotonic()
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
            ledger.apply(record)
        ledger.end = page.end
        self._ledger = ledger
        _log.info(
            "ledger_loaded",
            partition=self._partition.number,
            records=len(page.records),
            end=page.end,
        )
        self._tell()

    async def _read_to_end(self) -> None:
        for _ in range(READ_ROUNDS):
            page = await self._store.read(self._partition, self._ledger.end, NO_WAIT)
            if page.records:
                self._apply(page.records, self._ledger.end + len(page.records))
            if self._ledger.end >= page.end:
                return

    def _apply(self, records: Iterable[KeyedRecord], end: int) -> None:
        for record in records:
            self._ledger.apply(record)
        self._ledger.end = end
        self._tell()

    def _tell(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def _size(record: KeyedRecord) -> int:
    return len(record.key) + len(record.value) + RECORD_FRAME_BYTES
