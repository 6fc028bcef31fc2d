"""Asks the targets of a slice for their load, now and then."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Protocol

import anyio

from chivespan.engineapi import EngineLoad
from chivespan.errors import ChivespanError
from chivespan.targetstate import TargetState

PROBE_INTERVAL = timedelta(seconds=10)


class LoadProbe(Protocol):
    """Asks a target for its load."""

    async def load(self, address: str) -> EngineLoad:
        """Return the report.

        :raises ChivespanError: when the target doesn't answer.
        """
        ...


LoadReport = Callable[[str, EngineLoad], None]


async def probe_loads(
    probe: LoadProbe, targets: Callable[[], Iterable[TargetState]], report: LoadReport
) -> None:
    """Ask all targets side by side, again and again.

    :param targets: gives those that there are now.
    :param report: told of each answer, with the target's name.
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
