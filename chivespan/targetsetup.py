"""The setup of a model engine: what it has loaded, or is ordered to load."""

from dataclasses import dataclass

from chivespan.configuration import Configuration
from chivespan.documents import Runner
from chivespan.engineapi import EngineLoad, EngineOrder

READY = "ready"
LOAD = "load"


@dataclass(frozen=True, slots=True)
class TargetSetup:
    """A model version with its adapters, and the engine's role."""

    model: str
    version: str
    adapters: tuple[str, ...] = ()
    role: str = ""

    def __str__(self) -> str:
        """Return the text that operators see.

        >>> str(TargetSetup("booking-lm", "2", ("hr",), "serve"))
        'booking-lm 2 +hr serve'
        """
        adapters = [f"+{name}" for name in self.adapters]
        return " ".join([self.model, self.version, *adapters, self.role]).strip()

    def loads_weights(self, before: "TargetSetup") -> bool:
        """Return whether changing to this setup from another one loads weights."""
        own = (self.model, self.version, self.adapters)
        return own != (before.model, before.version, before.adapters)

    def order(self, fence: int) -> EngineOrder:
        """Return the order that makes an engine load this setup.

        :param fence: fencing number of the order.
        """
        return EngineOrder(
            fence=fence,
            action=LOAD,
            model=self.model,
            version=self.version,
            adapters=list(self.adapters),
            role=self.role,
        )


def desired_setup(runner: Runner, configuration: Configuration) -> TargetSetup:
    """Return the setup that the inventory specifies for a runner's engine.

    If the runner has no version, the version of its model's entry applies.
    """
    model = configuration.models.get(runner.model)
    version = runner.version or (model.version if model else "")
    return TargetSetup(
        runner.model, version, tuple(sorted(runner.adapters)), runner.role
    )


def observed_setup(load: EngineLoad) -> TargetSetup | None:
    """Return the setup that an engine reports as loaded; None if it reports none.

    An engine that is ready but reports no model does not disclose what it serves. Such
    an engine gets no orders, and the inventory is assumed to be right.
    """
    if load.state == READY and not load.model:
        return None
    return TargetSetup(
        load.model, load.version, tuple(sorted(load.adapters)), load.role
    )
