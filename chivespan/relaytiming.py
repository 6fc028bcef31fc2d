"""Determines how often the relay of a large data centre sends its sums.

While most slots are free, it matters little that counts are old. In a burst, nodes send
many requests before these are counted, and queues at targets differ by that much.
"""

from collections import Counter
from datetime import timedelta

from chivespan.loadtable import LoadTable
from chivespan.targetset import TargetSet

CALM_INTERVAL = timedelta(milliseconds=100)
BUSY_INTERVAL = timedelta(milliseconds=40)
# Share of a service's slots that online requests use when its counts must be fresher.
BUSY_SHARE = 0.5


class RelayTiming:
    """Chooses the interval by the requests in progress, as this node counts them."""

    def __init__(self, targets: TargetSet, load_table: LoadTable) -> None:
        self._targets = targets
        self._load_table = load_table

    @property
    def interval(self) -> timedelta:
        """The interval between the sums of a relay.

        The intervals of two relays add up for counts of another data centre.
        """
        return BUSY_INTERVAL if self._is_busy else CALM_INTERVAL

    @property
    def _is_busy(self) -> bool:
        slots: Counter[str] = Counter()
        online: Counter[str] = Counter()
        for entry in self._targets.entries:
            if not entry.draining:
                slots[entry.service] += entry.slots
                online[entry.service] += self._load_table.online(entry.target_id)
        return any(online[each] > slots[each] * BUSY_SHARE for each in slots)
