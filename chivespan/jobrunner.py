"""Runs the open items of one partition's jobs while this VM owns the partition.

One task for each job, which takes its chunks in order; the items of all jobs for a
service share the VM's bound of running items, first come first served, so that a long
job doesn't hold up a short one. Two owners at once are harmless: the first result in
the log counts.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from chivespan.appender import Appender
from chivespan.configuration import Configuration
from chivespan.documents import Service
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.follower import Follower
from chivespan.itemrunner import Item, ItemRunner, failed_result
from chivespan.jobfold import Chunk, Job, JobFold
from chivespan.jobstore import JobStore
from chivespan.logs import logger
from chivespan.metrics import Metrics
from chivespan.records import ItemStart, JobItem
from chivespan.resultbuffer import ChunkId, ResultBuffer

MAX_JOBS_AT_ONCE = 32
START_GRACE = timedelta(seconds=90)
START_SHIELD = timedelta(seconds=10)
READ_AGAIN = timedelta(milliseconds=500)

_log = logger("jobs")


@dataclass(frozen=True, slots=True)
class PartitionComponents:
    """What belongs to one partition of jobs in this process."""

    store: JobStore
    follower: Follower[JobFold]
    appender: Appender
    results: ResultBuffer


class JobRunner:
    """Runs one partition's items; ``run`` goes on until cancelled.

    :param running: gives the VM's bound of a service's items that run or wait for a
        slot.
    :param configuration: gives the configuration in force.
    :param start_grace: an item started by another is given up as "outcome unknown"
        when no result came within this time.
    """

    def __init__(
        self,
        parts: PartitionComponents,
        items: ItemRunner,
        running: Callable[[str], anyio.CapacityLimiter],
        configuration: Callable[[], Configuration],
        metrics: Metrics,
        start_grace: timedelta = START_GRACE,
    ) -> None:
        self._parts = parts
        self._items = items
        self._running = running
        self._configuration = configuration
        self._metrics = metrics
        self._start_grace = start_grace
        self._scopes: dict[str, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Run jobs as they come, and stop those that are cancelled."""
        follower = self._parts.follower
        await follower.wait_current()
        async with anyio.create_task_group() as tasks:
            while True:
                self._stop_ended()
                self._start_jobs(tasks)
                await follower.wait_changed()

    def stop_job(self, job_id: str) -> None:
        """Stop a job's items at once."""
        scope = self._scopes.get(job_id)
        if scope:
            scope.cancel()

    def _stop_ended(self) -> None:
        fold = self._parts.follower.fold
        for job_id in list(self._scopes):
            job = fold.job(job_id)
            if job is None or not job.runnable:
                self.stop_job(job_id)

    def _start_jobs(self, tasks: TaskGroup) -> None:
        """Start jobs up to the bound of each service, so that none blocks another."""
        fold = self._parts.follower.fold
        running = filter(None, map(fold.job, self._scopes))
        active = Counter(job.begin.service for job in running)
        for job in fold.jobs():
            service = job.begin.service
            if not job.runnable or job.job_id in self._scopes:
                continue
            if active[service] < MAX_JOBS_AT_ONCE:
                active[service] += 1
                self._scopes[job.job_id] = anyio.CancelScope()
                tasks.start_soon(self._run_job, job.job_id)

    async def _run_job(self, job_id: str) -> None:
        try:
            with self._scopes[job_id]:
                await self._run_chunks(job_id)
        finally:
            del self._scopes[job_id]
        self._metrics.incr("batch.jobs_left")

    async def _run_chunks(self, job_id: str) -> None:
        """Run a job's chunks until none has an open item."""
        async with anyio.create_task_group() as items:
            number = 0
            while (job := self._job(job_id)) and number < len(job.chunks):
                if not job.chunks[number].finished:
                    await self._start_items(job, number, items)
                number += 1
        await self._parts.results.wait_empty(job_id)

    def _job(self, job_id: str) -> Job | None:
        job = self._parts.follower.fold.job(job_id)
        return job if job and job.runnable else None

    async def _start_items(self, job: Job, number: int, tasks: TaskGroup) -> None:
        """Start a chunk's open items, each as soon as the VM has room for it."""
        chunk_id = ChunkId(job.job_id, number)
        bodies = await self._bodies(chunk_id)
        if bodies is None:
            self._fail_lost(chunk_id)
            return
        for index in list(job.chunks[number].open_items()):
            chunk = self._chunk(chunk_id)
            if chunk is None:
                return
            if chunk.is_done(index) or self._parts.results.holds(chunk_id, index):
                continue
            await self._parts.results.wait_capacity()
            service = await self._service(job.begin.service)
            item = self._item(job, chunk_id, index, bodies[index], service)
            await self._running(service.name).acquire_on_behalf_of(item)
            tasks.start_soon(self._run_item, chunk_id, item)

    async def _run_item(self, chunk_id: ChunkId, item: Item) -> None:
        try:
            chunk = self._chunk(chunk_id)
            if chunk is not None and chunk.start_of(item.index) is not None:
                await self._await_other(chunk_id, item)
                return
            result = await self._items.run(item)
        finally:
            self._running(item.service.name).release_on_behalf_of(item)
        if result is None:
            await self._await_other(chunk_id, item)
            return
        self._parts.results.add(chunk_id, result)
        self._metrics.incr("batch.items_done" if result.ok else "batch.items_failed")

    async def _await_other(self, chunk_id: ChunkId, item: Item) -> None:
        """Wait for the result of an item that another worker has started."""
        with anyio.move_on_after(self._start_grace.total_seconds()):
            while (chunk := self._chunk(chunk_id)) and not chunk.is_done(item.index):
                await self._parts.follower.wait_changed()
            return
        self._metrics.incr("batch.items_unknown")
        self._parts.results.add(
            chunk_id,
            failed_result(
                item.index,
                item.item_key,
                1,
                ErrorKind.OUTCOME_UNKNOWN,
                "the worker that started the item was lost; the item may not be "
                "repeated",
            ),
        )

    def _chunk(self, chunk_id: ChunkId) -> Chunk | None:
        job = self._job(chunk_id.job_id)
        return job.chunks[chunk_id.chunk] if job else None

    def _item(
        self, job: Job, chunk_id: ChunkId, index: int, body: JobItem, service: Service
    ) -> Item:
        async def start() -> bool:
            return await self._start(chunk_id, index)

        async def job_ended() -> None:
            while self._job(job.job_id) is not None:
                await self._parts.follower.wait_changed()

        return Item(
            request_id=f"{job.job_id}.{chunk_id.chunk}.{index}",
            index=index,
            item_key=body.item_key,
            body=body.body,
            owner=job.begin.owner,
            model=job.begin.model,
            service=service,
            max_attempts=self._configuration().keeping.item_attempts,
            start=start,
            job_ended=job_ended,
        )

    async def _start(self, chunk_id: ChunkId, index: int) -> bool:
        """Append an item's start; return whether it is the first in the log."""
        record = ItemStart(job_id=chunk_id.job_id, chunk=chunk_id.chunk, index=index)
        while True:
            await anyio.lowlevel.checkpoint()
            offset = await self._append_start(record)
            if offset is not None:
                await self._parts.follower.wait_applied(offset)
                chunk = self._chunk(chunk_id)
                return chunk is not None and chunk.start_of(index) == offset
            await self._parts.appender.wait_available()

    async def _append_start(self, record: ItemStart) -> int | None:
        """Append a start and return its offset once it is in the fold; None on failure.

        Only this worker can know that the item of a start in the log hasn't run yet, so
        a partition that moves away meanwhile doesn't break this off.
        """
        offset: int | None = None
        with anyio.move_on_after(START_SHIELD.total_seconds(), shield=True):
            try:
                offset = await self._parts.appender.append(record)
                await self._parts.follower.wait_applied(offset)
            except ChivespanError as error:
                self._metrics.incr(f"batch.start_{error.kind.value}")
        return offset

    async def _bodies(self, chunk_id: ChunkId) -> list[JobItem] | None:
        """Return a chunk's items, however long the log is away.

        None when the log has dropped them, and they were not carried forward.
        """
        dropped_at = -1
        while True:
            chunk = self._chunk(chunk_id)
            if chunk is None:
                return []
            try:
                return await self._parts.store.chunk_items(chunk)
            except ChivespanError as error:
                if error.kind is ErrorKind.LOG_EXPIRED:
                    if chunk.offset == dropped_at:
                        return None
                    dropped_at = chunk.offset
                self._metrics.incr("batch.chunk_reads_failed")
                await anyio.sleep(READ_AGAIN.total_seconds())

    def _fail_lost(self, chunk_id: ChunkId) -> None:
        """End the open items of a chunk that the log has dropped."""
        chunk = self._chunk(chunk_id)
        if chunk is None:
            return
        _log.error("items lost", job=chunk_id.job_id, chunk=chunk_id.chunk)
        reason = "the log dropped the item before it could run"
        for index in chunk.open_items():
            if not self._parts.results.holds(chunk_id, index):
                result = failed_result(index, "", 0, ErrorKind.ITEM_FAILED, reason)
                self._parts.results.add(chunk_id, result)

    async def _service(self, name: str) -> Service:
        """Return a service, waiting while the configuration doesn't have it."""
        while True:
            service = self._configuration().services.get(name)
            if service is not None:
                return service
            await anyio.sleep(READ_AGAIN.total_seconds())
