"""The program chivespan-entry: HTTP towards callers, on every VM."""

import os
import random
from datetime import timedelta

import anyio

from chivespan.addressbook import AddressBook
from chivespan.asynclibrary import settle_async_library
from chivespan.batchapi import BatchApi
from chivespan.batchlinks import BatchLinks
from chivespan.claimclient import ClaimClient
from chivespan.claimedcall import ClaimedCalls
from chivespan.clock import Clock, SystemClock
from chivespan.drain import drain_on_signal
from chivespan.engineclient import EngineClient
from chivespan.entrycontext import EntryContext
from chivespan.grantclient import GrantClient
from chivespan.httpapi import HttpApi, application
from chivespan.httpserver import HttpServer
from chivespan.httpvmlist import HttpVmList
from chivespan.jobclient import JobClient
from chivespan.logs import configure_logging, logger
from chivespan.messages import Program
from chivespan.metrics import Metrics
from chivespan.nodeview import NodeView
from chivespan.online import OnlineService
from chivespan.operatorapi import OperatorApi
from chivespan.operatorjobs import OperatorJobs
from chivespan.options import start
from chivespan.peerlink import LinkEnd, LinkOptions, new_hello
from chivespan.plainclient import PlainClient
from chivespan.retrybudget import ShareBudget
from chivespan.settings import NodeSettings
from chivespan.targethttp import TargetHttp

_log = logger("entry")


def main() -> None:
    """Run the program with the flags and environment it was started with."""
    settings = start(NodeSettings, os.environ)
    settle_async_library()
    configure_logging("chivespan-entry", settings.vm, settings.log_level)
    anyio.run(serve, settings, backend_options={"use_uvloop": True})


async def serve(settings: NodeSettings) -> None:
    """Serve callers until told to leave."""
    clock = SystemClock()
    metrics = Metrics(settings.statsd_address, "chivespan.entry")
    end = _link_end(settings, clock, metrics)
    view = NodeView(end, settings, HttpVmList(settings.vm_list_url))
    grants = GrantClient(end, settings, view)
    links = BatchLinks(end, settings, view)
    async with TargetHttp() as http:
        online = OnlineService(
            grants, EngineClient(http), PlainClient(http), ShareBudget(), clock
        )
        context = EntryContext(
            settings=settings,
            view=view,
            online=online,
            claimed=ClaimedCalls(ClaimClient(links), online, metrics),
            addresses=AddressBook(
                settings.entry_port,
                timedelta(milliseconds=settings.address_lifetime_ms),
                random.Random(),
            ),
            metrics=metrics,
            clock=clock,
        )
        jobs = JobClient(links, settings.partitions)
        routes = [
            *HttpApi(context).routes(),
            *BatchApi(context, jobs).routes(),
            *OperatorApi(context, end).routes(),
            *OperatorJobs(context, jobs).routes(),
        ]
        server = HttpServer(
            application(context, routes), settings.vm, settings.entry_port
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(view.run)
            tasks.start_soon(grants.run)
            tasks.start_soon(links.run)
            tasks.start_soon(drain_on_signal, context, server, tasks)
            _log.notice("serving", port=settings.entry_port)
            await server.run()
            tasks.cancel_scope.cancel()
    _log.notice("ended")


def _link_end(settings: NodeSettings, clock: Clock, metrics: Metrics) -> LinkEnd:
    hello = new_hello(settings, Program.entry)
    return LinkEnd(hello, LinkOptions.from_settings(settings), clock, metrics)


if __name__ == "__main__":
    main()
