"""Where a batch item's time goes, from its acceptance to its listed result.

Of an item that is done late, on-call engineers ask whether it waited for a slot, ran,
was cut and waited again, lost its holder, or was done and not written. Each owner of a
partition keeps these times for the items that it lists.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

from chivespan.clock import MILLISECOND


class ItemPhase(StrEnum):
    """What an item does at a moment.

    ``waiting``: it has not been started yet. ``running``: a node was told to run it.
    ``paused``: it was cut, refused or failed, and waits to go on. ``lost``: its holder
    is gone, and it waits to begin again. ``listing``: its result is being written.
    """

    waiting = "waiting"
    running = "running"
    paused = "paused"
    lost = "lost"
    listing = "listing"


@dataclass(slots=True)
class ItemTimes:
    """The phases of one item so far.

    :ivar entered: when the present phase began, on the monotonic clock.
    :ivar runs: how often it was started.
    :ivar lost_events: events that went with lost holders.

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
        """The time in each phase that has ended."""
        return self._spent

    def enter(self, phase: ItemPhase, now: timedelta) -> None:
        """End the present phase and begin another one, or the same anew."""
        before = self._spent.get(self.phase, timedelta(0))
        self._spent[self.phase] = before + (now - self.entered)
        self.phase = phase
        self.entered = now
        if phase is ItemPhase.running:
            self.runs += 1

    def record_node_loss(self, events: int, now: timedelta) -> None:
        """Note that the holder is gone, with events that nobody else has."""
        self.lost_events += events
        self.enter(ItemPhase.lost, now)

    def milliseconds(self) -> dict[str, int]:
        """Return the time in each phase, as fields of a log line."""
        return {
            f"{phase.value}_ms": spent // MILLISECOND
            for phase, spent in self._spent.items()
        }
