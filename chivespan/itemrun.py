"""The state that a partition's owner keeps for each batch item it has started."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum

from chivespan.clock import NO_WAIT
from chivespan.itemquarantine import ItemBreaks
from chivespan.itemtimes import ItemPhase, ItemTimes
from chivespan.nodemessages import ItemState, ItemStatus

# A node whose link has broken has this long to come back and report its items.
RECONNECT_TIMEOUT = timedelta(milliseconds=500)
SILENCE_TIMEOUT = timedelta(seconds=3)


class ItemOutcome(StrEnum):
    """Why an item gets its final result; all but ``done`` mean that it is given up.

    ``impossible``: a target answered that it can never be done. ``attempts_failed``:
    its route allows no more attempts. ``too_old``: its route keeps it no longer.
    ``no_route``: neither its own path nor its job has a batch route any more.
    ``too_large``: the store can't hold its output.
    """

    done = "done"
    impossible = "impossible"
    attempts_failed = "attempts_failed"
    too_old = "too_old"
    no_route = "no_route"
    too_large = "too_large"


@dataclass(slots=True)
class ItemRun:
    """The execution state of a started item, as its partition's owner sees it.

    Points in time are on the monotonic clock.

    :ivar times: time spent in each phase.
    :ivar vm: the node that the item is assigned to; empty for none.
    :ivar target_id: the target it runs on; empty while it is not running.
    :ivar attempt: number of the last attempt, of those that this owner knows of.
    :ivar failed_attempts: numbers of the attempts that failed.
    :ivar not_before: earliest time of the next start.
    :ivar events: partial output returned by a node that was shut down.
    :ivar event_count: number of events produced so far, held by the owner or the node.
    :ivar started: start of the last run.
    :ivar speed: speed of the last run's target relative to the median of its service.
    :ivar last_heard: time of the node's last status for the item, or of its start.
    :ivar link_lost: when the link with the node broke; None if it has reported since.
    :ivar breaks: the runs that its targets broke off.
    :ivar held_back: part of its prompt because of which it waits; empty for none.
    :ivar outcome: why it gets its final result; None until that is known.
    """

    times: ItemTimes
    vm: str = ""
    target_id: str = ""
    attempt: int = 0
    failed_attempts: set[int] = field(default_factory=set)
    not_before: timedelta = NO_WAIT
    events: tuple[str, ...] = ()
    event_count: int = 0
    started: timedelta = NO_WAIT
    speed: float = 1.0
    last_heard: timedelta = NO_WAIT
    link_lost: timedelta | None = None
    breaks: ItemBreaks = field(default_factory=ItemBreaks)
    held_back: str = ""
    outcome: ItemOutcome | None = None

    @property
    def settled(self) -> bool:
        """Whether the final result is known."""
        return self.outcome is not None

    def after_node_loss(self, now: timedelta) -> "ItemRun":
        """Return the state without the lost node; failures and returned events stay."""
        self.times.record_node_loss(self.event_count - len(self.events), now)
        return ItemRun(
            self.times,
            attempt=self.attempt,
            failed_attempts=self.failed_attempts,
            events=self.events,
            event_count=len(self.events),
            breaks=self.breaks,
            held_back=self.held_back,
        )

    def start(self, vm: str, target_id: str, now: timedelta) -> None:
        """Record that the item was sent to a node, to run on a target."""
        self.vm = vm
        self.target_id = target_id
        self.attempt += 1
        self.started = now
        self.held_back = ""
        self.record_report(now)
        self.times.enter(ItemPhase.running, now)

    def is_running_at(self, vm: str) -> bool:
        """Return whether a node is expected to run the item now."""
        return self.vm == vm and bool(self.target_id)

    def reported_failures(self, vm: str, status: ItemStatus) -> list[int]:
        """Return the attempts that a node's status says have failed.

        A node of the last release doesn't number them. Its failure is that of the
        attempt that was started there; once that has ended, it is one that was counted
        before.
        """
        if status.failed_attempts or status.state is not ItemState.failed:
            return status.failed_attempts
        return [self.attempt] if self.is_running_at(vm) else []

    def record_failures(self, attempts: Iterable[int]) -> None:
        """Record failed attempts; each counts once, however often it is reported."""
        self.failed_attempts.update(attempts)
        self.attempt = max(self.attempt, *self.failed_attempts, 0)

    def record_report(self, now: timedelta) -> None:
        """Record that the node holds the item and can report it."""
        self.last_heard = now
        self.link_lost = None

    def record_link_lost(self, now: timedelta) -> None:
        """Record that the link with the node broke."""
        if self.link_lost is None:
            self.link_lost = now

    def is_unheard(self, now: timedelta) -> bool:
        """Return whether the node has not reported the item for too long."""
        if self.link_lost is not None and now - self.link_lost > RECONNECT_TIMEOUT:
            return True
        return now - self.last_heard > SILENCE_TIMEOUT

    def can_start(self, now: timedelta) -> bool:
        """Return whether the item may be sent to a node now."""
        if self.settled or self.target_id or self.link_lost is not None:
            return False
        return self.not_before <= now

    def settle(self, outcome: ItemOutcome, now: timedelta) -> None:
        """Record that the final result is known and must be written to the store."""
        self.outcome = outcome
        self.target_id = ""
        self.times.enter(ItemPhase.listing, now)
