"""Slots on targets as interfaces, for those who use them.

``chivespan.grantclient`` gives the real ones; tests give their own.
"""

from datetime import timedelta
from typing import Protocol, TypeVar

import anyio

from chivespan.messages import Grant, GrantRequest, Outcome


class Slot(Protocol):
    """A slot on one target, held until released."""

    @property
    def grant(self) -> Grant:
        """Which target it is on."""
        ...

    def release(
        self,
        outcome: Outcome,
        first_token: timedelta | None = None,
        token_gap: timedelta | None = None,
        tokens: int = 0,
    ) -> None:
        """Give the slot back and say what was measured."""
        ...


class RevocableSlot(Slot, Protocol):
    """A slot that the dispatcher may take back, as it does with batch work's."""

    @property
    def revoked(self) -> anyio.Event:
        """Set when the slot is taken back."""
        ...


SlotT_co = TypeVar("SlotT_co", bound=Slot, covariant=True)


class SlotSource(Protocol[SlotT_co]):
    """Where slots come from."""

    async def acquire(self, request: GrantRequest) -> SlotT_co:
        """Wait for a slot; raise a refusal as soon as there can be none."""
        ...
