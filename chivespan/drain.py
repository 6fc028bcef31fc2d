"""Leaving without cutting a request in progress.

A VM that leaves is first left out of the answers to "which address". Callers keep old
answers for a while and are served for that long; then the process takes no new
connections, finishes what runs, and ends.
"""

import signal
from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from chivespan.entrycontext import EntryContext
from chivespan.httpserver import HttpServer
from chivespan.logs import logger

ANNOUNCE_MARGIN = timedelta(seconds=1)

_log = logger("drain")


async def leave_on_signal(
    context: EntryContext, server: HttpServer, tasks: TaskGroup
) -> None:
    """Wait for SIGTERM or SIGINT, then leave; a second signal ends at once."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        signalled = False
        async for signal_number in signals:
            if signalled:
                _log.warning("leaving cut short", in_progress=context.in_progress)
                tasks.cancel_scope.cancel()
                return
            signalled = True
            context.leave(signal_number.name)
            tasks.start_soon(_leave, context, server)


async def _leave(context: EntryContext, server: HttpServer) -> None:
    lifetime = timedelta(milliseconds=context.settings.address_lifetime_ms)
    await anyio.sleep((lifetime + ANNOUNCE_MARGIN).total_seconds())
    _log.notice("no new connections", in_progress=context.in_progress)
    server.stop()
