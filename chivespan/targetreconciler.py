"""Sees to it that the engines of one slice have loaded what the inventory says.

Level-triggered: what the inventory wants is compared with what the engine says, again
and again, and an order is only ever the answer to a difference seen just before.
Nothing is concluded from an order that was sent. So a lost order is sent again, one
that came late or from an earlier owner of the slice is put right at the next look, and
an engine that has restarted is set up anew, whether or not it checks fencing numbers.

A target is drained before its order, a few at a time, and a version that fails its
first requests is given to no further target.
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
from chivespan.loadprobe import LoadProbe
from chivespan.logs import logger
from chivespan.messages import TargetStatus
from chivespan.orderaudit import OrderAudit
from chivespan.peerlink import Counters
from chivespan.records import OrderRecord
from chivespan.scheduler import SliceScheduler
from chivespan.steps import Step, reach
from chivespan.targetsetup import READY, TargetSetup, desired_setup, observed_setup
from chivespan.targetstate import TargetState
from chivespan.weightloadlimiter import WeightLoadLimiter

RECONCILE_INTERVAL = timedelta(seconds=1)
ORDER_PATIENCE = timedelta(seconds=5)
SEEN_LATELY = timedelta(seconds=1)
TRIAL_TIME = timedelta(seconds=10)
OUT_PART = 4
CANARY_SUCCESSES = 3
CANARY_FAILURES = 3

_log = logger("orders")


class TargetControl(LoadProbe, Protocol):
    """Asks a target what it has loaded, and gives it orders."""

    async def order(self, address: str, order: EngineOrder) -> bool:
        """Send an order; return False when its fencing number was refused.

        :raises ChivespanError: when no answer came; it may have taken effect.
        """
        ...


class OrderPhase(StrEnum):
    """Where a target's order stands."""

    SETTLED = "settled"
    WAITING = "waits for its turn"
    STOPPED = "stopped: the new version fails"
    BEHIND = "waits for the configuration of a later order"
    DRAINING = "draining"
    ORDERED = "ordered"
    LOADING = "loading"


@dataclass(frozen=True, slots=True)
class ReconcilerContext:
    """What the keepers of one node share.

    :param vm: IP number of the node's VM, for the audit trail.
    """

    vm: str
    control: TargetControl
    limiter: WeightLoadLimiter
    audit: OrderAudit


@dataclass(slots=True)
class _Watched:
    """What the keeper knows of one target.

    :param ordered: the order that is out, whose effect wasn't seen yet.
    :param permitted: whether a permit of the weight store was taken for the next order.
    :param in_force_since: since when the present setup was seen.
    """

    phase: OrderPhase = OrderPhase.SETTLED
    ordered: TargetSetup | None = None
    ordered_at: timedelta = timedelta(0)
    permitted: bool = False
    observed: TargetSetup | None = None
    in_force_since: timedelta = timedelta(0)

    @property
    def out(self) -> bool:
        """Whether the target serves nothing, for the sake of an order."""
        return self.phase in (
            OrderPhase.DRAINING,
            OrderPhase.ORDERED,
            OrderPhase.LOADING,
        )


class TargetReconciler:
    """Keeps the targets of one slice as the inventory wants them."""

    def __init__(
        self,
        scheduler: SliceScheduler,
        means: ReconcilerContext,
        configuration: Configuration,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._scheduler = scheduler
        self._means = means
        self._configuration = configuration
        self._clock = clock
        self._counters = counters
        self._watched: dict[str, _Watched] = {}

    def reconfigure(self, configuration: Configuration) -> None:
        """Take over a change of the inventory."""
        self._configuration = configuration

    def annotate(self, status: TargetStatus) -> TargetStatus:
        """Return a target's status with where its order stands."""
        watched = self._watched.get(status.target)
        target = self._scheduler.target(status.target)
        if watched is None or target is None or watched.observed is None:
            return status
        return replace(
            status,
            desired=str(self._desired(target)),
            ordered=str(watched.ordered or ""),
            observed=str(watched.observed),
            phase=watched.phase.value,
        )

    async def run(self) -> None:
        """Look at every target that isn't as it should be, for ever."""
        while True:
            await self.reconcile()
            await anyio.sleep(RECONCILE_INTERVAL.total_seconds())

    async def reconcile(self) -> None:
        """Do for each target the next thing that is due."""
        listed = (target for target in self._scheduler.targets if target.listed)
        targets = {target.name: target for target in listed}
        self._watched = {
            name: self._watched.get(name) or _Watched() for name in targets
        }
        async with anyio.create_task_group() as tasks:
            for target in targets.values():
                self._take_in(target)
                if self._is_unsettled(target):
                    tasks.start_soon(self._attend, target)

    def _take_in(self, target: TargetState) -> None:
        """Note since when a target has what it was last seen to have."""
        watched = self._watched[target.name]
        if watched.observed != target.setup:
            watched.observed = target.setup
            watched.in_force_since = self._clock.monotonic()

    def _is_unsettled(self, target: TargetState) -> bool:
        watched = self._watched[target.name]
        if target.cordoned or watched.phase is not OrderPhase.SETTLED:
            return True
        return target.setup not in (None, self._desired(target))

    async def _attend(self, target: TargetState) -> None:
        seen = await self._observe(target)
        if seen is None:
            return
        watched = self._watched[target.name]
        observed, desired = observed_setup(seen), self._desired(target)
        if observed is None or (observed == desired and seen.state == READY):
            self._settle(target)
        elif seen.state != READY:
            self._enter(target, OrderPhase.LOADING)
        elif seen.fence > self._configuration.offset:
            self._wait(target, OrderPhase.BEHIND)
        elif watched.ordered == desired and self._is_fresh(watched):
            self._enter(target, OrderPhase.ORDERED)
        elif self._failing(desired):
            self._wait(target, OrderPhase.STOPPED)
        elif not self._has_turn(target, observed, desired):
            self._wait(target, OrderPhase.WAITING)
        elif not self._is_drained(target, seen):
            self._enter(target, OrderPhase.DRAINING)
            self._scheduler.cordon(target.name)
        else:
            await self._order(target, observed, desired)

    async def _observe(self, target: TargetState) -> EngineLoad | None:
        """Return what the target says now; None when it gives no answer."""
        try:
            seen = await self._means.control.load(target.runner.address)
        except ChivespanError:
            self._counters.incr("orders.unobserved")
            return None
        self._scheduler.report_load(target.name, seen)
        self._take_in(target)
        return seen

    async def _order(
        self, target: TargetState, observed: TargetSetup, desired: TargetSetup
    ) -> None:
        """Note an order, look once more, and send it if all is as it was."""
        fence = self._configuration.offset
        record = self._record(target, observed, desired, fence)
        await self._means.audit.note(record)
        await reach(Step.ORDER_NOTED)
        asked_at = self._clock.monotonic()
        seen = await self._observe(target)
        if seen is None or observed_setup(seen) != observed:
            return
        now = self._clock.monotonic()
        stale = now - asked_at > SEEN_LATELY or fence != self._configuration.offset
        if stale or not self._is_drained(target, seen):
            self._counters.incr("orders.held_back")
            return
        watched = self._watched[target.name]
        watched.ordered, watched.ordered_at = desired, now
        watched.permitted = False
        self._enter(target, OrderPhase.ORDERED)
        await self._send(target, desired, fence)

    async def _send(
        self, target: TargetState, desired: TargetSetup, fence: int
    ) -> None:
        self._counters.incr("orders.sent")
        _log.notice("order", target=target.name, setup=str(desired), fence=fence)
        await reach(Step.ORDER_SEND)
        try:
            taken = await self._means.control.order(
                target.runner.address, desired.order(fence)
            )
        except ChivespanError:
            self._counters.incr("orders.unanswered")
            return
        if not taken:
            self._counters.incr("orders.refused")

    def _record(
        self,
        target: TargetState,
        observed: TargetSetup,
        desired: TargetSetup,
        fence: int,
    ) -> OrderRecord:
        return OrderRecord(
            vm=self._means.vm,
            target=target.name,
            fence=fence,
            model=desired.model,
            version=desired.version,
            adapters=list(desired.adapters),
            role=desired.role,
            before=str(observed),
        )

    def _settle(self, target: TargetState) -> None:
        """Let a target that is as it should be serve."""
        watched = self._watched[target.name]
        watched.ordered = None
        self._enter(target, OrderPhase.SETTLED)
        self._scheduler.uncordon(target.name)

    def _wait(self, target: TargetState, phase: OrderPhase) -> None:
        """Let a target serve what it has until its turn comes."""
        self._enter(target, phase)
        self._scheduler.uncordon(target.name)

    def _enter(self, target: TargetState, phase: OrderPhase) -> None:
        watched = self._watched[target.name]
        if watched.phase is phase:
            return
        _log.notice("target", target=target.name, phase=phase.value)
        watched.phase = phase

    def _has_turn(
        self, target: TargetState, observed: TargetSetup, desired: TargetSetup
    ) -> bool:
        """Return whether a target may leave service for its order now."""
        watched = self._watched[target.name]
        if watched.out:
            return True
        others = [each for name, each in self._watched.items() if name != target.name]
        out = sum(each.out for each in others)
        if out >= max(1, len(self._watched) // OUT_PART):
            return False
        if out and not self._proven(desired):
            return False
        if self._on_trial(desired):
            return False
        if desired.loads_weights(observed) and not watched.permitted:
            watched.permitted = self._means.limiter.try_acquire()
            return watched.permitted
        return True

    def _is_drained(self, target: TargetState, seen: EngineLoad) -> bool:
        """Return whether no request that was granted may still run there."""
        idle = seen.running == 0 and seen.waiting == 0
        return target.cordoned and idle and target.used == 0 and not target.recovering

    def _is_fresh(self, watched: _Watched) -> bool:
        return self._clock.monotonic() - watched.ordered_at < ORDER_PATIENCE

    def _having(self, setup: TargetSetup) -> Iterator[TargetState]:
        """Yield the targets that were last seen with a setup."""
        for target in self._scheduler.targets:
            watched = self._watched.get(target.name)
            if watched is not None and watched.observed == setup:
                yield target

    def _failing(self, setup: TargetSetup) -> bool:
        """Return whether a setup failed its first requests and none went well."""
        having = list(self._having(setup))
        done = sum(target.outcomes.done for target in having)
        return done == 0 and any(
            target.outcomes.failed >= CANARY_FAILURES for target in having
        )

    def _proven(self, setup: TargetSetup) -> bool:
        return any(
            target.outcomes.done >= CANARY_SUCCESSES or self._served_long(target)
            for target in self._having(setup)
        )

    def _on_trial(self, setup: TargetSetup) -> bool:
        """Return whether a target has a setup that still must show its worth."""
        return any(True for _ in self._having(setup)) and not self._proven(setup)

    def _served_long(self, target: TargetState) -> bool:
        watched = self._watched[target.name]
        passed = self._clock.monotonic() - watched.in_force_since
        return target.outcomes.failed == 0 and passed >= TRIAL_TIME

    def _desired(self, target: TargetState) -> TargetSetup:
        return desired_setup(target.runner, self._configuration)
