"""An event loop with virtual time, so that a benchmark does not need an idle machine.

Sleeps keep their order and duration in virtual time, and computation takes none of it.
A benchmark thus measures only the waits caused by scheduling decisions, and the result
is the same on every run.
"""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta
from typing import Any

import anyio

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready events; if there are none, advance time by the timeout."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that runs on the virtual time of its selector."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


class LoopClock:
    """Clock that returns the time of the running event loop."""

    def now(self) -> datetime:
        """Return the loop's time as a time in UTC after a fixed epoch."""
        return EPOCH + self.monotonic()

    def monotonic(self) -> timedelta:
        """Return the time of the loop."""
        return timedelta(seconds=anyio.current_time())

    def boottime(self) -> timedelta:
        """Return the time of the loop."""
        return self.monotonic()


def backend_options(skip_waits: bool) -> dict[str, Any]:
    """Return the ``anyio.run`` backend options for virtual or real time."""
    return {"loop_factory": VirtualTimeLoop} if skip_waits else {}
