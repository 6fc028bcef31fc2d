"""A token bucket that holds at most one token."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True)
class TokenBucket:
    """Allows requests at a rate, with no burst after idle time.

    Points in time are on the monotonic clock. A new bucket is empty.

    :ivar per_s: tokens added per second.
    :ivar updated: when the level was last updated.
    :ivar level: tokens in the bucket at that time, at most one.

    >>> second = timedelta(seconds=1)
    >>> bucket = TokenBucket(per_s=0.5, updated=0 * second)
    >>> bucket.has_token(1 * second), bucket.has_token(2 * second)
    (False, True)
    >>> bucket.take(2 * second)
    >>> bucket.has_token(3 * second), bucket.has_token(4 * second)
    (False, True)
    """

    per_s: float
    updated: timedelta
    level: float = 0.0

    def set_rate(self, per_s: float, now: timedelta) -> None:
        """Change the rate; the level stays."""
        self._refill(now)
        self.per_s = per_s

    def has_token(self, now: timedelta) -> bool:
        """Return whether a request may be sent."""
        self._refill(now)
        return self.level >= 1

    def take(self, now: timedelta) -> None:
        """Record a request, also one sent without a token."""
        self._refill(now)
        self.level -= 1

    def _refill(self, now: timedelta) -> None:
        added = (now - self.updated).total_seconds() * self.per_s
        self.level = min(1.0, self.level + added)
        self.updated = now
