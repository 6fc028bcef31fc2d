"""Interface of the platform's store: compacted keyed logs with conditional appends.

A topic keeps the newest record of each key permanently, and all records for a limited
time. An append can be made conditional on the end offset of the log, so that concurrent
writers detect a conflict.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from chivespan.errors import ChivespanError, ErrorKind


class StoreUnavailable(ChivespanError):
    """The call had no effect: the store was not reached, or it refused the call."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.LOG_UNAVAILABLE, message)


class StoreOutcomeUnknown(ChivespanError):
    """The store sent no reply: the call may have taken effect, or may still do so."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.ACCEPTANCE_UNKNOWN, message)


class StoreEndMoved(ChivespanError):
    """The log does not end at the expected offset; nothing was appended.

    :param end: end offset of the log.
    """

    def __init__(self, end: int) -> None:
        super().__init__(ErrorKind.VERSION_CONFLICT, f"the log ends at {end}")
        self.end = end


class StoreExpired(ChivespanError):
    """The requested records have been dropped by retention."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.LOG_EXPIRED, message)


@dataclass(frozen=True, slots=True)
class Partition:
    """One ordered log of a topic."""

    topic: str
    number: int = 0


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record; an empty value is a tombstone, which deletes the key."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records in log order.

    :param end: offset that the next appended record will get.
    """

    records: tuple[KeyedRecord, ...]
    end: int


@dataclass(frozen=True, slots=True)
class NewestPage:
    """Newest records by key; several pages together are no consistent snapshot.

    :param end: end offset of the log when the page was read.
    :param more: whether there are keys after the last one.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    more: bool


class KeyedStore(Protocol):
    """Client of the platform's store.

    Each method raises :class:`StoreUnavailable`, or :class:`StoreOutcomeUnknown` if an
    append may have taken effect.
    """

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        expected_end: int | None = None,
    ) -> int:
        """Append all records or none; return the new end offset of the log.

        :raises StoreEndMoved: if the log does not end at ``expected_end``.
        """
        ...

    async def read(
        self, partition: Partition, start: int, wait: timedelta
    ) -> KeyedPage:
        """Return records from offset ``start`` on; wait up to ``wait`` for the first.

        :raises StoreExpired: if they have been dropped by retention.
        """
        ...

    async def newest(self, partition: Partition, after: str = "") -> NewestPage:
        """Return one page of the newest record of each key greater than ``after``."""
        ...


async def load_newest(store: KeyedStore, partition: Partition) -> KeyedPage:
    """Return the newest record of every key.

    :returns: records of all pages, with the smallest end offset of any page; reading
        the log from there yields the changes made while the pages were read.
    """
    records: dict[str, KeyedRecord] = {}
    end: int | None = None
    after = ""
    while True:
        page = await store.newest(partition, after)
        end = page.end if end is None else min(end, page.end)
        records.update((record.key, record) for record in page.records)
        if not page.more or not page.records:
            return KeyedPage(tuple(records.values()), end)
        after = page.records[-1].key
