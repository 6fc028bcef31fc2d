"""Client of the batch processes for jobs."""

from collections.abc import AsyncIterator

import anyio

from chivespan.batchlinks import BatchLinks, new_request_id
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.jobfold import jobs_stream
from chivespan.jobmessages import (
    Done,
    JobCancelRequest,
    JobListReply,
    JobListRequest,
    JobResult,
    JobResultsReply,
    JobResultsRequest,
    JobState,
    JobStateReply,
    JobStateRequest,
    SubmitChunk,
    SubmitJob,
)
from chivespan.jobplan import JobPlan, partition_of

MAX_CONCURRENT_PARTITIONS = 8


class JobClient:
    """Submits, queries and cancels jobs; one per process."""

    def __init__(self, links: BatchLinks, partitions: int) -> None:
        self._links = links
        self._partitions = partitions

    async def submit(self, plan: JobPlan) -> JobState:
        """Submit a job and return its state once it is accepted.

        :raises ChivespanError: ``key_reused``; ``log_unavailable`` or ``not_ready`` if
            the job is not accepted; ``acceptance_unknown`` if it must be resubmitted
            with the same key.
        """

        async def submit_to(vm: str) -> JobState:
            return await self._submit_to(vm, plan)

        stream = jobs_stream(partition_of(plan.job_id))
        return await self._links.try_each(stream, submit_to)

    async def state(self, owner: str, job_id: str) -> JobState:
        """Return a job's state.

        :raises ChivespanError: ``not_found``; ``not_ready``.
        """
        request = JobStateRequest(
            request_id=new_request_id(), owner=owner, job_id=job_id
        )
        stream = jobs_stream(partition_of(job_id))
        reply = await self._links.ask_any(stream, request, JobStateReply)
        return reply.state

    async def states(self, owner: str) -> list[JobState]:
        """Return the states of all jobs of an owner.

        :raises ChivespanError: ``not_ready``.
        """
        found: dict[int, list[JobState]] = {}
        failures: list[ChivespanError] = []
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_PARTITIONS)

        async def fetch_states(partition: int) -> None:
            request = JobListRequest(
                request_id=new_request_id(), owner=owner, partition=partition
            )
            async with limiter:
                try:
                    reply = await self._links.ask_any(
                        jobs_stream(partition), request, JobListReply
                    )
                except ChivespanError as error:
                    failures.append(error)
                else:
                    found[partition] = reply.states

        async with anyio.create_task_group() as tasks:
            for partition in range(self._partitions):
                tasks.start_soon(fetch_states, partition)
        if failures:
            raise failures[0]
        return [state for partition in sorted(found) for state in found[partition]]

    async def results(self, owner: str, job_id: str) -> AsyncIterator[JobResult]:
        """Yield the results available so far, in the order of the job's items.

        :raises ChivespanError: ``not_found``; ``not_ready``; ``log_unavailable``.
        """
        stream = jobs_stream(partition_of(job_id))
        chunk, chunks = 0, 1
        while chunk < chunks:
            request = JobResultsRequest(
                request_id=new_request_id(), owner=owner, job_id=job_id, chunk=chunk
            )
            reply = await self._links.ask_any(stream, request, JobResultsReply)
            chunks = reply.chunks
            for result in reply.results:
                yield result
            chunk += 1

    async def cancel(self, owner: str, job_id: str, reason: str) -> JobState:
        """Cancel a job and return its state.

        :raises ChivespanError: ``not_found``; ``log_unavailable``;
            ``acceptance_unknown``.
        """
        request = JobCancelRequest(
            request_id=new_request_id(), owner=owner, job_id=job_id, reason=reason
        )
        stream = jobs_stream(partition_of(job_id))
        reply = await self._links.ask_any(stream, request, JobStateReply)
        return reply.state

    async def _submit_to(self, vm: str, plan: JobPlan) -> JobState:
        submission_id = new_request_id()
        for number, items in enumerate(plan.chunks):
            chunk_request = SubmitChunk(
                request_id=new_request_id(),
                submission_id=submission_id,
                chunk=number,
                items=list(items),
            )
            await self._send_chunk(vm, chunk_request)
        submit_request = SubmitJob(
            request_id=new_request_id(),
            submission_id=submission_id,
            job_id=plan.job_id,
            owner=plan.owner,
            job_key=plan.job_key,
            service=plan.service,
            model=plan.model,
            items=plan.items,
            chunks=len(plan.chunks),
            digest=plan.digest,
            idempotent=plan.idempotent,
        )
        reply = await self._links.ask(vm, submit_request, JobStateReply)
        return reply.state

    async def _send_chunk(self, vm: str, chunk_request: SubmitChunk) -> None:
        """Send one chunk of a submission; without the others it has no effect."""
        try:
            await self._links.ask(vm, chunk_request, Done)
        except ChivespanError as error:
            reason = (
                f"the batch process of {vm} did not receive the whole submission: "
                f"{error.message}"
            )
            raise ChivespanError(ErrorKind.NOT_READY, reason) from error
