"""Preserves a partition's live state beyond the log's retention, and expires the rest.

The owner of a partition writes snapshots, carries forward (appends again) old chunks,
results and outcomes before the log's retention drops them, and expires jobs and claims.
All of it may safely be done twice or late: the folds apply a carried record only if it
replaces the offsets that they currently hold.
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

PASS_INTERVAL = timedelta(seconds=30)
MAX_RECORDS_BETWEEN_SNAPSHOTS = 5000
SNAPSHOTS_PER_RETENTION = 12
CARRY_AFTER_RETENTION_SHARE = 0.6
MAX_CARRIED_PER_PASS = 256
INCOMPLETE_SUBMISSION_RETENTION = timedelta(days=1)

_log = logger("upkeep")

F = TypeVar("F", bound=Fold)


class Carrier(Protocol):
    """Carries forward and expires the records of one kind of stream."""

    async def carry(self, before: int) -> int:
        """Append the live records before an offset again; return their number."""
        ...

    async def expire(self, now: datetime) -> None:
        """Append the expiry of everything whose retention time has passed."""
        ...


@dataclass(frozen=True, slots=True)
class StreamComponents(Generic[F]):
    """The components of one stream in this process.

    :param new: returns an empty fold.
    :param restore: returns a fold restored from a snapshot.
    """

    log: LogService
    stream: str
    follower: Follower[F]
    snapshots: SnapshotStore
    new: Callable[[], F]
    restore: Callable[[bytes], F]


class StreamMaintenance(Generic[F]):
    """Maintains one stream while this VM owns its partition.

    :param log_retention: minimum time that the log keeps records.
    """

    def __init__(
        self,
        components: StreamComponents[F],
        carrier: Carrier,
        clock: Clock,
        log_retention: timedelta,
        counters: Counters,
    ) -> None:
        self._components = components
        self._carrier = carrier
        self._clock = clock
        self._log_retention = log_retention
        self._counters = counters
        self._snapshot_at: datetime | None = None
        self._snapshot_as_of = -1

    async def run(self) -> None:
        """Maintain the stream periodically until cancelled."""
        await self._components.follower.wait_caught_up()
        while True:
            try:
                await self.run_pass()
            except ChivespanError as error:
                self._counters.incr(f"upkeep.{error.kind.value}")
            await anyio.sleep(PASS_INTERVAL.total_seconds())

    async def run_pass(self) -> None:
        """Expire, snapshot and carry forward what is due now.

        :raises ChivespanError: ``log_unavailable``, ``acceptance_unknown``.
        """
        await self._carrier.expire(self._clock.now())
        if self._snapshot_is_due():
            await self._write_snapshot()
        cutoff = self._clock.now() - self._log_retention * CARRY_AFTER_RETENTION_SHARE
        before = await first_written_after(
            self._components.log, self._components.stream, cutoff
        )
        carried = await self._carrier.carry(before)
        if carried:
            self._counters.incr("upkeep.carried", carried)

    def _snapshot_is_due(self) -> bool:
        if self._snapshot_at is None:
            return self._components.follower.fold.offset >= 0
        records = self._components.follower.fold.offset - self._snapshot_as_of
        age = self._clock.now() - self._snapshot_at
        due_age = self._log_retention / SNAPSHOTS_PER_RETENTION
        return records >= MAX_RECORDS_BETWEEN_SNAPSHOTS or age >= due_age

    async def _write_snapshot(self) -> None:
        fold = self._components.follower.fold
        state, as_of = fold.snapshot(), fold.offset
        await self._verify_last_snapshot(as_of, digest_of(state))
        now = self._clock.now()
        await self._components.snapshots.write_state(state, as_of, now)
        self._snapshot_as_of, self._snapshot_at = as_of, now
        self._counters.incr("upkeep.snapshots")

    async def _verify_last_snapshot(self, offset: int, digest: str) -> None:
        """Replay from the last snapshot, and raise an alarm if the states differ."""
        components = self._components
        try:
            other = await components.snapshots.load(components.new, components.restore)
            if other.offset > offset:
                return
            await replay(components.log, components.stream, other, offset + 1)
        except ChivespanError as error:
            if error.kind is ErrorKind.LOG_UNAVAILABLE:
                raise
            return
        if other.offset == offset and other.digest != digest:
            self._counters.incr("upkeep.digest_alarms")
            _log.error(
                "state differs from snapshot", stream=components.stream, at=offset
            )


async def first_written_after(log: LogService, stream: str, cutoff: datetime) -> int:
    """Return the offset of the first record written after a time, by binary search.

    :raises ChivespanError: ``log_unavailable``.
    """
    bounds = await log.bounds(stream)
    low, high = bounds.oldest, bounds.end
    while low < high:
        mid = (low + high) // 2
        page = await log.read(stream, mid, 1, NO_WAIT)
        if not page.records or _written_at(page.records[0].payload) > cutoff:
            high = mid
        else:
            low = mid + 1
    return low


def _written_at(payload: bytes) -> datetime:
    return decode_envelope(payload).written_at


class JobCarrier:
    """Carries forward the results and the chunks with open items, and expires jobs."""

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
        """Append the live chunks and results before an offset again."""
        due = list(_due_chunks(self._store.fold, before))[:MAX_CARRIED_PER_PASS]
        for job, number in due:
            try:
                await self._carry_chunk(job, number, before)
            except ChivespanError as error:
                if error.kind is not ErrorKind.LOG_EXPIRED:
                    raise
                _log.error(
                    "chunk expired before it was carried forward",
                    job=job.job_id,
                    chunk=number,
                )
        return len(due)

    async def _carry_chunk(self, job: Job, number: int, before: int) -> None:
        chunk = job.chunks[number]
        if job.runnable and not chunk.finished and chunk.offset < before:
            await self._appender.append(await self._chunk(job, number, chunk))
        if chunk.results and chunk.results[0] < before:
            await self._appender.append(await self._results(job, number, chunk))

    async def expire(self, now: datetime) -> None:
        """Expire the jobs whose retention time has passed."""
        keeping = self._keeping()
        retention = timedelta(days=max(keeping.results_days, keeping.keys_days))
        for job in list(self._store.fold.jobs()):
            if _is_expired(job, now, retention):
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


def _is_expired(job: Job, now: datetime, retention: timedelta) -> bool:
    if job.phase is JobPhase.submitting:
        return now - job.begun_at > INCOMPLETE_SUBMISSION_RETENTION
    return (
        job.phase in ENDED_PHASES
        and job.ended_at is not None
        and now - job.ended_at > retention
    )


class ClaimCarrier:
    """Carries forward the recorded outcomes, and expires claims."""

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
        """Append the recorded outcomes before an offset again."""
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
        """Expire the claims whose retention time has passed."""
        before = now - timedelta(days=self._keeping().keys_days)
        oldest = next(self._store.fold.claims(), None)
        if oldest is not None and oldest.written_at < before - PASS_INTERVAL:
            await self._appender.append(ClaimsExpire(before=before))
