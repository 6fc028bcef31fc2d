"""Client of the operators' HTTP API: usage, batch jobs, status and drain."""

from urllib.parse import quote

from chivespan.addresses import is_ip_address, parse_address
from chivespan.callerapi import BatchJob, BatchJobList
from chivespan.entryclient import EntryClient
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.messages import FleetStatus, FleetUsage, StatusReply
from chivespan.operatorresults import (
    DrainResult,
    JobsResult,
    StatusResult,
    UsageResult,
)


class OperatorApiClient:
    """Sends requests to one entry; a drain goes to the entry of the VM to drain.

    :param address: IP address and port of any entry VM.
    :param operator_key: the operator's key.
    """

    def __init__(self, address: str, operator_key: str) -> None:
        self._address = address
        self._key = operator_key
        self._client = EntryClient(address, operator_key)

    async def usage(self) -> UsageResult:
        """Return the usage of all owners."""
        fleet = await self._client.get("/operator/usage", FleetUsage)
        return UsageResult(tuple(fleet.counts), tuple(fleet.missing))

    async def jobs(self, owner: str) -> JobsResult:
        """Return an owner's batch jobs."""
        found = await self._client.get(_jobs_path(owner), BatchJobList)
        return JobsResult(tuple(found.data))

    async def job(self, owner: str, job_id: str) -> JobsResult:
        """Return one batch job."""
        path = f"{_jobs_path(owner)}/{quote(job_id, safe='')}"
        return JobsResult((await self._client.get(path, BatchJob),))

    async def cancel(self, owner: str, job_id: str) -> JobsResult:
        """Cancel a batch job and return its state."""
        path = f"{_jobs_path(owner)}/{quote(job_id, safe='')}/cancel"
        return JobsResult((await self._client.post(path, BatchJob),))

    async def drain(self, vm: str) -> DrainResult:
        """Start draining a VM."""
        reply = await self._client_for(vm).post("/operator/drain", StatusReply)
        return DrainResult(vm, reply.leaving)

    async def status(self) -> StatusResult:
        """Return the status reported by each VM of the entry's membership view."""
        fleet = await self._client.get("/operator/status", FleetStatus)
        return StatusResult(tuple(fleet.vms), tuple(fleet.unreachable))

    def _client_for(self, vm: str) -> EntryClient:
        """Return a client of another VM's entry, which uses the same port."""
        if not is_ip_address(vm):
            reason = f"{vm!r} is not an IP address of a VM"
            raise ChivespanError(ErrorKind.BAD_REQUEST, reason)
        host = f"[{vm}]" if ":" in vm else vm
        port = parse_address(self._address).port
        return EntryClient(f"{host}:{port}", self._key)


def _jobs_path(owner: str) -> str:
    return f"/operator/jobs/{quote(owner, safe='')}"
