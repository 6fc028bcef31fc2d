"""Assigns waiting batch items to targets and nodes.

Items are scheduled earliest deadline first. Items that can no longer meet their
deadline come after all that can, so that one late job doesn't delay the next. While the
slots that bursts of online requests leave free suffice to finish all items in time,
items start only in those slots. Otherwise they start in every free slot except the one
reserved on each target for the next online request. No item starts in a slot that is
free only momentarily during a burst. Where online demand is known to rise and fall in
steps, items that end before the next rise also start in all of those slots, and none
starts just before a rise. Batch thus uses the capacity that online requests leave, and
never queues at a target. No slot is reserved where that would leave items none at all.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import partial
from types import MappingProxyType
from typing import TypeAlias

from chivespan.batchcapacity import CapacityPolicy, TargetCapacity, below_peaks
from chivespan.demandsteps import RISE_MARGIN
from chivespan.nodemessages import TargetEntry

# The rest of an item's time is kept for runs that yield or fail.
PLANNED_SHARE_OF_TIME = 0.5
# For late items of routes that never abandon items.
LATE_ITEM_TIME_LEFT = timedelta(seconds=60)
NO_RISES: Mapping[str, timedelta] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item that is ready to run.

    :param host: that of its route.
    :param due: deadline for the results of its job.
    :param abandoned_at: when the item is abandoned; None for never.
    :param holder: VM of the node that holds its partial output; empty for none.
    :param order: position within its job.
    :param will_be_late: whether it would miss its deadline even if started now.
    :param remaining: estimated remaining run time at a target of usual speed.
    """

    partition: int
    job_id: str
    item_id: str
    host: str
    service: str
    due: datetime
    order: int
    holder: str = ""
    will_be_late: bool = False
    remaining: timedelta = timedelta(0)
    abandoned_at: datetime | None = None

    def time_left(self, now: datetime) -> timedelta:
        """Return the time until it is due, or until it is abandoned if it is late."""
        if not self.will_be_late:
            return self.due - now
        return (
            LATE_ITEM_TIME_LEFT
            if self.abandoned_at is None
            else self.abandoned_at - now
        )

    @property
    def sort_key(self) -> tuple[bool, datetime, str, int]:
        """Scheduling order: the smallest key runs first."""
        return (self.will_be_late, self.due, self.job_id, self.order)


@dataclass(slots=True)
class NodeLoad:
    """One node that can run items.

    :ivar items: items that it runs or is starting.
    """

    vm: str
    data_centre: str
    items: int


@dataclass(frozen=True, slots=True)
class Placement:
    """The assignment of an item to a target and to the node that runs it.

    :param speed: speed of the target relative to the median of its service.
    """

    item: WaitingItem
    entry: TargetEntry
    vm: str
    speed: float = 1.0


CapacityOfTarget: TypeAlias = Callable[[TargetCapacity], int]


def by_service(targets: Iterable[TargetCapacity]) -> Mapping[str, list[TargetCapacity]]:
    """Group targets by service."""
    grouped: dict[str, list[TargetCapacity]] = defaultdict(list)
    for target in targets:
        grouped[target.entry.service].append(target)
    return grouped


def has_capacity(
    targets: Iterable[TargetCapacity], capacity_policy: CapacityPolicy
) -> bool:
    """Return whether any item could start if items were behind schedule."""
    return any(
        _has_room(of_service, capacity_policy)
        for of_service in by_service(targets).values()
    )


def _has_room(
    of_service: Sequence[TargetCapacity], capacity_policy: CapacityPolicy
) -> bool:
    """Return whether any item could start at the targets of one service."""
    if capacity_policy.of_all(of_service) <= 0:
        of_service = [target for target in of_service if target.is_limited]
    return any(
        capacity_policy(target, behind_schedule=True) > 0 for target in of_service
    )


def is_behind_schedule(
    items: Iterable[WaitingItem], targets: Sequence[TargetCapacity], now: datetime
) -> bool:
    """Return whether items need more slots than online bursts leave free.

    They don't if those slots, used in order of deadline, finish every item within half
    of the time that it has left. Late items have until they are abandoned.
    """
    slots = sum(
        max(0.0, target.slots - target.online_peak) * target.speed for target in targets
    )
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
    rises: Mapping[str, timedelta] = NO_RISES,
) -> Iterator[Placement]:
    """Yield the items to start now; updates the counts of ``targets`` and ``nodes``.

    :param rises: time until the next rise of online demand, of services where it is low
        and the next rise is known.
    """
    ordered = sorted(items, key=lambda item: item.sort_key)
    behind_schedule = is_behind_schedule(ordered, targets, now)
    grouped = by_service(targets)
    left = {
        service: capacity_policy.of_all(of_service)
        for service, of_service in grouped.items()
    }
    open_targets = _OpenTargets(_without_rise(grouped, rises), capacity_policy)
    holders = {node.vm: node for node in nodes}
    for item in ordered if nodes and grouped else ():
        in_time = _ending_before_rise(item, open_targets, rises)
        uses_all_slots = behind_schedule or bool(in_time)
        candidates = in_time or open_targets.of(item.service, uses_all_slots)
        usable = _usable(candidates, left.get(item.service, 0))
        if not usable:
            continue
        holder = holders.get(item.holder)
        capacity_of = partial(capacity_policy, behind_schedule=uses_all_slots)
        target = _best_target(usable, holder, capacity_of)
        node = holder or _best_node(nodes, target)
        left[item.service] -= not target.is_limited
        open_targets.add_item(target)
        node.items += 1
        yield Placement(item, target.entry, node.vm, target.speed)


def _without_rise(
    grouped: Mapping[str, list[TargetCapacity]], rises: Mapping[str, timedelta]
) -> Mapping[str, list[TargetCapacity]]:
    """Leave out the targets of services whose online demand is about to rise.

    Those with a rate limit stay: online requests have no use for all of their slots.
    """
    return {
        service: of_service
        if rises.get(service, RISE_MARGIN) >= RISE_MARGIN
        else [target for target in of_service if target.is_limited]
        for service, of_service in grouped.items()
    }


class _OpenTargets:
    """The targets at which items may start, computed when they are first needed.

    :param targets: the targets of each service.
    """

    def __init__(
        self,
        targets: Mapping[str, Sequence[TargetCapacity]],
        capacity_policy: CapacityPolicy,
    ) -> None:
        self._targets = targets
        self._capacity_policy = capacity_policy
        self._open: dict[tuple[str, bool], list[TargetCapacity]] = {}

    def of(self, service: str, uses_all_slots: bool) -> Sequence[TargetCapacity]:
        """Return the targets of a service at which an item may start.

        :param uses_all_slots: whether the item may also use the slots that online
            requests took in their last peak.
        """
        key = (service, uses_all_slots)
        if key not in self._open:
            of_service = self._targets.get(service, ())
            self._open[key] = [
                each
                for each in of_service
                if self._capacity_policy(each, uses_all_slots) > 0
            ]
        return self._open[key]

    def add_item(self, target: TargetCapacity) -> None:
        """Count an item that is started at a target."""
        target.add_item()
        for (service, uses_all_slots), targets in self._open.items():
            if service != target.entry.service or target not in targets:
                continue
            if self._capacity_policy(target, uses_all_slots) <= 0:
                targets.remove(target)


def _ending_before_rise(
    item: WaitingItem, targets: _OpenTargets, rises: Mapping[str, timedelta]
) -> Sequence[TargetCapacity]:
    """Return the targets at which an item would end while online demand is low."""
    if item.service not in rises:
        return ()
    rise = rises[item.service]
    candidates = targets.of(item.service, uses_all_slots=True)
    return [each for each in candidates if each.run_time(item.remaining) < rise]


def _usable(
    candidates: Sequence[TargetCapacity], left: int
) -> Sequence[TargetCapacity]:
    """Return the targets at which an item may start; limited ones, if there are any.

    An item takes one request of a limited target's rate, but a slot for as long as many
    online requests, which have no other use for the slots of limited targets.

    :param left: how many more items may start at the other targets.
    """
    limited = [target for target in candidates if target.is_limited]
    return limited or (candidates if left > 0 else [])


def _best_target(
    candidates: Sequence[TargetCapacity],
    holder: NodeLoad | None,
    capacity_of: CapacityOfTarget,
) -> TargetCapacity:
    """Return the target with the most capacity; of those, the fastest.

    Prefers targets in the data centre of the node that holds the item.
    """
    if holder is not None:
        local = [
            target
            for target in candidates
            if target.entry.data_centre == holder.data_centre
        ]
        candidates = local or candidates
    return max(candidates, key=lambda target: (capacity_of(target), target.speed))


def _best_node(nodes: Sequence[NodeLoad], target: TargetCapacity) -> NodeLoad:
    """Return the node with the fewest items; prefers the target's data centre."""
    local = [node for node in nodes if node.data_centre == target.entry.data_centre]
    return min(local or nodes, key=lambda node: (node.items, node.vm))
