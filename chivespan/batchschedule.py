"""Which batch items run, at which target and on which node.

Items go by the time at which they are due; those that can't be done by then go behind
all that can, so that being late isn't handed on from job to job. While there is time to
do all of them in what bursts of online requests leave, they start only there. When time
runs short, they start wherever a slot is free beyond the one that the next online
request takes. In a burst none starts at the few slots that are free for a moment. Batch
thereby fills what online work leaves, and never waits at a target.
"""

import sys
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import partial
from math import floor
from typing import TypeAlias

from chivespan.nodemessages import TargetEntry
from chivespan.registry import Registry

RESERVED_SLOTS_PER_TARGET = 1
FIXED_ITEMS_PER_TARGET = 6
# Runs that yield or fail take the rest.
PLANNED_SHARE_OF_TIME = 0.5
# For items that are late already, of routes on which none is ever given up.
LATE_ITEM_TIME_LEFT = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item that could run.

    :param due: when its job's results are due.
    :param abandoned_at: when it will be given up; None for never.
    :param holder: the node that holds what it has produced; empty for none.
    :param order: its place within its job.
    :param will_be_late: whether it can't be done in time even if it starts now.
    :param remaining: how long it is likely to run yet.
    """

    partition: int
    job_id: str
    item_id: str
    service: str
    due: datetime
    order: int
    holder: str = ""
    will_be_late: bool = False
    remaining: timedelta = timedelta(0)
    abandoned_at: datetime | None = None

    def time_left(self, now: datetime) -> timedelta:
        """Return the time in which it is of most use yet."""
        if not self.will_be_late:
            return self.due - now
        return (
            LATE_ITEM_TIME_LEFT
            if self.abandoned_at is None
            else self.abandoned_at - now
        )

    @property
    def sort_key(self) -> tuple[bool, datetime, str, int]:
        """What items are sorted by, the first to run first."""
        return (self.will_be_late, self.due, self.job_id, self.order)


@dataclass(slots=True)
class TargetCapacity:
    """One target and what uses it.

    :ivar batch: items that run there, or are about to.
    :ivar online_peak: slots that a burst of online requests takes there.
    """

    entry: TargetEntry
    slots: int
    online: int
    batch: int
    online_peak: float = 0.0

    @property
    def free(self) -> int:
        """Slots that nothing takes now."""
        return max(0, self.slots - self.online - self.batch)

    @property
    def available(self) -> int:
        """Slots that batch may take now."""
        return self.slots - self.online - self.batch - RESERVED_SLOTS_PER_TARGET

    @property
    def available_at_peak(self) -> int:
        """Slots that batch may take now without standing in the way of a burst."""
        return min(self.available, floor(self.slots - self.online_peak - self.batch))


@dataclass(slots=True)
class NodeLoad:
    """One node that can run items.

    :ivar items: items that it runs, or is about to.
    """

    vm: str
    data_centre: str
    items: int


@dataclass(frozen=True, slots=True)
class Placement:
    """An item to be run at a target by a node."""

    item: WaitingItem
    entry: TargetEntry
    vm: str


CapacityOfTarget: TypeAlias = Callable[[TargetCapacity], int]
# Of one target, for items that are in a hurry or have time.
CapacityFunction: TypeAlias = Callable[[TargetCapacity, bool], int]


@dataclass(frozen=True, slots=True)
class CapacityPolicy:
    """How many more items targets take.

    :param of_target: gives the number for one target.
    :param keeps_reserve: whether all targets together keep a slot for each of them.
    """

    of_target: CapacityFunction
    keeps_reserve: bool

    def __call__(self, room: TargetCapacity, behind_schedule: bool) -> int:
        """Return how many more items a target takes."""
        return self.of_target(room, behind_schedule)

    def of_all(self, targets: Iterable[TargetCapacity]) -> int:
        """Return how many more items the targets of one service take together."""
        rooms = list(targets)
        free = sum(room.free for room in rooms)
        return (
            free - RESERVED_SLOTS_PER_TARGET * len(rooms)
            if self.keeps_reserve
            else sys.maxsize
        )


BATCH_CAPACITY_POLICIES: Registry[CapacityPolicy] = Registry("batch room")


def register_capacity_policy(
    name: str, *, keeps_reserve: bool = True
) -> Callable[[CapacityFunction], CapacityPolicy]:
    """Register the room of a target as a policy."""

    def register(of_target: CapacityFunction) -> CapacityPolicy:
        return BATCH_CAPACITY_POLICIES.register(name)(
            CapacityPolicy(of_target, keeps_reserve)
        )

    return register


@register_capacity_policy("below_peaks")
def below_peaks(room: TargetCapacity, behind_schedule: bool) -> int:
    """Return what online work leaves, at its peaks too while there is time."""
    return room.available if behind_schedule else room.available_at_peak


@register_capacity_policy("spare_slots")
def spare_slots(room: TargetCapacity, behind_schedule: bool) -> int:
    """Return what online work leaves now; for comparison."""
    return room.available


@register_capacity_policy("fixed_items", keeps_reserve=False)
def fixed_items(room: TargetCapacity, behind_schedule: bool) -> int:
    """Return a fixed number less what runs; for comparison."""
    return FIXED_ITEMS_PER_TARGET - room.batch


def by_service(targets: Iterable[TargetCapacity]) -> Mapping[str, list[TargetCapacity]]:
    """Return the targets of each service."""
    found: dict[str, list[TargetCapacity]] = defaultdict(list)
    for target in targets:
        found[target.entry.service].append(target)
    return found


def has_capacity(
    targets: Iterable[TargetCapacity], capacity_policy: CapacityPolicy
) -> bool:
    """Return whether any item could start, were it in a hurry."""
    return any(
        capacity_policy.of_all(rooms) > 0
        and any(capacity_policy(room, behind_schedule=True) > 0 for room in rooms)
        for rooms in by_service(targets).values()
    )


def is_behind_schedule(
    items: Iterable[WaitingItem], targets: Sequence[TargetCapacity], now: datetime
) -> bool:
    """Return whether items need more than the slots that bursts leave.

    They don't while those slots do all of them, in the order in which they are due, in
    half of the time that each has. Items that are late have until they are given up.
    """
    slots = sum(max(0.0, target.slots - target.online_peak) for target in targets)
    work = timedelta(0)
    for item in items:
        work += item.remaining
        if work > item.time_left(now) * PLANNED_SHARE_OF_TIME * slots:
            return True
    return False


def place_items(
    items: Iterable[WaitingItem],
    targets: Sequence[TargetCapacity],
    nodes: Sequence[NodeLoad],
    now: datetime,
    capacity_policy: CapacityPolicy = below_peaks,
) -> Iterator[Placement]:
    """Yield what to start now; the rooms given are filled meanwhile."""
    ordered = sorted(items, key=lambda item: item.sort_key)
    room_for = partial(
        capacity_policy, behind_schedule=is_behind_schedule(ordered, targets, now)
    )
    rooms_of = by_service(targets)
    left = {
        service: capacity_policy.of_all(rooms) for service, rooms in rooms_of.items()
    }
    open_rooms = {
        service: [room for room in rooms if room_for(room) > 0]
        for service, rooms in rooms_of.items()
    }
    holders = {node.vm: node for node in nodes}
    for item in ordered if nodes and open_rooms else ():
        fitting = open_rooms.get(item.service, [])
        if not fitting or left[item.service] <= 0:
            continue
        left[item.service] -= 1
        holder = holders.get(item.holder)
        room = _best_room(fitting, holder, room_for)
        node = holder or _best_node(nodes, room)
        room.batch += 1
        node.items += 1
        if room_for(room) <= 0:
            fitting.remove(room)
        yield Placement(item, room.entry, node.vm)


def _best_room(
    fitting: Sequence[TargetCapacity],
    holder: NodeLoad | None,
    room_for: CapacityOfTarget,
) -> TargetCapacity:
    """Return the target with the most room, near the item's holder if it can be."""
    if holder is not None:
        near = [
            room for room in fitting if room.entry.data_centre == holder.data_centre
        ]
        fitting = near or fitting
    return max(fitting, key=room_for)


def _best_node(nodes: Sequence[NodeLoad], room: TargetCapacity) -> NodeLoad:
    """Return the node with the fewest items, near the target if it can be."""
    near = [node for node in nodes if node.data_centre == room.entry.data_centre]
    return min(near or nodes, key=lambda node: (node.items, node.vm))
