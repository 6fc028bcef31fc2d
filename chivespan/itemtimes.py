"""Measures the time a batch item spends in each phase, from acceptance to result.

The times let on-call engineers diagnose a late item: it waited for a slot, ran, was
interrupted and waited again, lost its node, or was done and waited to be written. The
owner of a partition keeps these times for the items whose results it writes.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

from chivespan.clock import MILLISECOND


class ItemPhase(StrEnum):
    """The phase that an item is in.

    ``waiting``: not started yet. ``running``: sent to a node to run. ``paused``:
    interrupted, refused or failed, and waiting to resume. ``lost``: its node was lost,
    and it waits for a restart. ``listing``: its result is being written.
    """

    waiting = "waiting"
    running = "running"
    paused = "paused"
    lost = "lost"
    listing = "listing"


@dataclass(slots=True)
class ItemTimes:
    """The time that one item has spent in each phase.

    :ivar entered: start of the current phase, on the monotonic clock.
    :ivar runs: number of times the item was started.
    :ivar lost_events: number of events lost together with their node.

    >>> times = ItemTimes(timedelta(seconds=1))
    >>> times.enter(ItemPhase.running, timedelta(seconds=3))
    >>> times.enter(ItemPhase.listing, timedelta(seconds=7))
    >>> times.milliseconds()
    {'waiting_ms': 2000, 'running_ms': 4000}
    """

    entered: timedelta
    phase: ItemPhase = ItemPhase.waiting
    runs: int = 0
    lost_events: int = 0
    _spent: dict[ItemPhase, timedelta] = field(default_factory=dict)

    @property
    def spent(self) -> dict[ItemPhase, timedelta]:
        """Time spent in each phase, without the current one."""
        return self._spent

    def enter(self, phase: ItemPhase, now: timedelta) -> None:
        """End the current phase and enter another one, or the same one again."""
        before = self._spent.get(self.phase, timedelta(0))
        self._spent[self.phase] = before + (now - self.entered)
        self.phase = phase
        self.entered = now
        if phase is ItemPhase.running:
            self.runs += 1

    def record_node_loss(self, events: int, now: timedelta) -> None:
        """Record that the node was lost, with events that exist nowhere else."""
        self.lost_events += events
        self.enter(ItemPhase.lost, now)

    def milliseconds(self) -> dict[str, int]:
        """Return the time spent in each phase, as log fields."""
        return {
            f"{phase.value}_ms": spent // MILLISECOND
            for phase, spent in self._spent.items()
        }
