"""What a model engine has loaded, or should have: the subject of an order."""

from dataclasses import dataclass

from chivespan.configuration import Configuration
from chivespan.documents import Runner
from chivespan.engineapi import EngineLoad, EngineOrder

READY = "ready"
LOAD = "load"


@dataclass(frozen=True, slots=True)
class TargetSetup:
    """A model's version with its adapters, and the part that the engine plays."""

    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = ""

    def __str__(self) -> str:
        """Return how operators see it.

        >>> str(TargetSetup("booking-lm", "2", ("hr",), "serve"))
        'booking-lm 2 +hr serve'
        """
        adapters = [f"+{name}" for name in self.adapters]
        return " ".join([self.model, self.version, *adapters, self.role]).strip()

    def loads_weights(self, before: "TargetSetup") -> bool:
        """Return whether weights must be fetched to come here from another setup."""
        own = (self.model, self.version, self.adapters)
        return own != (before.model, before.version, before.adapters)

    def order(self, fence: int) -> EngineOrder:
        """Return the order to set an engine up like this."""
        return EngineOrder(
            fence=fence,
            action=LOAD,
            model=self.model,
            version=self.version,
            adapters=list(self.adapters),
            role=self.role,
        )


def desired_setup(runner: Runner, configuration: Configuration) -> TargetSetup:
    """Return what the inventory wants of a runner's engine.

    A runner that names no version gets the one of its model's entry.
    """
    model = configuration.models.get(runner.model)
    version = runner.version or (model.version if model else "")
    return TargetSetup(
        runner.model, version, tuple(sorted(runner.adapters)), runner.role
    )


def observed_setup(load: EngineLoad) -> TargetSetup | None:
    """Return what an engine says that it has loaded; None when it doesn't say.

    An engine that is ready and names no model doesn't tell what it serves; the
    inventory is believed then, and it gets no orders.
    """
    if load.state == READY and not load.model:
        return None
    return TargetSetup(
        load.model, load.version, tuple(sorted(load.adapters)), load.role
    )
