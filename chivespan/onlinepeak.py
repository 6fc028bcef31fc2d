"""The most slots that online requests took lately, so that batch can leave them free.

Online load comes in bursts of seconds. Batch that fills every slot in between has to be
cut off when the next burst comes, and requests wait meanwhile. Batch that is in no
hurry therefore stays below what the last bursts took.
"""

from collections import deque
from datetime import timedelta

from chivespan.clock import Clock

WINDOW = timedelta(seconds=10)
BUCKET = timedelta(seconds=1)


class OnlinePeak:
    """The largest of the samples of the last while.

    >>> from chivespan.clock import ManualClock
    >>> clock = ManualClock()
    >>> peak = OnlinePeak(clock)
    >>> peak.record_sample(30)
    >>> clock.advance(WINDOW / 2)
    >>> peak.record_sample(8)
    >>> peak.value
    30
    >>> clock.advance(WINDOW)
    >>> peak.record_sample(9)
    >>> peak.value
    9
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets: deque[tuple[timedelta, int]] = deque()

    @property
    def value(self) -> int:
        """The peak; zero without samples."""
        return max((most for _, most in self._buckets), default=0)

    def record_sample(self, online: int) -> None:
        """Take a sample: slots that online requests take now."""
        now = self._clock.monotonic()
        while self._buckets and now - self._buckets[0][0] > WINDOW:
            self._buckets.popleft()
        if not self._buckets or now - self._buckets[-1][0] >= BUCKET:
            self._buckets.append((now, online))
        elif online > self._buckets[-1][1]:
            self._buckets[-1] = (self._buckets[-1][0], online)
