"""Recent peak of the slots in use by online requests, which batch work leaves free.

Online load comes in bursts of seconds. If batch work fills every slot between them, it
has to be preempted when the next burst starts, and online requests wait meanwhile.
Batch work that isn't urgent therefore leaves as many slots free as the last bursts
used.
"""

from collections import deque
from datetime import timedelta

from chivespan.clock import Clock

WINDOW = timedelta(seconds=10)
BUCKET_WIDTH = timedelta(seconds=1)


class OnlinePeak:
    """Maximum of the samples within the last ``WINDOW``.

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
        return max((peak for _, peak in self._buckets), default=0)

    def record_sample(self, online: int) -> None:
        """Add a sample: the number of slots that online requests use now."""
        now = self._clock.monotonic()
        while self._buckets and now - self._buckets[0][0] > WINDOW:
            self._buckets.popleft()
        if not self._buckets or now - self._buckets[-1][0] >= BUCKET_WIDTH:
            self._buckets.append((now, online))
        elif online > self._buckets[-1][1]:
            self._buckets[-1] = (self._buckets[-1][0], online)
