"""Requests that wait for a slot."""

from dataclasses import dataclass, field
from datetime import timedelta

import anyio

from chivespan.errors import ChivespanError
from chivespan.messages import Grant, GrantRequest


@dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for a slot, until it gets a grant or a refusal.

    :param deadline: monotonic time after which a grant is of no use.
    """

    request: GrantRequest
    holder: str
    deadline: timedelta
    grant: Grant | None = None
    error: ChivespanError | None = None
    _settled: anyio.Event = field(default_factory=anyio.Event)

    @property
    def settled(self) -> bool:
        """Whether the wait is over."""
        return self._settled.is_set()

    def give(self, grant: Grant) -> None:
        """End the wait with a grant."""
        self.grant = grant
        self._settled.set()

    def refuse(self, error: ChivespanError) -> None:
        """End the wait with a refusal."""
        self.error = error
        self._settled.set()

    async def result(self) -> Grant:
        """Wait for the end.

        :raises ChivespanError: the refusal.
        """
        await self._settled.wait()
        if self.grant is not None:
            return self.grant
        assert self.error is not None
        raise self.error
