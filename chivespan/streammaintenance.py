"""Carries a partition's state past the log's retention, and ends what is kept no more.

The owner of a partition writes snapshots, appends old chunks, results and outcomes anew
before the log drops them, and appends the end of keeping times. Everything here may be
done twice or late: the folds take only what still fits their index.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Generic, Protocol, TypeVar

import anyio

from chivespan.appender import Appender
from chivespan.claimstore import ClaimStore
from chivespan.clock import NO_WAIT, Clock
from chivespan.documents import Keeping
from chivespan.envelope import decode_envelope
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.follower import Follower
from chivespan.jobfold import ENDED_PHASES, Chunk, Job, JobFold
from chivespan.jobmessages import JobPhase
from chivespan.jobstore import JobStore
from chivespan.logs import logger
from chivespan.peerlink import Counters
from chivespan.platformservices import LogService
from chivespan.records import (
    CarriedChunk,
    CarriedOutcome,
    CarriedResults,
    ClaimsExpire,
    JobExpire,
)
from chivespan.snapshots import Fold, SnapshotStore, digest_of, replay

INTERVAL = timedelta(seconds=30)
SNAPSHOT_RECORDS = 5000
SNAPSHOTS_PER_RETENTION = 12
CARRY_AFTER = 0.6
MAX_CARRIED_PER_PASS = 256
UNCLOSED_KEPT = timedelta(days=1)

_log = logger("upkeep")

F = TypeVar("F", bound=Fold)


class Carrier(Protocol):
    """What has to be carried forward and ended in one kind of stream."""

    async def carry(self, before: int) -> int:
        """Append anew what lies before an offset; return how much that was."""
        ...

    async def expire(self, now: datetime) -> None:
        """End what is kept no more."""
        ...


@dataclass(frozen=True, slots=True)
class StreamComponents(Generic[F]):
    """What belongs to one stream in this process."""

    log: LogService
    stream: str
    follower: Follower[F]
    snapshots: SnapshotStore
    new: Callable[[], F]
    restore: Callable[[bytes], F]


class StreamMaintenance(Generic[F]):
    """Looks after one stream while this VM owns it.

    :param log_retention: the log keeps records for at least this long.
    """

    def __init__(
        self,
        parts: StreamComponents[F],
        carrier: Carrier,
        clock: Clock,
        log_retention: timedelta,
        counters: Counters,
    ) -> None:
        self._parts = parts
        self._carrier = carrier
        self._clock = clock
        self._log_retention = log_retention
        self._counters = counters
        self._snapshot_at: datetime | None = None
        self._snapshot_as_of = -1

    async def run(self) -> None:
        """Look after the stream until cancelled."""
        await self._parts.follower.wait_current()
        while True:
            try:
                await self.run_pass()
            except ChivespanError as error:
                self._counters.incr(f"upkeep.{error.kind.value}")
            await anyio.sleep(INTERVAL.total_seconds())

    async def run_pass(self) -> None:
        """Do what is due now.

        :raises ChivespanError: ``log_unavailable``, ``acceptance_unknown``.
        """
        await self._carrier.expire(self._clock.now())
        if self._snapshot_is_due():
            await self._write_snapshot()
        cutoff = self._clock.now() - self._log_retention * CARRY_AFTER
        before = await first_written_after(self._parts.log, self._parts.stream, cutoff)
        carried = await self._carrier.carry(before)
        if carried:
            self._counters.incr("upkeep.carried", carried)

    def _snapshot_is_due(self) -> bool:
        if self._snapshot_at is None:
            return self._parts.follower.fold.offset >= 0
        records = self._parts.follower.fold.offset - self._snapshot_as_of
        age = self._clock.now() - self._snapshot_at
        due_age = self._log_retention / SNAPSHOTS_PER_RETENTION
        return records >= SNAPSHOT_RECORDS or age >= due_age

    async def _write_snapshot(self) -> None:
        fold = self._parts.follower.fold
        state, as_of = fold.snapshot(), fold.offset
        await self._compare_with_last(as_of, digest_of(state))
        now = self._clock.now()
        await self._parts.snapshots.write_state(state, as_of, now)
        self._snapshot_as_of, self._snapshot_at = as_of, now
        self._counters.incr("upkeep.snapshots")

    async def _compare_with_last(self, offset: int, digest: str) -> None:
        """Replay from the last snapshot; a state other than ours is an alarm."""
        parts = self._parts
        try:
            other = await parts.snapshots.load(parts.new, parts.restore)
            if other.offset > offset:
                return
            await replay(parts.log, parts.stream, other, offset + 1)
        except ChivespanError as error:
            if error.kind is ErrorKind.LOG_UNAVAILABLE:
                raise
            return
        if other.offset == offset and other.digest != digest:
            self._counters.incr("upkeep.digest_alarms")
            _log.error("state differs from snapshot", stream=parts.stream, at=offset)


async def first_written_after(log: LogService, stream: str, cutoff: datetime) -> int:
    """Return the offset of the first record written after a time, by bisection.

    :raises ChivespanError: ``log_unavailable``.
    """
    bounds = await log.bounds(stream)
    low, high = bounds.oldest, bounds.end
    while low < high:
        middle = (low + high) // 2
        page = await log.read(stream, middle, 1, NO_WAIT)
        if not page.records or _written_at(page.records[0].payload) > cutoff:
            high = middle
        else:
            low = middle + 1
    return low


def _written_at(payload: bytes) -> datetime:
    return decode_envelope(payload).written_at


class JobCarrier:
    """Carries chunks with open items, results, and ends jobs."""

    def __init__(
        self,
        store: JobStore,
        appender: Appender,
        keeping: Callable[[], Keeping],
    ) -> None:
        self._store = store
        self._appender = appender
        self._keeping = keeping

    async def carry(self, before: int) -> int:
        """Append anew the chunks and results that lie before an offset."""
        due = list(_due_chunks(self._store.fold, before))[:MAX_CARRIED_PER_PASS]
        for job, number in due:
            try:
                await self._carry_chunk(job, number, before)
            except ChivespanError as error:
                if error.kind is not ErrorKind.LOG_EXPIRED:
                    raise
                _log.error("carried too late", job=job.job_id, chunk=number)
        return len(due)

    async def _carry_chunk(self, job: Job, number: int, before: int) -> None:
        chunk = job.chunks[number]
        if job.runnable and not chunk.finished and chunk.offset < before:
            await self._appender.append(await self._chunk(job, number, chunk))
        if chunk.results and chunk.results[0] < before:
            await self._appender.append(await self._results(job, number, chunk))

    async def expire(self, now: datetime) -> None:
        """End the jobs whose keeping time is over."""
        keeping = self._keeping()
        kept = timedelta(days=max(keeping.results_days, keeping.keys_days))
        for job in list(self._store.fold.jobs()):
            if _is_over(job, now, kept):
                record = JobExpire(job_id=job.job_id, begin_offset=job.begin_offset)
                await self._appender.append(record)

    async def _chunk(self, job: Job, number: int, chunk: Chunk) -> CarriedChunk:
        return CarriedChunk(
            job_id=job.job_id,
            chunk=number,
            from_offset=chunk.offset,
            items=await self._store.chunk_items(chunk),
        )

    async def _results(self, job: Job, number: int, chunk: Chunk) -> CarriedResults:
        offsets = list(chunk.results)
        results = await self._store.chunk_results(chunk)
        return CarriedResults(
            job_id=job.job_id, chunk=number, from_offsets=offsets, results=results
        )


def _due_chunks(fold: JobFold, before: int) -> Iterator[tuple[Job, int]]:
    for job in fold.jobs():
        if job.phase is JobPhase.submitting:
            continue
        for number, chunk in enumerate(job.chunks):
            open_due = job.runnable and not chunk.finished and chunk.offset < before
            if open_due or (chunk.results and chunk.results[0] < before):
                yield job, number


def _is_over(job: Job, now: datetime, kept: timedelta) -> bool:
    if job.phase is JobPhase.submitting:
        return now - job.begun_at > UNCLOSED_KEPT
    return (
        job.phase in ENDED_PHASES
        and job.ended_at is not None
        and now - job.ended_at > kept
    )


class ClaimCarrier:
    """Carries recorded outcomes, and ends claims."""

    def __init__(
        self,
        store: ClaimStore,
        appender: Appender,
        keeping: Callable[[], Keeping],
    ) -> None:
        self._store = store
        self._appender = appender
        self._keeping = keeping

    async def carry(self, before: int) -> int:
        """Append anew the outcomes that lie before an offset."""
        due = [
            held
            for held in self._store.fold.claims()
            if 0 <= held.outcome_offset < before
        ][:MAX_CARRIED_PER_PASS]
        records: Sequence[CarriedOutcome] = [
            CarriedOutcome(
                from_offset=held.outcome_offset,
                outcome=await self._store.outcome(held),
            )
            for held in due
        ]
        if records:
            await self._appender.append_all(records)
        return len(records)

    async def expire(self, now: datetime) -> None:
        """End the claims whose keeping time is over."""
        before = now - timedelta(days=self._keeping().keys_days)
        oldest = next(self._store.fold.claims(), None)
        if oldest is not None and oldest.written_at < before - INTERVAL:
            await self._appender.append(ClaimsExpire(before=before))
