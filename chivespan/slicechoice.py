"""Which slices a process asks for a slot, and in which order.

Loads are up to a second old, so an order by load alone would send every process to the
same slice; slices are drawn at random, weighted by their free slots. Each process asks
a few home slices first, which keeps the number of its links small.
"""

from collections.abc import Iterator
from random import Random

from chivespan.messages import GrantRequest, WorkClass
from chivespan.nodeview import NodeView
from chivespan.placement import ranked
from chivespan.settings import NodeSettings
from chivespan.slices import Slice

HOME_SLICES = 4


class SliceChoice:
    """Orders the slices of a service for one process."""

    def __init__(self, settings: NodeSettings, view: NodeView, random: Random) -> None:
        self._settings = settings
        self._view = view
        self._random = random

    def candidates(self, request: GrantRequest) -> Iterator[Slice]:
        """Yield slices: with free slots here, then near, then those to queue at."""
        work_class = request.work_class
        parts = list(self._serving(request))
        here = [part for part in parts if self.is_local(part)]
        near = [part for part in parts if self._is_near(part)]
        homes = self._homes(here)
        others = [part for part in here if part not in homes]
        for group in (homes, others, near):
            yield from self._by_free_slots(group, work_class)
        full = [p for p in (here or near) if self._free_slots(p, work_class) <= 0]
        yield from sorted(full, key=self._queue_length)

    def preferred_ids(self) -> Iterator[str]:
        """Yield the ids of the home slices of all services."""
        here = [part for part in self._view.slices.values() if self.is_local(part)]
        for service in {part.service for part in here}:
            parts = [part for part in here if part.service == service]
            yield from (part.slice_id for part in self._homes(parts))

    def is_local(self, part: Slice) -> bool:
        """Return whether a slice is in this process's data centre."""
        return part.data_centre == self._settings.data_centre

    def _serving(self, request: GrantRequest) -> Iterator[Slice]:
        for part in self._view.slices.values():
            wanted = request.slice_id in ("", part.slice_id)
            if wanted and part.service == request.service:
                yield part

    def _is_near(self, part: Slice) -> bool:
        centre = self._view.configuration.data_centres.get(part.data_centre)
        in_region = centre is not None and centre.region == self._settings.region
        return in_region and not self.is_local(part)

    def _by_free_slots(
        self, parts: list[Slice], work_class: WorkClass
    ) -> Iterator[Slice]:
        """Yield the slices with free slots, in random order weighted by these."""
        free = {part.slice_id: self._free_slots(part, work_class) for part in parts}
        keys = {
            slice_id: self._random.random() ** (1 / slots)
            for slice_id, slots in free.items()
            if slots > 0
        }
        chosen = [part for part in parts if part.slice_id in keys]
        yield from sorted(chosen, key=lambda part: -keys[part.slice_id])

    def _homes(self, here: list[Slice]) -> list[Slice]:
        """Return the slices to ask first, out of one service's slices here."""
        if len(here) <= HOME_SLICES:
            return here
        ids = ranked(self._settings.vm, [part.slice_id for part in here])
        return [part for part in here if part.slice_id in ids[:HOME_SLICES]]

    def _free_slots(self, part: Slice, work_class: WorkClass) -> int:
        """Return the slots open to a class; online work takes batch's back."""
        load = self._view.loads.get(part.slice_id)
        if load is None:
            return sum(runner.slots for runner in part.runners)
        taken_back = load.batch_running if work_class is WorkClass.online else 0
        return load.free_slots + taken_back - load.queued_online

    def _queue_length(self, part: Slice) -> float:
        load = self._view.loads.get(part.slice_id)
        if load is None or load.total_slots == 0:
            return 0.0
        return load.queued_online / load.total_slots
