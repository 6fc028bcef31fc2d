"""Named steps of the paths through chivespan, at which a test may interfere.

A step does nothing unless a hook is installed; only tests install one, to bring a
failure about at a moment they choose instead of by sleeping.
"""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from enum import StrEnum
from typing import TypeAlias


class FailPoint(StrEnum):
    """Every step that can be named."""

    JOB_ACKNOWLEDGE = "job_acknowledge"
    RESULT_APPEND = "result_append"
    JOB_CANCEL = "job_cancel"
    ORDER_NOTED = "order_noted"
    ORDER_SEND = "order_send"


Hook: TypeAlias = Callable[[FailPoint], Awaitable[None]]

_hooks: list[Hook] = []


async def hit(step: FailPoint) -> None:
    """Tell the installed hooks that a step is reached; they may wait or raise."""
    for hook in _hooks:
        await hook(step)


@contextmanager
def installed_hook(hook: Hook) -> Iterator[None]:
    """Install a hook for the time of the block."""
    _hooks.append(hook)
    try:
        yield
    finally:
        _hooks.remove(hook)
