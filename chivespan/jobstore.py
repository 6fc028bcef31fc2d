"""One partition of batch jobs: submissions, states, results and cancellations.

Any VM can serve any partition; ownership is only a preference. All answers are based on
records that were read back from the log and applied, never on ownership.
"""

from collections.abc import AsyncIterator, Iterator

import anyio

from chivespan.clock import NO_WAIT
from chivespan.envelope import decode_envelope, open_envelope
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.follower import CATCH_UP_TIMEOUT
from chivespan.jobfold import ENDED_PHASES, Chunk, Job, JobFold
from chivespan.jobmessages import JobPhase, JobResult, JobState
from chivespan.jobplan import JobPlan
from chivespan.partitionstore import PartitionStore
from chivespan.records import (
    CarriedChunk,
    CarriedResults,
    ItemResult,
    ItemResults,
    JobBegin,
    JobCancel,
    JobChunk,
    JobClose,
    JobItem,
)

APPEND_UNIT_BYTES = 2 * 1024 * 1024


class JobStore(PartitionStore[JobFold]):
    """Serves the requests of callers to one partition of jobs."""

    async def submit(self, plan: JobPlan) -> JobState:
        """Append a job and return its state once it is accepted.

        Submission is idempotent: resubmitting a job completes the first submission,
        however much of it is in the log.

        :raises ChivespanError: ``key_reused``; ``log_unavailable`` if the job is not
            accepted; ``acceptance_unknown`` if it must be resubmitted with the same
            key.
        """
        self._appender.require_available()
        await self._follower.require_caught_up()
        known = self.fold.job(plan.job_id)
        if known is None or known.phase is JobPhase.submitting:
            await self._append_job(plan)
        return self._accepted_state(plan)

    def job(self, owner: str, job_id: str) -> Job:
        """Return an owner's job.

        :raises ChivespanError: ``not_found``; ``not_ready`` until the stream has been
            read to its end once.
        """
        if not self._follower.is_caught_up:
            reason = f"{self._stream} is still being read"
            raise ChivespanError(ErrorKind.NOT_READY, reason)
        job = self.fold.job(job_id)
        if job is None or job.begin.owner != owner:
            raise ChivespanError(ErrorKind.NOT_FOUND, f"there is no job {job_id!r}")
        return job

    def states(self, owner: str) -> list[JobState]:
        """Return the states of an owner's accepted jobs.

        :raises ChivespanError: ``not_ready``.
        """
        if not self._follower.is_caught_up:
            reason = f"{self._stream} is still being read"
            raise ChivespanError(ErrorKind.NOT_READY, reason)
        return [
            job.state()
            for job in self.fold.jobs()
            if job.begin.owner == owner and job.phase is not JobPhase.submitting
        ]

    async def cancel(self, owner: str, job_id: str, reason: str) -> JobState:
        """Cancel a job, unless it has ended, and return its state.

        :raises ChivespanError: ``not_found``; ``log_unavailable``;
            ``acceptance_unknown``.
        """
        job = self.job(owner, job_id)
        if job.phase not in ENDED_PHASES:
            offset = await self._appender.append(
                JobCancel(job_id=job_id, reason=reason)
            )
            await self._follower.wait_applied(offset)
        return self.job(owner, job_id).state()

    async def results(self, owner: str, job_id: str, number: int) -> list[JobResult]:
        """Return the results of one chunk that are available so far, in order.

        Retries the read if the results were carried forward to other offsets.

        :raises ChivespanError: ``not_found``; ``not_ready``; ``log_unavailable``;
            ``log_expired``.
        """
        while True:
            job = self.job(owner, job_id)
            chunk = _chunk(job, number)
            offsets = tuple(chunk.results)
            try:
                found = await self.chunk_results(chunk)
            except ChivespanError as error:
                if error.kind is not ErrorKind.LOG_EXPIRED:
                    raise
                if not await self._wait_offsets_changed(owner, job_id, number, offsets):
                    raise
                continue
            first = sum(chunk.count for chunk in job.chunks[:number])
            return [_job_result(first, result) for result in found]

    async def _wait_offsets_changed(
        self, owner: str, job_id: str, number: int, offsets: tuple[int, ...]
    ) -> bool:
        """Wait briefly for a chunk's results to be at other offsets.

        :return: whether they are.
        """

        def have_changed() -> bool:
            return tuple(_chunk(self.job(owner, job_id), number).results) != offsets

        with anyio.move_on_after(CATCH_UP_TIMEOUT.total_seconds()):
            while not have_changed():
                await self._follower.wait_changed()
        return have_changed()

    async def chunk_results(self, chunk: Chunk) -> list[ItemResult]:
        """Return the valid results of a chunk's items, in order."""
        found: dict[int, ItemResult] = {}
        for offset in tuple(chunk.results):
            record = await self._read_record(offset)
            if isinstance(record, ItemResults | CarriedResults):
                for result in record.results:
                    found.setdefault(result.index, result)
        return [found[index] for index in sorted(found) if chunk.is_done(index)]

    async def chunk_items(self, chunk: Chunk) -> list[JobItem]:
        """Return a chunk's items.

        :raises ChivespanError: ``log_unavailable``; ``log_expired``.
        """
        record = await self._read_record(chunk.offset)
        if not isinstance(record, JobChunk | CarriedChunk):
            reason = f"{self._stream} has no chunk at offset {chunk.offset}"
            raise ChivespanError(ErrorKind.PROTOCOL, reason)
        return record.items

    async def _read_record(self, offset: int) -> object:
        page = await self._log.read(self._stream, offset, 1, NO_WAIT)
        if not page.records:
            reason = f"{self._stream} has no record at offset {offset}"
            raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason)
        return open_envelope(decode_envelope(page.records[0].payload))

    async def _append_job(self, plan: JobPlan) -> None:
        async for offset in self._append_units(plan):
            await self._follower.wait_applied(offset)

    async def _append_units(self, plan: JobPlan) -> AsyncIterator[int]:
        for unit in _units(plan):
            offsets = await self._appender.append_all(unit)
            yield offsets[-1]

    def _accepted_state(self, plan: JobPlan) -> JobState:
        job = self.fold.job(plan.job_id)
        if job and job.begin.digest != plan.digest:
            reason = (
                f"the job key {plan.job_key!r} was used for a job with different "
                "content"
            )
            raise ChivespanError(ErrorKind.KEY_REUSED, reason)
        if job is None or job.phase is JobPhase.submitting:
            reason = f"job {plan.job_id} was not received completely; send it again"
            raise ChivespanError(ErrorKind.ACCEPTANCE_UNKNOWN, reason)
        return job.state()


def _chunk(job: Job, number: int) -> Chunk:
    """Return a job's chunk.

    :raises ChivespanError: ``not_found`` if the number is out of range.
    """
    if 0 <= number < len(job.chunks):
        return job.chunks[number]
    reason = f"job {job.job_id} has {len(job.chunks)} chunks"
    raise ChivespanError(ErrorKind.NOT_FOUND, reason)


def submission_records(plan: JobPlan) -> Iterator[object]:
    """Yield the records of a submission in order."""
    for unit in _units(plan):
        yield from unit


def _units(plan: JobPlan) -> Iterator[list[object]]:
    """Yield the records of a submission in groups that are each appended as a unit."""
    unit: list[object] = [
        JobBegin(
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
    ]
    size = 0
    for number, items in enumerate(plan.chunks):
        if size > APPEND_UNIT_BYTES:
            yield unit
            unit, size = [], 0
        size += sum(len(item.body) for item in items)
        unit.append(
            JobChunk(
                job_id=plan.job_id,
                chunk=number,
                items=[
                    JobItem(item_key=item.item_key, body=item.body) for item in items
                ],
                digest=plan.digest,
            )
        )
    unit.append(JobClose(job_id=plan.job_id, digest=plan.digest))
    yield unit


def _job_result(first: int, result: ItemResult) -> JobResult:
    return JobResult(
        index=first + result.index,
        item_key=result.item_key,
        ok=result.ok,
        attempts=result.attempts,
        error=result.error,
        body=result.body,
    )
