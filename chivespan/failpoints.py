"""Failpoints: named places in the code at which a test can inject a failure.

A failpoint does nothing unless a hook is installed. Only tests install hooks, so that a
failure occurs at a defined moment and the test need not rely on sleeping.
"""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from enum import StrEnum
from typing import TypeAlias


class FailPoint(StrEnum):
    """Names of all failpoints."""

    JOB_ACKNOWLEDGE = "job_acknowledge"
    RESULT_APPEND = "result_append"
    JOB_CANCEL = "job_cancel"
    ORDER_NOTED = "order_noted"
    ORDER_SEND = "order_send"


Hook: TypeAlias = Callable[[FailPoint], Awaitable[None]]

_hooks: list[Hook] = []


async def hit(failpoint: FailPoint) -> None:
    """Call the installed hooks; a hook may wait or raise."""
    for hook in _hooks:
        await hook(failpoint)


@contextmanager
def installed_hook(hook: Hook) -> Iterator[None]:
    """Install a hook for the duration of the block."""
    _hooks.append(hook)
    try:
        yield
    finally:
        _hooks.remove(hook)
