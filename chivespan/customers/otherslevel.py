"""The sum of the levels of one customer that peers have reported, and its trend."""

from dataclasses import dataclass
from datetime import timedelta
from math import exp

# Changes that peers report are extrapolated over this time, which is about the delay of
# a report. Otherwise all nodes go on admitting while reports are in transit.
TREND_TIME = timedelta(seconds=0.2)
# Compensates for the delay with which a trend becomes known.
TREND_WEIGHT = 1.5


@dataclass(slots=True)
class OthersLevel:
    """The sum of the levels of one customer that peers have reported.

    :ivar updated: monotonic time of the last change.
    :ivar total: the sum, in requests.
    :ivar peers: number of peers whose last report has a level of the customer.
    :ivar change: recent changes of the sum, which decay within ``TREND_TIME``.
    """

    updated: timedelta
    total: float = 0.0
    peers: int = 0
    change: float = 0.0

    def expected(self, now: timedelta, per_s: float) -> float:
        """Return the sum that is expected now, if its recent trend continues.

        :param per_s: how fast levels drain. The sum falls faster only if a quota was
            lowered or a node has left, and the excess isn't extrapolated.
        """
        fall = per_s * TREND_TIME.total_seconds()
        change = max(-fall, TREND_WEIGHT * self._recent_change(now))
        return max(0.0, self.total + change)

    def add(self, change: float, is_trend: bool, now: timedelta) -> None:
        """Add a change of one peer's level.

        :param is_trend: whether the usage has changed, rather than the set of peers.
        """
        self.change = self._recent_change(now) + (change if is_trend else 0.0)
        self.updated = now
        self.total = max(0.0, self.total + change)

    def _recent_change(self, now: timedelta) -> float:
        return self.change * exp((self.updated - now) / TREND_TIME)
