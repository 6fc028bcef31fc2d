"""How long overloads last, so that refused callers come back when one is over."""

from datetime import timedelta

from chivespan.clock import Clock

EPISODE_GAP = timedelta(milliseconds=500)
FIRST_LENGTH = timedelta(seconds=1)
SMOOTHING = 0.2
# An overload that outlasts the usual is expected to go on for this share of its age.
OUTLASTING_SHARE = 0.5


class OverloadEpisodes:
    """The times in which requests were refused for want of slots."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._usual = FIRST_LENGTH
        self._began: timedelta | None = None
        self._last_refusal = timedelta(0)

    def record_refusal(self) -> None:
        """Note a refusal."""
        now = self._clock.monotonic()
        if self._began is not None and now - self._last_refusal > EPISODE_GAP:
            length = self._last_refusal - self._began
            self._usual += (length - self._usual) * SMOOTHING
            self._began = None
        if self._began is None:
            self._began = now
        self._last_refusal = now

    def expected_remaining(self) -> timedelta:
        """Return how long the overload of now is likely to last."""
        if self._began is None:
            return timedelta(0)
        age = self._clock.monotonic() - self._began
        if age < self._usual:
            return self._usual - age
        return age * OUTLASTING_SHARE
