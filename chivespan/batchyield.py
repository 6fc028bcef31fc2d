"""Decides which running batch items yield their slots to online requests.

All nodes see a change of a target's counts with a delay, and nodes don't coordinate
which items yield. Each item therefore yields with a probability chosen so that, within
that delay, about as many items yield as online requests need slots. If more yielded,
they would be restarted elsewhere without need. Items with more
of their output left are more likely to yield, and late items most.
"""

from datetime import timedelta
from random import Random

from chivespan.clock import Clock
from chivespan.loadtable import LoadTable
from chivespan.nodemessages import TargetEntry
from chivespan.targetpick import TargetPicker
from chivespan.yieldorder import UNKNOWN_PROGRESS, ItemProgress, yield_rate

# Time until all nodes see that an item has yielded.
YIELD_WINDOW = timedelta(milliseconds=80)
# With fewer free slots per target on average, the next online requests find none.
SCARCE_FREE_PER_TARGET = 0.5
SCARCITY_CHECK_INTERVAL = timedelta(milliseconds=100)


class YieldRule:
    """Decides whether the items that this node runs yield their slots."""

    def __init__(
        self, picker: TargetPicker, load_table: LoadTable, clock: Clock, random: Random
    ) -> None:
        self._picker = picker
        self._load_table = load_table
        self._clock = clock
        self._random = random
        self._scarce: dict[str, bool] = {}
        self._checked: dict[str, timedelta] = {}

    def must_yield(
        self,
        entry: TargetEntry,
        since: timedelta,
        progress: ItemProgress = UNKNOWN_PROGRESS,
    ) -> bool:
        """Return whether an item at a target yields its slot now.

        :param since: time since the previous check of the same item.
        """
        needed = self._needed_slots(entry)
        if needed <= 0:
            return False
        running = self._load_table.batch(entry.target_id)
        rate = yield_rate(needed, running, progress.weight)
        probability = rate * (min(since, YIELD_WINDOW) / YIELD_WINDOW)
        return self._random.random() < probability

    def _needed_slots(self, entry: TargetEntry) -> int:
        """Return how many slots of a target online requests need, now or shortly."""
        over = self._load_table.total(entry.target_id) - entry.slots
        return over + 1 if self._is_scarce(entry.service) else over

    def _is_scarce(self, service: str) -> bool:
        """Return whether the targets of a service have almost no free slots left.

        Targets with one slot don't count: none of their slots is kept for the next
        online request, and an item there yields to a request that has come.
        """
        now = self._clock.monotonic()
        checked = self._checked.get(service)
        if checked is None or now - checked >= SCARCITY_CHECK_INTERVAL:
            sendable = self._picker.sendable(service)
            candidates = [each for each in sendable if each.entry.slots > 1]
            free = sum(max(0, each.free) for each in candidates)
            self._scarce[service] = free < len(candidates) * SCARCE_FREE_PER_TARGET
            self._checked[service] = now
        return self._scarce[service]
