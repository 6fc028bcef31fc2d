"""Leaving when told by a signal: gracefully on the first, at once on the second."""

import signal
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup


async def shut_down_on_signal(
    tasks: TaskGroup,
    leave: Callable[[str], None],
    cut_short: Callable[[], None] | None = None,
) -> None:
    """Wait for SIGTERM or SIGINT, and cancel ``tasks`` when a second one comes.

    :param leave: called with the first signal's name.
    :param cut_short: called before ``tasks`` are cancelled.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        told = False
        async for signal_number in signals:
            if told:
                break
            told = True
            leave(signal_number.name)
    if cut_short is not None:
        cut_short()
    tasks.cancel_scope.cancel()
