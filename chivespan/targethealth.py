"""Health of targets: ejection after failures, and gradual recovery.

A target that fails fast always has free slots, so a choice by counts alone would send
it all the traffic. It is therefore ejected after a series of failures, for a longer
time after each ejection. It then recovers with one request at a time, and gets one more
slot for each success.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

EJECT_AFTER_FAILURES = 3
FAILURE_SMOOTHING = 0.2
EJECT_FAILURE_RATE = 0.5
INITIAL_EJECTION = timedelta(seconds=1)
MAX_EJECTION = timedelta(seconds=30)
RECOVERY_SUCCESSES = 3


class HealthState(StrEnum):
    """Health of a target, which determines how many of its slots may be used."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    RETURNING = "returning"


@dataclass(slots=True)
class TargetHealth:
    """Health of one target, from the outcomes of the work sent to it."""

    state: HealthState = HealthState.HEALTHY
    _consecutive_failures: int = 0
    _failure_rate: float = 0.0
    _recovery_successes: int = 0
    _ejection_time: timedelta = INITIAL_EJECTION
    _ejected_until: timedelta = timedelta(0)

    def slots(self, configured: int, now: timedelta) -> int:
        """Return how many of the configured slots may be used now."""
        if self.state is HealthState.EJECTED and now >= self._ejected_until:
            self.state = HealthState.RETURNING
            self._recovery_successes = 0
        if self.state is HealthState.EJECTED:
            return 0
        if self.state is HealthState.RETURNING:
            return min(configured, 1 + self._recovery_successes)
        return configured

    def record_success(self) -> None:
        """Record work that succeeded."""
        self._consecutive_failures = 0
        self._failure_rate *= 1 - FAILURE_SMOOTHING
        if self.state is HealthState.RETURNING:
            self._recovery_successes += 1
            if self._recovery_successes >= RECOVERY_SUCCESSES:
                self._recover()
                self._ejection_time = INITIAL_EJECTION

    def record_remote_success(self) -> None:
        """Record work of another node that succeeded; a returning target recovers.

        This node may still not reach it, so the next ejection is no shorter for that.
        """
        if self.state is HealthState.RETURNING:
            self._recovery_successes += 1
            if self._recovery_successes >= RECOVERY_SUCCESSES:
                self._recover()

    def record_failure(self, now: timedelta) -> None:
        """Record work that failed at the target or didn't reach it."""
        self._consecutive_failures += 1
        self._failure_rate += (1 - self._failure_rate) * FAILURE_SMOOTHING
        returning = self.state is HealthState.RETURNING
        if returning or (self.state is HealthState.HEALTHY and self._must_eject()):
            self._eject(now)

    def record_unreachable(self, now: timedelta) -> None:
        """Record a failed connection, which ejects the target at once."""
        if self.state is not HealthState.EJECTED:
            self._eject(now)

    def _recover(self) -> None:
        self.state = HealthState.HEALTHY
        self._consecutive_failures = 0
        self._failure_rate = 0.0

    def _must_eject(self) -> bool:
        return (
            self._consecutive_failures >= EJECT_AFTER_FAILURES
            or self._failure_rate >= EJECT_FAILURE_RATE
        )

    def _eject(self, now: timedelta) -> None:
        self.state = HealthState.EJECTED
        self._ejected_until = now + self._ejection_time
        self._ejection_time = min(2 * self._ejection_time, MAX_EJECTION)
