"""Serves the requests of entries on jobs and claims over peer links."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from math import ceil
from typing import Any, TypeAlias

import anyio

from chivespan.claimfold import claim_partition
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.failpoints import FailPoint, hit
from chivespan.jobmessages import (
    BatchError,
    ClaimRequest,
    Done,
    JobCancelRequest,
    JobListReply,
    JobListRequest,
    JobResultsReply,
    JobResultsRequest,
    JobStateReply,
    JobStateRequest,
    OutcomeRequest,
    SubmitChunk,
    SubmitItem,
    SubmitJob,
)
from chivespan.jobplan import JobPlan, partition_of
from chivespan.jobstore import JobStore
from chivespan.messages import JobCancelNotice
from chivespan.metrics import Metrics
from chivespan.partitions import Partitions
from chivespan.peerlink import PeerLink

ANSWER_TIMEOUT = timedelta(seconds=10)
MAX_SUBMISSION_BYTES = 64 * 1024 * 1024


@dataclass(slots=True)
class _Submission:
    """The chunks of a submission received so far, and their total size in bytes."""

    chunks: dict[int, tuple[SubmitItem, ...]] = field(default_factory=dict)
    size: int = 0


@dataclass(slots=True)
class _Session:
    """One link and the incomplete submissions received over it."""

    link: PeerLink
    submissions: dict[str, _Submission] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """Total size of the incomplete submissions in bytes."""
        return sum(one.size for one in self.submissions.values())


_Handler: TypeAlias = Callable[["BatchServer", _Session, Any], Awaitable[object]]
_HANDLERS: dict[type[Any], _Handler] = {}


def _handles(cls: type[Any]) -> Callable[[_Handler], _Handler]:
    """Register the decorated method as the handler of a message class."""

    def register(handler: _Handler) -> _Handler:
        _HANDLERS[cls] = handler
        return handler

    return register


class BatchServer:
    """Serves peer links; there is one instance per process."""

    def __init__(self, partitions: Partitions, metrics: Metrics) -> None:
        self._partitions = partitions
        self._metrics = metrics

    async def handle(self, link: PeerLink) -> None:
        """Serve the requests of one link, each in its own task, until the link ends."""
        session = _Session(link)
        async with anyio.create_task_group() as tasks:
            async for message in link:
                if type(message) in _HANDLERS:
                    tasks.start_soon(self._answer, session, message)
                elif isinstance(message, JobCancelNotice):
                    self._stop(message)
            tasks.cancel_scope.cancel()

    async def _answer(self, session: _Session, message: Any) -> None:
        handler = _HANDLERS[type(message)]
        try:
            with anyio.fail_after(ANSWER_TIMEOUT.total_seconds()):
                reply = await handler(self, session, message)
        except ChivespanError as error:
            reply = _error_reply(message.request_id, error)
        except TimeoutError:
            reason = "log did not respond in time"
            unknown = ChivespanError(ErrorKind.ACCEPTANCE_UNKNOWN, reason)
            reply = _error_reply(message.request_id, unknown)
        self._metrics.incr(f"batch.{type(message).__name__}.{type(reply).__name__}")
        if session.link.is_open:
            session.link.send(reply)

    async def _store(self, partition: int) -> JobStore:
        """Return a partition's job store, read up to the end of its stream.

        :raises ChivespanError: ``not_found``, ``not_ready``, ``log_unavailable``.
        """
        jobs = self._partitions.jobs(partition)
        await jobs.follower.require_caught_up()
        return jobs.store

    def _stop(self, notice: JobCancelNotice) -> None:
        """Stop a job at once; it resumes if the log contains no cancel record."""
        partition = self._partitions.jobs(partition_of(notice.job_id))
        partition.stop_job(notice.job_id)

    @_handles(SubmitChunk)
    async def _submit_chunk(self, session: _Session, message: SubmitChunk) -> Done:
        size = sum(len(item.body) for item in message.items)
        if session.size + size > MAX_SUBMISSION_BYTES:
            session.submissions.pop(message.submission_id, None)
            reason = "not accepted: too much data in incomplete submissions"
            raise ChivespanError(ErrorKind.NOT_READY, reason)
        submission = session.submissions.setdefault(
            message.submission_id, _Submission()
        )
        submission.chunks[message.chunk] = tuple(message.items)
        submission.size += size
        return Done(request_id=message.request_id)

    @_handles(SubmitJob)
    async def _submit_job(self, session: _Session, message: SubmitJob) -> JobStateReply:
        submission = session.submissions.pop(message.submission_id, _Submission())
        if sorted(submission.chunks) != list(range(message.chunks)):
            reason = "not accepted: parts of the submission are missing"
            raise ChivespanError(ErrorKind.NOT_READY, reason)
        plan = JobPlan(
            job_id=message.job_id,
            owner=message.owner,
            job_key=message.job_key,
            service=message.service,
            model=message.model,
            idempotent=message.idempotent,
            chunks=tuple(submission.chunks[n] for n in range(message.chunks)),
            digest=message.digest,
        )
        store = await self._store(partition_of(message.job_id))
        state = await store.submit(plan)
        await hit(FailPoint.JOB_ACKNOWLEDGE)
        return JobStateReply(request_id=message.request_id, state=state)

    @_handles(JobStateRequest)
    async def _state(
        self, session: _Session, message: JobStateRequest
    ) -> JobStateReply:
        store = await self._store(partition_of(message.job_id))
        job = store.job(message.owner, message.job_id)
        return JobStateReply(request_id=message.request_id, state=job.state())

    @_handles(JobListRequest)
    async def _list(self, session: _Session, message: JobListRequest) -> JobListReply:
        store = await self._store(message.partition)
        states = store.states(message.owner)
        return JobListReply(request_id=message.request_id, states=states)

    @_handles(JobResultsRequest)
    async def _results(
        self, session: _Session, message: JobResultsRequest
    ) -> JobResultsReply:
        store = await self._store(partition_of(message.job_id))
        job = store.job(message.owner, message.job_id)
        results = await store.results(message.owner, message.job_id, message.chunk)
        return JobResultsReply(
            request_id=message.request_id, chunks=len(job.chunks), results=results
        )

    @_handles(JobCancelRequest)
    async def _cancel(
        self, session: _Session, message: JobCancelRequest
    ) -> JobStateReply:
        store = await self._store(partition_of(message.job_id))
        state = await store.cancel(message.owner, message.job_id, message.reason)
        await hit(FailPoint.JOB_CANCEL)
        return JobStateReply(request_id=message.request_id, state=state)

    @_handles(ClaimRequest)
    async def _claim(self, session: _Session, message: ClaimRequest) -> object:
        number = claim_partition(message.owner, message.key)
        return await self._partitions.claims(number).store.claim(message)

    @_handles(OutcomeRequest)
    async def _outcome(self, session: _Session, message: OutcomeRequest) -> Done:
        number = claim_partition(message.owner, message.key)
        await self._partitions.claims(number).store.record(message)
        return Done(request_id=message.request_id)


def _error_reply(request_id: str, error: ChivespanError) -> BatchError:
    retry_after = error.retry_after or timedelta(0)
    return BatchError(
        request_id=request_id,
        error=error.kind.value,
        message=error.message,
        retry_after_ms=ceil(retry_after / timedelta(milliseconds=1)),
    )
