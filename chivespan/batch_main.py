"""The program chivespan-batch: runs batch jobs and keeps claims, on every VM."""

import os
import signal
from collections.abc import Iterable
from datetime import timedelta
from itertools import chain

import anyio
from anyio.abc import TaskGroup

from chivespan.batchserver import BatchServer
from chivespan.batchwatch import BatchWatch
from chivespan.clock import SystemClock
from chivespan.engineclient import EngineClient
from chivespan.grantclient import GrantClient
from chivespan.httplog import HttpLog
from chivespan.httpvmlist import HttpVmList
from chivespan.itemrunner import ItemRunner
from chivespan.logs import configure_logging, logger
from chivespan.messages import Program
from chivespan.metrics import Metrics
from chivespan.nodeview import NodeView
from chivespan.options import start
from chivespan.partitions import PartitionContext, Partitions
from chivespan.peerlink import LinkEnd, LinkOptions, holder_name, listen, new_hello
from chivespan.placement import ranked
from chivespan.plainclient import PlainClient
from chivespan.settings import NodeSettings
from chivespan.targethttp import TargetHttp

LEAVE_TIMEOUT = timedelta(seconds=60)
OWNERSHIP_INTERVAL = timedelta(seconds=1)
OWNERS_IN_LINE = 3

_log = logger("batch")


def main() -> None:
    """Run the program with the flags and environment it was started with."""
    settings = start(NodeSettings, os.environ)
    configure_logging("chivespan-batch", settings.vm, settings.log_level)
    anyio.run(serve, settings, backend_options={"use_uvloop": True})


async def serve(settings: NodeSettings) -> None:
    """Serve entries and run jobs until told to leave."""
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
            writer=holder_name(hello),
            clock=clock,
            metrics=metrics,
            items=ItemRunner(
                grants, EngineClient(http), PlainClient(http), clock, metrics
            ),
            configuration=lambda: view.configuration,
        )
        partitions = Partitions(context)
        watch = BatchWatch(end, settings.batch_port)
        server = BatchServer(partitions, metrics)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(view.run)
            tasks.start_soon(grants.run)
            tasks.start_soon(partitions.run)
            tasks.start_soon(watch.run)
            await partitions.wait_started()
            owning = anyio.CancelScope()
            tasks.start_soon(_keep_ownership, owning, settings, view, watch, partitions)
            async with listen(
                settings.vm, settings.batch_port, end, server.handle
            ) as port:
                _log.notice("serving", port=port)
                await _wait_for_signal(tasks)
                owning.cancel()
                await _leave(partitions)
            tasks.cancel_scope.cancel()
    _log.notice("ended")


async def _keep_ownership(
    scope: anyio.CancelScope,
    settings: NodeSettings,
    view: NodeView,
    watch: BatchWatch,
    partitions: Partitions,
) -> None:
    """Own the streams for which no other VM with a batch program comes first."""
    streams = partitions.all_streams()
    orders: dict[str, list[str]] = {}
    ordered: list[str] = []
    with scope:
        await view.wait_ready()
        while True:
            live = sorted(view.live_vms())
            if live != ordered:
                ordered = live
                orders = {one: ranked(one, live)[:OWNERS_IN_LINE] for one in streams}
                watch.watch(_ahead(settings.vm, orders.values()))
            silent = watch.silent
            mine = frozenset(
                stream
                for stream, order in orders.items()
                if next((vm for vm in order if vm not in silent), "") == settings.vm
            )
            if mine != partitions.owned:
                _log.notice("owned", streams=",".join(sorted(mine)))
                partitions.own(mine)
            with anyio.move_on_after(OWNERSHIP_INTERVAL.total_seconds()):
                await view.wait_changed()


def _ahead(vm: str, orders: Iterable[list[str]]) -> frozenset[str]:
    """Return the VMs that come before one in any of the orders."""
    lines = (order[: order.index(vm)] for order in orders if vm in order)
    return frozenset(chain.from_iterable(lines))


async def _wait_for_signal(tasks: TaskGroup) -> None:
    """Return on the first signal; a second one ends the process at once."""
    first = anyio.Event()

    async def watch() -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                if first.is_set():
                    tasks.cancel_scope.cancel()
                    return
                first.set()

    tasks.start_soon(watch)
    await first.wait()


async def _leave(partitions: Partitions) -> None:
    """Give all partitions up and write the results that are left."""
    partitions.own(frozenset())
    with anyio.move_on_after(LEAVE_TIMEOUT.total_seconds()):
        await partitions.wait_written()


if __name__ == "__main__":
    main()
