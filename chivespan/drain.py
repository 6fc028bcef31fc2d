"""Graceful shutdown of an entry without interrupting requests in progress.

A draining entry is first removed from the address lists returned to callers, once its
heartbeat and those of its VM have reached the other nodes. Callers cache address lists,
so the entry continues to serve until these have expired. Then the process stops
accepting connections, completes the requests in progress and exits.
"""

from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from chivespan.entrycontext import EntryContext
from chivespan.httpserver import HttpServer
from chivespan.logs import logger
from chivespan.signals import shut_down_on_signal

# Added to the lifetime of address lists for heartbeats to reach the other nodes.
ANNOUNCE_MARGIN = timedelta(seconds=3)

_log = logger("drain")


async def drain_on_signal(
    context: EntryContext, server: HttpServer, tasks: TaskGroup
) -> None:
    """Drain on SIGTERM or SIGINT; a second signal ends the process at once."""

    def leave(signal_name: str) -> None:
        context.start_draining(signal_name)
        tasks.start_soon(stop_after_addresses_expire, context, server)

    def log_interruption() -> None:
        _log.warning(
            "drain interrupted by a second signal", in_progress=context.in_progress
        )

    await shut_down_on_signal(tasks, leave, log_interruption)


async def stop_after_addresses_expire(
    context: EntryContext, server: HttpServer
) -> None:
    """Stop the server once no cached address list still contains this VM."""
    lifetime = timedelta(milliseconds=context.settings.address_lifetime_ms)
    await anyio.sleep((lifetime + ANNOUNCE_MARGIN).total_seconds())
    _log.notice(
        "drained; no longer accepting connections", in_progress=context.in_progress
    )
    server.stop()
