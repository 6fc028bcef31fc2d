"""Limits how many batch items may run at each target beside online requests.

While the slots that bursts of online requests leave free suffice to finish all items in
time, items start only in those slots. Otherwise they start in every free slot except
the one reserved on each target for the next online request. No slot is reserved where
that would leave items none at all.
"""

import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from math import floor
from typing import TypeAlias

from chivespan.nodemessages import TargetEntry
from chivespan.registry import Registry

# Slots kept free for the next online request at a target of which all may be used.
RESERVED_SLOTS_PER_TARGET = 1
FIXED_ITEMS_PER_TARGET = 6


@dataclass(slots=True)
class TargetCapacity:
    """The slots of one target and their use.

    :ivar batch: items that run at the target or are being started.
    :ivar online_peak: slots that a burst of online requests takes at the target.
    :ivar rate_room: items that the target's rate limit allows now; None without one.
    :ivar speed: speed of the target relative to the median of its service.
    """

    entry: TargetEntry
    slots: int
    online: int
    batch: int
    online_peak: float = 0.0
    rate_room: int | None = None
    speed: float = 1.0

    @property
    def is_limited(self) -> bool:
        """Whether the target has a rate limit."""
        return self.rate_room is not None

    @property
    def free(self) -> int:
        """Slots in use by neither online requests nor batch items."""
        return max(0, self.slots - self.online - self.batch)

    @property
    def reserved(self) -> int:
        """Slots kept free for the next online request.

        None if the target has only one, or if its health withholds some: these stay
        free anyway, and a target that gets no online request recovers through items.
        """
        is_reserved = self.slots >= self.entry.slots > 1
        return RESERVED_SLOTS_PER_TARGET if is_reserved else 0

    @property
    def available(self) -> int:
        """Slots that batch may use now, without the reserved slot."""
        slots = self.slots - self.online - self.batch - self.reserved
        return slots if self.rate_room is None else min(slots, self.rate_room)

    @property
    def available_at_peak(self) -> int:
        """Slots that batch may use now and during the next burst."""
        return min(self.available, floor(self.slots - self.online_peak - self.batch))

    def run_time(self, remaining: timedelta) -> timedelta:
        """Return how long an item runs here.

        :param remaining: its remaining run time at a target of usual speed.
        """
        return remaining / self.speed

    def add_item(self) -> None:
        """Count an item that is started."""
        self.batch += 1
        if self.rate_room is not None:
            self.rate_room -= 1


# The second argument says whether items are behind schedule.
CapacityFunction: TypeAlias = Callable[[TargetCapacity, bool], int]


@dataclass(frozen=True, slots=True)
class CapacityPolicy:
    """Limits how many more items may start at targets.

    :param of_target: returns the number for one target.
    :param keeps_reserve: whether the targets of a service together keep as many slots
        free as they reserve one by one; those with a rate limit need no reserve.
    """

    of_target: CapacityFunction
    keeps_reserve: bool

    def __call__(self, target: TargetCapacity, behind_schedule: bool) -> int:
        """Return how many more items may start at a target."""
        return self.of_target(target, behind_schedule)

    def of_all(self, targets: Iterable[TargetCapacity]) -> int:
        """Return how many more may start at all targets of a service without limit."""
        of_service = [target for target in targets if not target.is_limited]
        left = sum(target.free - target.reserved for target in of_service)
        return left if self.keeps_reserve else sys.maxsize


BATCH_CAPACITY_POLICIES: Registry[CapacityPolicy] = Registry("batch room")


def register_capacity_policy(
    name: str, *, keeps_reserve: bool = True
) -> Callable[[CapacityFunction], CapacityPolicy]:
    """Register the decorated capacity function as a policy of the given name."""

    def register(of_target: CapacityFunction) -> CapacityPolicy:
        return BATCH_CAPACITY_POLICIES.register(name)(
            CapacityPolicy(of_target, keeps_reserve)
        )

    return register


@register_capacity_policy("below_peaks")
def below_peaks(target: TargetCapacity, behind_schedule: bool) -> int:
    """Return the slots left by online requests; if on schedule, at their peak."""
    return target.available if behind_schedule else target.available_at_peak


@register_capacity_policy("spare_slots")
def spare_slots(target: TargetCapacity, behind_schedule: bool) -> int:
    """Return the slots left by online requests now; a baseline for comparison."""
    return target.available


@register_capacity_policy("fixed_items", keeps_reserve=False)
def fixed_items(target: TargetCapacity, behind_schedule: bool) -> int:
    """Return a fixed number minus the running items; a baseline for comparison."""
    return FIXED_ITEMS_PER_TARGET - target.batch
