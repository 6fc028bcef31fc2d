"""One target of a slice as its owner counts it."""

from dataclasses import dataclass, field
from datetime import timedelta

from chivespan.documents import Runner
from chivespan.engineapi import EngineLoad
from chivespan.messages import TargetStatus, WorkClass
from chivespan.targethealth import HealthState, TargetHealth
from chivespan.targetsetup import READY, TargetSetup, observed_setup

SERVING_ROLE = "serve"


@dataclass(slots=True)
class OutcomeCounts:
    """How work ended on a target since it has what it has loaded."""

    done: int = 0
    failed: int = 0


@dataclass(slots=True)
class TargetState:
    """Exact counts of one target's grants, and what is known of it besides.

    :param listed: whether the inventory still has it.
    :param held: whether it gets nothing new, for the sake of an order.
    :param revoking: batch grants taken back whose slots aren't free yet.
    :param unreported_slots: slots that grants of an earlier owner may hold.
    :param recovering_until: monotonic time up to which there may be such grants; None
        once all are known.
    :param prefill_until: monotonic time up to which batch leaves some slots free.
    :param reported: the engine's last report, which lags.
    :param setup: what that says it has loaded; None when it doesn't say.
    """

    runner: Runner
    listed: bool = True
    cordoned: bool = False
    counts: dict[WorkClass, int] = field(
        default_factory=lambda: dict.fromkeys(WorkClass, 0)
    )
    revoking: int = 0
    unreported_slots: int = 0
    recovering_until: timedelta | None = None
    reported: EngineLoad | None = None
    setup: TargetSetup | None = None
    health: TargetHealth = field(default_factory=TargetHealth)
    outcomes: OutcomeCounts = field(default_factory=OutcomeCounts)
    usable_slots: int = 0
    prefill_until: timedelta = timedelta(0)

    @property
    def name(self) -> str:
        """The runner's name."""
        return self.runner.name

    @property
    def used(self) -> int:
        """Slots that grants hold."""
        return self.counts[WorkClass.online] + self.counts[WorkClass.batch]

    @property
    def free(self) -> int:
        """Slots that may be used and that no grant holds; negative when over."""
        return self.usable_slots - self.used

    @property
    def free_after_revocation(self) -> int:
        """Slots that come free once all batch taken back has gone."""
        return max(0, self.free + self.revoking)

    @property
    def unrevoked_batch(self) -> int:
        """Batch grants that have not been taken back."""
        return self.counts[WorkClass.batch] - self.revoking

    @property
    def can_preempt_batch(self) -> bool:
        """Whether taking one batch grant back makes a slot that may be used."""
        return self.unrevoked_batch > 0 and self.free + self.revoking >= 0

    @property
    def serving(self) -> bool:
        """Whether it may have new work: the inventory and the engine say so."""
        if not self.listed or self.cordoned or self.runner.role != SERVING_ROLE:
            return False
        return self.setup is None or self._engine_serves

    @property
    def _engine_serves(self) -> bool:
        reported = self.reported
        return (
            reported is not None
            and reported.state == READY
            and reported.role == SERVING_ROLE
        )

    @property
    def reported_load(self) -> float:
        """Running and waiting requests for each slot, as the engine last said."""
        if self.reported is None:
            return 0.0
        requests = self.reported.running + self.reported.waiting
        return requests / max(1, self.runner.slots)

    def utilization(self, work_class: WorkClass) -> float:
        """Return the part of the slots that work of a class holds."""
        return self.counts[work_class] / max(1, self.runner.slots)

    @property
    def recovering(self) -> bool:
        """Whether grants of an earlier owner may be out unseen."""
        return self.recovering_until is not None

    def end_recovery(self) -> None:
        """Take all grants for known."""
        self.recovering_until = None
        self.unreported_slots = 0

    def refresh(self, now: timedelta) -> None:
        """Work out how many slots may be used now."""
        if self.recovering_until is not None and now >= self.recovering_until:
            self.end_recovery()
        slots = self.health.slots(self.runner.slots, now) if self.serving else 0
        self.usable_slots = max(0, slots - self.unreported_slots)

    def serves(self, model: str) -> bool:
        """Return whether requests for ``model`` may run here.

        What the engine was seen to have loaded counts, and not what it was told to.
        """
        loaded = self.setup.model if self.setup else self.runner.model
        return loaded in ("", model)

    def apply_report(self, load: EngineLoad) -> None:
        """Take in the engine's report; its uses are counted anew for a new setup."""
        setup = observed_setup(load)
        if setup != self.setup:
            self.outcomes = OutcomeCounts()
        self.reported, self.setup = load, setup

    @property
    def _state_name(self) -> str:
        if not self.listed or self.runner.role != SERVING_ROLE:
            return "leaving"
        if not self.serving:
            return "held"
        if self.health.state is HealthState.HEALTHY:
            return "serving"
        return self.health.state.value

    def status(self, slice_id: str) -> TargetStatus:
        """Return what operators see."""
        return TargetStatus(
            target=self.name,
            slice_id=slice_id,
            state=self._state_name,
            slots=self.runner.slots,
            online_running=self.counts[WorkClass.online],
            batch_running=self.counts[WorkClass.batch],
            model=self.runner.model,
            version=self.runner.version,
        )
