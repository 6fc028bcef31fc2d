"""Batch items that a node holds, and the statuses that it reports of them."""

from dataclasses import dataclass, field

import anyio

from chivespan.itemoutput import ItemOutput
from chivespan.itemquarantine import ItemBreaks
from chivespan.nodemessages import ItemStart, ItemState, ItemStatus

# States that a held item keeps until it is started or stopped.
_LASTING_STATES = frozenset({ItemState.running, ItemState.done, ItemState.impossible})


@dataclass(slots=True)
class HeldItem:
    """An item that this node holds.

    :ivar output: all events received so far.
    :ivar parts: ids of the parts of its prompt that other requests may share.
    :ivar state: state that is reported to the owner.
    :ivar failed_attempts: numbers of the attempts that failed here.
    :ivar answered: whether a target has answered its prompt in the current run.
    :ivar breaks: the runs that broke off before that.
    :ivar scope: cancels the current run; None while the item doesn't run.
    """

    start: ItemStart
    output: ItemOutput
    parts: tuple[str, ...] = ()
    state: ItemState = ItemState.paused
    failed_attempts: list[int] = field(default_factory=list)
    answered: bool = False
    breaks: ItemBreaks = field(default_factory=ItemBreaks)
    scope: anyio.CancelScope | None = field(default=None, repr=False)

    @property
    def events(self) -> list[str]:
        """Data of all events received so far."""
        return self.output.events

    @property
    def key(self) -> tuple[str, str]:
        """Unique key: job id and item id."""
        return (self.start.job_id, self.start.item_id)

    def record_failed_attempt(self) -> None:
        """Record that the last attempt failed, unless its owner numbers none.

        The numbers of two owners may be the same.
        """
        attempt = self.start.attempt
        if attempt and attempt not in self.failed_attempts:
            self.failed_attempts.append(attempt)

    def status(self) -> ItemStatus:
        """Return the status to report to the owner when the state changes."""
        return self._status(self.state, repeated=False)

    def held_status(self, repeated: bool) -> ItemStatus:
        """Return the status to report while the state stays the same.

        How the last run ended was reported when it did, and would take effect twice:
        only the numbers of failed attempts are reported again.

        :param repeated: whether this is for the case that an earlier status was lost.
        """
        state = self.state if self.state in _LASTING_STATES else ItemState.paused
        return self._status(state, repeated)

    def _status(self, state: ItemState, repeated: bool) -> ItemStatus:
        with_text = state in (ItemState.done, ItemState.returned)
        return ItemStatus(
            partition=self.start.partition,
            job_id=self.start.job_id,
            item_id=self.start.item_id,
            target_id=self.start.target_id,
            state=state,
            events=len(self.events),
            text=list(self.events) if with_text else [],
            repeated=repeated,
            failed_attempts=list(self.failed_attempts),
        )


def retargeted(held_start: ItemStart, message: ItemStart) -> ItemStart:
    """Return a held item's start message with the target of a new start message."""
    return ItemStart(
        partition=message.partition,
        job_id=held_start.job_id,
        item_id=held_start.item_id,
        target_id=message.target_id,
        host=message.host,
        path=held_start.path,
        headers=held_start.headers,
        body=held_start.body,
        events=[],
        attempt=message.attempt,
        # An owner of an earlier release names none.
        customer=message.customer or held_start.customer,
        expected_events=message.expected_events,
        is_late=message.is_late,
    )


def status_without_run(message: ItemStart, state: ItemState) -> ItemStatus:
    """Return the status of an item that was not started."""
    return ItemStatus(
        partition=message.partition,
        job_id=message.job_id,
        item_id=message.item_id,
        target_id=message.target_id,
        state=state,
        events=0,
        text=[],
        repeated=False,
    )
