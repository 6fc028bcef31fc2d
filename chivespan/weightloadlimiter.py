"""Rate limit for loading model weights from the weight store.

Each node limits itself to the store's rate divided by the number of VMs that it sees
live, so that the fleet as a whole stays within the rate while all views agree. A node
that sees only one VM in ``k`` loads at ``k`` times its share: the two halves of a
partitioned fleet together load at twice the rate, and a node that sees only itself
loads at the full rate.
"""

from collections.abc import Callable
from datetime import timedelta

from chivespan.clock import Clock

MINUTE = timedelta(minutes=1)


class WeightLoadLimiter:
    """Spaces weight loads by a minimum interval, without bursts.

    :param loads_per_min: the store's rate for the whole fleet.
    :param live_vms: returns the number of VMs that this node sees live.
    """

    def __init__(
        self, loads_per_min: int, live_vms: Callable[[], int], clock: Clock
    ) -> None:
        self._loads_per_min = loads_per_min
        self._live_vms = live_vms
        self._clock = clock
        self._last_acquired_at: timedelta | None = None

    @property
    def interval(self) -> timedelta:
        """Current minimum time between two permits."""
        return MINUTE / self._loads_per_min * max(1, self._live_vms())

    def try_acquire(self) -> bool:
        """Take a permit; return False if none is available yet."""
        now = self._clock.monotonic()
        if (
            self._last_acquired_at is not None
            and now - self._last_acquired_at < self.interval
        ):
            return False
        self._last_acquired_at = now
        return True
