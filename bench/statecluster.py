"""State benchmarks that need processes: throughput, propagation and takeover."""

import hashlib
import json
import os
import statistics
import subprocess
import sys
import time
from collections.abc import Sequence
from datetime import timedelta
from itertools import count
from pathlib import Path

import anyio
import httpcore
import msgspec

from bench.statefolds import bench_plan
from bench.stateworker import context
from chivespan.appender import Appender
from chivespan.batchapi import ACCEPTED_STATUS
from chivespan.callerapi import BatchJob, BatchModelItem
from chivespan.clock import SystemClock
from chivespan.codec import encode
from chivespan.configfold import CONFIG_STREAM
from chivespan.configuration import DOCUMENT_CLASSES, Document
from chivespan.documents import (
    DataCentre,
    Model,
    Owner,
    Region,
    Rule,
    Runner,
    Service,
    ServiceKind,
    WorkClassRule,
)
from chivespan.httplog import HttpLog
from chivespan.jobfold import jobs_stream
from chivespan.jobplan import JobPlan, new_job_id, partition_of
from chivespan.linkmessages import Program
from chivespan.messages import ConfigRecords, ConfigRequest, ConfigSnapshot
from chivespan.metrics import Metrics
from chivespan.partitions import Partitions
from chivespan.peerlink import LinkEnd, LinkOptions, PeerLink, dial_once, new_hello
from chivespan.placement import ranked, select_owner
from chivespan.records import ConfigChange, DocumentChange
from chivespan.settings import NodeSettings
from tools.cluster import (
    DISPATCH_PORT,
    ENTRY_PORT,
    Cluster,
    Site,
    random_address_block,
    wait_until,
)

PARTITIONS = 8
THROUGHPUT_ITEMS = 24_000
FLEET_APPENDS_PER_S = 200
CHANGES = 40
CHANGE_PAUSE = timedelta(milliseconds=150)
CENTRES = ("centre-a", "centre-b", "centre-c")
SETTLE_TIME = timedelta(seconds=4)
PROPAGATION_LIMIT = timedelta(seconds=30)
POLL_INTERVAL = timedelta(milliseconds=5)
TAKEOVER_ITEMS = 1200
START_LIMIT = timedelta(seconds=20)
JOB_LIMIT = timedelta(seconds=60)
FLUSH_TIME = timedelta(milliseconds=300)
KEY = "bench-key"
HEADERS = [("Authorization", f"Bearer {KEY}"), ("Idempotency-Key", "takeover")]


def throughput(workers: int) -> dict[str, object]:
    """Return items and appends per second of several workers on one log."""
    site = Site(data_centres=(), region="r", block=random_address_block(), engines=1)
    with Cluster(site):
        anyio.run(_submit_all, site.log_url)
        shares = [list(range(n, PARTITIONS, workers)) for n in range(workers)]
        started = [
            _start_worker(site, n, partitions) for n, partitions in enumerate(shares)
        ]
        results = [json.loads(one.communicate()[0]) for one in started]
    began = min(result["started_at"] for result in results)
    ended = max(result["ended_at"] for result in results)
    items = sum(result["items"] for result in results)
    appends = sum(result["appends"] for result in results)
    cpu = sum(result["cpu_seconds"] for result in results)
    return {
        "measure": "throughput",
        "workers": workers,
        "items": items,
        "items_per_s": round(items / (ended - began)),
        "appends_per_s": round(appends / (ended - began), 1),
        "items_per_append": round(items / max(1, appends), 1),
        "worker_cpu_us_per_item": round(cpu / items * 1e6),
    }


async def _submit_all(log_url: str) -> None:
    """Submit one job to each partition."""
    shared = Partitions(context(log_url, "submitter", PARTITIONS, FLEET_APPENDS_PER_S))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(shared.run)
        await shared.wait_started()
        for partition in range(PARTITIONS):
            part = shared.jobs(partition)
            await part.follower.wait_caught_up()
            await part.store.submit(_plan_in(partition))
        tasks.cancel_scope.cancel()


def _plan_in(partition: int) -> JobPlan:
    """Return a job whose id maps to the given partition."""
    keys = (f"{partition}-{number}" for number in count())
    job_key = next(
        key
        for key in keys
        if partition_of(new_job_id("bench", key, PARTITIONS)) == partition
    )
    return bench_plan(job_key, THROUGHPUT_ITEMS // PARTITIONS, PARTITIONS)


def _start_worker(
    site: Site, number: int, partitions: list[int]
) -> subprocess.Popen[bytes]:
    flags = {
        "log_url": site.log_url,
        "writer": f"worker-{number}",
        "partitions": str(PARTITIONS),
        "mine": "+".join(map(str, partitions)),
        "appends_per_s": str(FLEET_APPENDS_PER_S),
    }
    arguments = [f"--{name}={value}" for name, value in flags.items()]
    command = [sys.executable, "-m", "bench.stateworker", *arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


class _PropagationRecorder:
    """Records when each node first reports each configuration offset."""

    def __init__(self, vms: Sequence[str]) -> None:
        self.first_seen: dict[str, dict[int, float]] = {vm: {} for vm in vms}

    async def follow(self, vm: str, end: LinkEnd) -> None:
        """Subscribe to one dispatcher's configuration; reconnect until cancelled."""

        async def listen(link: PeerLink) -> None:
            link.send(ConfigRequest(have_offset=-1))
            async for message in link:
                self._record(vm, message)

        while True:
            await dial_once(f"{vm}:{DISPATCH_PORT}", end, listen)
            await anyio.sleep(POLL_INTERVAL.total_seconds())

    def _record(self, vm: str, message: object) -> None:
        now = time.monotonic()
        if isinstance(message, ConfigRecords):
            first = message.from_offset
            for offset in range(first, first + len(message.records)):
                self.first_seen[vm].setdefault(offset, now)
        if isinstance(message, ConfigSnapshot):
            for offset in range(message.as_of + 1):
                self.first_seen[vm].setdefault(offset, now)


def propagation(kill_readers: bool, nodes_per_centre: int = 4) -> dict[str, object]:
    """Return the time from applying a change until the last node uses it.

    :param kill_readers: kill the first log reader of each data centre beforehand.
    """
    site = Site(
        data_centres=[centre for centre in CENTRES for _ in range(nodes_per_centre)],
        region="r",
        block=random_address_block(),
        engines=1,
        programs=("dispatch",),
    )
    with Cluster(site) as cluster:
        return anyio.run(_measure_propagation, cluster, kill_readers)


async def _measure_propagation(
    cluster: Cluster, kill_readers: bool
) -> dict[str, object]:
    site = cluster.site
    vms = [place.vm for place in site.vms]
    killed = _first_readers(cluster) if kill_readers else []
    recorder = _PropagationRecorder([vm for vm in vms if vm not in killed])
    applied: dict[int, float] = {}
    end = _link_end(site)
    appender = Appender(HttpLog(site.log_url), CONFIG_STREAM, "bench", SystemClock())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(appender.run)
        for vm in recorder.first_seen:
            tasks.start_soon(recorder.follow, vm, end)
        await anyio.sleep(SETTLE_TIME.total_seconds())
        for vm in killed:
            cluster.process(f"{vm}/dispatch").kill()
        for number in range(CHANGES):
            began = time.monotonic()
            applied[await appender.append(_region_change(number))] = began
            await anyio.sleep(CHANGE_PAUSE.total_seconds())
        with anyio.move_on_after(PROPAGATION_LIMIT.total_seconds()):
            while any(
                not applied.keys() <= first_seen.keys()
                for first_seen in recorder.first_seen.values()
            ):
                await anyio.sleep(POLL_INTERVAL.total_seconds())
        tasks.cancel_scope.cancel()
    propagation_s = [
        max(first_seen[offset] for first_seen in recorder.first_seen.values()) - began
        for offset, began in applied.items()
        if all(offset in first_seen for first_seen in recorder.first_seen.values())
    ]
    return {
        "measure": "apply_to_in_force_on_last_node",
        "nodes": len(recorder.first_seen),
        "readers_killed": len(killed),
        "changes": len(applied),
        "everywhere": len(propagation_s),
        "p50_ms": round(statistics.median(propagation_s) * 1000, 1),
        "max_ms": round(max(propagation_s) * 1000, 1),
    }


def _first_readers(cluster: Cluster) -> list[str]:
    """Return the first log reader of each data centre."""
    return [
        ranked(
            f"config/{centre}",
            [place.vm for place in cluster.site.vms if place.data_centre == centre],
        )[0]
        for centre in CENTRES
    ]


def _link_end(site: Site) -> LinkEnd:
    settings = NodeSettings(
        vm=f"{site.block}.240",
        data_centre=CENTRES[0],
        region=site.region,
        log_url=site.log_url,
        vm_list_url=site.vm_list_url,
        peer_key=site.peer_key,
    )
    hello = new_hello(settings, Program.entry)
    options = LinkOptions.from_settings(settings)
    return LinkEnd(hello, options, SystemClock(), Metrics())


def _region_change(number: int) -> ConfigChange:
    region = Region(name=f"region-{number}")
    return _change([region])


def _change(documents: Sequence[Document]) -> ConfigChange:
    kinds = {cls: kind for kind, cls in DOCUMENT_CLASSES.items()}
    changes = [
        DocumentChange(
            kind=kinds[type(document)].value,
            name=document.name,
            base_version=0,
            document=encode(document),
        )
        for document in documents
    ]
    return ConfigChange(operator="bench", reason="bench", changes=changes)


def takeover(batch_only: bool) -> dict[str, object]:
    """Return the time until a job resumes after its worker is killed.

    :param batch_only: kill only the batch program instead of all programs of the VM.
    """
    site = Site(
        data_centres=(CENTRES[0],) * 3,
        region="r",
        block=random_address_block(),
        engines=2,
        engine_flags={"slots": "16"},
    )
    with Cluster(site) as cluster:
        anyio.run(_apply_configuration, site)
        job = _submit(cluster)
        vms = [place.vm for place in site.vms]
        killed_vm = select_owner(jobs_stream(partition_of(job.id)), vms) or vms[0]
        surviving_vm = next(vm for vm in vms if vm != killed_vm)
        _wait_done(surviving_vm, job.id, job.items // 10)
        batch = cluster.process(f"{killed_vm}/batch")
        for process in [batch] if batch_only else cluster.vm_processes(killed_vm):
            process.kill()
        began = time.monotonic()
        time.sleep(FLUSH_TIME.total_seconds())
        before = _wait_done(surviving_vm, job.id, 0).done
        _wait_done(surviving_vm, job.id, before + 1)
        takeover_s = time.monotonic() - began
        finished = _wait_done(surviving_vm, job.id, job.items)
        results = _get(surviving_vm, f"/v1/batches/{job.id}/results").splitlines()
        worker = cluster.process(f"{surviving_vm}/batch").pid
        resident_mb = _resident_mb(worker)
    return {
        "measure": "job_goes_on_after_worker_killed",
        "killed": "batch program" if batch_only else "VM",
        "seconds": round(takeover_s, 2),
        "status": finished.status,
        "items": job.items,
        "results": len(results),
        "failed": finished.failed,
        "batch_resident_mb": resident_mb,
    }


def _resident_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return round(pages * os.sysconf("SC_PAGE_SIZE") / 1e6, 1)


async def _apply_configuration(site: Site) -> None:
    log = HttpLog(site.log_url)
    appender = Appender(log, CONFIG_STREAM, "bench", SystemClock())
    runners = [
        Runner(
            name=f"r{number}",
            service="notes",
            address=address,
            data_centre=CENTRES[0],
            slots=16,
            model="m",
        )
        for number, address in enumerate(site.engine_addresses)
    ]
    documents: list[Document] = [
        Region(name="r"),
        DataCentre(name=CENTRES[0], region="r"),
        Model(name="m", version="1"),
        Service(name="notes", kind=ServiceKind.model, models=["m"]),
        Owner(name="bench", key_sha256=[hashlib.sha256(KEY.encode()).hexdigest()]),
        Rule(
            name="b",
            owner="bench",
            service="notes",
            work_class=WorkClassRule.batch,
        ),
        *runners,
    ]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(appender.run)
        await appender.append(_change(documents))
        tasks.cancel_scope.cancel()


def _submit(cluster: Cluster) -> BatchJob:
    lines = [
        msgspec.json.encode(BatchModelItem(id=f"i{n}", prompt="note", max_tokens=8))
        for n in range(TAKEOVER_ITEMS)
    ]
    vm = cluster.site.vms[0].vm
    for _ in wait_until("an accepted batch job", START_LIMIT):
        answer = httpcore.request(
            "POST",
            f"http://{vm}:{ENTRY_PORT}/v1/batches?service=notes",
            headers=HEADERS,
            content=b"\n".join(lines),
        )
        if answer.status == ACCEPTED_STATUS:
            return msgspec.json.decode(answer.content, type=BatchJob)
    raise TimeoutError("batch job was not accepted")


def _wait_done(vm: str, job_id: str, done: int) -> BatchJob:
    for _ in wait_until(f"{done} items", JOB_LIMIT):
        try:
            content = _get(vm, f"/v1/batches/{job_id}")
            job = msgspec.json.decode(content, type=BatchJob)
        except (msgspec.DecodeError, OSError):
            continue
        if job.done >= done:
            return job
    raise TimeoutError(f"job {job_id} did not complete {done} items")


def _get(vm: str, path: str) -> bytes:
    url = f"http://{vm}:{ENTRY_PORT}{path}"
    return httpcore.request("GET", url, headers=HEADERS).content
