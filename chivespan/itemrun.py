"""What the owner of a partition knows of one item that has been started."""

from dataclasses import dataclass
from datetime import timedelta

from chivespan.clock import NO_WAIT
from chivespan.itemtimes import ItemPhase, ItemTimes


@dataclass(slots=True)
class ItemRun:
    """What the owner knows of an item that some node holds.

    :ivar times: where its time went.
    :ivar vm: the node that holds it; empty for none.
    :ivar target_id: where it runs; empty while it doesn't.
    :ivar failures: answers of targets that failed it.
    :ivar not_before: when it may be started again, on the monotonic clock.
    :ivar events: what a node that left has handed back.
    :ivar event_count: events that are there, here or at the node that holds it.
    :ivar started: when its last run began, on the monotonic clock.
    :ivar last_heard: when its node last spoke of it, or was told to run it.
    :ivar settled: whether its final result is known.
    """

    times: ItemTimes
    vm: str = ""
    target_id: str = ""
    failures: int = 0
    not_before: timedelta = NO_WAIT
    events: tuple[str, ...] = ()
    event_count: int = 0
    started: timedelta = NO_WAIT
    last_heard: timedelta = NO_WAIT
    settled: bool = False

    def after_node_loss(self, now: timedelta) -> "ItemRun":
        """Return what is left of the run once the node that holds it is lost."""
        self.times.record_node_loss(self.event_count - len(self.events), now)
        return ItemRun(
            self.times,
            failures=self.failures,
            events=self.events,
            event_count=len(self.events),
        )

    def start(self, vm: str, target_id: str, now: timedelta) -> None:
        """Note that a node is told to run it at a target."""
        self.vm = vm
        self.target_id = target_id
        self.started = self.last_heard = now
        self.times.enter(ItemPhase.running, now)

    def settle(self, now: timedelta) -> None:
        """Note that its final result is known and has to be written."""
        self.settled = True
        self.target_id = ""
        self.times.enter(ItemPhase.listing, now)
