"""Estimates how long overloads last, so that refused callers retry after their end."""

from datetime import timedelta

from chivespan.clock import Clock

# A longer time without a refusal ends an overload.
EPISODE_GAP = timedelta(milliseconds=500)
INITIAL_MEAN_DURATION = timedelta(seconds=1)
SMOOTHING = 0.2
# An overload longer than the mean is expected to last for another share of its age.
REMAINING_SHARE_OF_AGE = 0.5


class OverloadEpisodes:
    """Tracks the periods in which requests are refused because no slot is free."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._mean_duration = INITIAL_MEAN_DURATION
        self._started: timedelta | None = None
        self._last_refusal = timedelta(0)

    def record_refusal(self) -> None:
        """Record a refusal."""
        now = self._clock.monotonic()
        if self._started is not None and now - self._last_refusal > EPISODE_GAP:
            duration = self._last_refusal - self._started
            self._mean_duration += (duration - self._mean_duration) * SMOOTHING
            self._started = None
        if self._started is None:
            self._started = now
        self._last_refusal = now

    def expected_remaining(self) -> timedelta:
        """Return the expected remaining time of the current overload.

        Zero before the first refusal.
        """
        if self._started is None:
            return timedelta(0)
        age = self._clock.monotonic() - self._started
        if age < self._mean_duration:
            return self._mean_duration - age
        return age * REMAINING_SHARE_OF_AGE
