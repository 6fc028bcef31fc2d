"""Orders in which the policy benchmark tries slices of a service.

The product itself uses ``chivespan.slicechoice``, whose load reports are up to one
second old.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeAlias

from chivespan.linkmessages import SliceLoad
from chivespan.registry import Registry
from chivespan.slices import Slice

UNKNOWN_DISTANCE = timedelta(milliseconds=50)
QUEUED_REQUEST_WEIGHT = 1.0


@dataclass(frozen=True, slots=True)
class SpillView:
    """Information that a requester has when it chooses a slice.

    :param data_centre: data centre of the requester.
    :param slices: candidate slices, all of one service in one region.
    :param loads: last reported load by slice id; delayed, and missing for some slices.
    :param distances: one-way latency to other data centres.
    """

    data_centre: str
    slices: Sequence[Slice]
    loads: Mapping[str, SliceLoad]
    distances: Mapping[str, timedelta]

    def load(self, part: Slice) -> SliceLoad:
        """Return a slice's reported load, or all slots free if there is no report."""
        total = sum(runner.slots for runner in part.runners)
        unknown = SliceLoad(
            slice_id=part.slice_id,
            free_slots=total,
            total_slots=total,
            queued_online=0,
        )
        return self.loads.get(part.slice_id, unknown)

    def distance(self, part: Slice) -> timedelta:
        """Return the one-way latency to the data centre of a slice."""
        if part.data_centre == self.data_centre:
            return timedelta(0)
        return self.distances.get(part.data_centre, UNKNOWN_DISTANCE)


SpillOrder: TypeAlias = Callable[[SpillView], Iterator[Slice]]
SPILL_ORDERS: Registry[SpillOrder] = Registry("spill order")


@SPILL_ORDERS.register("own_only")
def own_only(view: SpillView) -> Iterator[Slice]:
    """Yield the slices of the requester's data centre only, least used first."""
    own = [part for part in view.slices if part.data_centre == view.data_centre]
    yield from sorted(own, key=lambda part: -available_share(view.load(part)))


@SPILL_ORDERS.register("nearest_with_room")
def nearest_with_room(view: SpillView) -> Iterator[Slice]:
    """Yield slices with free slots, nearest first, then full ones, least loaded first.

    Slots held by batch count as free, since online requests preempt batch at once.
    """
    with_room = [part for part in view.slices if available_share(view.load(part)) > 0]
    full = [part for part in view.slices if available_share(view.load(part)) <= 0]
    yield from sorted(
        with_room,
        key=lambda part: (view.distance(part), -available_share(view.load(part))),
    )
    yield from sorted(full, key=lambda part: -available_share(view.load(part)))


def available_share(load: SliceLoad) -> float:
    """Return the share of slots available to online requests.

    The result is negative if more online requests are queued than slots are available.

    >>> available_share(SliceLoad(slice_id="s", free_slots=1, total_slots=8,
    ...                           queued_online=0, batch_running=3))
    0.5
    """
    open_slots = (
        load.free_slots
        + load.batch_running
        - QUEUED_REQUEST_WEIGHT * load.queued_online
    )
    return open_slots / max(1, load.total_slots)
