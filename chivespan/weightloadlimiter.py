"""This node's share of the loads that the weight store can serve.

Each node takes the store's rate divided by the VMs that it sees live, so that all
together keep within it while their views agree. A node that sees one VM in ``k`` takes
``k`` times its share: two halves of a fleet that have lost each other load at twice
the rate, and a node that is alone in its view at all of it.
"""

from collections.abc import Callable
from datetime import timedelta

from chivespan.clock import Clock

MINUTE = timedelta(minutes=1)


class WeightLoadLimiter:
    """Gives permits one by one, never two without the time between.

    :param loads_per_min: the store's rate for the whole fleet.
    :param live_vms: gives how many VMs this node sees live.
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
        """Least time between two permits now."""
        return MINUTE / self._loads_per_min * max(1, self._live_vms())

    def try_acquire(self) -> bool:
        """Take a permit if there is one now."""
        now = self._clock.monotonic()
        if (
            self._last_acquired_at is not None
            and now - self._last_acquired_at < self.interval
        ):
            return False
        self._last_acquired_at = now
        return True
