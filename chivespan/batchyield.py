"""Which running batch items make room for online requests.

All nodes see a target's counts some time after they change, and none knows what items
of others do. Each item therefore yields by chance, so often that together about as many
yield within that time as online requests need slots: more would begin again elsewhere
for nothing.
"""

from datetime import timedelta
from random import Random

from chivespan.clock import Clock
from chivespan.loadtable import LoadTable
from chivespan.nodemessages import TargetEntry
from chivespan.targetpick import TargetPicker

# In which all nodes see that an item has yielded.
YIELD_WINDOW = timedelta(milliseconds=80)
# With fewer free slots than this share of the targets, the next online requests will
# find none.
SCARCE_FREE_PER_TARGET = 0.5
SCARCITY_CHECK_INTERVAL = timedelta(milliseconds=100)


class YieldRule:
    """Decides for the items of this node."""

    def __init__(
        self, picker: TargetPicker, load_table: LoadTable, clock: Clock, random: Random
    ) -> None:
        self._picker = picker
        self._load_table = load_table
        self._clock = clock
        self._random = random
        self._scarce: dict[str, bool] = {}
        self._checked: dict[str, timedelta] = {}

    def must_yield(self, entry: TargetEntry, since: timedelta) -> bool:
        """Return whether an item at a target makes room now.

        :param since: how long ago this was last asked for the item.
        """
        wanted = self._wanted_slots(entry)
        if wanted <= 0:
            return False
        running = max(1, self._load_table.batch(entry.target_id))
        chance = wanted / running * (min(since, YIELD_WINDOW) / YIELD_WINDOW)
        return self._random.random() < chance

    def _wanted_slots(self, entry: TargetEntry) -> int:
        """Return how many slots of a target online requests need, now or very soon."""
        over = self._load_table.total(entry.target_id) - entry.slots
        return over + 1 if self._is_scarce(entry.service) else over

    def _is_scarce(self, service: str) -> bool:
        """Return whether hardly any target of a service has a free slot."""
        now = self._clock.monotonic()
        checked = self._checked.get(service)
        if checked is None or now - checked >= SCARCITY_CHECK_INTERVAL:
            candidates = self._picker.candidates(service)
            free = sum(max(0, each.free) for each in candidates)
            self._scarce[service] = free < len(candidates) * SCARCE_FREE_PER_TARGET
            self._checked[service] = now
        return self._scarce[service]
