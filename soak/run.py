"""Runs seeded soak tests: nodes, callers and faults, followed by the checks."""

import json
import tempfile
from dataclasses import asdict, dataclass
from http import HTTPStatus
from pathlib import Path
from random import Random

import anyio
import fire

from soak.checks import violations
from soak.customers import entries
from soak.evidence import Evidence
from soak.faults import FAULTS, FaultContext
from soak.plan import Step, plan
from soak.traffic import Callers
from standins.platformtarget import TargetOptions, TargetStandIn
from tests.fleet import config, fleet

NODES = 4
TARGETS = 3
LENGTH_S = 12.0
EVENTS_PER_STREAM = 8
EVENT_GAP_MS = 25
ONLINE_CALLERS = 5
BATCH_CALLERS = 3
ITEMS_PER_JOB = 5
QUIET_TIME_S = 3.0
LOG_FOLDER = Path("target") / "soak"


@dataclass(frozen=True, slots=True)
class Report:
    """Result of one seed.

    :param faults: number of injected faults.
    :param online: number of online requests.
    :param answered: number of online requests with status 200.
    :param jobs_done: number of jobs whose results were read completely.
    :param found: violations found by the checks.
    """

    seed: int
    faults: int
    online: int
    answered: int
    jobs: int
    jobs_done: int
    found: list[str]


async def soak(
    seed: int, folder: Path, length_s: float = LENGTH_S, customers: bool = False
) -> Report:
    """Run the soak test of one seed and return its report.

    :param customers: whether the configuration names customers, whose keys all calls
        bear.
    """
    random = Random(seed)
    steps = list(plan(random, list(FAULTS), length_s))
    targets = [
        TargetStandIn(
            TargetOptions(f"i-{n}", events=EVENTS_PER_STREAM, gap_ms=EVENT_GAP_MS)
        )
        for n in range(TARGETS)
    ]
    evidence = Evidence(targets, EVENTS_PER_STREAM)
    async with fleet(folder, NODES, *targets, relayed=True) as (site, tasks):
        context = FaultContext(site, tasks, NODES, evidence)
        callers = Callers(site, NODES, random, evidence, bears_keys=customers)
        if customers:
            await _name_customers(context)
        async with anyio.create_task_group() as calling:
            for _ in range(ONLINE_CALLERS):
                calling.start_soon(callers.online)
            for _ in range(BATCH_CALLERS):
                calling.start_soon(callers.batch, ITEMS_PER_JOB)
            async with anyio.create_task_group() as faults:
                for step in steps:
                    faults.start_soon(_inject, context, step)
            await anyio.sleep(QUIET_TIME_S)
            callers.is_open = False
        _record_process_faults(context)
        found = violations(evidence)
        if found:
            _write_logs(seed, steps, context, found)
    return Report(
        seed=seed,
        faults=len(steps),
        online=len(evidence.online),
        answered=sum(call.status == HTTPStatus.OK for call in evidence.online),
        jobs=len(evidence.jobs),
        jobs_done=sum(job.complete for job in evidence.jobs),
        found=found,
    )


async def _name_customers(context: FaultContext) -> None:
    """Put a configuration with customers in force at all nodes."""
    context.customers = entries()
    context.evidence.names_customers = True
    context.version += 1
    context.site.publish(config(context.version, customers=context.customers))
    for number in range(1, NODES + 1):
        await context.site.wait_version(number, context.version)


async def _inject(context: FaultContext, step: Step) -> None:
    await anyio.sleep(step.at_s)
    await FAULTS[step.kind](context, step)


def _record_process_faults(context: FaultContext) -> None:
    """Record processes that exited unexpectedly or applied an older configuration."""
    for number, process in context.site.processes.items():
        if process.returncode is not None:
            context.evidence.unexpected_exits.append(
                f"node {number}: code {process.returncode}"
            )
    for number in context.site.logs:
        version = -1
        for line in context.site.logs[number]:
            if line["event"] == "started":
                version = -1
            if line["event"] == "routing_in_force":
                if line["version"] < version:
                    fall = f"node {number}: {version} to {line['version']}"
                    context.evidence.version_regressions.append(fall)
                version = line["version"]


def _write_logs(
    seed: int, steps: list[Step], context: FaultContext, found: list[str]
) -> None:
    """Write the faults, violations and log lines of a failed seed to a file."""
    LOG_FOLDER.mkdir(parents=True, exist_ok=True)
    with (LOG_FOLDER / f"seed-{seed}.jsonl").open("w") as file:
        for text in [*found, *map(str, steps)]:
            file.write(json.dumps({"soak": text}) + "\n")
        for number, lines in context.site.logs.items():
            for line in lines:
                file.write(json.dumps({"vm": number} | line) + "\n")


def main(
    seeds: int = 10,
    first: int = 1,
    length_s: float = LENGTH_S,
    customers: bool = False,
) -> None:
    """Run a range of seeds and exit with status 1 if any of them fails."""
    failed = 0
    for seed in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as folder:
            report = anyio.run(soak, seed, Path(folder), length_s, customers)
        failed += bool(report.found)
        print(json.dumps(asdict(report)), flush=True)
    print(json.dumps({"seeds": seeds, "failed": failed}))
    raise SystemExit(failed > 0)


if __name__ == "__main__":
    fire.Fire(main)
