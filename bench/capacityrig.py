"""Test rig that runs one real dispatcher against fake peers, clients, log and VM list.

All fakes run in this process; the measured program runs in a process of its own. CPU
time is read from the kernel and traffic from its socket counters, plus 52 bytes of TCP
and IP headers for each segment.
"""

import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta
from functools import partial
from math import ceil

import anyio
from anyio.abc import TaskGroup

from bench.capacitydocs import ConfigRecordBuilder
from bench.capacityfakes import (
    REGION,
    LoadReports,
    changing_load,
    report_remote_centre,
)
from chivespan.clock import SystemClock
from chivespan.configfeed import READERS_PER_CENTRE
from chivespan.configfold import CONFIG_STREAM
from chivespan.dispatcher import HEARTBEAT_INTERVAL_PER_LINK
from chivespan.dispatchquery import query_status
from chivespan.linkmessages import Program
from chivespan.messages import (
    ConfigRequest,
    Grant,
    GrantRelease,
    GrantRequest,
    Outcome,
    StatusReply,
    WorkClass,
)
from chivespan.metrics import Metrics
from chivespan.peerlink import LinkEnd, LinkOptions, PeerLink, dial, listen, new_hello
from chivespan.placement import ranked, select_owner
from chivespan.settings import NodeSettings
from standins.logservice import LogStandIn
from standins.serving import StandIn, serving, serving_at
from standins.vmlist import VmEntry, VmListStandIn

CENTRE = "centre-0"
NEIGHBOUR_CENTRES = ("centre-1", "centre-2")
PORT = 8081
SEGMENT_HEADER_BYTES = 52
HEARTBEAT_INTERVAL = timedelta(milliseconds=500)
TOKENS_PER_GRANT = 400


@dataclass(frozen=True)
class Load:
    """Environment and request rates of the measured node.

    :param peers: other dispatchers of the data centre.
    :param remote: peers in each other data centre of the region; links are opened in
        both directions.
    :param clients: linked programs that request grants.
    :param followers: linked programs that subscribe to configuration and membership.
    :param targets: targets of the data centre.
    :param far_targets: targets of other data centres, which the node has only as
        configuration documents.
    :param owners: owners, each with two rules.
    :param listed: VMs of other regions on the VM list.
    :param slices: number of slices that the node owns; -1 for any number.
    :param reader: whether the node is one of the data centre's log readers.
    :param settle_s: time between start and measurement.
    """

    peers: int = 0
    remote: int = 0
    clients: int = 0
    followers: int = 0
    targets: int = 0
    far_targets: int = 0
    owners: int = 0
    listed: int = 0
    changes_per_s: float = 0
    grants_per_s: float = 0
    slices: int = -1
    reader: bool = False
    seconds: float = 8.0
    settle_s: float = 4.0


@dataclass(frozen=True)
class Traffic:
    """Payload bytes and segments that one socket sent and received."""

    payload: int
    segments: int


@dataclass(frozen=True)
class Usage:
    """CPU time and traffic of a process up to one point in time."""

    cpu_s: float
    sockets: dict[str, Traffic]
    at: float

    def payload_since(self, before: "Usage") -> int:
        """Return the payload bytes sent and received since an earlier reading."""
        return sum(
            traffic.payload - before.sockets.get(name, NO_TRAFFIC).payload
            for name, traffic in self.sockets.items()
        )

    def wire_since(self, before: "Usage") -> int:
        """Return the bytes sent and received, including TCP and IP headers."""
        segments = sum(
            traffic.segments - before.sockets.get(name, NO_TRAFFIC).segments
            for name, traffic in self.sockets.items()
        )
        return self.payload_since(before) + segments * SEGMENT_HEADER_BYTES


NO_TRAFFIC = Traffic(0, 0)


@dataclass(frozen=True)
class Measurement:
    """Result of one load, with rates averaged over the measurement."""

    load: Load
    cpu_percent: float
    rss_mb: float
    start_s: float
    payload_bytes_s: float
    wire_bytes_s: float
    own_targets: int
    grants_s: float
    changes_s: float


@dataclass
class Rig:
    """A running node and its fakes."""

    network: str
    vm: str
    load: Load
    log: LogStandIn
    vm_list: VmListStandIn
    documents: ConfigRecordBuilder
    process: subprocess.Popen[bytes] | None = None
    grants: int = 0
    changes: int = 0

    @property
    def address(self) -> str:
        return f"{self.vm}:{PORT}"

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    def link_end(
        self, vm: str, program: Program, centre: str = CENTRE, load: bool = False
    ) -> LinkEnd:
        settings = NodeSettings(
            vm=vm,
            data_centre=centre,
            region=REGION,
            log_url="",
            vm_list_url="",
            peer_key="key",
        )
        end = LinkEnd(
            new_hello(settings, program),
            LinkOptions.from_settings(settings),
            SystemClock(),
            Metrics(),
        )
        if not load:
            return end
        interval = max(
            HEARTBEAT_INTERVAL, self.load.peers * HEARTBEAT_INTERVAL_PER_LINK
        )
        return replace(
            end, heartbeat=changing_load(vm), interval_for=lambda _: interval
        )

    async def status(self) -> StatusReply:
        return await query_status(
            self.link_end(self.vm, Program.operator), self.address
        )


def usage_of(pid: int) -> Usage:
    """Return the CPU time of a process and the traffic of its sockets."""
    with open(f"/proc/{pid}/schedstat") as source:
        cpu_s = int(source.read().split()[0]) / 1e9
    text = subprocess.run(
        ["ss", "-tnpiHO"], capture_output=True, text=True, check=True
    ).stdout
    own_sockets = [line for line in text.splitlines() if f"pid={pid}," in line]
    return Usage(cpu_s, dict(map(_traffic, own_sockets)), time.monotonic())


def _traffic(line: str) -> tuple[str, Traffic]:
    name = " ".join(line.split()[3:5])
    payload = _counter(line, "bytes_sent") + _counter(line, "bytes_received")
    segments = _counter(line, "segs_out") + _counter(line, "segs_in")
    return name, Traffic(payload, segments)


def _counter(line: str, name: str) -> int:
    match = re.search(rf"\b{name}:(\d+)", line)
    return int(match.group(1)) if match else 0


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    with open(f"/proc/{pid}/status") as source:
        line = next(line for line in source if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


async def measure(number: int, load: Load) -> Measurement:
    """Run a node under a load and return its resource usage.

    :param number: selects a loopback network that no concurrent run uses.
    """
    async with running(f"127.{100 + number}", load) as (rig, start_s):
        await anyio.sleep(load.settle_s)
        status = await rig.status()
        grants, changes = rig.grants, rig.changes
        before = usage_of(rig.pid)
        await anyio.sleep(load.seconds)
        after = usage_of(rig.pid)
        elapsed = after.at - before.at
        return Measurement(
            load=load,
            cpu_percent=100 * (after.cpu_s - before.cpu_s) / elapsed,
            rss_mb=rss_mb(rig.pid),
            start_s=start_s,
            payload_bytes_s=after.payload_since(before) / elapsed,
            wire_bytes_s=after.wire_since(before) / elapsed,
            own_targets=len(status.targets),
            grants_s=(rig.grants - grants) / elapsed,
            changes_s=(rig.changes - changes) / elapsed,
        )


@asynccontextmanager
async def running(network: str, load: Load) -> AsyncIterator[tuple[Rig, float]]:
    """Run a node and its fakes; yield the rig and the start-up time.

    The start-up time ends when the node has the complete configuration.
    """
    log, documents = LogStandIn(), ConfigRecordBuilder(network)
    vm = _choose_vm(network, load)
    vm_list = VmListStandIn(vms=tuple(_listed_vms(network, vm, load)))
    for payload in documents.inventory(load.targets, load.far_targets, load.owners):
        log.append(CONFIG_STREAM, [payload])
    rig = Rig(network, vm, load, log, vm_list, documents)
    async with AsyncExitStack() as stack:
        urls = await stack.enter_async_context(serving(log, vm_list))
        reports = LoadReports()
        stand_ins: list[tuple[str, StandIn]] = [
            (address, reports) for address in documents.addresses(load.targets)
        ]
        await stack.enter_async_context(serving_at(stand_ins))
        tasks = await stack.enter_async_context(anyio.create_task_group())
        if load.remote:
            await _listen_as_remote_vms(stack, rig)
        began = time.monotonic()
        rig.process = _start(rig, *urls)
        try:
            await _start_dialing_fakes(rig, tasks)
            await _wait_until_configured(rig, documents.end - 1)
            start_s = time.monotonic() - began
            yield rig, start_s
        finally:
            rig.process.send_signal(signal.SIGKILL)
            rig.process.wait()
            tasks.cancel_scope.cancel()


def _start(rig: Rig, log: str, vm_list: str) -> subprocess.Popen[bytes]:
    flags = {
        "vm": rig.vm,
        "data_centre": CENTRE,
        "region": REGION,
        "log_url": f"http://{log}",
        "vm_list_url": f"http://{vm_list}",
        "peer_key": "key",
        "log_level": "error",
    }
    command = [sys.executable, "-m", "chivespan.dispatch_main"]
    command += [f"--{name}={value}" for name, value in flags.items()]
    return subprocess.Popen(command, env={"PATH": os.environ["PATH"]})


async def _wait_until_configured(rig: Rig, offset: int) -> None:
    with anyio.fail_after(60):
        while True:
            try:
                if (await rig.status()).config_offset >= offset:
                    return
            except Exception:
                await anyio.sleep(0.05)


def _choose_vm(network: str, load: Load) -> str:
    """Return an address whose rendezvous rank gives the requested slices and role."""
    peers = [f"{network}.0.{n + 1}" for n in range(load.peers)]
    slice_ids = [f"booking-lm/{CENTRE}/{n}" for n in range(ceil(load.targets / 16))]
    for number in range(1, 255):
        vm = f"{network}.1.{number}"
        vms = [vm, *peers]
        owned = sum(select_owner(slice_id, vms) == vm for slice_id in slice_ids)
        reader = vm in ranked(f"config/{CENTRE}", vms)[:READERS_PER_CENTRE]
        if (reader is load.reader or not peers) and load.slices in (-1, owned):
            return vm
    raise LookupError("no address gives the requested number of slices and reader role")


def _listed_vms(network: str, vm: str, load: Load) -> list[VmEntry]:
    local_vms = [
        VmEntry(f"{network}.0.{n + 1}", CENTRE, REGION) for n in range(load.peers)
    ]
    neighbour_vms = [
        VmEntry(f"{network}.{index + 2}.{n + 1}", centre, REGION)
        for index, centre in enumerate(NEIGHBOUR_CENTRES)
        for n in range(load.remote)
    ]
    remote_vms = [
        VmEntry(f"10.{n // 250}.0.{n % 250}", f"far-{n % 10}", f"region-{n % 3 + 1}")
        for n in range(load.listed)
    ]
    return [VmEntry(vm, CENTRE, REGION), *local_vms, *neighbour_vms, *remote_vms]


async def _start_dialing_fakes(rig: Rig, tasks: TaskGroup) -> None:
    """Start the fakes that connect to the node."""
    load = rig.load
    for n in range(load.peers):
        end = rig.link_end(f"{rig.network}.0.{n + 1}", Program.dispatch, load=True)
        tasks.start_soon(dial, rig.address, end, _discard_messages)
    for index, centre in enumerate(NEIGHBOUR_CENTRES):
        for n in range(load.remote):
            vm = f"{rig.network}.{index + 2}.{n + 1}"
            end = rig.link_end(vm, Program.dispatch, centre, load=True)
            tasks.start_soon(dial, rig.address, end, _discard_messages)
    for _ in range(load.followers):
        end = rig.link_end(rig.vm, Program.entry)
        tasks.start_soon(dial, rig.address, end, _follow_config)
    for n in range(load.clients):
        program = (Program.entry, Program.batch)[n % 2]
        end = rig.link_end(f"{rig.network}.0.{n // 2 + 1}", program)
        tasks.start_soon(dial, rig.address, end, partial(_request_grants, rig))
    tasks.start_soon(_write_changes, rig)


async def _discard_messages(link: PeerLink) -> None:
    async for _ in link:
        pass


async def _follow_config(link: PeerLink) -> None:
    link.send(ConfigRequest(have_offset=-1))
    async for _ in link:
        pass


async def _request_grants(rig: Rig, link: PeerLink) -> None:
    """Request grants at a steady rate and release each slot after a delay."""
    async with anyio.create_task_group() as tasks:
        if rig.load.grants_per_s:
            tasks.start_soon(_send_requests, rig, link)
        async for message in link:
            if isinstance(message, Grant):
                rig.grants += 1
                tasks.start_soon(_release_after_delay, link, message)


async def _send_requests(rig: Rig, link: PeerLink) -> None:
    await anyio.sleep(rig.load.settle_s / 2)
    targets = (await rig.status()).targets
    slice_ids = sorted({target.slice_id for target in targets})
    interval = rig.load.clients / rig.load.grants_per_s
    number = 0
    while slice_ids:
        number += 1
        link.send(
            GrantRequest(
                request_id=f"{link.remote.incarnation}-{id(link)}-{number}",
                slice_id=slice_ids[number % len(slice_ids)],
                service="booking-lm",
                model="booking-1",
                owner="owner-0",
                work_class=WorkClass.online,
                deadline_ms=30_000,
                tokens=TOKENS_PER_GRANT,
            )
        )
        await anyio.sleep(interval)


async def _release_after_delay(link: PeerLink, grant: Grant) -> None:
    await anyio.sleep(0.2)
    link.send(
        GrantRelease(
            grant_id=grant.grant_id,
            outcome=Outcome.done,
            first_token_us=200_000,
            token_gap_us=20_000,
            tokens=TOKENS_PER_GRANT,
        )
    )


async def _write_changes(rig: Rig) -> None:
    """Write configuration changes at a steady rate."""
    while rig.load.changes_per_s:
        await anyio.sleep(1 / rig.load.changes_per_s)
        rig.log.append(CONFIG_STREAM, [rig.documents.change(datetime.now(UTC))])
        rig.changes += 1


async def _listen_as_remote_vms(stack: AsyncExitStack, rig: Rig) -> None:
    """Listen as the VMs of neighbouring data centres, to which the node connects."""
    for index, centre in enumerate(NEIGHBOUR_CENTRES):
        for n in range(rig.load.remote):
            vm = f"{rig.network}.{index + 2}.{n + 1}"
            end = rig.link_end(vm, Program.dispatch, centre, load=True)
            handler = partial(report_remote_centre, centre)
            await stack.enter_async_context(listen(vm, PORT, end, handler))
