"""In-memory implementation of the ``KeyedStore`` interface with injectable faults."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

import anyio

from chivespan.keyedstore import (
    KeyedPage,
    KeyedRecord,
    NewestPage,
    Partition,
    StoreEndMoved,
    StoreExpired,
    StoreOutcomeUnknown,
    StoreUnavailable,
)


@dataclass
class _Log:
    records: list[KeyedRecord] = field(default_factory=list)
    first: int = 0


@dataclass
class FakeStore:
    """The logs of all partitions.

    :ivar unavailable: whether every call fails.
    :ivar lost_replies: number of following appends that take effect without a reply.
    :ivar delayed_appends: number of following appends that get no reply and take effect
        only by :meth:`apply_delayed`.
    :ivar page_size: maximum number of records on a page of the newest records.
    :ivar appends: number of appends received while available.
    """

    unavailable: bool = False
    lost_replies: int = 0
    delayed_appends: int = 0
    page_size: int = 500
    appends: int = 0
    logs: dict[Partition, _Log] = field(default_factory=dict)
    _delayed: list[tuple[Partition, tuple[KeyedRecord, ...], int | None]] = field(
        default_factory=list
    )

    def end(self, partition: Partition) -> int:
        log = self._log(partition)
        return log.first + len(log.records)

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        expected_end: int | None = None,
    ) -> int:
        await anyio.lowlevel.checkpoint()
        self._check_available()
        self.appends += 1
        if self.delayed_appends > 0:
            self.delayed_appends -= 1
            self._delayed.append((partition, tuple(records), expected_end))
            raise StoreOutcomeUnknown("no answer")
        end = self._append(partition, records, expected_end)
        if self.lost_replies > 0:
            self.lost_replies -= 1
            raise StoreOutcomeUnknown("no answer")
        return end

    async def read(
        self, partition: Partition, start: int, wait: timedelta
    ) -> KeyedPage:
        await anyio.lowlevel.checkpoint()
        self._check_available()
        log = self._log(partition)
        if start < log.first:
            raise StoreExpired("dropped")
        return KeyedPage(tuple(log.records[start - log.first :]), self.end(partition))

    async def newest(self, partition: Partition, after: str = "") -> NewestPage:
        await anyio.lowlevel.checkpoint()
        self._check_available()
        rows = [row for row in self.newest_records(partition) if row.key > after]
        page = tuple(rows[: self.page_size])
        return NewestPage(page, self.end(partition), len(rows) > len(page))

    def newest_records(self, partition: Partition) -> list[KeyedRecord]:
        """Return the newest record of each key, without tombstones, sorted by key."""
        newest = {record.key: record for record in self._all_records(partition)}
        return [newest[key] for key in sorted(newest) if newest[key].value]

    def apply_delayed(self) -> None:
        """Apply the delayed appends whose expected end still matches."""
        delayed, self._delayed = self._delayed, []
        for partition, records, expected_end in delayed:
            try:
                self._append(partition, records, expected_end)
            except StoreEndMoved:
                continue

    def compact(self, partition: Partition) -> None:
        """Drop all records but the newest of each key."""
        newest_records = self.newest_records(partition)
        log = self._log(partition)
        log.first += len(log.records)
        log.records.clear()
        self._compacted[partition] = newest_records

    _compacted: dict[Partition, list[KeyedRecord]] = field(default_factory=dict)

    def _all_records(self, partition: Partition) -> list[KeyedRecord]:
        return [*self._compacted.get(partition, []), *self._log(partition).records]

    def _append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        expected_end: int | None,
    ) -> int:
        if expected_end is not None and expected_end != self.end(partition):
            raise StoreEndMoved(self.end(partition))
        self._log(partition).records.extend(records)
        return self.end(partition)

    def _log(self, partition: Partition) -> _Log:
        return self.logs.setdefault(partition, _Log())

    def _check_available(self) -> None:
        if self.unavailable:
            raise StoreUnavailable("down")
