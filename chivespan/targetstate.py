"""One target of a slice as its owner counts it."""

from dataclasses import dataclass, field

from chivespan.documents import Runner
from chivespan.messages import TargetStatus, WorkClass

SERVING_ROLE = "serve"


@dataclass(slots=True)
class TargetState:
    """Exact counts of one target's grants."""

    runner: Runner
    in_inventory: bool = True
    counts: dict[WorkClass, int] = field(
        default_factory=lambda: dict.fromkeys(WorkClass, 0)
    )
    revoking: int = 0

    @property
    def name(self) -> str:
        """The runner's name."""
        return self.runner.name

    @property
    def used(self) -> int:
        """Slots that grants hold."""
        return sum(self.counts.values())

    @property
    def free(self) -> int:
        """Slots that no grant holds; negative after the inventory lowered them."""
        return self.runner.slots - self.used

    @property
    def usable(self) -> bool:
        """Whether new grants may be given."""
        return self.in_inventory and self.runner.role == SERVING_ROLE

    def serves(self, model: str) -> bool:
        """Return whether requests for ``model`` may run here."""
        return self.runner.model in ("", model)

    def status(self, slice_id: str) -> TargetStatus:
        """Return what operators see."""
        return TargetStatus(
            target=self.name,
            slice_id=slice_id,
            state="serving" if self.usable else "leaving",
            slots=self.runner.slots,
            online_running=self.counts[WorkClass.online],
            batch_running=self.counts[WorkClass.batch],
            model=self.runner.model,
            version=self.runner.version,
        )
