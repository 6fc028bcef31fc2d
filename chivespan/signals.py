"""Shutdown on signals: graceful on the first, immediate on the second."""

import signal
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup


async def shut_down_on_signal(
    tasks: TaskGroup,
    start_draining: Callable[[str], None],
    before_cancel: Callable[[], None] | None = None,
) -> None:
    """Start draining on SIGTERM or SIGINT, and cancel ``tasks`` on a second signal.

    :param start_draining: called with the name of the first signal.
    :param before_cancel: called before ``tasks`` are cancelled.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        is_draining = False
        async for signal_number in signals:
            if is_draining:
                break
            is_draining = True
            start_draining(signal_number.name)
    if before_cancel is not None:
        before_cancel()
    tasks.cancel_scope.cancel()
