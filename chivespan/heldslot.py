"""Slots in use by this process, and its share when no dispatcher can be reached."""

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

    :param give_back: told once, when the slot is released.
    """

    def __init__(
        self,
        grant: Grant,
        request: GrantRequest,
        give_back: Callable[[GrantRelease], None],
    ) -> None:
        self._give_back = give_back
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
        """Give the slot back; a second time does nothing.

        :param first_token: from grant to first token.
        :param token_gap: mean gap between tokens.
        """
        if self._released:
            return
        self._released = True
        self._give_back(
            GrantRelease(
                grant_id=self.grant.grant_id,
                outcome=outcome,
                first_token_us=_microseconds(first_token),
                token_gap_us=_microseconds(token_gap),
                tokens=tokens,
            )
        )

    def report(self) -> HeldGrant:
        """Return what a new owner of the slice is told."""
        return HeldGrant(
            grant_id=self.grant.grant_id,
            target=self.grant.target,
            owner=self.request.owner,
            work_class=self.request.work_class,
        )


def slot_share(runner: Runner, vm: str, vms: Sequence[str]) -> int:
    """Return how many of a target's slots a VM may use while cut off.

    The shares of all VMs add up to the target's slots; what doesn't divide evenly
    goes to the first VMs in rendezvous order.

    >>> runner = Runner(
    ...     name="r", service="s", address="10.0.0.9:1", data_centre="d", slots=7
    ... )
    >>> vms = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
    >>> sorted(slot_share(runner, vm, vms) for vm in vms)
    [2, 2, 3]
    """
    if vm not in vms:
        return 0
    whole, left = divmod(runner.slots, len(vms))
    return whole + (ranked(runner.name, vms).index(vm) < left)


def _microseconds(duration: timedelta | None) -> int:
    return 0 if duration is None else max(1, duration // MICROSECOND)
