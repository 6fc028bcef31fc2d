"""Leaving without cutting a request in progress.

An entry that leaves is first left out of the answers to "which address", as soon as its
heartbeat and those of its VM have told the others. Callers keep old answers for a while
and are served for that long; then the process takes no new connections, finishes what
runs, and ends.
"""

from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from chivespan.entrycontext import EntryContext
from chivespan.httpserver import HttpServer
from chivespan.logs import logger
from chivespan.signals import leave_on_signal

ANNOUNCE_MARGIN = timedelta(seconds=3)

_log = logger("drain")


async def drain_on_signal(
    context: EntryContext, server: HttpServer, tasks: TaskGroup
) -> None:
    """Leave on SIGTERM or SIGINT; a second signal ends at once."""

    def leave(signal_name: str) -> None:
        context.leave(signal_name)
        tasks.start_soon(stop_after_announcing, context, server)

    def cut_short() -> None:
        _log.warning("leaving cut short", in_progress=context.in_progress)

    await leave_on_signal(tasks, leave, cut_short)


async def stop_after_announcing(context: EntryContext, server: HttpServer) -> None:
    """Stop once no caller uses an address answer that still names this VM."""
    lifetime = timedelta(milliseconds=context.settings.address_lifetime_ms)
    await anyio.sleep((lifetime + ANNOUNCE_MARGIN).total_seconds())
    _log.notice("no new connections", in_progress=context.in_progress)
    server.stop()
