"""The order in which waiting requests are offered free slots.

Each owner has its own queue, sorted by deadline, so that an ordering policy compares
one request per owner instead of all requests.
"""

import heapq
from bisect import insort
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple, TypeAlias

from chivespan.registry import Registry
from chivespan.waiting import Waiter

SETTLED_CLEANUP_THRESHOLD = 64


@dataclass(slots=True)
class OwnerQueue:
    """The waiting requests of one owner.

    :param weight: the owner's weight in fair sharing, from the rules.
    :param held: slots that the owner holds now.
    """

    owner: str
    weight: int = 1
    held: int = 0
    waiters: list[Waiter] = field(default_factory=list)

    def drop_settled_prefix(self) -> None:
        """Remove the settled requests before the first one that still waits."""
        del self.waiters[: self.first_waiting(0)]

    def first_waiting(self, position: int) -> int:
        """Return the index of the first waiting request at or after ``position``."""
        while position < len(self.waiters) and self.waiters[position].settled:
            position += 1
        return position


class SortKey(NamedTuple):
    """Sort key of a queue's next request; the smallest key is served first.

    :param share: fair-share component, compared before the deadline.
    """

    share: float
    deadline: timedelta


@dataclass(frozen=True, slots=True)
class FairShareContext:
    """Totals that an ordering policy may relate a queue to.

    :param total_slots: slots that the queues compete for.
    :param total_weight: sum of the weights of all queues with waiting requests.
    """

    total_slots: int
    total_weight: int


QueueOrder: TypeAlias = Callable[[OwnerQueue, int, Waiter, FairShareContext], SortKey]
QUEUE_ORDERS: Registry[QueueOrder] = Registry("queue order")


@QUEUE_ORDERS.register("deadline")
def by_deadline(
    queue: OwnerQueue, held: int, waiter: Waiter, context: FairShareContext
) -> SortKey:
    """Order by deadline alone."""
    return SortKey(0.0, waiter.deadline)


@QUEUE_ORDERS.register("deadline_fair")
def by_deadline_fair(
    queue: OwnerQueue, held: int, waiter: Waiter, context: FairShareContext
) -> SortKey:
    """Order by deadline, with owners at or above their fair share of slots last."""
    share = context.total_slots * queue.weight / context.total_weight
    return SortKey(float(held >= share), waiter.deadline)


@QUEUE_ORDERS.register("fair")
def by_fair_share(
    queue: OwnerQueue, held: int, waiter: Waiter, context: FairShareContext
) -> SortKey:
    """Order by slots held per unit of weight, then by deadline."""
    return SortKey(held / queue.weight, waiter.deadline)


class _Candidate(NamedTuple):
    """Heap entry for the next request of one queue.

    :param queue: index of the queue.
    :param position: index of the request in the queue.
    :param granted: requests of the queue that were yielded before.
    """

    sort_key: SortKey
    queue: int
    position: int
    granted: int


class WaitQueue:
    """The waiting requests of one work class."""

    def __init__(self, order: QueueOrder) -> None:
        self._order = order
        self._queues: dict[str, OwnerQueue] = {}
        self._waiting = 0
        self._settled = 0

    def __len__(self) -> int:
        return self._waiting

    def __iter__(self) -> Iterator[Waiter]:
        for queue in self._queues.values():
            yield from (waiter for waiter in queue.waiters if not waiter.settled)

    def push(self, waiter: Waiter, weight: int) -> None:
        """Enqueue a request.

        :param weight: its owner's weight in fair sharing.
        """
        if self._settled > SETTLED_CLEANUP_THRESHOLD + self._waiting:
            self._remove_settled()
        owner = waiter.request.owner
        queue = self._queues.setdefault(owner, OwnerQueue(owner))
        queue.weight = max(1, weight)
        insort(queue.waiters, waiter, key=lambda waiting: waiting.deadline)
        self._waiting += 1

    def mark_settled(self, waiter: Waiter) -> None:
        """Stop counting a request as waiting; its entry is removed lazily."""
        self._waiting -= 1
        self._settled += 1

    def overdue(self, now: timedelta) -> list[Waiter]:
        """Return the requests whose deadline has passed."""
        return [waiter for waiter in self._due_by(now) if not waiter.settled]

    def in_order(
        self, held: Callable[[str], int], total_slots: int
    ) -> Iterator[Waiter]:
        """Yield the waiting requests in the order in which they are served.

        The order assumes that every request yielded before was granted a slot.

        :param held: returns the number of slots that an owner holds now.
        """
        queues = list(self._queues.values())
        for queue in queues:
            queue.drop_settled_prefix()
            queue.held = held(queue.owner)
        queues = [queue for queue in queues if queue.waiters]
        context = FairShareContext(total_slots, sum(queue.weight for queue in queues))
        candidates = [
            self._candidate(queues, context, index, 0, 0)
            for index in range(len(queues))
        ]
        heap = [candidate for candidate in candidates if candidate is not None]
        heapq.heapify(heap)
        while heap:
            candidate = heapq.heappop(heap)
            yield queues[candidate.queue].waiters[candidate.position]
            successor = self._candidate(
                queues,
                context,
                candidate.queue,
                candidate.position + 1,
                candidate.granted + 1,
            )
            if successor is not None:
                heapq.heappush(heap, successor)

    def _due_by(self, now: timedelta) -> Iterator[Waiter]:
        for queue in self._queues.values():
            for waiter in queue.waiters:
                if waiter.deadline > now:
                    break
                yield waiter

    def _candidate(
        self,
        queues: Sequence[OwnerQueue],
        context: FairShareContext,
        index: int,
        position: int,
        granted: int,
    ) -> _Candidate | None:
        queue = queues[index]
        position = queue.first_waiting(position)
        if position == len(queue.waiters):
            return None
        waiter = queue.waiters[position]
        sort_key = self._order(queue, queue.held + granted, waiter, context)
        return _Candidate(sort_key, index, position, granted)

    def _remove_settled(self) -> None:
        for queue in self._queues.values():
            queue.waiters = [each for each in queue.waiters if not each.settled]
        self._queues = {
            owner: queue for owner, queue in self._queues.items() if queue.waiters
        }
        self._settled = 0
