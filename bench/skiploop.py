"""An event loop whose clock skips the waits, so that a bench needs no idle machine.

Sleeps keep their order and length on the clock of the loop, and work takes none of it.
What is measured is the waiting that decisions cause, the same on every run.
"""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta
from typing import Any

import anyio

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class _VirtualTimeSelector(selectors.SelectSelector):
    """Moves the clock forward instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, after the time that waiting would have taken."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs on the clock of its selector."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the seconds skipped so far."""
        return self._virtual_selector.now


class LoopClock:
    """The event loop's time as a clock."""

    def now(self) -> datetime:
        """Return the wall time in UTC."""
        return EPOCH + self.monotonic()

    def monotonic(self) -> timedelta:
        """Return the loop's time."""
        return timedelta(seconds=anyio.current_time())


def backend_options(skip_waits: bool) -> dict[str, Any]:
    """Return the options of ``anyio.run`` for a loop that skips waits or doesn't."""
    return {"loop_factory": VirtualTimeLoop} if skip_waits else {}
