"""``make bench-site``: effect of batch on online time to first token, end to end.

The programs of all VMs and the engine stand-ins run on loopback. ``compare`` runs the
same seeded arrivals under each batch level, one level after the other in the same site;
``compare --kill`` also kills a dispatcher in a burst; ``trace`` breaks the time to
first token down into stages. Prints JSON lines. The load is open loop: latency counts
from the intended start of a request.
"""

import json
import signal
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import asdict, dataclass, replace
from functools import partial
from pathlib import Path

import anyio
import anyio.to_thread
import fire
import msgspec

from bench import sitetrace, sitetraced
from bench.sitecost import SchedStat, programs_cpu, schedstats
from bench.sitedeployment import DEPLOYMENTS, DeployedSite, SiteDeployment, site_of
from bench.siteload import (
    BURST_EVERY_S,
    BURST_S,
    Callers,
    RequestRecord,
    arrivals,
    send_all,
)
from bench.siteload import summary as load_summary
from bench.sitetrace import EngineStream, Stages
from bench.sitetraced import SlotEvent
from chivespan.policies import Policies
from tools.cluster import Cluster, random_address_block

BATCH_TOKENS = 32
BATCH_ITEMS = 2_500
BATCH_JOBS = 8
SETTLE_S = 3.0
IDLE_S = 2.0
SLOWEST = 6
NO_BATCH = Policies(batch_level="none")
STEERED = Policies()
LEVELS = {
    "none": NO_BATCH,
    "steered": STEERED,
    "idle": Policies(batch_level="idle"),
    "fixed 2": Policies(batch_level="fixed", fixed_batch_slots=2),
    "fixed 4": Policies(batch_level="fixed", fixed_batch_slots=4),
    "fixed 6": Policies(batch_level="fixed", fixed_batch_slots=6),
    "none again": NO_BATCH,
}
KILLED_LEVELS = {"none": NO_BATCH, "steered": STEERED}


@dataclass(frozen=True)
class Window:
    """One measured interval; wall times in seconds.

    :param cpu: CPU seconds used, by program.
    :param schedstats: run and wait time of each process.
    :param records: online requests sent.
    """

    started: float
    ended: float
    cpu: dict[str, float]
    schedstats: dict[str, SchedStat]
    records: Sequence[RequestRecord] = ()

    @property
    def seconds(self) -> float:
        """Length of the interval."""
        return self.ended - self.started


@dataclass(frozen=True)
class LevelRun:
    """Measurements under one batch level.

    :param alone: batch without online requests.
    :param beside: batch together with online requests.
    """

    name: str
    alone: Window
    beside: Window


def compare(
    deployment: str = "",
    seconds: float = 10,
    alone_seconds: float = 3,
    kill: bool = False,
    seed: int = 1,
) -> None:
    """Compare the batch levels on the same arrivals.

    :param deployment: name of the deployment; empty for all.
    :param seconds: duration of the online load under each level.
    :param alone_seconds: duration of batch without online load under each level.
    :param kill: kill a dispatcher in the second burst; each data centre then has two
        VMs.
    """
    for chosen in _deployments(deployment):
        with _running(chosen, 2 if kill else 1) as site:
            due = arrivals(seconds, chosen.rate, seed)
            idle = _window(site, IDLE_S)
            levels = KILLED_LEVELS if kill else LEVELS
            jobs: tuple[str, ...] = ()
            runs = []
            for name, policies in levels.items():
                site.use_policies(policies)
                jobs = jobs or _submit(site)
                has_batch = policies != NO_BATCH
                time.sleep(SETTLE_S if has_batch else 0)
                alone = _window(site, alone_seconds if has_batch else 0)
                runs.append(LevelRun(name, alone, _load(site, due, kill)))
            _report(site, jobs, idle, runs)


def trace(
    deployment: str = "osijek",
    seconds: float = 15,
    level: str = "steered",
    seed: int = 1,
) -> None:
    """Break down the time to first token, without and with concurrent batch."""
    chosen = DEPLOYMENTS[deployment]
    with _running(chosen, 1, traced=True) as site:
        due = arrivals(seconds, chosen.rate, seed)
        site.use_policies(LEVELS[level])
        windows = {"no batch": _load(site, due)}
        jobs = _submit(site)
        time.sleep(SETTLE_S)
        windows["beside batch"] = _load(site, due)
        streams = _engine_streams(site)
        events = list(_slot_events(site))
        for name, window in windows.items():
            _report_trace(name, window, streams, events)
        batch = [event for event in events if event.request_id.startswith(jobs)]
        release_delays = sitetrace.percentiles(sitetrace.release_delays_ms(batch))
        _print(measure="revoked_to_released_ms", **release_delays)
        stream_end_delays = sitetrace.percentiles(
            sitetrace.stream_end_delays_ms(batch, streams)
        )
        _print(measure="revoked_to_engine_free_ms", **stream_end_delays)


@contextmanager
def _running(
    deployment: SiteDeployment, vms_per_centre: int, *, traced: bool = False
) -> Iterator[DeployedSite]:
    cluster_site = site_of(deployment, random_address_block(), vms_per_centre)
    if traced:
        programs = ("entry", "batch")
        launch_arguments = {
            program: sitetraced.launch_arguments(program) for program in programs
        }
        cluster_site = replace(cluster_site, modules=launch_arguments)
    with tempfile.TemporaryDirectory() as folder, Cluster(cluster_site) as cluster:
        site = DeployedSite(cluster, deployment)
        site.apply(Path(folder))
        yield site


def _deployments(name: str) -> Sequence[SiteDeployment]:
    return [DEPLOYMENTS[name]] if name else list(DEPLOYMENTS.values())


def _submit(site: DeployedSite) -> tuple[str, ...]:
    """Submit enough batch jobs for the whole run and return their ids."""
    return tuple(site.submit(BATCH_ITEMS, BATCH_TOKENS) for _ in range(BATCH_JOBS))


def _window(site: DeployedSite, seconds: float) -> Window:
    return _measure(site, partial(_sleep, seconds))


def _sleep(seconds: float) -> list[RequestRecord]:
    time.sleep(seconds)
    return []


def _load(site: DeployedSite, due: Sequence[float], kill: bool = False) -> Window:
    callers = Callers(site.entries, site.deployment.online_keys, site.deployment.model)
    return _measure(site, partial(_send_load, site, callers, due, kill))


def _send_load(
    site: DeployedSite, callers: Callers, due: Sequence[float], kill: bool
) -> list[RequestRecord]:
    async def run() -> list[RequestRecord]:
        async with anyio.create_task_group() as tasks:
            if kill:
                tasks.start_soon(_kill_in_burst, site)
            records = await send_all(callers, due)
        return records

    return anyio.run(run, backend_options={"use_uvloop": True})


async def _kill_in_burst(site: DeployedSite) -> None:
    await anyio.sleep(2 * BURST_EVERY_S - BURST_S / 2)
    await anyio.to_thread.run_sync(site.kill_dispatcher)


def _measure(site: DeployedSite, work: "partial[list[RequestRecord]]") -> Window:
    before = programs_cpu(site.cluster)
    scheduled = schedstats(site.cluster)
    started = time.time()
    records = work()
    ended = time.time()
    after = programs_cpu(site.cluster)
    used = {name: max(0.0, after[name] - before[name]) for name in after}
    added = {
        name: now.since(scheduled[name])
        for name, now in schedstats(site.cluster).items()
    }
    return Window(started, ended, used, added, records)


def _report(
    site: DeployedSite, jobs: tuple[str, ...], idle: Window, runs: Sequence[LevelRun]
) -> None:
    streams = _engine_streams(site)
    done = [
        stream.ended
        for name, stream in streams.items()
        if name.startswith(jobs) and stream.finished
    ]
    baseline = runs[0].beside
    base = load_summary(baseline.records)
    idle_cpu = {name: used / idle.seconds for name, used in idle.cpu.items()}
    highest_rate = max(_rate(done, run.beside) for run in runs)
    for run in runs:
        found = load_summary(run.beside.records)
        beside = _rate(done, run.beside)
        alone = _rate(done, run.alone)
        _print(
            measure="level",
            deployment=site.deployment.name,
            level=run.name,
            **asdict(found),
            p50_ratio=_ratio(found.p50, base.p50),
            p95_ratio=_ratio(found.p95, base.p95),
            p99_ratio=_ratio(found.p99, base.p99),
            engine_ms=_in_engine(run.beside.records, streams),
            engine_queue_ms=_in_engine_queue(run.beside.records, streams),
            kept_waiting_percent=_wait_to_run_percent(run.beside),
            batch_alone_items_per_s=round(alone, 1),
            batch_beside_items_per_s=round(beside, 1),
            batch_to_most=_ratio(beside, highest_rate),
            cpu_us_per_batch_item=_cpu_each(run.alone, idle_cpu, alone),
        )
    requests_per_s = len(baseline.records) / baseline.seconds
    _print(
        measure="cpu",
        deployment=site.deployment.name,
        us_per_online_request=_cpu_each(baseline, idle_cpu, requests_per_s),
        idle_core_percent={
            name: round(100 * used, 1) for name, used in idle_cpu.items()
        },
    )


def _rate(moments: Sequence[float], window: Window) -> float:
    inside = sum(window.started <= moment < window.ended for moment in moments)
    return inside / window.seconds if window.seconds else 0.0


def _in_engine(
    records: Sequence[RequestRecord], streams: Mapping[str, EngineStream]
) -> dict[str, float]:
    """Return percentiles of the time in the engine until the first token.

    The time in the engine's queue is included.
    """
    found = sitetrace.first_attempt_streams(records, streams)
    return sitetrace.percentiles([(each.first - each.started) * 1000 for each in found])


def _in_engine_queue(
    records: Sequence[RequestRecord], streams: Mapping[str, EngineStream]
) -> dict[str, float]:
    found = sitetrace.first_attempt_streams(records, streams)
    waits = [(each.admitted - each.started) * 1000 for each in found]
    return sitetrace.percentiles(waits)


def _wait_to_run_percent(window: Window) -> float:
    """Return the time processes waited for a CPU in percent of the time they ran.

    A high value means that other processes kept the machine busy.
    """
    ran = sum(each.ran for each in window.schedstats.values())
    waited = sum(each.waited for each in window.schedstats.values())
    return round(100 * waited / ran)


def _ratio(value: float, base: float) -> float:
    return round(value / base, 3) if base else 0.0


def _cpu_each(
    window: Window, idle: Mapping[str, float], per_s: float
) -> dict[str, int]:
    """Return each program's CPU microseconds per unit of work, less its idle use."""
    if not per_s or not window.seconds:
        return {}
    return {
        name: round((used / window.seconds - idle[name]) / per_s * 1e6)
        for name, used in window.cpu.items()
    }


def _engine_streams(site: DeployedSite) -> dict[str, EngineStream]:
    streams: dict[str, EngineStream] = {}
    for address in site.cluster.site.engine_addresses:
        entries = site.cluster.journal(address)
        found = sitetrace.streams_of(address, entries, site.deployment.slots)
        streams.update(found)
    return streams


def _slot_events(site: DeployedSite) -> Iterator[SlotEvent]:
    for place in site.cluster.site.vms:
        for process in site.cluster.vm_processes(place.vm):
            for line in process.output.read_bytes().splitlines():
                if line.startswith(b'{"at"'):
                    yield msgspec.json.decode(line, type=SlotEvent)


def _report_trace(
    name: str,
    window: Window,
    streams: Mapping[str, EngineStream],
    events: Sequence[SlotEvent],
) -> None:
    slots = {(event.event, event.request_id): event for event in events}
    stages = list(sitetrace.stages_of(window.records, slots, streams))
    _print(measure="first_token_ms", phase=name, **asdict(load_summary(window.records)))
    for stage in Stages.__dataclass_fields__:
        _print(
            measure="stage_ms",
            stage=stage,
            **sitetrace.stage_percentiles(stages, stage),
        )
    for process, schedstat in sorted(window.schedstats.items()):
        _print(
            measure="process",
            process=process,
            core_percent=round(100 * schedstat.ran / window.seconds, 1),
            kept_waiting_percent=round(100 * schedstat.waited / window.seconds, 1),
        )
    for slow in sorted(stages, key=lambda each: -each.total)[:SLOWEST]:
        shown = {key: round(value, 1) for key, value in asdict(slow).items()}
        _print(measure="slow_request_ms", total=round(slow.total, 1), **shown)


def _print(**fields: object) -> None:
    print(json.dumps(fields))
    sys.stdout.flush()


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    fire.Fire({"compare": compare, "trace": trace})
