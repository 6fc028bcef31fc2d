"""Bounds the partial output of batch items that a node keeps in memory.

A faulty target may send well-formed events without end. The output of one item has a
limit in characters, besides that by what its request can produce. That of all items of
a node together is limited to a share of the memory of the process.
"""

import sys
from collections.abc import Collection, Iterable

from chivespan.eventstream import OutputExceeded

# Of one item; the store can't hold a larger result.
MAX_ITEM_CHARS = 4 * 1024 * 1024
# Of an item whose request doesn't say how much output it may have.
DEFAULT_MAX_EVENTS = 65536
# Size of a list's reference to an event.
REFERENCE_BYTES = 8
# Of the memory of a process, for the output of all items.
SHARE_OF_MEMORY = 1 / 8


class NoMemoryForOutput(Exception):
    """The output of all items exceeds its limit, and this item has most of it."""


class OutputBudget:
    """The memory for the output of all items of a node.

    :param max_bytes: limit of their size in memory.
    :ivar used: their size.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.used = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether some output must be dropped."""
        return self.used > self._max_bytes


class ItemOutput:
    """The output of one item so far, which counts against a budget until released."""

    def __init__(self, budget: OutputBudget, events: Iterable[str]) -> None:
        self._budget = budget
        self._events = list(events)
        self._chars = sum(map(len, self._events))
        self._size = 0
        self._resize(_size_of(self._events))

    @property
    def events(self) -> list[str]:
        """Data of all events received."""
        return self._events

    @property
    def size(self) -> int:
        """Size in memory, in bytes."""
        return self._size

    def extend(self, events: Collection[str]) -> None:
        """Add the data of further events.

        :raises OutputExceeded: when it is more than an item may have.
        """
        self._events.extend(events)
        self._chars += sum(map(len, events))
        self._resize(_size_of(events))
        if self._chars > MAX_ITEM_CHARS:
            raise OutputExceeded(f"more than {MAX_ITEM_CHARS} characters")

    def truncate(self, count: int) -> None:
        """Keep only the first events."""
        self._chars -= sum(map(len, self._events[count:]))
        self._resize(-_size_of(self._events[count:]))
        del self._events[count:]

    def release(self) -> None:
        """Drop all output, as the item is no longer held."""
        self.truncate(0)

    def _resize(self, change: int) -> None:
        self._size += change
        self._budget.used += change


def max_output_bytes(memory_mb: float) -> int:
    """Return the limit for all items of a process with some memory."""
    return round(memory_mb * 1_000_000 * SHARE_OF_MEMORY)


def _size_of(events: Iterable[str]) -> int:
    return sum(sys.getsizeof(event) + REFERENCE_BYTES for event in events)
