"""Named steps of the paths through chivespan, at which a test may interfere.

A step does nothing unless a hook is installed; only tests install one, to bring a
failure about at a moment they choose instead of by sleeping.
"""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from enum import StrEnum
from typing import TypeAlias


class Step(StrEnum):
    """Every step that can be named."""

    GRANTED = "granted"
    JOB_BEGIN = "job_begin"
    JOB_CHUNK = "job_chunk"
    JOB_CLOSE = "job_close"
    JOB_ACKNOWLEDGE = "job_acknowledge"
    ITEM_CLAIM = "item_claim"
    ITEM_RUN = "item_run"
    RESULT_APPEND = "result_append"
    RESULT_READ = "result_read"
    JOB_CANCEL = "job_cancel"
    CONFIG_READ_BACK = "config_read_back"
    CONFIG_PUSH = "config_push"
    CONFIG_SNAPSHOT = "config_snapshot"


Hook: TypeAlias = Callable[[Step], Awaitable[None]]

_hooks: list[Hook] = []


async def reach(step: Step) -> None:
    """Tell the installed hooks that a step is reached; they may wait or raise."""
    for hook in _hooks:
        await hook(step)


@contextmanager
def hooked(hook: Hook) -> Iterator[None]:
    """Install a hook for the time of the block."""
    _hooks.append(hook)
    try:
        yield
    finally:
        _hooks.remove(hook)
