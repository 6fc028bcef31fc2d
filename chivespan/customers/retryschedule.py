"""When refused callers of each customer are told to come back, and what is logged.

Each caller that is told to come back at some time will use room then, so callers that
are refused after it get later times.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from chivespan.clock import Clock

MIN_RETRY_AFTER = timedelta(milliseconds=20)
MAX_RETRY_AFTER = timedelta(seconds=10)
# Largest random part of a time to come back, as a share of it. Without it, callers that
# several nodes refuse at the same moment come back at the same moment.
SPREAD = 0.25
LOG_INTERVAL = timedelta(milliseconds=200)
# Entries that are kept before old ones are looked for.
MIN_KEPT = 64


@dataclass(slots=True)
class _Returns:
    """Callers of one customer that were told to come back.

    :ivar due: monotonic time by which all of them have come back.
    :ivar log_due: monotonic time from which a refusal is logged again.
    :ivar not_logged: refusals since the last one that was logged.
    """

    due: timedelta
    log_due: timedelta
    not_logged: int = 0


class RetrySchedule:
    """Gives each refused caller a time to come back."""

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._returns: dict[str, _Returns] = {}
        self._max_kept = MIN_KEPT

    def next_retry_after(
        self, customer: str, until_room: timedelta, per_s: float
    ) -> timedelta:
        """Return after what time a refused caller should come back.

        :param until_room: time until there is room for one request.
        :param per_s: requests per second for which this node has room from then on.
        """
        now = self._clock.monotonic()
        returns = self._find(customer, now)
        latest = now + MAX_RETRY_AFTER / (1 + SPREAD)
        earliest = now + max(until_room, MIN_RETRY_AFTER)
        gap = timedelta(seconds=1 / max(per_s, 1 / MAX_RETRY_AFTER.total_seconds()))
        returns.due = min(max(returns.due + gap, earliest), latest)
        return (returns.due - now) * self._random.uniform(1, 1 + SPREAD)

    def log(self, customer: str, write: Callable[[int], None]) -> None:
        """Log a refusal, unless another one has been logged just before.

        :param write: gets the number of refusals that were not logged.
        """
        now = self._clock.monotonic()
        returns = self._find(customer, now)
        if now < returns.log_due:
            returns.not_logged += 1
            return
        write(returns.not_logged)
        returns.not_logged = 0
        returns.log_due = now + LOG_INTERVAL

    def _find(self, customer: str, now: timedelta) -> _Returns:
        if customer not in self._returns:
            self._drop_old(now)
            self._returns[customer] = _Returns(now, now)
        return self._returns[customer]

    def _drop_old(self, now: timedelta) -> None:
        """Drop entries without effect once many have gathered."""
        if len(self._returns) < self._max_kept:
            return
        for name, returns in list(self._returns.items()):
            if returns.due <= now and returns.log_due <= now:
                del self._returns[name]
        self._max_kept = max(MIN_KEPT, 2 * len(self._returns))
