"""Keeps what all nodes together send to a target within the target's rate limit.

Each node compares the fleet's count of recent requests with the one at which requests
come at exactly the limit, and sends only while the former is lower. Several nodes may
see the same room for one request before they hear of each other; when many requests are
expected in that time, each is let through with a probability that keeps their number
near the room.
"""

from datetime import timedelta
from math import expm1
from random import Random

from chivespan.nodemessages import TargetEntry
from chivespan.ratelimits import RateLimits
from chivespan.recentsends import DECAY_TIME, RecentSends

# A target that accepts nothing still gets a request now and then: only a response says
# that the limit has changed.
MIN_RATE_PER_S = 0.1
# Batch items leave this share of the room to online requests.
SHARE_KEPT_FOR_ONLINE = 0.25


class SendLimiter:
    """Decides whether this node may send a request to a target now."""

    def __init__(
        self, limits: RateLimits, recent_sends: RecentSends, random: Random
    ) -> None:
        self._limits = limits
        self._recent_sends = recent_sends
        self._random = random

    def room(self, entry: TargetEntry) -> float | None:
        """Return how many requests all nodes together may send now.

        :returns: None if the target has no limit.
        """
        rate = self._rate(entry)
        if rate is None:
            return None
        return full_room(rate) - self._recent_sends.total(entry.target_id)

    def is_used_up(self, entry: TargetEntry) -> bool:
        """Return whether a target's limit leaves no room for a request now."""
        room = self.room(entry)
        return room is not None and room <= 0

    def room_for_items(self, entry: TargetEntry) -> float | None:
        """Return how many batch items all nodes together may start now."""
        rate = self._rate(entry)
        if rate is None:
            return None
        room = full_room(rate) * (1 - SHARE_KEPT_FOR_ONLINE)
        return room - self._recent_sends.total(entry.target_id)

    def admits(self, entry: TargetEntry, expected: float, staleness: timedelta) -> bool:
        """Return whether a request may be sent to a target that was chosen for it.

        When reports are held up, ever fewer requests are admitted: all that are sent
        meanwhile must fit into the room that was there at the last report.

        :param expected: requests that all nodes are expected to have for the target
            until they hear of each other.
        :param staleness: time in which they normally do.
        """
        room = self.room(entry)
        if room is None:
            return True
        age = self._recent_sends.report_age(entry.target_id)
        if staleness and age > staleness:
            expected *= (age / staleness) ** 2
        return self._random.random() * max(expected, room) < room

    def record_send(self, entry: TargetEntry) -> None:
        """Record that a request is sent to a target."""
        if self._rate(entry) is not None:
            self._recent_sends.record(entry.target_id)

    def rate(self, entry: TargetEntry) -> float:
        """Return the requests per second for a target with a limit; 0 without one."""
        return self._rate(entry) or 0.0

    def _rate(self, entry: TargetEntry) -> float | None:
        rate = self._limits.limit(entry)
        return None if rate is None else max(rate, MIN_RATE_PER_S)


def full_room(per_s: float) -> float:
    """Return the count of recent requests below which one more may be sent.

    If each is sent as soon as the count has fallen that low, they come at the rate.

    >>> round(full_room(50), 1), round(full_room(2.7), 1), round(full_room(0.5), 1)
    (74.5, 3.6, 0.4)
    """
    return 1 / expm1(1 / (per_s * DECAY_TIME.total_seconds()))
