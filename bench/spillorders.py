"""Orders in which the policy bench asks slices: one's own data centre, then others.

The product's own is ``chivespan.slicechoice``, whose loads are up to a second old.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import TypeAlias

from chivespan.messages import SliceLoad
from chivespan.registry import Registry
from chivespan.slices import Slice

UNKNOWN_DISTANCE = timedelta(milliseconds=50)
QUEUED_REQUEST_WEIGHT = 1.0


@dataclass(frozen=True, slots=True)
class SpillView:
    """What an asker knows when it chooses a slice.

    :param data_centre: the asker's own.
    :param slices: candidate slices, all of one service in one region.
    :param loads: last known load by slice id; late, and missing for some.
    :param distances: one-way latency to other data centres.
    """

    data_centre: str
    slices: Sequence[Slice]
    loads: Mapping[str, SliceLoad]
    distances: Mapping[str, timedelta]

    def load(self, part: Slice) -> SliceLoad:
        """Return a slice's load; all free where none is known."""
        total = sum(runner.slots for runner in part.runners)
        unknown = SliceLoad(
            slice_id=part.slice_id,
            free_slots=total,
            total_slots=total,
            queued_online=0,
        )
        return self.loads.get(part.slice_id, unknown)

    def distance(self, part: Slice) -> timedelta:
        """Return the one-way latency to a slice's data centre."""
        if part.data_centre == self.data_centre:
            return timedelta(0)
        return self.distances.get(part.data_centre, UNKNOWN_DISTANCE)


SpillOrder: TypeAlias = Callable[[SpillView], Iterator[Slice]]
SPILL_ORDERS: Registry[SpillOrder] = Registry("spill order")


@SPILL_ORDERS.register("own_only")
def own_only(view: SpillView) -> Iterator[Slice]:
    """Yield the slices of the own data centre, the least used first; never spill."""
    own = [part for part in view.slices if part.data_centre == view.data_centre]
    yield from sorted(own, key=lambda part: -available_share(view.load(part)))


@SPILL_ORDERS.register("nearest_with_room")
def nearest_with_room(view: SpillView) -> Iterator[Slice]:
    """Yield slices with room, the nearest first, then full ones, the least full first.

    Slots that batch holds count as room, since online work takes them back at once.
    """
    with_room = [part for part in view.slices if available_share(view.load(part)) > 0]
    full = [part for part in view.slices if available_share(view.load(part)) <= 0]
    yield from sorted(
        with_room,
        key=lambda part: (view.distance(part), -available_share(view.load(part))),
    )
    yield from sorted(full, key=lambda part: -available_share(view.load(part)))


def available_share(load: SliceLoad) -> float:
    """Return the part of a slice's slots open to online; below 0 when that queues.

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
