"""The entry of one VM with its components wired, for the program and for tests."""

import random
from datetime import timedelta

import anyio

from chivespan.addresses import Address
from chivespan.addressselector import AddressSelector
from chivespan.batchapi import BatchApi
from chivespan.batchlinks import BatchLinks
from chivespan.claimclient import ClaimClient
from chivespan.claimedcall import ClaimedCalls, Claims
from chivespan.clock import SystemClock
from chivespan.drainstate import DrainState
from chivespan.engineclient import EngineClient
from chivespan.entrycontext import EntryContext, View
from chivespan.grantclient import GrantClient
from chivespan.httpapi import HttpApi, application
from chivespan.httpserver import CALLER_SILENCE_TIMEOUT, HttpServer
from chivespan.httpvmlist import HttpVmList
from chivespan.jobclient import JobClient
from chivespan.linkmessages import Program
from chivespan.metrics import Metrics
from chivespan.nodeview import NodeView
from chivespan.online import OnlineService
from chivespan.operatorapi import OperatorApi
from chivespan.operatorjobs import OperatorJobs
from chivespan.peerlink import LinkEnd, LinkOptions, new_hello
from chivespan.plainclient import PlainClient
from chivespan.retrybudget import ShareBudget
from chivespan.settings import NodeSettings
from chivespan.slot import Slot, SlotSource
from chivespan.targethttp import TargetHttp


def entry_context(
    settings: NodeSettings,
    view: View,
    slots: SlotSource[Slot],
    claims: Claims,
    http: TargetHttp,
    metrics: Metrics,
) -> EntryContext:
    """Return the handlers' context, based on these sources of slots and claims."""
    clock = SystemClock()
    engines, plain = EngineClient(http), PlainClient(http)
    online = OnlineService(slots, engines, plain, ShareBudget(), clock)
    lifetime = timedelta(milliseconds=settings.address_lifetime_ms)
    return EntryContext(
        settings=settings,
        view=view,
        online=online,
        claimed=ClaimedCalls(claims, online, metrics),
        addresses=AddressSelector(settings.entry_port, lifetime, random.Random()),
        metrics=metrics,
        clock=clock,
    )


class Entry:
    """Serves the callers of one VM.

    :param http: connections to targets; must stay open while the entry serves.
    :param caller_silence_timeout: longest silence of a caller within a request.
    """

    def __init__(
        self,
        settings: NodeSettings,
        http: TargetHttp,
        metrics: Metrics,
        caller_silence_timeout: timedelta = CALLER_SILENCE_TIMEOUT,
    ) -> None:
        hello = new_hello(settings, Program.entry)
        options = LinkOptions.from_settings(settings)
        drain_state = DrainState()
        end = LinkEnd(
            hello, options, SystemClock(), metrics, drain_state.heartbeat_frame
        )
        self.view = NodeView(end, settings, HttpVmList(settings.vm_list_url))
        self._grants = GrantClient(end, settings, self.view)
        self._links = BatchLinks(end, settings, self.view)
        claims = ClaimClient(self._links)
        self.context = entry_context(
            settings, self.view, self._grants, claims, http, metrics
        )
        self.context.caller_silence_timeout = caller_silence_timeout
        self.context.drain_state = drain_state
        jobs = JobClient(self._links, settings.partitions)
        routes = [
            *HttpApi(self.context).routes(),
            *BatchApi(self.context, jobs).routes(),
            *OperatorApi(self.context, end).routes(),
            *OperatorJobs(self.context, jobs).routes(),
        ]
        app = application(self.context, routes)
        self.server = HttpServer(
            app, [Address(settings.vm, settings.entry_port)], caller_silence_timeout
        )

    async def serve(self) -> None:
        """Serve until the server is stopped and no request is in progress."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.view.run)
            tasks.start_soon(self._grants.run)
            tasks.start_soon(self._links.run)
            await self.server.run()
            tasks.cancel_scope.cancel()
