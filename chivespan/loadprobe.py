"""Polls the targets of a slice for their load."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Protocol

import anyio

from chivespan.engineapi import EngineLoad
from chivespan.errors import ChivespanError
from chivespan.targetstate import TargetState

PROBE_INTERVAL = timedelta(seconds=10)


class LoadProbe(Protocol):
    """Reads the load that a target reports."""

    async def load(self, address: str) -> EngineLoad:
        """Return the load of the target at an address.

        :raises ChivespanError: when the target doesn't answer.
        """
        ...


LoadReport = Callable[[str, EngineLoad], None]


async def probe_loads(
    probe: LoadProbe, targets: Callable[[], Iterable[TargetState]], report: LoadReport
) -> None:
    """Poll all targets concurrently every ``PROBE_INTERVAL``, until cancelled.

    Targets that don't answer are skipped.

    :param targets: returns the current targets.
    :param report: called with the target's name and load after each answer.
    """
    while True:
        async with anyio.create_task_group() as tasks:
            for target in targets():
                tasks.start_soon(_probe_one, probe, target, report)
        await anyio.sleep(PROBE_INTERVAL.total_seconds())


async def _probe_one(probe: LoadProbe, target: TargetState, report: LoadReport) -> None:
    try:
        load = await probe.load(target.runner.address)
    except ChivespanError:
        return
    report(target.name, load)
