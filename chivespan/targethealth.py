"""Whether a target may be given work: ejection after failures, and careful return.

A target that fails fast has free slots at all times, so counts alone would send it all
the traffic. It is left out for a while after a run of failures, longer each time, and
comes back with one request at a time until one of them has gone well.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from chivespan.messages import Outcome

EJECT_AFTER_FAILURES = 3
FAILURE_SMOOTHING = 0.2
EJECT_FAILURE_RATE = 0.5
FIRST_EJECTION = timedelta(seconds=1)
LONGEST_EJECTION = timedelta(seconds=30)
FAILED_OUTCOMES = frozenset({Outcome.failed, Outcome.timed_out})
RETURNING_SUCCESSES = 3


class HealthState(StrEnum):
    """How much a target may be given."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    RETURNING = "returning"


@dataclass(slots=True)
class TargetHealth:
    """What the holders of a target's grants saw of it."""

    state: HealthState = HealthState.HEALTHY
    _failures_in_a_row: int = 0
    _failure_rate: float = 0.0
    _successes_back: int = 0
    _ejection: timedelta = FIRST_EJECTION
    _ejected_until: timedelta = timedelta(0)

    def slots(self, configured: int, now: timedelta) -> int:
        """Return how many of the configured slots may be used now."""
        if self.state is HealthState.EJECTED and now >= self._ejected_until:
            self.state = HealthState.RETURNING
            self._successes_back = 0
        if self.state is HealthState.EJECTED:
            return 0
        if self.state is HealthState.RETURNING:
            return min(configured, 1 + self._successes_back)
        return configured

    def record_success(self) -> None:
        """Count work that ended well."""
        self._failures_in_a_row = 0
        self._failure_rate *= 1 - FAILURE_SMOOTHING
        if self.state is HealthState.RETURNING:
            self._successes_back += 1
            if self._successes_back >= RETURNING_SUCCESSES:
                self.state = HealthState.HEALTHY
                self._failure_rate = 0.0
                self._ejection = FIRST_EJECTION

    def record_failure(self, now: timedelta) -> None:
        """Count work that the target failed, or that never reached it."""
        self._failures_in_a_row += 1
        self._failure_rate += (1 - self._failure_rate) * FAILURE_SMOOTHING
        returning = self.state is HealthState.RETURNING
        if returning or (self.state is HealthState.HEALTHY and self._is_bad()):
            self._eject(now)

    def record_unreachable(self, now: timedelta) -> None:
        """Count that no connection could be made: the target is left out at once."""
        if self.state is not HealthState.EJECTED:
            self._eject(now)

    def _is_bad(self) -> bool:
        return (
            self._failures_in_a_row >= EJECT_AFTER_FAILURES
            or self._failure_rate >= EJECT_FAILURE_RATE
        )

    def _eject(self, now: timedelta) -> None:
        self.state = HealthState.EJECTED
        self._ejected_until = now + self._ejection
        self._ejection = min(2 * self._ejection, LONGEST_EJECTION)
