"""The clock as an interface, so that tests decide what time it is."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

MILLISECOND = timedelta(milliseconds=1)
MICROSECOND = timedelta(microseconds=1)
NO_WAIT = timedelta(0)


class Clock(Protocol):
    """Source of wall time and of time that only moves forward."""

    def now(self) -> datetime:
        """Return the wall time in UTC."""
        ...

    def monotonic(self) -> timedelta:
        """Return the time since a fixed, unnamed moment; never falls."""
        ...


class SystemClock:
    """The machine's own clock."""

    def now(self) -> datetime:
        """Return the wall time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since the machine started."""
        return timedelta(seconds=time.monotonic())


class ManualClock:
    """A clock that moves only when told to; for tests and replays."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta(0)

    def now(self) -> datetime:
        """Return the start plus all that was advanced."""
        return self._start + self._elapsed

    def monotonic(self) -> timedelta:
        """Return all that was advanced."""
        return self._elapsed

    def advance(self, step: timedelta) -> None:
        """Move the clock forward by ``step``."""
        self._elapsed += step
