"""Hand-over of a paused stream to another target, which may turn it away.

A sound target may pause and go on. So its stream is kept until the other target has
accepted, and goes on where it was if its next event arrives before.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from chivespan.errors import ChivespanError
from chivespan.eventstream import EventSplitter
from chivespan.exchange import Reply

# Two targets may not hold the same request for long, in case both run it.
OVERLAP_LIMIT = timedelta(milliseconds=300)


class Handover:
    """One attempt to continue a paused stream at another target.

    :param paused: the response of the paused target.
    :param splitter: splits the stream into events.
    :param on_accept: called with the reason when the paused target is given up.
    :ivar paused_given_up: whether the paused target has been given up.
    :ivar events: whole events that the paused target has sent meanwhile.
    """

    def __init__(
        self, paused: Reply, splitter: EventSplitter, on_accept: Callable[[str], None]
    ) -> None:
        self._paused = paused
        self._splitter = splitter
        self._on_accept = on_accept
        self._paused_went_on = False
        self.paused_given_up = False
        self.events = b""

    async def run(self, attempt: Callable[[], Awaitable[None]]) -> None:
        """Run an attempt at another target; cancel it if the paused stream goes on."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_paused, tasks)
            await attempt()
            tasks.cancel_scope.cancel()

    async def accept(self, reason: str = "stream paused") -> None:
        """Close the paused stream, as the other target continues it."""
        if self._paused_went_on:
            # The attempt has been cancelled, though its target has just responded.
            await anyio.sleep_forever()
        if not self.paused_given_up:
            self.paused_given_up = True
            self._on_accept(reason)
            await self._paused.close()

    async def _watch_paused(self, attempt: TaskGroup) -> None:
        """Wait for the paused stream, but not for longer than the limit."""
        with anyio.move_on_after(OVERLAP_LIMIT.total_seconds()):
            try:
                await self._receive_event()
            except ChivespanError as error:
                await self.accept(error.message)
                return
            if not self.paused_given_up:
                self._paused_went_on = True
                attempt.cancel_scope.cancel()
            return
        await self.accept()

    async def _receive_event(self) -> None:
        """Wait for a whole event or the end of the paused stream."""
        while not self.events:
            chunk = await self._paused.next_chunk()
            if chunk is None or self.paused_given_up:
                return
            self.events = self._splitter.feed(chunk)
