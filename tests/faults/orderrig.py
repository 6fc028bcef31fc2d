"""Test rig: in-memory engines and the slice owners that send them orders stepwise."""

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
MAX_STEPS = 200


@dataclass
class FakeEngine:
    """An in-memory engine with injectable faults.

    :ivar silent: whether load requests time out.
    :ivar lose_orders: number of orders still to be lost before they arrive.
    :ivar lose_answers: number of orders still to take effect without an answer.
    :ivar refuse_orders: number of orders still to be answered with an error.
    :ivar stale_reports: number of times that the last load report is repeated.
    :ivar loads: every setup whose weights were loaded, in order.
    :ivar orders: every accepted order.
    :ivar orders_while_busy: accepted orders that arrived while a request ran.
    """

    checks_fencing: bool = True
    setup: TargetSetup = OLD
    loading: TargetSetup | None = None
    fence: int = -1
    running: int = 0
    silent: bool = False
    lose_orders: int = 0
    lose_answers: int = 0
    refuse_orders: int = 0
    stale_reports: int = 0
    loads: list[TargetSetup] = field(default_factory=list)
    orders: list[EngineOrder] = field(default_factory=list)
    orders_while_busy: list[EngineOrder] = field(default_factory=list)
    _stale_report: EngineLoad | None = None

    def report(self) -> EngineLoad:
        if self.stale_reports and self._stale_report is not None:
            self.stale_reports -= 1
            return self._stale_report
        self._stale_report = EngineLoad(
            slots=SLOTS,
            running=self.running,
            waiting=0,
            model=self.setup.model,
            version=self.setup.version,
            role=self.setup.role,
            state="loading" if self.loading else "ready",
            fence=self.fence,
        )
        return self._stale_report

    def apply_order(self, order: EngineOrder) -> bool:
        if self.checks_fencing and order.fence < self.fence:
            return False
        self.orders.append(order)
        self.fence = max(self.fence, order.fence)
        if self.running:
            self.orders_while_busy.append(order)
        wanted = TargetSetup(order.model, order.version, (), order.role)
        if wanted not in (self.setup, self.loading):
            self.loads.append(wanted)
            self.loading = wanted
        return True

    def finish(self) -> None:
        """Complete the load in progress."""
        if self.loading is not None:
            self.setup, self.loading = self.loading, None

    def restart(self, setup: TargetSetup = OLD) -> None:
        self.setup, self.loading, self.fence = setup, None, -1


@dataclass
class FakeEngines:
    """All engines by address.

    :ivar on_report: awaited once, after the next report is made and before it is
        returned.
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
            raise ChivespanError(ErrorKind.TARGET_UNREACHABLE, "order lost")
        if engine.refuse_orders:
            engine.refuse_orders -= 1
            raise ChivespanError(ErrorKind.TARGET_FAILED, "answered 500")
        taken = engine.apply_order(order)
        if engine.lose_answers:
            engine.lose_answers -= 1
            raise ChivespanError(ErrorKind.TARGET_TIMEOUT, "answer lost")
        return taken


@dataclass
class SliceOwner:
    """The part of a dispatcher that sends orders to the targets of its slice."""

    harness: SchedulerHarness
    reconciler: TargetReconciler
    metrics: Metrics

    def configure(self, configuration: Configuration, runners: list[Runner]) -> None:
        """Apply a change of the inventory."""
        part = replace(self.harness.slice_, runners=tuple(runners))
        self.harness.scheduler.reconfigure(part, configuration)
        self.reconciler.reconfigure(configuration)

    async def step(self) -> None:
        """Advance the clock by one reconciliation interval and reconcile."""
        self.harness.advance(RECONCILE_INTERVAL)
        await self.reconciler.reconcile()

    async def probe(self, control: "FakeEngines") -> None:
        """Request the load of all engines and report it, as the load probe does."""
        for target in self.harness.scheduler.targets:
            report = await control.load(target.runner.address)
            self.harness.scheduler.report_load(target.name, report)

    async def submit(
        self, work_class: WorkClass = WorkClass.online
    ) -> SubmittedRequest:
        return await self.harness.submit(work_class)


class OrderRig:
    """Engines that all check fencing numbers or all don't, and their slice owners."""

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

    def owner(self) -> SliceOwner:
        """Return a new slice owner with the current inventory."""
        harness = SchedulerHarness(self._tasks, self.runners)
        metrics = Metrics()
        limiter = WeightLoadLimiter(PERMITS_PER_MIN, lambda: 1, harness.clock)
        audit = OrderAudit(self.log, harness.clock, metrics, "w")
        context = ReconcilerContext("10.0.0.1", self.control, limiter, audit)
        configuration = self._configuration(harness)
        reconciler = TargetReconciler(
            harness.scheduler, context, configuration, harness.clock, metrics
        )
        slice_owner = SliceOwner(harness, reconciler, metrics)
        slice_owner.configure(configuration, self._wanted())
        return slice_owner

    def publish(self, setup: TargetSetup, *notified: SliceOwner) -> None:
        """Change the version in the inventory and apply it to these owners only."""
        self.offset += 1
        self.desired = setup
        for owner in notified:
            owner.configure(self._configuration(owner.harness), self._wanted())

    async def settle(self, *owners: SliceOwner) -> None:
        """Step until every engine has the desired setup."""
        for _ in range(MAX_STEPS):
            await self.step(*owners)
            if self.settled:
                return
        raise AssertionError([str(each.setup) for each in self.engines])

    async def step_until_loading(self) -> None:
        """Reconcile at the first owner until an engine starts a load."""
        while not any(engine.loading for engine in self.engines):
            await self.first.step()

    async def step(self, *owners: SliceOwner) -> None:
        """Reconcile once at these owners (default: the first); complete all loads."""
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
        """Assert that every engine made exactly these loads, with one order for each.

        No order may have arrived while a request ran.
        """
        assert [len(engine.orders) for engine in self.engines] == [len(loads)] * len(
            self.engines
        )
        assert [engine.loads for engine in self.engines] == [list(loads)] * len(
            self.engines
        )
        assert not any(engine.orders_while_busy for engine in self.engines)

    def _wanted(self) -> list[Runner]:
        return [
            replace(each, version=self.desired.version, role=self.desired.role)
            for each in self.runners
        ]

    def _configuration(self, harness: SchedulerHarness) -> Configuration:
        return replace(harness.configuration, offset=self.offset)
