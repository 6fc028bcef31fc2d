"""The order in which a process requests a slot from slices.

Load reports are up to a second old, so an order by load alone would send all processes
to the same slice. Slices are therefore drawn at random, weighted by their free slots.
Each process tries a few preferred slices first, which keeps its number of links small.
"""

from collections.abc import Iterator
from random import Random

from chivespan.messages import GrantRequest, WorkClass
from chivespan.nodeview import NodeView
from chivespan.placement import ranked
from chivespan.settings import NodeSettings
from chivespan.slices import Slice

MAX_PREFERRED_SLICES = 4


class SliceChoice:
    """Orders the slices of a service for one process."""

    def __init__(self, settings: NodeSettings, view: NodeView, random: Random) -> None:
        self._settings = settings
        self._view = view
        self._random = random

    def candidates(self, request: GrantRequest) -> Iterator[Slice]:
        """Yield slices with free slots, local ones first, then full slices."""
        work_class = request.work_class
        slices = list(self._serving(request))
        local = [slice_ for slice_ in slices if self.is_local(slice_)]
        nearby = [slice_ for slice_ in slices if self._is_nearby(slice_)]
        preferred = self._preferred(local)
        others = [slice_ for slice_ in local if slice_ not in preferred]
        for group in (preferred, others, nearby):
            yield from self._by_free_slots(group, work_class)
        full = [
            slice_
            for slice_ in (local or nearby)
            if self._free_slots(slice_, work_class) <= 0
        ]
        yield from sorted(full, key=self._queue_length)

    def preferred_ids(self) -> Iterator[str]:
        """Yield the ids of the preferred slices of all services."""
        local = [
            slice_ for slice_ in self._view.slices.values() if self.is_local(slice_)
        ]
        for service in {slice_.service for slice_ in local}:
            slices = [slice_ for slice_ in local if slice_.service == service]
            yield from (slice_.slice_id for slice_ in self._preferred(slices))

    def is_local(self, slice_: Slice) -> bool:
        """Return whether a slice is in this process's data centre."""
        return slice_.data_centre == self._settings.data_centre

    def _serving(self, request: GrantRequest) -> Iterator[Slice]:
        for slice_ in self._view.slices.values():
            wanted = request.slice_id in ("", slice_.slice_id)
            if wanted and slice_.service == request.service:
                yield slice_

    def _is_nearby(self, slice_: Slice) -> bool:
        centre = self._view.configuration.data_centres.get(slice_.data_centre)
        in_region = centre is not None and centre.region == self._settings.region
        return in_region and not self.is_local(slice_)

    def _by_free_slots(
        self, slices: list[Slice], work_class: WorkClass
    ) -> Iterator[Slice]:
        """Yield the slices with free slots in random order, weighted by free slots."""
        free = {
            slice_.slice_id: self._free_slots(slice_, work_class) for slice_ in slices
        }
        keys = {
            slice_id: self._random.random() ** (1 / slots)
            for slice_id, slots in free.items()
            if slots > 0
        }
        chosen = [slice_ for slice_ in slices if slice_.slice_id in keys]
        yield from sorted(chosen, key=lambda slice_: -keys[slice_.slice_id])

    def _preferred(self, local: list[Slice]) -> list[Slice]:
        """Return the slices to try first, out of one service's local slices."""
        if len(local) <= MAX_PREFERRED_SLICES:
            return local
        ids = ranked(self._settings.vm, [slice_.slice_id for slice_ in local])
        return [
            slice_ for slice_ in local if slice_.slice_id in ids[:MAX_PREFERRED_SLICES]
        ]

    def _free_slots(self, slice_: Slice, work_class: WorkClass) -> int:
        """Return the slots available to a class; online work can preempt batch."""
        load = self._view.loads.get(slice_.slice_id)
        if load is None:
            return sum(runner.slots for runner in slice_.runners)
        preemptible = load.batch_running if work_class is WorkClass.online else 0
        return load.free_slots + preemptible - load.queued_online

    def _queue_length(self, slice_: Slice) -> float:
        load = self._view.loads.get(slice_.slice_id)
        if load is None or load.total_slots == 0:
            return 0.0
        return load.queued_online / load.total_slots
