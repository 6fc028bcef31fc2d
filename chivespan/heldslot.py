"""Slots in use by this process, and its static share without a dispatcher."""

from collections.abc import Callable, Sequence
from datetime import timedelta

import anyio

from chivespan.clock import MICROSECOND
from chivespan.documents import Runner
from chivespan.messages import (
    Grant,
    GrantRelease,
    GrantRequest,
    HeldGrant,
    Outcome,
)
from chivespan.placement import ranked


class HeldSlot:
    """A slot on one target, held until released.

    :param on_release: called once, when the slot is released.
    """

    def __init__(
        self,
        grant: Grant,
        request: GrantRequest,
        on_release: Callable[[GrantRelease], None],
    ) -> None:
        self._on_release = on_release
        self._released = False
        self.grant = grant
        self.request = request
        self.revoked = anyio.Event()

    def release(
        self,
        outcome: Outcome,
        first_token: timedelta | None = None,
        token_gap: timedelta | None = None,
        tokens: int = 0,
    ) -> None:
        """Release the slot; idempotent.

        :param first_token: time from the grant to the first token.
        :param token_gap: mean gap between tokens.
        :param tokens: number of tokens generated.
        """
        if self._released:
            return
        self._released = True
        self._on_release(
            GrantRelease(
                grant_id=self.grant.grant_id,
                outcome=outcome,
                first_token_us=_microseconds(first_token),
                token_gap_us=_microseconds(token_gap),
                tokens=tokens,
            )
        )

    def report(self) -> HeldGrant:
        """Return the report of this slot for a new owner of the slice."""
        return HeldGrant(
            grant_id=self.grant.grant_id,
            target=self.grant.target,
            owner=self.request.owner,
            work_class=self.request.work_class,
        )


def slot_share(runner: Runner, entry: str, entries: Sequence[str]) -> int:
    """Return how many of a target's slots an entry may use without a dispatcher.

    The shares of all entries add up to the target's slots. The remainder of an uneven
    division goes to the first entries in rendezvous order.

    :param entry: address of the entry.
    :param entries: addresses of all entries in the target's data centre.

    >>> runner = Runner(
    ...     name="r", service="s", address="10.0.0.9:1", data_centre="d", slots=7
    ... )
    >>> entries = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.2:81"]
    >>> sorted(slot_share(runner, entry, entries) for entry in entries)
    [2, 2, 3]
    """
    if entry not in entries:
        return 0
    share, remainder = divmod(runner.slots, len(entries))
    return share + (ranked(runner.name, entries).index(entry) < remainder)


def _microseconds(duration: timedelta | None) -> int:
    return 0 if duration is None else max(1, duration // MICROSECOND)
