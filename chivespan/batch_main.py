"""The program chivespan-batch, which runs batch jobs and stores claims on every VM."""

import os
from datetime import timedelta

import anyio

from chivespan.batchserver import BatchServer
from chivespan.clock import SystemClock
from chivespan.engineclient import EngineClient
from chivespan.grantclient import GrantClient
from chivespan.httplog import HttpLog
from chivespan.httpvmlist import HttpVmList
from chivespan.itemrunner import ItemRunner
from chivespan.linkmessages import Program
from chivespan.logs import configure_logging, logger
from chivespan.metrics import Metrics
from chivespan.nodeview import NodeView
from chivespan.options import load_settings_or_exit
from chivespan.partitions import PartitionContext, Partitions
from chivespan.peerlink import (
    LinkEnd,
    LinkOptions,
    incarnation_name,
    listen,
    new_hello,
)
from chivespan.placement import select_owner
from chivespan.plainclient import PlainClient
from chivespan.settings import NodeSettings
from chivespan.signals import shut_down_on_signal
from chivespan.targethttp import TargetHttp

LEAVE_TIMEOUT = timedelta(seconds=60)

_log = logger("batch")


def main() -> None:
    """Run the program with settings from its flags and environment."""
    settings = load_settings_or_exit(NodeSettings, os.environ)
    configure_logging("chivespan-batch", settings.vm, settings.log_level)
    anyio.run(serve, settings, backend_options={"use_uvloop": True})


async def serve(settings: NodeSettings) -> None:
    """Serve entries and run jobs until a signal requests shutdown."""
    clock = SystemClock()
    metrics = Metrics(settings.statsd_address, "chivespan.batch")
    hello = new_hello(settings, Program.batch)
    end = LinkEnd(hello, LinkOptions.from_settings(settings), clock, metrics)
    view = NodeView(end, settings, HttpVmList(settings.vm_list_url))
    grants = GrantClient(end, settings, view)
    async with TargetHttp() as http:
        context = PartitionContext(
            settings=settings,
            log=HttpLog(settings.log_url),
            writer=incarnation_name(hello),
            clock=clock,
            metrics=metrics,
            items=ItemRunner(
                grants, EngineClient(http), PlainClient(http), clock, metrics
            ),
            configuration=lambda: view.configuration,
        )
        partitions = Partitions(context)
        server = BatchServer(partitions, metrics)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(view.run)
            tasks.start_soon(grants.run)
            tasks.start_soon(partitions.run)
            await partitions.wait_started()
            ownership = anyio.CancelScope()
            tasks.start_soon(_update_ownership, ownership, settings, view, partitions)
            async with listen(
                settings.vm, settings.batch_port, end, server.handle
            ) as port:
                _log.notice("serving", port=port)
                shutdown_requested = anyio.Event()
                tasks.start_soon(
                    shut_down_on_signal, tasks, lambda _name: shutdown_requested.set()
                )
                await shutdown_requested.wait()
                ownership.cancel()
                await _leave(partitions)
            tasks.cancel_scope.cancel()
    _log.notice("ended")


async def _update_ownership(
    scope: anyio.CancelScope,
    settings: NodeSettings,
    view: NodeView,
    partitions: Partitions,
) -> None:
    """Own the streams for which this VM ranks first among the live batch VMs."""
    with scope:
        await view.wait_ready()
        while True:
            live = view.batch_vms()
            streams = partitions.all_streams()
            owned = frozenset(
                one for one in streams if select_owner(one, live) == settings.vm
            )
            if owned != partitions.owned:
                _log.notice("owned", streams=",".join(sorted(owned)))
                partitions.set_owned(owned)
            await view.wait_changed()


async def _leave(partitions: Partitions) -> None:
    """Release all partitions and write the remaining results."""
    partitions.set_owned(frozenset())
    with anyio.move_on_after(LEAVE_TIMEOUT.total_seconds()):
        await partitions.wait_written()


if __name__ == "__main__":
    main()
