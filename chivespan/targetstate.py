"""State of one target of a slice, as the slice's owner tracks it."""

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
    """Number of requests by outcome since the target loaded its present setup."""

    done: int = 0
    failed: int = 0


@dataclass(slots=True)
class TargetState:
    """Exact counts of one target's grants, and the target's observed state.

    :param listed: whether the inventory still lists the target.
    :param cordoned: whether the target gets no new work because an order is due.
    :param counts: grants per work class.
    :param revoking: revoked batch grants whose slots are not free yet.
    :param unreported_slots: slots that grants of a previous slice owner may hold.
    :param recovering_until: monotonic time until which such grants may exist; None
        once all are known.
    :param reported: the engine's last load report; it lags behind the actual load.
    :param setup: the loaded setup according to that report; None if not stated.
    :param usable_slots: slots that may be granted, as of the last ``refresh``.
    :param prefill_until: monotonic time until which batch leaves slots free for the
        prefill of an online prompt.
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
        """Slots held by grants."""
        return self.counts[WorkClass.online] + self.counts[WorkClass.batch]

    @property
    def free(self) -> int:
        """Usable slots that no grant holds; negative if overcommitted."""
        return self.usable_slots - self.used

    @property
    def free_after_revocation(self) -> int:
        """Slots that will be free once all revoked batch grants are released."""
        return max(0, self.free + self.revoking)

    @property
    def unrevoked_batch(self) -> int:
        """Number of batch grants that have not been revoked."""
        return self.counts[WorkClass.batch] - self.revoking

    @property
    def can_preempt_batch(self) -> bool:
        """Whether revoking one batch grant yields a usable slot."""
        return self.unrevoked_batch > 0 and self.free + self.revoking >= 0

    @property
    def serving(self) -> bool:
        """Whether both the inventory and the engine allow new work on the target."""
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
        """Running and waiting requests per slot, according to the last report."""
        if self.reported is None:
            return 0.0
        requests = self.reported.running + self.reported.waiting
        return requests / max(1, self.runner.slots)

    def utilization(self, work_class: WorkClass) -> float:
        """Return the fraction of the slots held by one work class."""
        return self.counts[work_class] / max(1, self.runner.slots)

    @property
    def recovering(self) -> bool:
        """Whether unreported grants of a previous slice owner may exist."""
        return self.recovering_until is not None

    def end_recovery(self) -> None:
        """End the recovery phase: assume that all grants have been reported."""
        self.recovering_until = None
        self.unreported_slots = 0

    def refresh(self, now: timedelta) -> None:
        """Recompute the number of usable slots."""
        if self.recovering_until is not None and now >= self.recovering_until:
            self.end_recovery()
        slots = self.health.slots(self.runner.slots, now) if self.serving else 0
        self.usable_slots = max(0, slots - self.unreported_slots)

    def serves(self, model: str) -> bool:
        """Return whether requests for ``model`` may run on the target.

        The model that the engine reports as loaded decides, not the one it was ordered
        to load.
        """
        loaded = self.setup.model if self.setup else self.runner.model
        return loaded in ("", model)

    def apply_report(self, load: EngineLoad) -> None:
        """Apply the engine's report; a changed setup resets the outcome counts."""
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
        """Return the status that operators see."""
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
