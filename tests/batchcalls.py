"""Callers of batch jobs: the front end and the owner of a partition, over a store."""

import json
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any, cast

import anyio

from chivespan.batchfront import BatchFrontend
from chivespan.batchnode import BatchNode
from chivespan.batchownerclient import BatchOwnerClient
from chivespan.batchownership import PARTITIONS
from chivespan.batchrequesthandler import BatchRequestHandler
from chivespan.callerrequest import CallerRequest, Responder
from chivespan.clock import NO_WAIT, SystemClock
from chivespan.customers.customer import Customer
from chivespan.customers.keys import CustomerKeys, KeyHolder
from chivespan.errors import ChivespanError
from chivespan.fleetlinks import FleetLinks
from chivespan.ledgerstore import LedgerStore
from chivespan.nodemetrics import NodeMetrics
from chivespan.platform.documents import decode_config
from chivespan.routes import Route, RoutingTable
from chivespan.routingstate import RoutingState
from tests.factories import node
from tests.fakestore import FakeStore
from tests.fleet import BATCH_PREFIX, HOST, batch_route, config
from tests.test_ledgerstore import PARTITION

TOKENS = 100


@dataclass
class Answer:
    """What a caller received."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    async def send(self, message: Any) -> None:
        """Receive a part of the answer, as an ASGI server does."""
        if message["type"] == "http.response.start":
            self.status = message["status"]
            named = message["headers"]
            self.headers = {name.decode(): value.decode() for name, value in named}
        else:
            self.body += message["body"]

    @property
    def page(self) -> Any:
        """The decoded page of results."""
        return json.loads(self.body)


class LocalNode(BatchNode):
    """A node that handles the requests of all partitions from one ledger."""

    def __init__(self, handler: BatchRequestHandler) -> None:
        self._handlers = [handler] * PARTITIONS


class BatchCalls:
    """Serves calls on the jobs of one partition.

    :param customers: the customers in the configuration; None if it names none.
    """

    def __init__(
        self,
        store: FakeStore,
        customers: tuple[Customer, ...] | None = None,
        cap: int = 0,
    ) -> None:
        self._customers = customers
        self.clock = SystemClock()
        self.ledger = LedgerStore(store, PARTITION, self.clock, 2_000_000)
        self.routing = RoutingState(self._decode)
        self.routing.apply_if_newer(config(1, batch_route(cap=cap)), "test")
        self.handler = BatchRequestHandler(
            self.ledger,
            self.routing,
            self.clock,
            100_000,
            lambda _: None,
            lambda: None,
        )
        links = SimpleNamespace(own=node("n1"), peers={}, add_listener=lambda _: None)
        owners = BatchOwnerClient(
            cast(FleetLinks, links),
            cast(Any, SimpleNamespace(store_reached=True)),
            cast(Any, SimpleNamespace(owner_of=lambda _: "n1")),
            self.clock,
            LocalNode(self.handler).handle_request,
        )
        self.front = BatchFrontend(owners, self.clock, NodeMetrics())

    async def submit(
        self,
        customer: Customer | None,
        job_id: str,
        items: int = 1,
        item_headers: dict[str, str] | None = None,
        deadline_ms: int = 2000,
        fields: Mapping[str, Any] | None = None,
    ) -> Answer:
        """Submit a job with items named after it.

        :param fields: replace those of the last item.
        """
        rows = [
            {
                "id": f"{job_id}-{number}",
                "path": f"{BATCH_PREFIX}{number}",
                "headers": item_headers or {},
                "body": "q83vEjRWeJA=",
                "tokens": TOKENS,
            }
            for number in range(items)
        ]
        rows[-1] |= fields or {}
        body = json.dumps({"items": rows}).encode()
        path = f"{BATCH_PREFIX}{job_id}"
        request = self._request(customer, "POST", path, job_id, body, deadline_ms)
        answer = Answer()
        responder = Responder(answer.send, job_id)
        try:
            await self.front.submit(request, self._route, responder)
        except ChivespanError as error:
            await responder.send_error(error)
        return answer

    async def call(self, customer: Customer | None, method: str, path: str) -> Answer:
        """Make any other call on a job."""
        request = self._request(customer, method, path, "", b"", 2000)
        answer = Answer()
        responder = Responder(answer.send, "call")
        try:
            await self.front.serve_job(request, responder)
        except ChivespanError as error:
            await responder.send_error(error)
        return answer

    @property
    def _route(self) -> Route:
        assert self.routing.table is not None
        return self.routing.table.routes[0]

    def _decode(self, document: bytes) -> RoutingTable:
        table = decode_config(document)
        if self._customers is None:
            return table
        holders = [KeyHolder(each, ()) for each in self._customers]
        return replace(table, customers=CustomerKeys(holders))

    def _request(
        self,
        customer: Customer | None,
        method: str,
        path: str,
        request_id: str,
        body: bytes,
        deadline_ms: int,
    ) -> CallerRequest:
        return CallerRequest(
            request_id=request_id,
            method=method,
            host=HOST,
            path=path.partition("?")[0],
            target=path.encode(),
            headers=[(b"x-chivespan-deadline-ms", b"%d" % deadline_ms)],
            body=body,
            arrived=self.clock.monotonic(),
            customer=customer,
        )


@asynccontextmanager
async def serving(calls: BatchCalls) -> AsyncIterator[None]:
    """Let changes of jobs be committed."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(calls.ledger.run)
        await calls.ledger.refresh(NO_WAIT)
        yield
        tasks.cancel_scope.cancel()
