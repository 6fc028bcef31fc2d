"""Clock interface, so that tests can control the time."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

MILLISECOND = timedelta(milliseconds=1)
MICROSECOND = timedelta(microseconds=1)
NO_WAIT = timedelta(0)


class Clock(Protocol):
    """Source of wall-clock time and of monotonic time."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        ...

    def monotonic(self) -> timedelta:
        """Return the time since an unspecified reference point; never decreases."""
        ...

    def boottime(self) -> timedelta:
        """Return the same with the time for which the machine was suspended."""
        ...


class SystemClock:
    """The system clock."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the system's monotonic time."""
        return timedelta(seconds=time.monotonic())

    def boottime(self) -> timedelta:
        """Return the system's monotonic time with that of suspensions."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class ManualClock:
    """A clock that only moves when advanced; for tests and replays."""

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._start = start
        self._elapsed = timedelta(0)
        self._suspended = timedelta(0)

    def now(self) -> datetime:
        """Return the start time plus the total of all advances and suspensions."""
        return self._start + self.boottime()

    def monotonic(self) -> timedelta:
        """Return the total of all advances."""
        return self._elapsed

    def boottime(self) -> timedelta:
        """Return the total of all advances and suspensions."""
        return self._elapsed + self._suspended

    def suspend(self, time: timedelta) -> None:
        """Suspend the machine, during which the monotonic time stands still."""
        self._suspended += time

    def advance(self, step: timedelta) -> None:
        """Move the clock forward by ``step``."""
        self._elapsed += step
