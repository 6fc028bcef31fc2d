"""Test rig: one entry in this process; relays in front of stand-ins for targets."""

from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta

import anyio
from starlette.types import ASGIApp

from chivespan.auth import key_hash
from chivespan.claimclient import GrantedClaim, RecordedAnswer
from chivespan.clock import SystemClock
from chivespan.configuration import (
    Configuration,
    Document,
    DocumentId,
    StoredDocument,
)
from chivespan.documents import (
    DataCentre,
    DocumentKind,
    Model,
    Owner,
    PlainCall,
    Region,
    Rule,
    Runner,
    Service,
    ServiceKind,
    WorkClassRule,
)
from chivespan.entry import entry_context
from chivespan.entrycontext import EntryContext
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.httpapi import HttpApi, application
from chivespan.messages import (
    Grant,
    GrantRelease,
    GrantRequest,
    Outcome,
    VmState,
    VmView,
)
from chivespan.metrics import Metrics
from chivespan.policies import Policies
from chivespan.scheduler import SliceScheduler
from chivespan.settings import NodeSettings
from chivespan.slices import slices_of
from chivespan.targethttp import HttpResponse, TargetHttp
from standins.engine import EngineFaults, EngineStandIn
from standins.enginebatch import EngineOptions
from standins.plainservice import PlainOptions, PlainStandIn
from standins.serving import serving
from tests.callers import MODEL, Caller
from tests.oracle import Observations, violations
from tests.relay import Relay, relaying

OWNER_KEY = "owner-key"
DATA_CENTRE = "a"
REGION = "r"
ENGINES = 3
DEADLINE_MS = 3000
QUICK_ENGINE = EngineOptions(slots=4, step_ms=2, step_ms_per_request=0.1)


def configuration_of(
    engines: Sequence[str], plains: Sequence[str], *, deadline_ms: int = DEADLINE_MS
) -> Configuration:
    """Return a configuration that lists these targets in one data centre."""
    service = Service(
        name="lm",
        kind=ServiceKind.model,
        models=[MODEL],
        deadline_ms=deadline_ms,
        first_token_ms=150,
        token_gap_ms=15,
    )
    calls = [
        PlainCall(method="POST", path="/bookings", idempotent=False),
        PlainCall(method="GET", path="/permits/*", idempotent=True),
    ]
    plain = Service(
        name="desk", kind=ServiceKind.plain, calls=calls, deadline_ms=deadline_ms // 3
    )
    documents: list[tuple[DocumentKind, Document]] = [
        (DocumentKind.region, Region(name="r")),
        (DocumentKind.data_centre, DataCentre(name="a", region="r")),
        (DocumentKind.model, Model(name=MODEL, version="1")),
        (DocumentKind.service, service),
        (DocumentKind.service, plain),
        (DocumentKind.owner, Owner(name="o", key_sha256=[key_hash(OWNER_KEY)])),
    ]
    for name in ("lm", "desk"):
        rule = Rule(name=name, owner="o", service=name, work_class=WorkClassRule.online)
        documents.append((DocumentKind.rule, rule))
        batch = replace(rule, name=f"{name}-b", work_class=WorkClassRule.batch)
        documents.append((DocumentKind.rule, batch))
    for index, address in enumerate(engines):
        documents.append((DocumentKind.runner, _runner("lm", index, address)))
    for index, address in enumerate(plains):
        documents.append((DocumentKind.runner, _runner("desk", index, address)))
    configuration = Configuration()
    for offset, (kind, document) in enumerate(documents):
        stored = StoredDocument(document, 1, offset)
        configuration.put(DocumentId(kind, document.name), stored)
        configuration.offset = offset
    return configuration


def _runner(service: str, index: int, address: str) -> Runner:
    return Runner(
        name=f"{service}-{index}",
        service=service,
        address=address,
        data_centre="a",
        slots=4,
        model=MODEL if service == "lm" else "",
        version="1",
    )


@dataclass
class LocalSlot:
    """A slot granted by a scheduler in this process."""

    grant: Grant
    scheduler: SliceScheduler

    def release(
        self,
        outcome: Outcome,
        first_token: timedelta | None = None,
        token_gap: timedelta | None = None,
        tokens: int = 0,
    ) -> None:
        """Release the slot to its scheduler."""
        release = GrantRelease(
            grant_id=self.grant.grant_id, outcome=outcome, tokens=tokens
        )
        self.scheduler.release(release)


class LocalSlots:
    """Grants slots from schedulers in this process, one for each service's slice."""

    def __init__(self, configuration: Configuration) -> None:
        self.schedulers = {
            part.service: SliceScheduler(
                part,
                configuration,
                SystemClock(),
                Policies(),
                lambda _holder, _grant: None,
            )
            for part in slices_of(configuration).values()
        }
        for scheduler in self.schedulers.values():
            scheduler.expect_reports([])

    async def acquire(self, request: GrantRequest) -> LocalSlot:
        """Wait for a slot."""
        scheduler = self.schedulers[request.service]
        return LocalSlot(await scheduler.acquire(request, "here"), scheduler)

    async def run(self) -> None:
        """Run the schedulers."""
        async with anyio.create_task_group() as tasks:
            for scheduler in self.schedulers.values():
                tasks.start_soon(scheduler.run)


class UnavailableClaims:
    """Refuses every claim, as during an outage of the log."""

    async def claim(
        self, owner: str, key: str, digest: str, service: str, path: str
    ) -> GrantedClaim | RecordedAnswer:
        """Raise ``LOG_UNAVAILABLE``."""
        raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, "log outage")

    async def record_answer(self, claim: GrantedClaim, answer: HttpResponse) -> None:
        """Record nothing."""

    async def record_unknown(self, claim: GrantedClaim) -> None:
        """Record nothing."""

    async def record_not_run(self, claim: GrantedClaim) -> None:
        """Record nothing."""


@dataclass
class StaticView:
    """A view of the configuration and the VMs that never changes."""

    configuration: Configuration
    vms: tuple[VmView, ...] = (
        VmView(vm="127.0.0.1", data_centre="a", region="r", state=VmState.live),
    )


@dataclass
class ServedApp:
    """An ASGI application with no background work."""

    app: ASGIApp

    async def run(self) -> None:
        """Return at once, as there is no background work."""


SETTINGS = NodeSettings(
    vm="127.0.0.1",
    data_centre="a",
    region="r",
    log_url="",
    vm_list_url="",
    peer_key="k",
)


@dataclass
class OnlineRig:
    """Components that a scenario controls, and its observations."""

    engines: list[EngineStandIn]
    plain: PlainStandIn
    relays: list[Relay]
    plain_relay: Relay
    slots: LocalSlots
    context: EntryContext
    caller: Caller
    observations: Observations = field(default_factory=Observations)

    def inject_faults(self, faults: EngineFaults) -> None:
        """Inject the faults into all engines, which share the ``times`` left."""
        for engine in self.engines:
            engine.faults = faults

    async def stream(
        self, prompt: str = "Is pickup 7 confirmed?", tokens: int = 8
    ) -> str:
        """Request a streamed answer, record it, and return how it ended."""
        got = await self.caller.stream(prompt, tokens)
        self.observations.generated.append(got)
        return got.ended

    async def book(self, body: str = "12 pigs, gate 2") -> int:
        """Place a (non-idempotent) booking, record the response, return its status."""
        got = await self.caller.call("POST", "/services/desk/bookings", body)
        self.observations.calls.append(got)
        self.observations.not_repeatable.append(body)
        return got.status

    async def permit(self, number: str) -> int:
        """Request a permit, record the response, and return its status."""
        got = await self.caller.call("GET", f"/services/desk/permits/{number}", number)
        self.observations.calls.append(got)
        return got.status

    def check(self) -> None:
        """Assert that the oracle finds no violation."""
        assert self.violations() == []

    def violations(self) -> list[str]:
        """Return the oracle's violations, given the targets' journals."""
        journals = [engine.journal for engine in self.engines] + [self.plain.journal]
        self.observations.journals = {
            str(index): journal.entries for index, journal in enumerate(journals)
        }
        return violations(self.observations)


@asynccontextmanager
async def online_rig(
    *, deadline_ms: int = DEADLINE_MS, plains: int = 1
) -> AsyncIterator[OnlineRig]:
    """Run an entry and its schedulers, with engines and a plain service as targets.

    :param plains: number of names under which the inventory lists the plain service.
    """
    engines = [EngineStandIn(QUICK_ENGINE) for _ in range(ENGINES)]
    plain = PlainStandIn(PlainOptions(call_ms=1))
    async with AsyncExitStack() as stack:
        *behind, plain_address = await stack.enter_async_context(
            serving(*engines, plain)
        )
        relays = [
            await stack.enter_async_context(relaying(address)) for address in behind
        ]
        plain_relay, plain_at = await stack.enter_async_context(relaying(plain_address))
        addresses = [address for _, address in relays]
        configuration = configuration_of(
            addresses, [plain_at] * plains, deadline_ms=deadline_ms
        )
        slots = LocalSlots(configuration)
        http = await stack.enter_async_context(TargetHttp())
        view = StaticView(configuration)
        context = entry_context(
            SETTINGS, view, slots, UnavailableClaims(), http, Metrics()
        )
        entry = ServedApp(application(context, HttpApi(context).routes()))
        [address] = await stack.enter_async_context(serving(entry))
        tasks = await stack.enter_async_context(anyio.create_task_group())
        tasks.start_soon(slots.run)
        yield OnlineRig(
            engines,
            plain,
            [relay for relay, _ in relays],
            plain_relay,
            slots,
            context,
            Caller(address, OWNER_KEY),
        )
        tasks.cancel_scope.cancel()
