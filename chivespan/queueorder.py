"""Who goes next: the order in which waiting requests are offered free slots.

Each owner's requests wait in a lane of their own, sorted by deadline, so that an order
compares owners and not every request.
"""

import heapq
from bisect import insort
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple, TypeAlias

from chivespan.registry import Registry
from chivespan.waiting import Waiter

SETTLED_KEPT = 64


@dataclass(slots=True)
class Lane:
    """The waiting requests of one owner.

    :param weight: the owner's share against others, from the rules.
    :param held: slots that the owner holds now.
    """

    owner: str
    weight: int = 1
    held: int = 0
    waiters: list[Waiter] = field(default_factory=list)

    def drop_settled_head(self) -> None:
        """Forget the settled requests before the first one still waiting."""
        del self.waiters[: self.first_from(0)]

    def first_from(self, place: int) -> int:
        """Return the place of the first request still waiting, from ``place`` on."""
        while place < len(self.waiters) and self.waiters[place].settled:
            place += 1
        return place


class Standing(NamedTuple):
    """How early a lane's next request goes; the smallest first."""

    share: float
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class FairView:
    """What an order may compare lanes by.

    :param total_slots: slots that the lanes compete for.
    :param total_weight: sum of the weights of all lanes with waiting requests.
    """

    total_slots: int
    total_weight: int


QueueOrder: TypeAlias = Callable[[Lane, int, Waiter, FairView], Standing]
QUEUE_ORDERS: Registry[QueueOrder] = Registry("queue order")


@QUEUE_ORDERS.register("deadline")
def by_deadline(lane: Lane, held: int, waiter: Waiter, view: FairView) -> Standing:
    """Order by deadline alone."""
    return Standing(0.0, waiter.deadline)


@QUEUE_ORDERS.register("deadline_fair")
def by_deadline_fair(lane: Lane, held: int, waiter: Waiter, view: FairView) -> Standing:
    """Order by deadline, but owners above their share of the slots come last."""
    share = view.total_slots * lane.weight / view.total_weight
    return Standing(float(held >= share), waiter.deadline)


@QUEUE_ORDERS.register("fair")
def by_share(lane: Lane, held: int, waiter: Waiter, view: FairView) -> Standing:
    """Order by slots held for each unit of weight; one owner's work by deadline."""
    return Standing(held / lane.weight, waiter.deadline)


class _Next(NamedTuple):
    standing: Standing
    lane: int
    place: int
    taken: int


class WaitQueue:
    """All waiting requests of one class."""

    def __init__(self, order: QueueOrder) -> None:
        self._order = order
        self._lanes: dict[str, Lane] = {}
        self._waiting = 0
        self._settled = 0

    def __len__(self) -> int:
        return self._waiting

    def __iter__(self) -> Iterator[Waiter]:
        for lane in self._lanes.values():
            yield from (waiter for waiter in lane.waiters if not waiter.settled)

    def push(self, waiter: Waiter, weight: int) -> None:
        """Let a request wait.

        :param weight: its owner's share against others.
        """
        if self._settled > SETTLED_KEPT + self._waiting:
            self._clean()
        owner = waiter.request.owner
        lane = self._lanes.setdefault(owner, Lane(owner))
        lane.weight = max(1, weight)
        insort(lane.waiters, waiter, key=lambda waiting: waiting.deadline)
        self._waiting += 1

    def mark_settled(self, waiter: Waiter) -> None:
        """Count a request out, whose wait is over."""
        self._waiting -= 1
        self._settled += 1

    def overdue(self, now: timedelta) -> list[Waiter]:
        """Return the requests whose deadline has passed."""
        return [waiter for waiter in self._up_to(now) if not waiter.settled]

    def in_order(
        self, held: Callable[[str], int], total_slots: int
    ) -> Iterator[Waiter]:
        """Yield who goes next; counts on each one yielded being given a slot.

        :param held: slots that an owner holds now.
        """
        lanes = list(self._lanes.values())
        for lane in lanes:
            lane.drop_settled_head()
            lane.held = held(lane.owner)
        lanes = [lane for lane in lanes if lane.waiters]
        view = FairView(total_slots, sum(lane.weight for lane in lanes))
        heads = [self._next(lanes, view, index, 0, 0) for index in range(len(lanes))]
        heap = [head for head in heads if head is not None]
        heapq.heapify(heap)
        while heap:
            head = heapq.heappop(heap)
            yield lanes[head.lane].waiters[head.place]
            follower = self._next(
                lanes, view, head.lane, head.place + 1, head.taken + 1
            )
            if follower is not None:
                heapq.heappush(heap, follower)

    def _up_to(self, now: timedelta) -> Iterator[Waiter]:
        for lane in self._lanes.values():
            for waiter in lane.waiters:
                if waiter.deadline > now:
                    break
                yield waiter

    def _next(
        self, lanes: Sequence[Lane], view: FairView, index: int, place: int, taken: int
    ) -> _Next | None:
        lane = lanes[index]
        place = lane.first_from(place)
        if place == len(lane.waiters):
            return None
        waiter = lane.waiters[place]
        standing = self._order(lane, lane.held + taken, waiter, view)
        return _Next(standing, index, place, taken)

    def _clean(self) -> None:
        for lane in self._lanes.values():
            lane.waiters = [each for each in lane.waiters if not each.settled]
        self._lanes = {
            owner: lane for owner, lane in self._lanes.items() if lane.waiters
        }
        self._settled = 0
