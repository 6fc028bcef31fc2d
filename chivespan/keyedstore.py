"""The platform's store as an interface: keyed logs with conditional appends.

A topic keeps the newest record of each key for good, and all records for a while. An
append may depend on where the log ends, so that writers who disagree find out.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from chivespan.errors import ChivespanError, ErrorKind


class StoreUnavailable(ChivespanError):
    """The store did nothing: it was not reached, or it refused the call."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.LOG_UNAVAILABLE, message)


class StoreOutcomeUnknown(ChivespanError):
    """No answer came: the call may have taken effect, or may still do so."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.ACCEPTANCE_UNKNOWN, message)


class StoreEndMoved(ChivespanError):
    """Somebody else has appended; nothing was done.

    :param end: where the log ends now.
    """

    def __init__(self, end: int) -> None:
        super().__init__(ErrorKind.VERSION_CONFLICT, f"the log ends at {end}")
        self.end = end


class StoreExpired(ChivespanError):
    """The records asked for are no longer kept."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.LOG_EXPIRED, message)


@dataclass(frozen=True, slots=True)
class Partition:
    """One ordered log of a topic."""

    topic: str
    number: int = 0


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record; an empty value drops its key."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class KeyedPage:
    """Records in the order of the log.

    :param end: offset that the next record appended will get.
    """

    records: tuple[KeyedRecord, ...]
    end: int


@dataclass(frozen=True, slots=True)
class NewestPage:
    """Newest records by key; several pages are no snapshot.

    :param end: where the log ended when the page was made.
    :param more: whether keys behind the last one are left.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    more: bool


class KeyedStore(Protocol):
    """What the fleet asks of the platform's store.

    Each method raises :class:`StoreUnavailable`, or :class:`StoreOutcomeUnknown` where
    an append may have taken effect.
    """

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        expected_end: int | None = None,
    ) -> int:
        """Append all records or none; return where the log ends then.

        :raises StoreEndMoved: where it does not end at ``expected_end``.
        """
        ...

    async def read(
        self, partition: Partition, start: int, wait: timedelta
    ) -> KeyedPage:
        """Return records from ``start`` on, waiting for one up to ``wait``.

        :raises StoreExpired: when they are no longer kept.
        """
        ...

    async def newest(self, partition: Partition, after: str = "") -> NewestPage:
        """Return one page of the newest record of each key, behind key ``after``."""
        ...


async def load_newest(store: KeyedStore, partition: Partition) -> KeyedPage:
    """Return the newest record of every key.

    :returns: records of all pages, with the smallest end seen, from which on reading
        completes what the pages missed.
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
