"""Fakes for the dependencies of the batch worker: slots, engines and plain services."""

from collections import Counter
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta

import anyio
import msgspec

from chivespan.callerapi import BatchModelItem, BatchPlainItem
from chivespan.clock import Clock, SystemClock
from chivespan.configuration import Configuration
from chivespan.documents import Keeping, PlainCall, Service, ServiceKind
from chivespan.engineapi import EngineRequest
from chivespan.engineclient import StreamLimits, Token
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.heldslot import HeldSlot
from chivespan.itemrunner import ItemRunner
from chivespan.jobfold import jobs_stream
from chivespan.jobmessages import SubmitItem
from chivespan.jobplan import JobPlan, plan_job
from chivespan.jobrunner import START_GRACE
from chivespan.messages import Grant, GrantRelease, GrantRequest
from chivespan.metrics import Metrics
from chivespan.partitions import JobPartition, PartitionContext, Partitions
from chivespan.plainclient import PlainRequest
from chivespan.settings import NodeSettings
from chivespan.targethttp import HttpResponse
from tests.fakelog import FakeLog

MS = timedelta(milliseconds=1)
OWNER = "ranger"
MODEL_SERVICE = Service(name="glowtext", kind=ServiceKind.model, models=["m"])
PLAIN_SERVICE = Service(
    name="bookings",
    kind=ServiceKind.plain,
    calls=[PlainCall(method="POST", path="/permits", idempotent=True)],
)
SETTINGS = NodeSettings(
    vm="127.0.0.1",
    data_centre="scot-north-a",
    region="scot-north",
    log_url="",
    vm_list_url="",
    peer_key="key",
    partitions=1,
    log_appends_per_s=1000,
)


def configuration() -> Configuration:
    result = Configuration()
    result.services = {one.name: one for one in (MODEL_SERVICE, PLAIN_SERVICE)}
    result.keepings = {"keeping": Keeping(name="keeping", item_attempts=3)}
    return result


@dataclass
class FakeSlots:
    """Grants every slot at once and revokes grants on request.

    :ivar revoke_next: number of upcoming tokens after which the grant is revoked.
    :ivar held: held slots by request id.
    """

    revoke_next: int = 0
    held: dict[str, HeldSlot] = field(default_factory=dict)

    async def acquire(self, request: GrantRequest) -> HeldSlot:
        await anyio.lowlevel.checkpoint()
        grant = Grant(
            request_id=request.request_id,
            grant_id=f"g{len(self.held)}",
            target="t1",
            address="127.0.0.1:1",
            lifetime_ms=60_000,
        )

        def release(_release: GrantRelease) -> None:
            self.held.pop(request.request_id, None)

        slot = HeldSlot(grant, request, release)
        self.held[request.request_id] = slot
        return slot


@dataclass
class FakeEngines:
    """Answers each prompt with its own words; prompts "impossible..." fail.

    :ivar streams: number of streams started, by prompt.
    :ivar resumed: tokens from which the last stream was resumed, by prompt.
    :ivar gate: if ``gated``, streams wait for this event before their second token.
    :ivar running: number of open streams.
    """

    slots: FakeSlots
    streams: Counter[str] = field(default_factory=Counter)
    resumed: dict[str, list[str]] = field(default_factory=dict)
    gate: anyio.Event = field(default_factory=anyio.Event)
    gated: bool = False
    running: int = 0

    async def stream(
        self,
        address: str,
        request: EngineRequest,
        limits: StreamLimits,
    ) -> AsyncGenerator[Token, None]:
        self.streams[request.prompt] += 1
        self.resumed[request.prompt] = list(request.resume_tokens)
        self.running += 1
        try:
            if request.prompt.startswith("impossible"):
                raise ChivespanError(ErrorKind.TARGET_FAILED, "out of memory")
            words = request.prompt.split()
            for index in range(len(request.resume_tokens), len(words)):
                await anyio.lowlevel.checkpoint()
                if index == 1 and self.gated:
                    await self.gate.wait()
                last = index == len(words) - 1
                yield Token(index, words[index], "stop" if last else None)
                self._revoke(request)
        finally:
            self.running -= 1

    def _revoke(self, request: EngineRequest) -> None:
        if self.slots.revoke_next:
            self.slots.revoke_next -= 1
            self.slots.held[request.request_id].revoked.set()


@dataclass
class FakePlain:
    """Counts calls by body; a body that starts with "lost" gets no response."""

    calls: Counter[str] = field(default_factory=Counter)
    gate: anyio.Event | None = None

    async def call(
        self, address: str, request: PlainRequest, timeout: timedelta
    ) -> HttpResponse:
        body = request.body.decode()
        self.calls[body] += 1
        await anyio.lowlevel.checkpoint()
        if self.gate:
            await self.gate.wait()
        if body.startswith("lost"):
            raise ChivespanError(ErrorKind.TARGET_TIMEOUT, "no answer")
        return HttpResponse(200, "text/plain", body.encode())


@dataclass
class Site:
    """A log and fake targets that any number of batch workers share."""

    log: FakeLog = field(default_factory=FakeLog)
    slots: FakeSlots = field(default_factory=FakeSlots)
    plain: FakePlain = field(default_factory=FakePlain)
    clock: Clock = field(default_factory=SystemClock)
    metrics: list[Metrics] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.engines = FakeEngines(self.slots)

    def context(self, start_grace: timedelta = START_GRACE) -> PartitionContext:
        metrics = Metrics()
        self.metrics.append(metrics)
        items = ItemRunner(
            self.slots, self.engines, self.plain, self.clock, metrics, MS
        )
        return PartitionContext(
            settings=SETTINGS,
            log=self.log,
            writer=f"w{len(self.metrics)}",
            clock=self.clock,
            metrics=metrics,
            items=items,
            configuration=configuration,
            start_grace=start_grace,
        )

    @asynccontextmanager
    async def worker(
        self, *, owning: bool = True, start_grace: timedelta = START_GRACE
    ) -> AsyncIterator[JobPartition]:
        """Run a worker that owns the only partition, until the context exits."""
        async with self.partitions(start_grace) as partitions:
            if owning:
                partitions.set_owned(frozenset({jobs_stream(0)}))
            yield partitions.jobs(0)

    @asynccontextmanager
    async def partitions(
        self, start_grace: timedelta = START_GRACE
    ) -> AsyncIterator[Partitions]:
        partitions = Partitions(self.context(start_grace))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(partitions.run)
            await partitions.wait_started()
            yield partitions
            tasks.cancel_scope.cancel()


def model_plan(prompts: list[str], key: str = "k") -> JobPlan:
    items = [
        SubmitItem(
            item_key=f"i{number}",
            body=msgspec.json.encode(BatchModelItem(id=f"i{number}", prompt=prompt)),
        )
        for number, prompt in enumerate(prompts)
    ]
    return plan_job(
        items,
        owner=OWNER,
        job_key=key,
        service=MODEL_SERVICE.name,
        model="m",
        idempotent=True,
        partitions=1,
    )


def plain_plan(bodies: list[str], path: str = "/bookings") -> JobPlan:
    items = [
        SubmitItem(
            item_key=body,
            body=msgspec.json.encode(BatchPlainItem(id=body, path=path, body=body)),
        )
        for body in bodies
    ]
    return plan_job(
        items,
        owner=OWNER,
        job_key="k",
        service=PLAIN_SERVICE.name,
        model="",
        idempotent=path == "/permits",
        partitions=1,
    )
