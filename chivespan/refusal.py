"""When to refuse an online request: as soon as its deadline can't be met."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeAlias

from chivespan.registry import Registry

MIN_RETRY_AFTER = timedelta(milliseconds=100)
MAX_RETRY_AFTER = timedelta(seconds=30)
FIRST_HOLD_GUESS = timedelta(milliseconds=500)
HOLD_SMOOTHING = 0.05
QUEUE_PER_SLOT = 1.0


@dataclass(slots=True)
class DrainRate:
    """How fast slots come free, from how long online work holds them."""

    mean_hold: timedelta = FIRST_HOLD_GUESS

    def record_hold(self, held: timedelta) -> None:
        """Count one use of a slot that ended well."""
        self.mean_hold += (held - self.mean_hold) * HOLD_SMOOTHING

    def expected_wait(self, ahead: int, revocable: int, slots: int) -> timedelta:
        """Return how long until a slot is free for a request.

        :param ahead: requests that go before it.
        :param revocable: slots that batch gives back at once.
        """
        short = max(0, ahead + 1 - revocable)
        return self.mean_hold * (short / max(1, slots))


@dataclass(frozen=True, slots=True)
class WaitEstimate:
    """What a waiting request can expect.

    :param wait: until it gets a slot.
    :param hold: usual time from slot to whole answer.
    :param remaining: until its deadline.
    :param patience: longest wait for which its asker doesn't rather ask elsewhere.
    :param ahead: requests that go before it.
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
def deadline_unreachable(prospect: WaitEstimate) -> bool:
    """Refuse what would get its slot too late to finish."""
    return prospect.wait + prospect.hold > prospect.remaining


@REFUSAL_POLICIES.register("queue_length")
def queue_too_long(prospect: WaitEstimate) -> bool:
    """Refuse what finds a queue as long as there are slots; for comparison."""
    return prospect.ahead >= QUEUE_PER_SLOT * prospect.slots


@REFUSAL_POLICIES.register("never")
def never(prospect: WaitEstimate) -> bool:
    """Let everything wait until its deadline; for comparison."""
    return False


def retry_after(rate: DrainRate, waiting: int, slots: int) -> timedelta:
    """Return when to come back: once all that waits now has been given its slot."""
    drained = rate.expected_wait(waiting, 0, slots)
    return min(max(MIN_RETRY_AFTER, drained), MAX_RETRY_AFTER)
