"""``make bench-policy``: compares batch policies on the same arrivals.

Each run uses the real scheduler and the running batch of the engine stand-in. Runs are
separate processes, a few at a time. Writes JSON lines and a plot to ``out/``.
"""

import json
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

import anyio
import fire
import msgspec
import numpy as np

from bench.policyload import (
    LoadOptions,
    batch_items,
    burst_starts,
    online_arrivals,
)
from bench.policyplot import plot
from bench.policyrun import (
    Quantiles,
    Result,
    Run,
    encode_histograms,
    merge_results,
    quantiles_of,
)
from bench.policysite import Deployment, Site
from bench.skiploop import backend_options
from chivespan.policies import Policies
from standins.enginebatch import EngineOptions

OUT = Path("out")
PROCESSES = 4
ITEMS = 20_000
KILL_DELAY_AFTER_BURST_START_S = 0.5
FIRST_TOKEN_RATIO_GOAL = 1.05
THROUGHPUT_RATIO_GOAL = 0.90

DEPLOYMENTS = {
    "osijek": Deployment("osijek", runners_per_centre=2),
    "darkmoor": Deployment("darkmoor", runners_per_centre=3),
}


def parse_policies(name: str) -> Policies:
    """Parse a policy name such as ``fixed-3`` or ``steered,refusal=never``.

    Durations are in seconds.
    """
    base, *changes = name.split(",")
    fields = dict(change.split("=") for change in changes)
    fields["batch_level"] = base
    if base.startswith("fixed-"):
        fields["batch_level"] = "fixed"
        fields["fixed_batch_slots"] = base.removeprefix("fixed-")
    return msgspec.convert(fields, Policies, strict=False)


async def run_once(
    deployment_name: str, policy: str, seed: int, kill: bool, load: LoadOptions
) -> Result:
    """Run one load under one policy."""
    deployment = DEPLOYMENTS[deployment_name]
    site = Site(deployment, parse_policies(policy), EngineOptions())
    arrivals = online_arrivals(load, deployment.runners, deployment.data_centres, seed)
    bursts = burst_starts(load, np.random.default_rng(seed))
    kill_at = bursts[1] + KILL_DELAY_AFTER_BURST_START_S if kill else None
    run = Run(site, load, arrivals, batch_items(load, ITEMS, seed), kill_at)
    began = time.process_time()
    measures = await run.replay()
    busy = time.process_time() - began
    items, tokens = run.batch_total
    batch_s = load.seconds - load.batch_at_s
    return Result(
        deployment=deployment_name,
        policy=policy,
        seed=seed,
        dispatcher_killed=kill,
        first_token_ms=quantiles_of(measures.first_token),
        first_token_steady_ms=quantiles_of(measures.first_token_steady),
        first_token_burst_ms=quantiles_of(measures.first_token_burst),
        grant_ms=quantiles_of(measures.grant),
        token_gap_ms=quantiles_of(measures.gap),
        online_done=measures.online_done,
        online_refused=measures.online_refused,
        batch_items_per_s=items / batch_s,
        batch_tokens_per_s=tokens / batch_s,
        batch_revokes=measures.revokes,
        batch_tokens_reread=measures.tokens_reread,
        processor_share=busy / load.seconds,
        samples=measures.samples,
        histograms=encode_histograms(measures),
    )


@dataclass(frozen=True)
class Case:
    """Parameters of one run."""

    deployment: str
    policy: str
    kill: bool
    seed: int
    seconds: float
    burst_per_s: float
    skip_waits: bool

    def command(self) -> list[str]:
        """Return the command line of the run."""
        flags = [f"--{key}={value}" for key, value in asdict(self).items()]
        return [sys.executable, "-m", "bench.bench_policy", "one", *flags]


def run_cases(cases: Sequence[Case]) -> Iterator[Result]:
    """Run all cases, a few at a time; yield their results in order."""
    waiting = list(cases)
    running: list[subprocess.Popen[str]] = []
    started: list[subprocess.Popen[str]] = []
    while waiting or running:
        running = [process for process in running if process.poll() is None]
        if waiting and len(running) < PROCESSES:
            command = waiting.pop(0).command()
            log = (OUT / f"run-{len(started)}.json").open("w")
            process = subprocess.Popen(command, stdout=log, text=True)
            running.append(process)
            started.append(process)
            continue
        time.sleep(0.1)
    for number, process in enumerate(started):
        if process.returncode != 0:
            raise SystemExit(f"run {number} failed: {cases[number]}")
        text = (OUT / f"run-{number}.json").read_text()
        yield msgspec.json.decode(text, type=Result)


class Commands:
    """Command line interface of the benchmark."""

    def one(
        self,
        deployment: str,
        policy: str,
        kill: bool,
        seed: int,
        seconds: float,
        burst_per_s: float,
        skip_waits: bool,
    ) -> None:
        """Execute one run and print its result as a JSON line."""
        name = policy if isinstance(policy, str) else ",".join(policy)
        load = LoadOptions(seconds=seconds, burst_per_s=burst_per_s)
        result = anyio.run(
            run_once,
            deployment,
            name,
            seed,
            kill,
            load,
            backend_options=backend_options(skip_waits),
        )
        print(json.dumps(result.as_json()))

    def compare(
        self,
        policies: str = "none,unlimited,fixed-2,fixed-4,fixed-6,idle,steered",
        deployments: str = "osijek,darkmoor",
        kill: bool = False,
        seeds: int = 2,
        seconds: float = 60.0,
        burst_per_s: float = 6.0,
        skip_waits: bool = True,
        name: str = "bench_policy",
    ) -> None:
        """Compare policies (separated by ``;`` or ``,``) on the same arrivals."""
        OUT.mkdir(exist_ok=True)
        split = ";" if ";" in str(policies) else ","
        print(LoadOptions(seconds=seconds, burst_per_s=burst_per_s))
        names = policies.split(split) if isinstance(policies, str) else list(policies)
        deployment_names = (
            deployments.split(",")
            if isinstance(deployments, str)
            else list(deployments)
        )
        cases = [
            Case(deployment, policy, kill, seed, seconds, burst_per_s, skip_waits)
            for deployment in deployment_names
            for policy in names
            for seed in range(1, seeds + 1)
        ]
        runs = list(run_cases(cases))
        with (OUT / f"{name}.jsonl").open("a") as lines:
            for run in runs:
                lines.write(json.dumps(run.as_json()) + "\n")
        results = [
            merge_results(runs[first : first + seeds])
            for first in range(0, len(runs), seeds)
        ]
        for deployment in deployment_names:
            report([each for each in results if each.deployment == deployment])
        plot(results, OUT / f"{name}.png")


def report(results: Sequence[Result]) -> None:
    """Print a table with ratios to the ``none`` and ``unlimited`` policies."""
    by_policy = {result.policy: result for result in results}
    base = by_policy.get("none", results[0])
    unlimited = by_policy.get("unlimited", results[0])
    print(f"{base.deployment}  killed={base.dispatcher_killed}")
    print(
        f"{'policy':34} {'p50':>6} {'p95':>6} {'p99':>6} ratio  burst steady "
        f"{'gr95':>6} {'gr99':>6} {'gap99':>6} ref  items/s  ratio  revokes reread cpu"
    )
    for policy, result in by_policy.items():
        first = result.first_token_ms
        ratio = first.p99 / base.first_token_ms.p99
        burst = _ratio(result.first_token_burst_ms, base.first_token_burst_ms)
        steady = _ratio(result.first_token_steady_ms, base.first_token_steady_ms)
        share = result.batch_tokens_per_s / (unlimited.batch_tokens_per_s or 1.0)
        print(
            f"{policy:34} {first.p50:6.1f} {first.p95:6.1f} {first.p99:6.1f} "
            f"{ratio:5.3f}  {burst:5.3f} {steady:5.3f} "
            f"{result.grant_ms.p95:6.1f} {result.grant_ms.p99:6.1f} "
            f"{result.token_gap_ms.p99:6.1f} {result.online_refused:3} "
            f"{result.batch_items_per_s:8.2f}  {share:5.3f} "
            f"{result.batch_revokes:8} {result.batch_tokens_reread:6} "
            f"{result.processor_share:5.2f}"
        )


def _ratio(measured: Quantiles, base: Quantiles) -> float:
    return measured.p99 / base.p99


if __name__ == "__main__":
    fire.Fire(Commands)
