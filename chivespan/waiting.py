"""A request that waits for a slot, as a future of its grant."""

from dataclasses import dataclass, field
from datetime import timedelta

import anyio

from chivespan.errors import ChivespanError
from chivespan.messages import Grant, GrantRequest


@dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits for a slot until it is granted or refused.

    :param holder: name of the process that asked for the slot.
    :param deadline: monotonic time after which a grant is useless.
    :param settled: whether the request has been granted or refused.
    """

    request: GrantRequest
    holder: str
    deadline: timedelta
    grant: Grant | None = None
    error: ChivespanError | None = None
    settled: bool = False
    _ended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def max_wait(self) -> timedelta:
        """Longest wait that the request allows; a negative wire value is no limit."""
        max_wait_ms = self.request.max_wait_ms
        return timedelta.max if max_wait_ms < 0 else timedelta(milliseconds=max_wait_ms)

    def set_grant(self, grant: Grant) -> None:
        """End the wait with a grant."""
        self.grant = grant
        self._end()

    def set_error(self, error: ChivespanError) -> None:
        """End the wait with a refusal."""
        self.error = error
        self._end()

    async def result(self) -> Grant:
        """Wait until the request is settled, and return its grant.

        :raises ChivespanError: the refusal.
        """
        await self._ended.wait()
        if self.grant is not None:
            return self.grant
        assert self.error is not None
        raise self.error

    def _end(self) -> None:
        self.settled = True
        self._ended.set()
