"""Faults of whole processes: frozen past lease expiry, killed, or shut down."""

import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import UTC, datetime

import anyio

from chivespan.auth import key_hash
from chivespan.codec import encode
from chivespan.configfold import CONFIG_STREAM
from chivespan.configuration import Configuration
from chivespan.documents import DocumentKind, Operator
from chivespan.envelope import encode_record
from chivespan.httplog import HttpLog
from chivespan.jobfold import jobs_stream
from chivespan.jobplan import partition_of
from chivespan.placement import select_owner
from chivespan.records import ConfigChange, DocumentChange, RecordId
from chivespan.slices import slice_owner
from standins.logservice import LogFaults
from standins.vmlist import VmEntry, VmListFaults
from tests.callers import Caller
from tests.faults.matrix import Cell, Fault, Row, proves
from tests.faults.rig import DATA_CENTRE, OWNER_KEY, REGION, configuration_of
from tests.jobs import JobCaller, Submission
from tests.oracle import LeavingTarget, Observations, violations
from tools.cluster import Cluster, Process, Site, VmSpec, frozen, random_address_block

VMS = 3
OPERATOR_KEY = "operator-key"
SETTINGS = {
    "heartbeat_ms": "100",
    "peer_silence_ms": "500",
    "address_lifetime_ms": "1000",
    "partitions": "2",
}
LEASE_EXPIRY_S = 3.5
RESPONSE_TIMEOUT_S = 3.0
READY_TIMEOUT_S = 20.0
LEAVING_BOUND_S = 3.0


class ProcessRig:
    """A running cluster, and the observations of its callers."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.observations = Observations()
        self.vms = [place.vm for place in cluster.site.vms]

    def caller(self, other_than: str) -> Caller:
        """Return a caller of the first entry that isn't on the given VM."""
        vm = next(vm for vm in self.vms if vm != other_than)
        return Caller(f"{vm}:8080", OWNER_KEY)

    def process(self, vm: str, program: str) -> Process:
        """Return one program's process."""
        return self.cluster.process(f"{vm}/{program}")

    @property
    def slice_owner(self) -> str:
        """The VM that owns the engines' slice while all VMs are live."""
        chosen = slice_owner("lm/a/0", self.vms)
        assert chosen is not None
        return chosen

    def job_owner(self, job_id: str) -> str:
        """Return the VM that owns a job's partition while all VMs are live."""
        chosen = select_owner(jobs_stream(partition_of(job_id)), self.vms)
        assert chosen is not None
        return chosen

    async def stream(self, caller: Caller, prompt: str, tokens: int = 6) -> None:
        """Request a streamed answer and record it."""
        self.observations.generated.append(await caller.stream(prompt, tokens))

    async def offsets(self, vm: str) -> list[int]:
        """Return all VMs' configuration offsets as reported by one VM's entry."""
        caller = Caller(f"{vm}:8080", OPERATOR_KEY)
        answer = await caller.send("GET", "/operator/status")
        assert answer is not None
        return _offsets(answer.content)

    def check(self) -> None:
        """Assert that the oracle finds no violation and every answer completed."""
        site = self.cluster.site
        self.observations.journals = {
            address: self.cluster.journal(address)
            for address in (*site.engine_addresses, *site.plain_addresses)
        }
        assert violations(self.observations) == []
        assert [got for got in self.observations.generated if got.ended != "done"] == []


def _offsets(status: bytes) -> list[int]:
    return [int(reply["config_offset"]) for reply in json.loads(status)["vms"]]


@asynccontextmanager
async def process_rig() -> AsyncIterator[ProcessRig]:
    site = Site(
        data_centres=(DATA_CENTRE,) * VMS,
        region=REGION,
        block=random_address_block(),
        engines=2,
        plains=1,
        settings=SETTINGS,
        engine_flags={"slots": "4", "step_ms": "10", "load_lag_ms": "50"},
    )
    with Cluster(site) as cluster:
        rig = ProcessRig(cluster)
        await publish(cluster, _change(_configuration(site), base=0))
        for vm in rig.vms:
            await _wait_for_addresses(vm, VMS)
        yield rig


def _configuration(site: Site) -> Configuration:
    return configuration_of(
        site.engine_addresses, site.plain_addresses, deadline_ms=20_000
    )


def _change(configuration: Configuration, base: int) -> ConfigChange:
    changes = [
        DocumentChange(
            kind=each.kind.value,
            name=each.name,
            base_version=base,
            document=encode(stored.document),
        )
        for each, stored in configuration.stored.items()
    ]
    operator = Operator(name="op", key_sha256=[key_hash(OPERATOR_KEY)])
    changes.append(
        DocumentChange(
            kind=DocumentKind.operator.value,
            name="op",
            base_version=base,
            document=encode(operator),
        )
    )
    return ConfigChange(operator="op", reason="test", changes=changes)


async def publish(cluster: Cluster, change: ConfigChange, sequence: int = 1) -> int:
    """Append a change to the log and return its offset."""
    log = HttpLog(cluster.site.log_url)
    record_id = RecordId(writer="test", sequence=sequence)
    payload = encode_record(change, record_id, datetime.now(UTC))
    try:
        return await log.append(CONFIG_STREAM, [payload])
    finally:
        await log.aclose()


async def _wait_for_addresses(vm: str, count: int) -> None:
    """Wait until an entry lists this number of addresses."""
    caller = Caller(f"{vm}:8080", OWNER_KEY)
    with anyio.fail_after(READY_TIMEOUT_S):
        while True:
            answer = await caller.send("GET", "/v1/addresses")
            if (
                answer
                and answer.status == 200
                and answer.content.count(b":80") == count
            ):
                return
            await anyio.sleep(0.05)


@proves(
    (Row.ADDRESS, Row.ADMISSION, Row.GRANT, Row.SLICE_TAKEOVER), Fault.FROZEN, slow=True
)
async def control_is_frozen_past_its_leases(cell: Cell) -> None:
    """The resumed owner's grants aren't counted twice, and no answer is lost."""
    async with process_rig() as rig:
        frozen_vm = rig.slice_owner
        caller = rig.caller(other_than=frozen_vm)
        async with anyio.create_task_group() as tasks:
            if cell.row is Row.GRANT:
                tasks.start_soon(rig.stream, caller, "holds a grant", 300)
                await caller.on_token.wait()
            with frozen([rig.process(frozen_vm, "dispatch")]):
                with anyio.fail_after(RESPONSE_TIMEOUT_S):
                    await rig.stream(caller, "while frozen")
                await _wait_for_addresses(caller.address.split(":")[0], VMS - 1)
                await anyio.sleep(LEASE_EXPIRY_S)
            for number in range(10):
                await rig.stream(caller, f"after the thaw {number}")
        await _wait_for_addresses(caller.address.split(":")[0], VMS)
        rig.check()


@proves((Row.ITEM_RUN, Row.PARTITION_TAKEOVER), Fault.FROZEN, slow=True)
async def worker_is_frozen_past_its_leases(cell: Cell) -> None:
    """Each item has one result, although two owners run the same items for a while."""
    async with process_rig() as rig:
        caller = JobCaller(rig.caller(other_than=""))
        prompts = {f"i{n}": f"route summary {n}" for n in range(120)}
        job = Submission("frozen", prompts, 10)
        accepted = await caller.submit_until_accepted(job)
        frozen_vm = rig.job_owner(accepted.job_id)
        with frozen(rig.cluster.vm_processes(frozen_vm)):
            other_caller = JobCaller(rig.caller(other_than=frozen_vm), caller.ids)
            await anyio.sleep(LEASE_EXPIRY_S)
        rig.observations.jobs.append(await other_caller.finish(job, 60))
        rig.check()


@proves(Row.CONFIG_PUSH, Fault.FROZEN, slow=True)
async def follower_is_frozen_during_changes(cell: Cell) -> None:
    async with process_rig() as rig:
        frozen_vm, watcher = rig.vms[0], rig.vms[1]
        with frozen([rig.process(frozen_vm, "dispatch")]):
            again = _change(_configuration(rig.cluster.site), base=1)
            offset = await publish(rig.cluster, again, sequence=2)
            await anyio.sleep(LEASE_EXPIRY_S)
        with anyio.fail_after(8):
            while True:
                seen = await rig.offsets(watcher)
                if len(seen) == VMS and min(seen) >= offset:
                    break
                await anyio.sleep(0.1)
        rig.check()


@proves(
    Row.SHUTDOWN,
    (
        Fault.RESEND,
        Fault.LIST_STALE,
        Fault.LIST_DOWN,
        Fault.LOG_DOWN,
        Fault.LOG_SLOW,
        Fault.KILLED,
        Fault.FROZEN,
        Fault.OPERATOR_RACE,
    ),
    slow=True,
)
async def vm_leaves_while_it_serves(cell: Cell) -> None:
    """A graceful shutdown aborts no request, even during another fault."""
    async with process_rig() as rig:
        leaving, other, third = rig.vms
        site = rig.cluster.site
        match cell.fault:
            case Fault.LIST_STALE:
                rig.cluster.set_faults(site.vm_list_url, VmListFaults(stale=True))
            case Fault.LIST_DOWN:
                rig.cluster.set_faults(site.vm_list_url, VmListFaults(down=True))
            case Fault.LOG_DOWN:
                rig.cluster.set_faults(site.log_url, LogFaults(down=True))
            case Fault.LOG_SLOW:
                rig.cluster.set_faults(site.log_url, LogFaults(slow_ms=1000))
        caller = Caller(f"{leaving}:8080", OWNER_KEY)
        async with anyio.create_task_group() as tasks:

            async def long_answer() -> None:
                got = await caller.stream("long", 400, across_shutdown=True)
                rig.observations.generated.append(got)

            tasks.start_soon(long_answer)
            await caller.on_token.wait()
            if cell.fault is Fault.OPERATOR_RACE:
                await _operators_race(rig, leaving)
            for process in rig.cluster.vm_processes(leaving):
                process.terminate()
            if cell.fault is Fault.KILLED:
                for process in rig.cluster.vm_processes(third):
                    process.kill()
            if cell.fault is Fault.FROZEN:
                with frozen([rig.process(leaving, "entry")]):
                    await anyio.sleep(LEASE_EXPIRY_S)
            await rig.stream(Caller(f"{leaving}:8080", OWNER_KEY), "with an old answer")
            left = 1 if cell.fault is Fault.KILLED else 2
            await _wait_for_addresses(other, left)
        codes = [
            await anyio.to_thread.run_sync(process.wait)
            for process in rig.cluster.vm_processes(leaving)
        ]
        assert codes == [0, 0, 0]
        await rig.stream(Caller(f"{other}:8080", OWNER_KEY), "after the leave")
        rig.check()


async def _operators_race(rig: ProcessRig, leaving: str) -> None:
    """Two operators drain one VM while two others publish conflicting changes."""
    change = _change(_configuration(rig.cluster.site), base=1)
    operator = Caller(f"{leaving}:8080", OPERATOR_KEY)
    answers: list[int] = []

    async def drain() -> None:
        answer = await operator.send("POST", "/operator/drain")
        answers.append(answer.status if answer else 0)

    async with anyio.create_task_group() as tasks:
        for number in range(2):
            tasks.start_soon(drain)
            tasks.start_soon(publish, rig.cluster, change, 2 + number)
    assert answers == [200, 200]


@proves(Row.ADMISSION, Fault.TWO, slow=True)
async def target_leaves_and_the_owner_is_killed(cell: Cell) -> None:
    """A target listed as leaving gets no new request after the bound."""
    async with process_rig() as rig:
        site = rig.cluster.site
        gone = site.engine_addresses[0]
        listed = [VmEntry(p.vm, p.data_centre, p.region) for p in site.vms]
        leaving = VmEntry(gone.split(":")[0], DATA_CENTRE, REGION, "leaving")
        rig.cluster.list_vms([*listed, leaving])
        rig.observations.leaving_targets.append(
            LeavingTarget(gone, time.time() + LEAVING_BOUND_S)
        )
        killed = rig.slice_owner
        rig.process(killed, "dispatch").kill()
        caller = rig.caller(other_than=killed)
        until = time.monotonic() + LEAVING_BOUND_S + 2
        number = 0
        while time.monotonic() < until:
            await rig.stream(caller, f"request {number}", 2)
            number += 1
        rig.check()


@proves(Row.ADDRESS, Fault.KILLED, slow=True)
async def vm_is_killed(cell: Cell) -> None:
    """The address of a killed VM is soon removed; other VMs answer all requests."""
    async with process_rig() as rig:
        killed = rig.slice_owner
        for process in rig.cluster.vm_processes(killed):
            process.kill()
        caller = rig.caller(other_than=killed)
        with anyio.fail_after(RESPONSE_TIMEOUT_S):
            await rig.stream(caller, "right after")
        await _wait_for_addresses(caller.address.split(":")[0], VMS - 1)
        place = next(p for p in rig.cluster.site.vms if p.vm == killed)
        _restart_vm(rig.cluster, place)
        await _wait_for_addresses(caller.address.split(":")[0], VMS)
        rig.check()


def _restart_vm(cluster: Cluster, place: VmSpec) -> None:
    cluster.start_vm(place)
    cluster.wait_ready()
