"""Runs seeded soaks: real nodes, callers, faults, and what the checks find."""

import json
import tempfile
from dataclasses import asdict, dataclass
from http import HTTPStatus
from pathlib import Path
from random import Random

import anyio
import fire

from soak.checks import violations
from soak.evidence import Evidence
from soak.faults import FAULTS, Grounds
from soak.plan import Step, plan
from soak.traffic import Callers
from standins.platformtarget import TargetOptions, TargetStandIn
from tests.fleet import fleet

NODES = 4
TARGETS = 3
LENGTH_S = 12.0
EVENTS = 8
GAP_MS = 25
ONLINE_CALLERS = 5
BATCH_CALLERS = 3
ITEMS = 5
CALM_S = 3.0
LOGS = Path("target") / "soak"


@dataclass(frozen=True, slots=True)
class Report:
    """What came of one seed.

    :param found: what the checks found.
    :param answered: online requests with a whole answer of a target.
    """

    seed: int
    faults: int
    online: int
    answered: int
    jobs: int
    jobs_done: int
    found: list[str]


async def soak(seed: int, folder: Path, length_s: float = LENGTH_S) -> Report:
    """Run one seed."""
    random = Random(seed)
    steps = list(plan(random, list(FAULTS), length_s))
    targets = [
        TargetStandIn(TargetOptions(f"i-{n}", events=EVENTS, gap_ms=GAP_MS))
        for n in range(TARGETS)
    ]
    evidence = Evidence(targets, EVENTS)
    async with fleet(folder, NODES, *targets, relayed=True) as (site, tasks):
        grounds = Grounds(site, tasks, NODES, evidence)
        callers = Callers(site, NODES, random, evidence)
        async with anyio.create_task_group() as calling:
            for _ in range(ONLINE_CALLERS):
                calling.start_soon(callers.online)
            for _ in range(BATCH_CALLERS):
                calling.start_soon(callers.batch, ITEMS)
            async with anyio.create_task_group() as faults:
                for step in steps:
                    faults.start_soon(_inject, grounds, step)
            await anyio.sleep(CALM_S)
            callers.open = False
        _note_processes(grounds)
        found = violations(evidence)
        if found:
            _keep_logs(seed, steps, grounds, found)
    return Report(
        seed=seed,
        faults=len(steps),
        online=len(evidence.online),
        answered=sum(call.status == HTTPStatus.OK for call in evidence.online),
        jobs=len(evidence.jobs),
        jobs_done=sum(job.whole for job in evidence.jobs),
        found=found,
    )


async def _inject(grounds: Grounds, step: Step) -> None:
    await anyio.sleep(step.at_s)
    await FAULTS[step.kind](grounds, step)


def _note_processes(grounds: Grounds) -> None:
    """Note processes that ended by themselves, or took an older configuration."""
    for number, process in grounds.site.processes.items():
        if process.returncode is not None:
            grounds.evidence.exits.append(f"node {number}: code {process.returncode}")
    for number in grounds.site.logs:
        version = -1
        for line in grounds.site.logs[number]:
            if line["event"] == "started":
                version = -1
            if line["event"] == "routing_in_force":
                if line["version"] < version:
                    fall = f"node {number}: {version} to {line['version']}"
                    grounds.evidence.version_falls.append(fall)
                version = line["version"]


def _keep_logs(
    seed: int, steps: list[Step], grounds: Grounds, found: list[str]
) -> None:
    """Keep the faults, findings and log lines of a seed that failed."""
    LOGS.mkdir(parents=True, exist_ok=True)
    with (LOGS / f"seed-{seed}.jsonl").open("w") as file:
        for text in [*found, *map(str, steps)]:
            file.write(json.dumps({"soak": text}) + "\n")
        for number, lines in grounds.site.logs.items():
            for line in lines:
                file.write(json.dumps({"vm": number} | line) + "\n")


def main(seeds: int = 10, first: int = 1, length_s: float = LENGTH_S) -> None:
    """Run some seeds, and end with an error where one fails."""
    failed = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as folder:
            report = anyio.run(soak, seed, Path(folder), length_s)
        failed += bool(report.found)
        print(json.dumps(asdict(report)), flush=True)
    print(json.dumps({"seeds": seeds, "failed": failed}))
    raise SystemExit(failed > 0)


if __name__ == "__main__":
    fire.Fire(main)
