"""Interfaces of slots and slot sources, for the code that uses slots.

``chivespan.grantclient`` implements them; tests supply their own implementations.
"""

from datetime import timedelta
from typing import Protocol, TypeVar

import anyio

from chivespan.messages import Grant, GrantRequest, Outcome


class Slot(Protocol):
    """A slot on one target, held until released."""

    @property
    def grant(self) -> Grant:
        """The grant, which names the slot's target."""
        ...

    def release(
        self,
        outcome: Outcome,
        first_token: timedelta | None = None,
        token_gap: timedelta | None = None,
        tokens: int = 0,
    ) -> None:
        """Release the slot and report the outcome and the measured latencies.

        :param first_token: time from the grant to the first token.
        :param token_gap: mean gap between tokens.
        :param tokens: number of tokens generated.
        """
        ...


class RevocableSlot(Slot, Protocol):
    """A slot that the dispatcher may revoke, as it does with batch slots."""

    @property
    def revoked(self) -> anyio.Event:
        """Event that is set when the slot is revoked."""
        ...


SlotT_co = TypeVar("SlotT_co", bound=Slot, covariant=True)


class SlotSource(Protocol[SlotT_co]):
    """Acquires slots."""

    async def acquire(self, request: GrantRequest) -> SlotT_co:
        """Wait for a slot.

        :raises ChivespanError: the refusal, as soon as no slot can be granted.
        """
        ...
