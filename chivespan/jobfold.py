"""The state of one partition of batch jobs, derived by folding its stream.

Each chunk needs little memory: a bitmap of the items that have a result, and the
offsets of the records with the results. The bodies of items and results stay in the
log.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import datetime

from chivespan.codec import decode, encode
from chivespan.envelope import OpenedRecord, RecordReader
from chivespan.jobmessages import JobPhase, JobState
from chivespan.platformservices import LogRecord
from chivespan.recordfold import RecordFold, RecordHandlers
from chivespan.records import (
    CarriedChunk,
    CarriedResults,
    ChunkEntry,
    ItemResults,
    ItemStart,
    JobBegin,
    JobCancel,
    JobChunk,
    JobClose,
    JobEntry,
    JobExpire,
    JobsState,
    StartState,
)

ENDED_PHASES = (JobPhase.finished, JobPhase.cancelled)


def jobs_stream(partition: int) -> str:
    """Return the name of the stream that holds a partition's jobs.

    >>> jobs_stream(3)
    'jobs.3'
    """
    return f"jobs.{partition}"


@dataclass(slots=True)
class Chunk:
    """A range of consecutive items of a job.

    :param offset: log offset of the items' bodies, -1 until they are received.
    :param done: bitmap of the items that have a result.
    :param results: log offsets of the results; if an item is in several records, the
        first one is valid.
    :param starts: log offset of the first start record of each item that has been
        started and has no result.
    """

    offset: int = -1
    count: int = 0
    done: int = 0
    failed: int = 0
    results: list[int] = field(default_factory=list)
    starts: dict[int, int] | None = None

    @property
    def finished(self) -> bool:
        """Whether every item has a result."""
        return self.offset >= 0 and self.done == (1 << self.count) - 1

    def is_done(self, index: int) -> bool:
        """Return whether an item has a result."""
        return bool(self.done >> index & 1)

    def open_items(self) -> Iterator[int]:
        """Yield the indexes of the items without a result."""
        return (index for index in range(self.count) if not self.is_done(index))

    def start_of(self, index: int) -> int | None:
        """Return the offset of an open item's first start record, if any."""
        return self.starts.get(index) if self.starts else None


@dataclass(slots=True)
class Job:
    """One batch job; ``begin`` is the opening record of its first submission."""

    begin: JobBegin
    begin_offset: int
    begun_at: datetime
    chunks: list[Chunk]
    phase: JobPhase = JobPhase.submitting
    ended_at: datetime | None = None
    done: int = 0
    failed: int = 0

    @property
    def job_id(self) -> str:
        """The job's id."""
        return self.begin.job_id

    @property
    def runnable(self) -> bool:
        """Whether items may run."""
        return self.phase is JobPhase.accepted

    @property
    def complete(self) -> bool:
        """Whether all chunks are received and hold the announced number of items."""
        all_received = all(chunk.offset >= 0 for chunk in self.chunks)
        return all_received and sum(c.count for c in self.chunks) == self.begin.items

    def state(self) -> JobState:
        """Return the state that is reported to callers."""
        return JobState(
            job_id=self.job_id,
            owner=self.begin.owner,
            service=self.begin.service,
            phase=self.phase,
            items=self.begin.items,
            done=self.done,
            failed=self.failed,
            job_key=self.begin.job_key,
        )


_HANDLERS: RecordHandlers[Job | None] = RecordHandlers()


class JobFold(RecordFold):
    """The jobs of one partition, as of an offset in its stream."""

    def __init__(self) -> None:
        super().__init__()
        self._jobs: dict[str, Job] = {}

    def job(self, job_id: str) -> Job | None:
        """Return a job, or None if there is none with this id."""
        return self._jobs.get(job_id)

    def jobs(self) -> Iterator[Job]:
        """Yield all jobs in the order of their first submission."""
        return iter(self._jobs.values())

    def apply(self, record: LogRecord) -> Job | None:
        """Apply the next record; return the job that it concerns, if any.

        :raises ChivespanError: ``log_expired`` if the records before it are missing.
        """
        opened = self._reader.read(record)
        return _HANDLERS.apply(self, opened) if opened is not None else None

    def snapshot(self) -> bytes:
        """Return the serialized state, including the record ids for deduplication."""
        entries = [_job_entry(job) for job in self._jobs.values()]
        seen = self._reader.seen()
        return encode(JobsState(offset=self.offset, jobs=entries, seen=seen))

    @classmethod
    def from_snapshot(cls, snapshot: bytes) -> "JobFold":
        """Return a fold restored from a snapshot.

        :raises ChivespanError: ``protocol`` if the snapshot cannot be decoded.
        """
        state = decode(snapshot, JobsState)
        fold = cls()
        fold._reader = RecordReader(state.offset, state.seen)
        for entry in state.jobs:
            fold._jobs[entry.begin.job_id] = _job(entry)
        return fold

    @_HANDLERS.handles(JobBegin)
    def _begin(self, opened: OpenedRecord, begin: JobBegin) -> Job | None:
        if begin.job_id in self._jobs or begin.chunks < 1:
            return None
        chunks = [Chunk() for _ in range(begin.chunks)]
        job = Job(begin, opened.offset, opened.envelope.written_at, chunks)
        self._jobs[begin.job_id] = job
        return job

    @_HANDLERS.handles(JobChunk)
    def _chunk(self, opened: OpenedRecord, record: JobChunk) -> Job | None:
        job = self._submission(record.job_id, record.digest)
        if job is None or not 0 <= record.chunk < len(job.chunks):
            return None
        chunk = job.chunks[record.chunk]
        if chunk.offset < 0:
            chunk.offset = opened.offset
            chunk.count = len(record.items)
        return job

    @_HANDLERS.handles(JobClose)
    def _close(self, opened: OpenedRecord, record: JobClose) -> Job | None:
        job = self._submission(record.job_id, record.digest)
        if job is None or not job.complete:
            return None
        job.phase = JobPhase.accepted
        return job

    @_HANDLERS.handles(JobCancel)
    def _cancel(self, opened: OpenedRecord, record: JobCancel) -> Job | None:
        job = self._jobs.get(record.job_id)
        if job is None or job.phase in ENDED_PHASES:
            return None
        job.phase = JobPhase.cancelled
        job.ended_at = opened.envelope.written_at
        return job

    @_HANDLERS.handles(ItemStart)
    def _start(self, opened: OpenedRecord, record: ItemStart) -> Job | None:
        job, chunk = self._running_chunk(record.job_id, record.chunk)
        if job is None or chunk is None or not 0 <= record.index < chunk.count:
            return None
        if chunk.is_done(record.index):
            return None
        if chunk.starts is None:
            chunk.starts = {}
        chunk.starts.setdefault(record.index, opened.offset)
        return job

    @_HANDLERS.handles(ItemResults)
    def _results(self, opened: OpenedRecord, record: ItemResults) -> Job | None:
        job, chunk = self._running_chunk(record.job_id, record.chunk)
        if job is None or chunk is None:
            return None
        before = chunk.done
        for result in record.results:
            bit = 1 << result.index if 0 <= result.index < chunk.count else 0
            if not bit or chunk.done & bit:
                continue
            chunk.done |= bit
            chunk.failed += not result.ok
            job.done += 1
            job.failed += not result.ok
            if chunk.starts:
                chunk.starts.pop(result.index, None)
        if chunk.done == before:
            return None
        chunk.results.append(opened.offset)
        if job.done == job.begin.items:
            job.phase = JobPhase.finished
            job.ended_at = opened.envelope.written_at
        return job

    @_HANDLERS.handles(CarriedChunk)
    def _carried_chunk(self, opened: OpenedRecord, record: CarriedChunk) -> Job | None:
        job = self._jobs.get(record.job_id)
        if job is None or not 0 <= record.chunk < len(job.chunks):
            return None
        chunk = job.chunks[record.chunk]
        if chunk.offset == record.from_offset >= 0:
            chunk.offset = opened.offset
        return job

    @_HANDLERS.handles(CarriedResults)
    def _carried_results(
        self, opened: OpenedRecord, record: CarriedResults
    ) -> Job | None:
        job = self._jobs.get(record.job_id)
        if job is None or not 0 <= record.chunk < len(job.chunks):
            return None
        chunk = job.chunks[record.chunk]
        if record.from_offsets and chunk.results == record.from_offsets:
            chunk.results = [opened.offset]
        return job

    @_HANDLERS.handles(JobExpire)
    def _expire(self, opened: OpenedRecord, record: JobExpire) -> Job | None:
        job = self._jobs.get(record.job_id)
        if job is None or job.begin_offset != record.begin_offset:
            return None
        if job.phase is JobPhase.accepted:
            return None
        return self._jobs.pop(record.job_id)

    def _submission(self, job_id: str, digest: str) -> Job | None:
        job = self._jobs.get(job_id)
        if job is None or job.phase is not JobPhase.submitting:
            return None
        return job if job.begin.digest == digest else None

    def _running_chunk(
        self, job_id: str, number: int
    ) -> tuple[Job, Chunk] | tuple[None, None]:
        job = self._jobs.get(job_id)
        if job is None or not job.runnable or not 0 <= number < len(job.chunks):
            return None, None
        return job, job.chunks[number]


def _job_entry(job: Job) -> JobEntry:
    return JobEntry(
        begin=job.begin,
        begin_offset=job.begin_offset,
        begun_at=job.begun_at,
        ended_at=job.ended_at,
        phase=job.phase.value,
        chunks=[_chunk_entry(chunk) for chunk in job.chunks],
    )


def _chunk_entry(chunk: Chunk) -> ChunkEntry:
    starts = sorted((chunk.starts or {}).items())
    return ChunkEntry(
        offset=chunk.offset,
        count=chunk.count,
        done=chunk.done.to_bytes((chunk.count + 7) // 8, "little"),
        failed=chunk.failed,
        results=chunk.results,
        starts=[StartState(index=index, offset=offset) for index, offset in starts],
    )


def _job(entry: JobEntry) -> Job:
    chunks = [_chunk(chunk_entry) for chunk_entry in entry.chunks]
    return Job(
        begin=entry.begin,
        begin_offset=entry.begin_offset,
        begun_at=entry.begun_at,
        chunks=chunks,
        phase=JobPhase(entry.phase),
        ended_at=entry.ended_at,
        done=sum(chunk.done.bit_count() for chunk in chunks),
        failed=sum(chunk.failed for chunk in chunks),
    )


def _chunk(entry: ChunkEntry) -> Chunk:
    return Chunk(
        offset=entry.offset,
        count=entry.count,
        done=int.from_bytes(entry.done, "little"),
        failed=entry.failed,
        results=list(entry.results),
        starts={start.index: start.offset for start in entry.starts} or None,
    )
