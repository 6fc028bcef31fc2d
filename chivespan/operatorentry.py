"""What operators ask entry VMs: usage, batch jobs, status, drain."""

from typing import TypeVar
from urllib.parse import quote

import anyio

from chivespan.addresses import is_ip_number, parse_address
from chivespan.entryclient import EntryClient
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.jobmessages import JobState
from chivespan.messages import StatusReply, UsageReport
from chivespan.operatorresults import (
    DrainResult,
    JobsResult,
    StatusResult,
    UsageResult,
    VmStatus,
)

MAX_ASKED_AT_ONCE = 32

T = TypeVar("T")


class OperatorEntry:
    """Asks one entry, and for status and drain others that it knows of.

    :param address: IP number and port of any entry VM.
    """

    def __init__(self, address: str, operator_key: str) -> None:
        self._address = address
        self._key = operator_key
        self._client = EntryClient(address, operator_key)

    async def usage(self) -> UsageResult:
        """Return what every owner consumed."""
        report = await self._client.get("/v1/usage", UsageReport)
        return UsageResult(tuple(report.counts))

    async def jobs(self) -> JobsResult:
        """Return all batch jobs."""
        return JobsResult(tuple(await self._client.get("/v1/batches", list[JobState])))

    async def job(self, job_id: str) -> JobsResult:
        """Return one batch job."""
        path = f"/v1/batches/{quote(job_id, safe='')}"
        return JobsResult((await self._client.get(path, JobState),))

    async def cancel(self, job_id: str) -> JobsResult:
        """Cancel a batch job and return its state."""
        path = f"/v1/batches/{quote(job_id, safe='')}/cancel"
        return JobsResult((await self._client.post(path, JobState),))

    async def drain(self, vm: str) -> DrainResult:
        """Tell a VM to leave."""
        await self._of(vm).post("/operator/drain", dict[str, object])
        return DrainResult(vm, leaving=True)

    async def status(self) -> StatusResult:
        """Return what every VM that this entry knows of says of itself."""
        own = await self._client.get("/operator/status", StatusReply)
        others = sorted({view.vm for view in own.vms} - {own.vm})
        found = {own.vm: VmStatus(own.vm, own)}
        limit = anyio.CapacityLimiter(MAX_ASKED_AT_ONCE)

        async def ask(vm: str) -> None:
            async with limit:
                found[vm] = await self._status_of(vm)

        async with anyio.create_task_group() as group:
            for vm in others:
                group.start_soon(ask, vm)
        return StatusResult(tuple(found[vm] for vm in sorted(found)))

    async def _status_of(self, vm: str) -> VmStatus:
        try:
            return VmStatus(vm, await self._of(vm).get("/operator/status", StatusReply))
        except ChivespanError as error:
            return VmStatus(vm, None, error.message)

    def _of(self, vm: str) -> EntryClient:
        """Return a client of another VM's entry, which has the same port."""
        if not is_ip_number(vm):
            reason = f"{vm!r} is no IP number of a VM"
            raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
        host = f"[{vm}]" if ":" in vm else vm
        port = parse_address(self._address).port
        return EntryClient(f"{host}:{port}", self._key)
