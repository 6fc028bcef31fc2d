"""A time limit that doesn't count the time for which this process stands still.

While its VM is paused or its event loop is busy, a process can't see what has arrived.
Afterwards the timers that have ended fire first, so that a plain time limit takes a
response that is waiting in the kernel for one that never came.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

import anyio

# A pause takes up no more than one of them.
SLICES = 5
# Granted after pauses in the last slice, so that the limit ends even in a process that
# pauses all the time.
MAX_EXTRA_SLICES = 2


@contextmanager
def fail_after_running(limit: timedelta) -> Iterator[None]:
    """Limit a block to the time for which the event loop runs.

    A pause counts for a fifth of the limit at most; shorter delays of the event loop
    count as if it ran.

    :raises TimeoutError: when the block has been cancelled.
    """
    with anyio.CancelScope() as scope:
        timer = _SlicedTimer(scope, limit)
        try:
            yield
        finally:
            timer.stop()
    if scope.cancelled_caught:
        raise TimeoutError


class _SlicedTimer:
    """Cancels a scope after a number of slices of time, timed one after the other.

    A timer that fires later than a slice after its time tells that the process paused.
    The next slice then begins anew, and there is always one after a pause: what has
    arrived meanwhile is processed before it ends.
    """

    def __init__(self, scope: anyio.CancelScope, limit: timedelta) -> None:
        self._scope = scope
        self._slice_s = limit.total_seconds() / SLICES
        self._left = SLICES
        self._extra = MAX_EXTRA_SLICES
        self._loop = asyncio.get_running_loop()
        self._start(self._loop.time())

    def stop(self) -> None:
        """Stop timing."""
        self._timer.cancel()

    def _start(self, now: float) -> None:
        self._due = now + self._slice_s
        self._timer = self._loop.call_at(self._due, self._end_slice)

    def _end_slice(self) -> None:
        now = self._loop.time()
        has_paused = now - self._due > self._slice_s
        self._left -= 1
        if not self._left and has_paused and self._extra:
            self._extra -= 1
            self._left = 1
        if self._left:
            self._start(now if has_paused else self._due)
        else:
            self._scope.cancel()
