"""HTTP API for operators and owners: status, usage and draining."""

from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import anyio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from chivespan.dispatchquery import query_status, query_usage, request_drain
from chivespan.entrycontext import EntryContext
from chivespan.errors import ChivespanError
from chivespan.httpapi import with_error_responses
from chivespan.messages import (
    FleetStatus,
    FleetUsage,
    StatusReply,
    UsageCount,
    VmState,
    VmView,
)
from chivespan.peerlink import LinkEnd
from chivespan.responses import json_response
from chivespan.usage import summed

MAX_DISPATCHERS_TRIED = 3

Query = Callable[[str], Coroutine[Any, Any, None]]


class OperatorApi:
    """Handlers that aggregate the replies of dispatchers; one per process."""

    def __init__(self, context: EntryContext, end: LinkEnd) -> None:
        self._context = context
        self._end = end

    def routes(self) -> list[BaseRoute]:
        """Return the routes of all handlers."""
        context = self._context
        return [
            Route(
                "/v1/usage", with_error_responses(context, self._usage), methods=["GET"]
            ),
            Route(
                "/operator/status",
                with_error_responses(context, self._status),
                methods=["GET"],
            ),
            Route("/operator/usage", with_error_responses(context, self._all_usage)),
            Route(
                "/operator/drain",
                with_error_responses(context, self._drain),
                methods=["POST"],
            ),
        ]

    async def _status(self, request: Request) -> Response:
        self._context.authenticate_operator(request)
        replies: list[StatusReply] = []
        unreachable: list[str] = []

        async def query(vm: str) -> None:
            try:
                replies.append(await query_status(self._end, self._address(vm)))
            except ChivespanError:
                unreachable.append(vm)

        await _run_for_all(query, [view.vm for view in self._context.view.vms])
        replies.sort(key=lambda reply: reply.vm)
        return json_response(FleetStatus(vms=replies, unreachable=sorted(unreachable)))

    async def _usage(self, request: Request) -> Response:
        self._context.authenticate(request)
        return json_response(await self._fleet_usage())

    async def _all_usage(self, request: Request) -> Response:
        self._context.authenticate_operator(request)
        return json_response(await self._fleet_usage())

    async def _drain(self, request: Request) -> Response:
        operator = self._context.authenticate_operator(request)
        reply = await request_drain(self._end, self._address(self._context.settings.vm))
        self._context.start_draining(operator.name)
        return json_response(reply)

    async def _fleet_usage(self) -> FleetUsage:
        """Return usage summed over data centres.

        Dispatchers of a data centre are tried in turn until one replies.
        """
        counts: list[UsageCount] = []
        missing: list[str] = []

        async def query(data_centre: str) -> None:
            for vm in self._dispatchers(data_centre):
                try:
                    counts.extend(await query_usage(self._end, self._address(vm)))
                except ChivespanError:
                    continue
                return
            missing.append(data_centre)

        views = self._context.view.vms
        await _run_for_all(query, {view.data_centre for view in views})
        return FleetUsage(counts=list(summed(counts).values()), missing=sorted(missing))

    def _dispatchers(self, data_centre: str) -> list[str]:
        candidates = [
            view for view in self._context.view.vms if view.data_centre == data_centre
        ]
        candidates.sort(key=_availability_rank)
        return [view.vm for view in candidates[:MAX_DISPATCHERS_TRIED]]

    def _address(self, vm: str) -> str:
        return f"{vm}:{self._context.settings.dispatch_port}"


def _availability_rank(view: VmView) -> int:
    """Return a sort key that puts the VMs most likely to reply first."""
    return [VmState.live, VmState.leaving, VmState.silent].index(view.state)


async def _run_for_all(query: Query, names: Iterable[str]) -> None:
    async with anyio.create_task_group() as tasks:
        for name in names:
            tasks.start_soon(query, name)
