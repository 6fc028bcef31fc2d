"""Policies for refusing an online request whose deadline can't be met."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeAlias

from chivespan.registry import Registry

MIN_RETRY_AFTER = timedelta(milliseconds=100)
MAX_RETRY_AFTER = timedelta(seconds=30)
INITIAL_MEAN_HOLD = timedelta(milliseconds=500)
HOLD_SMOOTHING = 0.05
MAX_QUEUE_PER_SLOT = 1.0


@dataclass(slots=True)
class DrainRate:
    """Estimates how fast slots become free, from how long online work holds them."""

    mean_hold: timedelta = INITIAL_MEAN_HOLD

    def record_hold(self, held: timedelta) -> None:
        """Record how long a slot was held by work that succeeded."""
        self.mean_hold += (held - self.mean_hold) * HOLD_SMOOTHING

    def expected_wait(self, ahead: int, revocable: int, slots: int) -> timedelta:
        """Return the expected time until a slot is free for a request.

        :param ahead: requests ahead of it in the queue.
        :param revocable: slots that batch work releases at once.
        """
        short = max(0, ahead + 1 - revocable)
        return self.mean_hold * (short / max(1, slots))


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """Estimated times of a queued request.

    :param wait: time until it gets a slot.
    :param hold: mean time from getting a slot to the complete response.
    :param remaining: time until its deadline.
    :param max_wait: longest wait that the requester accepts before it tries elsewhere.
    :param ahead: requests ahead of it in the queue.
    :param slots: slots of the slice.
    """

    wait: timedelta
    hold: timedelta
    remaining: timedelta
    max_wait: timedelta
    ahead: int
    slots: int


RefusalPolicy: TypeAlias = Callable[[WaitEstimate], bool]
REFUSAL_POLICIES: Registry[RefusalPolicy] = Registry("refusal")


@REFUSAL_POLICIES.register("deadline")
def deadline_unreachable(estimate: WaitEstimate) -> bool:
    """Refuse a request that would get its slot too late to finish."""
    return estimate.wait + estimate.hold > estimate.remaining


@REFUSAL_POLICIES.register("queue_length")
def queue_too_long(estimate: WaitEstimate) -> bool:
    """Refuse a request when the queue is as long as the slots; a benchmark baseline."""
    return estimate.ahead >= MAX_QUEUE_PER_SLOT * estimate.slots


@REFUSAL_POLICIES.register("never")
def never(estimate: WaitEstimate) -> bool:
    """Refuse nothing, so requests wait until their deadlines; a benchmark baseline."""
    return False


def retry_after(rate: DrainRate, waiting: int, slots: int) -> timedelta:
    """Return when to retry: the time until all queued requests have got a slot."""
    drained = rate.expected_wait(waiting, 0, slots)
    return min(max(MIN_RETRY_AFTER, drained), MAX_RETRY_AFTER)
