"""Reconciles the engines of one slice with the inventory.

Reconciliation is level-triggered: the desired setup is repeatedly compared with the one
that the engine reports, and an order is sent only for a difference observed just
before. No state is inferred from orders that were sent. A lost order is therefore sent
again, an order that arrives late or from a previous owner of the slice is corrected in
the next cycle, and a restarted engine is set up again, whether or not the engine checks
fencing numbers.

A target is drained before its order, and only a few targets are out of service at a
time. The first target with a new version is its canary: if the version fails the first
requests, no further target gets it.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

import anyio

from chivespan.clock import Clock
from chivespan.configuration import Configuration
from chivespan.engineapi import EngineLoad, EngineOrder
from chivespan.errors import ChivespanError
from chivespan.failpoints import FailPoint, hit
from chivespan.loadprobe import LoadProbe
from chivespan.logs import logger
from chivespan.messages import TargetStatus
from chivespan.orderaudit import OrderAudit
from chivespan.peerlink import Counters
from chivespan.records import OrderRecord
from chivespan.scheduler import SliceScheduler
from chivespan.targetsetup import READY, TargetSetup, desired_setup, observed_setup
from chivespan.targetstate import TargetState
from chivespan.weightloadlimiter import WeightLoadLimiter

RECONCILE_INTERVAL = timedelta(seconds=1)
ORDER_TIMEOUT = timedelta(seconds=5)
MAX_OBSERVATION_AGE = timedelta(seconds=1)
CANARY_DURATION = timedelta(seconds=10)
MAX_UNAVAILABLE_DIVISOR = 4
CANARY_SUCCESSES = 3
CANARY_FAILURES = 3

_log = logger("orders")


class TargetControl(LoadProbe, Protocol):
    """Queries the load of targets and sends them orders."""

    async def order(self, address: str, order: EngineOrder) -> bool:
        """Send an order; return False if its fencing number was rejected.

        :raises ChivespanError: if no answer arrived; the order may have taken effect.
        """
        ...


class OrderPhase(StrEnum):
    """Phase of a target's order, with the text that operators see."""

    SETTLED = "settled"
    WAITING = "waits for its turn"
    STOPPED = "stopped: the new version fails"
    BEHIND = "waits for the configuration of a later order"
    DRAINING = "draining"
    ORDERED = "ordered"
    LOADING = "loading"


@dataclass(frozen=True, slots=True)
class ReconcilerContext:
    """Dependencies that the reconcilers of one node share.

    :param vm: IP address of the node's VM, for the audit trail.
    """

    vm: str
    control: TargetControl
    limiter: WeightLoadLimiter
    audit: OrderAudit


@dataclass(slots=True)
class _TargetProgress:
    """Reconciliation state of one target.

    :param ordered: setup of the last order, until its effect has been observed.
    :param ordered_at: monotonic time at which that order was sent.
    :param permitted: whether the weight load of the next order has its permit.
    :param observed_since: monotonic time since which the present setup is observed.
    """

    phase: OrderPhase = OrderPhase.SETTLED
    ordered: TargetSetup | None = None
    ordered_at: timedelta = timedelta(0)
    permitted: bool = False
    observed: TargetSetup | None = None
    observed_since: timedelta = timedelta(0)

    @property
    def unavailable(self) -> bool:
        """Whether the target is out of service because of an order."""
        return self.phase in (
            OrderPhase.DRAINING,
            OrderPhase.ORDERED,
            OrderPhase.LOADING,
        )


class TargetReconciler:
    """Brings the targets of one slice to the setups that the inventory specifies."""

    def __init__(
        self,
        scheduler: SliceScheduler,
        context: ReconcilerContext,
        configuration: Configuration,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._scheduler = scheduler
        self._context = context
        self._configuration = configuration
        self._clock = clock
        self._counters = counters
        self._progress: dict[str, _TargetProgress] = {}

    def reconfigure(self, configuration: Configuration) -> None:
        """Apply a change of the inventory."""
        self._configuration = configuration

    def annotate(self, status: TargetStatus) -> TargetStatus:
        """Return a target's status extended by the state of its order."""
        progress = self._progress.get(status.target)
        target = self._scheduler.target(status.target)
        if progress is None or target is None or progress.observed is None:
            return status
        return replace(
            status,
            desired=str(self._desired(target)),
            ordered=str(progress.ordered or ""),
            observed=str(progress.observed),
            phase=progress.phase.value,
        )

    async def run(self) -> None:
        """Reconcile the targets periodically until cancelled."""
        while True:
            await self.reconcile()
            await anyio.sleep(RECONCILE_INTERVAL.total_seconds())

    async def reconcile(self) -> None:
        """Take the next due step for every target that differs from the inventory."""
        listed = (target for target in self._scheduler.targets if target.listed)
        targets = {target.name: target for target in listed}
        self._progress = {
            name: self._progress.get(name) or _TargetProgress() for name in targets
        }
        async with anyio.create_task_group() as tasks:
            for target in targets.values():
                self._track_setup(target)
                if self._is_unsettled(target):
                    tasks.start_soon(self._reconcile_target, target)

    def _track_setup(self, target: TargetState) -> None:
        """Record since when a target has its present setup."""
        progress = self._progress[target.name]
        if progress.observed != target.setup:
            progress.observed = target.setup
            progress.observed_since = self._clock.monotonic()

    def _is_unsettled(self, target: TargetState) -> bool:
        progress = self._progress[target.name]
        if target.cordoned or progress.phase is not OrderPhase.SETTLED:
            return True
        return target.setup not in (None, self._desired(target))

    async def _reconcile_target(self, target: TargetState) -> None:
        report = await self._observe(target)
        if report is None:
            return
        progress = self._progress[target.name]
        observed, desired = observed_setup(report), self._desired(target)
        if observed is None or (observed == desired and report.state == READY):
            self._settle(target)
        elif report.state != READY:
            self._set_phase(target, OrderPhase.LOADING)
        elif report.fence > self._configuration.offset:
            self._defer(target, OrderPhase.BEHIND)
        elif progress.ordered == desired and self._is_order_pending(progress):
            self._set_phase(target, OrderPhase.ORDERED)
        elif self._canary_failed(desired):
            self._defer(target, OrderPhase.STOPPED)
        elif not self._may_start(target, observed, desired):
            self._defer(target, OrderPhase.WAITING)
        elif not self._is_drained(target, report):
            self._set_phase(target, OrderPhase.DRAINING)
            self._scheduler.cordon(target.name)
        else:
            await self._order(target, observed, desired)

    async def _observe(self, target: TargetState) -> EngineLoad | None:
        """Query the target and apply its report; return None if it does not answer."""
        try:
            report = await self._context.control.load(target.runner.address)
        except ChivespanError:
            self._counters.incr("orders.unobserved")
            return None
        self._scheduler.report_load(target.name, report)
        self._track_setup(target)
        return report

    async def _order(
        self, target: TargetState, observed: TargetSetup, desired: TargetSetup
    ) -> None:
        """Audit an order, observe the target again, and send if nothing changed."""
        fence = self._configuration.offset
        record = self._record(target, observed, desired, fence)
        await self._context.audit.record(record)
        await hit(FailPoint.ORDER_NOTED)
        observed_at = self._clock.monotonic()
        report = await self._observe(target)
        if report is None or observed_setup(report) != observed:
            return
        now = self._clock.monotonic()
        stale = (
            now - observed_at > MAX_OBSERVATION_AGE
            or fence != self._configuration.offset
        )
        if stale or not self._is_drained(target, report):
            self._counters.incr("orders.held_back")
            return
        progress = self._progress[target.name]
        progress.ordered, progress.ordered_at = desired, now
        progress.permitted = False
        self._set_phase(target, OrderPhase.ORDERED)
        await self._send(target, desired, fence)

    async def _send(
        self, target: TargetState, desired: TargetSetup, fence: int
    ) -> None:
        self._counters.incr("orders.sent")
        _log.notice("order", target=target.name, setup=str(desired), fence=fence)
        await hit(FailPoint.ORDER_SEND)
        try:
            accepted = await self._context.control.order(
                target.runner.address, desired.order(fence)
            )
        except ChivespanError:
            self._counters.incr("orders.unanswered")
            return
        if not accepted:
            self._counters.incr("orders.refused")

    def _record(
        self,
        target: TargetState,
        observed: TargetSetup,
        desired: TargetSetup,
        fence: int,
    ) -> OrderRecord:
        return OrderRecord(
            vm=self._context.vm,
            target=target.name,
            fence=fence,
            model=desired.model,
            version=desired.version,
            adapters=list(desired.adapters),
            role=desired.role,
            before=str(observed),
        )

    def _settle(self, target: TargetState) -> None:
        """Return a target with the desired setup to service."""
        progress = self._progress[target.name]
        progress.ordered = None
        self._set_phase(target, OrderPhase.SETTLED)
        self._scheduler.uncordon(target.name)

    def _defer(self, target: TargetState, phase: OrderPhase) -> None:
        """Let a target serve with its present setup until its order may start."""
        self._set_phase(target, phase)
        self._scheduler.uncordon(target.name)

    def _set_phase(self, target: TargetState, phase: OrderPhase) -> None:
        progress = self._progress[target.name]
        if progress.phase is phase:
            return
        _log.notice("target", target=target.name, phase=phase.value)
        progress.phase = phase

    def _may_start(
        self, target: TargetState, observed: TargetSetup, desired: TargetSetup
    ) -> bool:
        """Return whether a target may be taken out of service for its order now."""
        progress = self._progress[target.name]
        if progress.unavailable:
            return True
        others = [each for name, each in self._progress.items() if name != target.name]
        unavailable = sum(each.unavailable for each in others)
        if unavailable >= max(1, len(self._progress) // MAX_UNAVAILABLE_DIVISOR):
            return False
        if unavailable and not self._canary_passed(desired):
            return False
        if self._canary_running(desired):
            return False
        if desired.loads_weights(observed) and not progress.permitted:
            progress.permitted = self._context.limiter.try_acquire()
            return progress.permitted
        return True

    def _is_drained(self, target: TargetState, report: EngineLoad) -> bool:
        """Return whether no granted request can still be running on the target."""
        idle = report.running == 0 and report.waiting == 0
        return target.cordoned and idle and target.used == 0 and not target.recovering

    def _is_order_pending(self, progress: _TargetProgress) -> bool:
        return self._clock.monotonic() - progress.ordered_at < ORDER_TIMEOUT

    def _targets_with(self, setup: TargetSetup) -> Iterator[TargetState]:
        """Yield the targets whose last observed setup is ``setup``."""
        for target in self._scheduler.targets:
            progress = self._progress.get(target.name)
            if progress is not None and progress.observed == setup:
                yield target

    def _canary_failed(self, setup: TargetSetup) -> bool:
        """Return whether a setup failed its first requests, with no success so far."""
        targets = list(self._targets_with(setup))
        done = sum(target.outcomes.done for target in targets)
        return done == 0 and any(
            target.outcomes.failed >= CANARY_FAILURES for target in targets
        )

    def _canary_passed(self, setup: TargetSetup) -> bool:
        """Return whether a setup has served enough requests, or long enough."""
        return any(
            target.outcomes.done >= CANARY_SUCCESSES
            or self._served_without_failure(target)
            for target in self._targets_with(setup)
        )

    def _canary_running(self, setup: TargetSetup) -> bool:
        """Return whether a target has a setup that has not passed its canary yet."""
        return any(True for _ in self._targets_with(setup)) and not self._canary_passed(
            setup
        )

    def _served_without_failure(self, target: TargetState) -> bool:
        progress = self._progress[target.name]
        elapsed = self._clock.monotonic() - progress.observed_since
        return target.outcomes.failed == 0 and elapsed >= CANARY_DURATION

    def _desired(self, target: TargetState) -> TargetSetup:
        return desired_setup(target.runner, self._configuration)
