"""Engines in memory, and owners of their slice that give them orders, step by step."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field, replace

import anyio
from anyio.abc import TaskGroup

from chivespan.configuration import Configuration
from chivespan.documents import Runner
from chivespan.engineapi import EngineLoad, EngineOrder
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.messages import WorkClass
from chivespan.metrics import Metrics
from chivespan.orderaudit import OrderAudit
from chivespan.targetreconciler import (
    RECONCILE_INTERVAL,
    ReconcilerContext,
    TargetReconciler,
)
from chivespan.targetsetup import TargetSetup
from chivespan.weightloadlimiter import WeightLoadLimiter
from tests.fakelog import FakeLog
from tests.schedulerharness import SLOTS, SchedulerHarness, SubmittedRequest, runner

OLD, NEW, NEWEST = (TargetSetup("m", version, (), "serve") for version in "123")
PERMITS_PER_MIN = 6000
MOST_STEPS = 200


@dataclass
class FakeEngine:
    """One engine.

    :ivar silent: it answers nothing.
    :ivar lose_orders: so many next orders don't arrive.
    :ivar lose_answers: so many next orders arrive and aren't answered.
    :ivar refuse: so many next orders are answered with an error.
    :ivar lag: so many next reports say what the first of them said.
    :ivar loads: every setup whose weights were fetched, in order.
    :ivar orders: every order that was taken.
    :ivar cut: those that came while a request ran.
    """

    checks_fencing: bool = True
    setup: TargetSetup = OLD
    loading: TargetSetup | None = None
    fence: int = -1
    running: int = 0
    silent: bool = False
    lose_orders: int = 0
    lose_answers: int = 0
    refuse: int = 0
    lag: int = 0
    loads: list[TargetSetup] = field(default_factory=list)
    orders: list[EngineOrder] = field(default_factory=list)
    cut: list[EngineOrder] = field(default_factory=list)
    _lagging: EngineLoad | None = None

    def report(self) -> EngineLoad:
        if self.lag and self._lagging is not None:
            self.lag -= 1
            return self._lagging
        self._lagging = EngineLoad(
            slots=SLOTS,
            running=self.running,
            waiting=0,
            model=self.setup.model,
            version=self.setup.version,
            role=self.setup.role,
            state="loading" if self.loading else "ready",
            fence=self.fence,
        )
        return self._lagging

    def take(self, order: EngineOrder) -> bool:
        if self.checks_fencing and order.fence < self.fence:
            return False
        self.orders.append(order)
        self.fence = max(self.fence, order.fence)
        if self.running:
            self.cut.append(order)
        wanted = TargetSetup(order.model, order.version, (), order.role)
        if wanted not in (self.setup, self.loading):
            self.loads.append(wanted)
            self.loading = wanted
        return True

    def finish(self) -> None:
        """End the load that is under way."""
        if self.loading is not None:
            self.setup, self.loading = self.loading, None

    def restart(self, setup: TargetSetup = OLD) -> None:
        self.setup, self.loading, self.fence = setup, None, -1


@dataclass
class FakeEngines:
    """All engines, by address.

    :ivar on_report: awaited once, between the next report and its arrival.
    """

    engines: dict[str, FakeEngine]
    on_report: Callable[[], Awaitable[None]] | None = None

    async def load(self, address: str) -> EngineLoad:
        await anyio.lowlevel.checkpoint()
        engine = self.engines[address]
        if engine.silent:
            raise ChivespanError(ErrorKind.TARGET_TIMEOUT, "silent")
        report = engine.report()
        if self.on_report is not None:
            awaited, self.on_report = self.on_report, None
            await awaited()
        return report

    async def order(self, address: str, order: EngineOrder) -> bool:
        await anyio.lowlevel.checkpoint()
        engine = self.engines[address]
        if engine.lose_orders:
            engine.lose_orders -= 1
            raise ChivespanError(ErrorKind.TARGET_UNREACHABLE, "lost on the way")
        if engine.refuse:
            engine.refuse -= 1
            raise ChivespanError(ErrorKind.TARGET_FAILED, "answered 500")
        taken = engine.take(order)
        if engine.lose_answers:
            engine.lose_answers -= 1
            raise ChivespanError(ErrorKind.TARGET_TIMEOUT, "answer lost")
        return taken


@dataclass
class Owner:
    """One owner of the slice: a dispatcher, as far as orders go."""

    bench: SchedulerHarness
    reconciler: TargetReconciler
    metrics: Metrics

    def configure(self, configuration: Configuration, runners: list[Runner]) -> None:
        """Hear of a change of the inventory."""
        part = replace(self.bench.slice_, runners=tuple(runners))
        self.bench.scheduler.reconfigure(part, configuration)
        self.reconciler.reconfigure(configuration)

    async def step(self) -> None:
        """Let the time between two looks pass, and look."""
        self.bench.advance(RECONCILE_INTERVAL)
        await self.reconciler.reconcile()

    async def probe(self, control: "FakeEngines") -> None:
        """Ask all engines for their load, as the scheduler does now and then."""
        for target in self.bench.scheduler.targets:
            report = await control.load(target.runner.address)
            self.bench.scheduler.report_load(target.name, report)

    async def ask(self, work_class: WorkClass = WorkClass.online) -> SubmittedRequest:
        return await self.bench.submit(work_class)


class OrderRig:
    """Engines of one kind, and the owners of their slice."""

    def __init__(self, tasks: TaskGroup, checks_fencing: bool, targets: int) -> None:
        self._tasks = tasks
        self.log = FakeLog()
        self.runners = [runner(index) for index in range(targets)]
        self.engines = [FakeEngine(checks_fencing) for _ in self.runners]
        addresses = (each.address for each in self.runners)
        self.control = FakeEngines(dict(zip(addresses, self.engines, strict=True)))
        self.offset = 0
        self.desired = OLD
        self.first = self.owner()

    def owner(self) -> Owner:
        """Return a new owner, which knows what the inventory says now."""
        bench = SchedulerHarness(self._tasks, self.runners)
        metrics = Metrics()
        permits = WeightLoadLimiter(PERMITS_PER_MIN, lambda: 1, bench.clock)
        audit = OrderAudit(self.log, bench.clock, metrics, "w")
        means = ReconcilerContext("10.0.0.1", self.control, permits, audit)
        configuration = self._configuration(bench)
        reconciler = TargetReconciler(
            bench.scheduler, means, configuration, bench.clock, metrics
        )
        made = Owner(bench, reconciler, metrics)
        made.configure(configuration, self._wanted())
        return made

    def publish(self, setup: TargetSetup, *heard_by: Owner) -> None:
        """Change the version in the inventory; only these owners hear of it."""
        self.offset += 1
        self.desired = setup
        for owner in heard_by:
            owner.configure(self._configuration(owner.bench), self._wanted())

    async def settle(self, *owners: Owner) -> None:
        """Step until every engine has what the inventory wants."""
        for _ in range(MOST_STEPS):
            await self.step(*owners)
            if self.settled:
                return
        raise AssertionError([str(each.setup) for each in self.engines])

    async def until_loading(self) -> None:
        """Let the first owner look until an engine loads; the load doesn't end."""
        while not any(engine.loading for engine in self.engines):
            await self.first.step()

    async def step(self, *owners: Owner) -> None:
        """Let owners, or else the first, look once; loads then end."""
        for owner in owners or (self.first,):
            await owner.probe(self.control)
            await owner.step()
        for engine in self.engines:
            engine.finish()

    @property
    def settled(self) -> bool:
        return all(
            engine.setup == self.desired and engine.loading is None
            for engine in self.engines
        )

    def check(self, loads: Sequence[TargetSetup]) -> None:
        """Check that every engine loaded just these, and no request was cut.

        No engine may have got an order more than that takes.
        """
        assert [len(engine.orders) for engine in self.engines] == [len(loads)] * len(
            self.engines
        )
        assert [engine.loads for engine in self.engines] == [list(loads)] * len(
            self.engines
        )
        assert not any(engine.cut for engine in self.engines)

    def _wanted(self) -> list[Runner]:
        return [
            replace(each, version=self.desired.version, role=self.desired.role)
            for each in self.runners
        ]

    def _configuration(self, bench: SchedulerHarness) -> Configuration:
        return replace(bench.configuration, offset=self.offset)
