"""Simulates the schedulers and engines of one site in one process.

The schedulers are the product's and the engines are the running batch of the engine
stand-in. A message between processes is simulated by a sleep.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace
from itertools import count

import anyio
from anyio.abc import TaskGroup

from bench.skiploop import LoopClock
from bench.spillorders import SPILL_ORDERS, SpillView
from chivespan.configuration import Configuration, DocumentId, StoredDocument
from chivespan.documents import (
    DocumentKind,
    Rule,
    Runner,
    Service,
    ServiceKind,
    WorkClassRule,
)
from chivespan.engineapi import EngineLoad
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.linkmessages import SliceLoad
from chivespan.messages import (
    Grant,
    GrantRelease,
    GrantRequest,
    HeldGrant,
    HeldGrants,
    Outcome,
    WorkClass,
)
from chivespan.policies import Policies
from chivespan.scheduler import SliceScheduler
from chivespan.slices import Slice, slices_of
from standins.enginebatch import Batch, EngineOptions, InFlightRequest, prefix_hash

HOP_DELAY_S = 0.001
HEARTBEAT_S = 0.5
FAILURE_DETECTION_S = 1.5
LOAD_REPORT_INTERVAL_S = 0.3
SERVICE = "lm"
MODEL = "m"
OWNERS = 4
SPILL_ERROR_KINDS = frozenset(
    {ErrorKind.NO_CAPACITY, ErrorKind.NO_DISPATCHER, ErrorKind.NO_TARGET}
)


@dataclass(frozen=True)
class Deployment:
    """Size of one example deployment."""

    name: str
    data_centres: int = 3
    runners_per_centre: int = 2

    @property
    def runners(self) -> int:
        """Number of runners in all data centres."""
        return self.data_centres * self.runners_per_centre


@dataclass(eq=False)
class ActiveGrant:
    """A grant and the state that its holder keeps for it."""

    grant: Grant
    request: GrantRequest
    scheduler: SliceScheduler
    revoked: anyio.Event = field(default_factory=anyio.Event)


@dataclass(frozen=True)
class GenerationTask:
    """A generation request and the number of tokens received in earlier attempts."""

    request_id: str
    prompt: str
    tokens: int
    received: int = 0


class EngineProbe:
    """Load reports of the engines, with the delay of real reports."""

    def __init__(self, engines: dict[str, Batch], options: EngineOptions) -> None:
        self._engines = engines
        self._options = options
        self._reports: dict[str, EngineLoad] = {}

    async def run(self) -> None:
        """Refresh the reports at the engines' report interval."""
        while True:
            self._reports = {
                address: _load_of(batch, self._options)
                for address, batch in self._engines.items()
            }
            await anyio.sleep(LOAD_REPORT_INTERVAL_S)

    async def load(self, address: str) -> EngineLoad:
        """Return the last report."""
        await anyio.sleep(2 * HOP_DELAY_S)
        return self._reports[address]


def _load_of(batch: Batch, options: EngineOptions) -> EngineLoad:
    return EngineLoad(
        slots=options.slots,
        running=len(batch.running),
        waiting=len(batch.waiting),
        kv_used=0.0,
        model=MODEL,
        version="1",
        adapters=[],
        role="serve",
        state="ready",
        fence=0,
    )


class Site:
    """One deployment simulated under one set of policies."""

    def __init__(
        self, deployment: Deployment, policies: Policies, engine: EngineOptions
    ) -> None:
        self.deployment = deployment
        self.engines: dict[str, Batch] = {}
        self._policies = policies
        self._engine = engine
        self._clock = LoopClock()
        self.configuration = self._configure()
        self.slices = slices_of(self.configuration)
        self.schedulers: dict[str, SliceScheduler] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._loads: dict[str, SliceLoad] = {}
        self._held: dict[str, ActiveGrant] = {}
        self._ids = count()
        self._probe = EngineProbe(self.engines, engine)

    def start(self, tasks: TaskGroup) -> None:
        """Start the engines, schedulers and load reports."""
        for engine in self.engines.values():
            tasks.start_soon(engine.run)
        tasks.start_soon(self._probe.run)
        for slice_id in self.slices:
            self._start_scheduler(slice_id, tasks)
        tasks.start_soon(self._publish_loads)

    async def kill_dispatcher(self, slice_id: str, tasks: TaskGroup) -> None:
        """Stop a slice's owner; a new one starts after the failure detection time."""
        self._scopes[slice_id].cancel()
        await anyio.sleep(FAILURE_DETECTION_S)
        self._start_scheduler(slice_id, tasks)
        await anyio.sleep(HOP_DELAY_S)
        for holder in {held.request.owner for held in self._held.values()}:
            self._report(slice_id, holder)

    async def acquire(self, request: GrantRequest, data_centre: str) -> ActiveGrant:
        """Request a slot from one slice after another, as an entry does.

        If no slice grants one at once, the request queues at the first full slice.

        :raises ChivespanError: if the request is refused.
        """
        view = SpillView(
            data_centre=data_centre,
            slices=list(self.slices.values()),
            loads=self._loads,
            distances={},
        )
        full: list[Slice] = []
        last = ChivespanError(ErrorKind.NO_TARGET, "service has no slices")
        for part in SPILL_ORDERS["nearest_with_room"](view):
            try:
                return await self.acquire_from(replace(request, max_wait_ms=0), part)
            except ChivespanError as refusal:
                if refusal.kind not in SPILL_ERROR_KINDS:
                    raise
                if refusal.kind is ErrorKind.NO_CAPACITY:
                    full.append(part)
                last = refusal
        if not full:
            raise last
        return await self.acquire_from(request, full[0])

    async def acquire_from(self, request: GrantRequest, part: Slice) -> ActiveGrant:
        """Request a slot from the owner of one slice."""
        slice_request = replace(request, slice_id=part.slice_id)
        await anyio.sleep(HOP_DELAY_S)
        scheduler = self.schedulers[part.slice_id]
        grant = await scheduler.acquire(slice_request, request.owner)
        held = ActiveGrant(grant, slice_request, scheduler)
        self._held[grant.grant_id] = held
        await anyio.sleep(HOP_DELAY_S)
        return held

    async def stream(
        self, held: ActiveGrant, work: GenerationTask
    ) -> AsyncIterator[int]:
        """Yield the index of each received token; stop if the grant is revoked."""
        engine = self.engines[held.grant.address]
        await anyio.sleep(HOP_DELAY_S)
        running = engine.add(work.request_id, work.prompt, work.tokens, work.received)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_cancel_on_revoke, held, engine, running)
                async for token in running.tokens:
                    yield token.index
                tasks.cancel_scope.cancel()
        finally:
            engine.remove(running)

    async def release(self, held: ActiveGrant, release: GrantRelease) -> None:
        """Release a slot to the current owner of the slice."""
        self._held.pop(held.grant.grant_id, None)
        await anyio.sleep(HOP_DELAY_S)
        self.schedulers[held.request.slice_id].release(release)

    def request(
        self, work: GenerationTask, owner: str, work_class: WorkClass
    ) -> GrantRequest:
        """Return a grant request for a generation task."""
        return GrantRequest(
            request_id=f"{work.request_id}/{next(self._ids)}",
            slice_id="",
            service=SERVICE,
            model=MODEL,
            owner=owner,
            work_class=work_class,
            deadline_ms=10_000 if work_class is WorkClass.online else 3_600_000,
            tokens=work.tokens - work.received,
            prefix_hash=prefix_hash(work.prompt),
        )

    def data_centre(self, index: int) -> str:
        """Return the name of a data centre."""
        return f"dc{index}"

    def _configure(self) -> Configuration:
        configuration = Configuration()
        service = Service(name=SERVICE, kind=ServiceKind.model, models=[MODEL])
        _put(configuration, DocumentKind.service, SERVICE, service)
        for owner in range(OWNERS):
            for work_class in WorkClassRule:
                name = f"owner{owner}-{work_class.value}"
                rule = Rule(
                    name=name,
                    owner=f"owner{owner}",
                    service=SERVICE,
                    work_class=work_class,
                )
                _put(configuration, DocumentKind.rule, name, rule)
        for index in range(self.deployment.runners):
            runner = self._runner(index)
            self.engines[runner.address] = Batch(self._engine)
            _put(configuration, DocumentKind.runner, runner.name, runner)
        return configuration

    def _runner(self, index: int) -> Runner:
        return Runner(
            name=f"runner{index}",
            service=SERVICE,
            address=f"127.0.1.{index + 1}:80",
            data_centre=self.data_centre(index % self.deployment.data_centres),
            slots=self._engine.slots,
            model=MODEL,
        )

    def _start_scheduler(self, slice_id: str, tasks: TaskGroup) -> None:
        def revoke(_holder: str, grant_id: str) -> None:
            tasks.start_soon(self._revoke, grant_id)

        scheduler = SliceScheduler(
            self.slices[slice_id],
            self.configuration,
            self._clock,
            self._policies,
            revoke,
            self._probe,
        )
        self.schedulers[slice_id] = scheduler
        scope = self._scopes[slice_id] = anyio.CancelScope()
        tasks.start_soon(_run_in, scope, scheduler)

    async def _revoke(self, grant_id: str) -> None:
        await anyio.sleep(HOP_DELAY_S)
        if grant_id in self._held:
            self._held[grant_id].revoked.set()

    async def _publish_loads(self) -> None:
        while True:
            await anyio.sleep(HEARTBEAT_S)
            for slice_id, scheduler in self.schedulers.items():
                self._loads[slice_id] = scheduler.load()

    def _report(self, slice_id: str, holder: str) -> None:
        grants = [
            HeldGrant(
                grant_id=held.grant.grant_id,
                target=held.grant.target,
                owner=held.request.owner,
                work_class=held.request.work_class,
            )
            for held in self._held.values()
            if held.request.slice_id == slice_id and held.request.owner == holder
        ]
        report = HeldGrants(slice_id=slice_id, grants=grants)
        self.schedulers[slice_id].report(holder, report)


async def _run_in(scope: anyio.CancelScope, scheduler: SliceScheduler) -> None:
    with scope:
        await scheduler.run()


async def _cancel_on_revoke(
    held: ActiveGrant, engine: Batch, running: InFlightRequest
) -> None:
    await held.revoked.wait()
    await anyio.sleep(HOP_DELAY_S)
    engine.remove(running)


def _put(
    configuration: Configuration,
    kind: DocumentKind,
    name: str,
    document: Service | Rule | Runner,
) -> None:
    configuration.put(DocumentId(kind, name), StoredDocument(document, 1, 0))


def new_release(held: ActiveGrant, outcome: Outcome, **measures: int) -> GrantRelease:
    """Return the release of a grant."""
    return GrantRelease(grant_id=held.grant.grant_id, outcome=outcome, **measures)
