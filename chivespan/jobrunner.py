"""Runs the open items of one partition's jobs while this VM owns the partition.

Each job has one task, which processes its chunks in order. The items of all jobs of a
service share the VM's limit of running items in FIFO order, so that a long job does not
block a short one. Concurrent owners of a partition are safe: the first result of an
item in the log is valid.
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

MAX_CONCURRENT_JOBS_PER_SERVICE = 32
START_GRACE = timedelta(seconds=90)
START_APPEND_TIMEOUT = timedelta(seconds=10)
READ_RETRY_DELAY = timedelta(milliseconds=500)

_log = logger("jobs")


@dataclass(frozen=True, slots=True)
class PartitionComponents:
    """The components of one partition of jobs in this process."""

    store: JobStore
    follower: Follower[JobFold]
    appender: Appender
    results: ResultBuffer


class JobRunner:
    """Runs the items of one partition while ``run`` is active.

    :param limiter: returns the VM's limiter for a service's items that run or wait for
        a slot.
    :param configuration: returns the current configuration.
    :param start_grace: how long to wait for the result of an item that another worker
        started, before it fails with ``outcome_unknown``.
    """

    def __init__(
        self,
        components: PartitionComponents,
        items: ItemRunner,
        limiter: Callable[[str], anyio.CapacityLimiter],
        configuration: Callable[[], Configuration],
        metrics: Metrics,
        start_grace: timedelta = START_GRACE,
    ) -> None:
        self._components = components
        self._items = items
        self._limiter = limiter
        self._configuration = configuration
        self._metrics = metrics
        self._start_grace = start_grace
        self._scopes: dict[str, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Start accepted jobs and stop ended ones, until cancelled."""
        follower = self._components.follower
        await follower.wait_caught_up()
        async with anyio.create_task_group() as tasks:
            while True:
                self._stop_ended_jobs()
                self._start_jobs(tasks)
                await follower.wait_changed()

    def stop_job(self, job_id: str) -> None:
        """Cancel the running items of a job."""
        scope = self._scopes.get(job_id)
        if scope:
            scope.cancel()

    def _stop_ended_jobs(self) -> None:
        fold = self._components.follower.fold
        for job_id in list(self._scopes):
            job = fold.job(job_id)
            if job is None or not job.runnable:
                self.stop_job(job_id)

    def _start_jobs(self, tasks: TaskGroup) -> None:
        """Start jobs up to a limit per service, so that no service blocks another."""
        fold = self._components.follower.fold
        running_jobs = filter(None, map(fold.job, self._scopes))
        active = Counter(job.begin.service for job in running_jobs)
        for job in fold.jobs():
            service = job.begin.service
            if not job.runnable or job.job_id in self._scopes:
                continue
            if active[service] < MAX_CONCURRENT_JOBS_PER_SERVICE:
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
        """Run the open items of a job's chunks, in order."""
        async with anyio.create_task_group() as items:
            number = 0
            while (job := self._runnable_job(job_id)) and number < len(job.chunks):
                if not job.chunks[number].finished:
                    await self._start_items(job, number, items)
                number += 1
        await self._components.results.wait_empty(job_id)

    def _runnable_job(self, job_id: str) -> Job | None:
        job = self._components.follower.fold.job(job_id)
        return job if job and job.runnable else None

    async def _start_items(self, job: Job, number: int, tasks: TaskGroup) -> None:
        """Start a chunk's open items, each when the VM's limit allows it."""
        chunk_id = ChunkId(job.job_id, number)
        chunk_items = await self._read_items(chunk_id)
        if chunk_items is None:
            self._fail_dropped_items(chunk_id)
            return
        for index in list(job.chunks[number].open_items()):
            chunk = self._chunk(chunk_id)
            if chunk is None:
                return
            if chunk.is_done(index) or self._components.results.holds(chunk_id, index):
                continue
            await self._components.results.wait_capacity()
            service = await self._wait_for_service(job.begin.service)
            item = self._item(job, chunk_id, index, chunk_items[index], service)
            await self._limiter(service.name).acquire_on_behalf_of(item)
            tasks.start_soon(self._run_item, chunk_id, item)

    async def _run_item(self, chunk_id: ChunkId, item: Item) -> None:
        try:
            chunk = self._chunk(chunk_id)
            if chunk is not None and chunk.start_of(item.index) is not None:
                await self._wait_for_other_worker(chunk_id, item)
                return
            result = await self._items.run(item)
        finally:
            self._limiter(item.service.name).release_on_behalf_of(item)
        if result is None:
            await self._wait_for_other_worker(chunk_id, item)
            return
        self._components.results.add(chunk_id, result)
        self._metrics.incr("batch.items_done" if result.ok else "batch.items_failed")

    async def _wait_for_other_worker(self, chunk_id: ChunkId, item: Item) -> None:
        """Wait for the result of an item that another worker has started."""
        with anyio.move_on_after(self._start_grace.total_seconds()):
            while (chunk := self._chunk(chunk_id)) and not chunk.is_done(item.index):
                await self._components.follower.wait_changed()
            return
        self._metrics.incr("batch.items_unknown")
        self._components.results.add(
            chunk_id,
            failed_result(
                item.index,
                item.item_key,
                1,
                ErrorKind.OUTCOME_UNKNOWN,
                "the worker that started the item was lost and the item is not "
                "idempotent",
            ),
        )

    def _chunk(self, chunk_id: ChunkId) -> Chunk | None:
        job = self._runnable_job(chunk_id.job_id)
        return job.chunks[chunk_id.chunk] if job else None

    def _item(
        self, job: Job, chunk_id: ChunkId, index: int, body: JobItem, service: Service
    ) -> Item:
        async def start() -> bool:
            return await self._append_first_start(chunk_id, index)

        async def job_ended() -> None:
            while self._runnable_job(job.job_id) is not None:
                await self._components.follower.wait_changed()

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

    async def _append_first_start(self, chunk_id: ChunkId, index: int) -> bool:
        """Append an item's start record; return whether it is the first in the log."""
        record = ItemStart(job_id=chunk_id.job_id, chunk=chunk_id.chunk, index=index)
        while True:
            await anyio.lowlevel.checkpoint()
            offset = await self._append_start(record)
            if offset is not None:
                await self._components.follower.wait_applied(offset)
                chunk = self._chunk(chunk_id)
                return chunk is not None and chunk.start_of(index) == offset
            await self._components.appender.wait_available()

    async def _append_start(self, record: ItemStart) -> int | None:
        """Append a start record, wait until it is applied and return its offset.

        Shielded from cancellation, because ownership of the partition can move
        meanwhile: only this worker can determine that an item whose start is in the log
        has not run yet.

        :return: the offset, or None if the append failed or did not complete in time.
        """
        offset: int | None = None
        with anyio.move_on_after(START_APPEND_TIMEOUT.total_seconds(), shield=True):
            try:
                offset = await self._components.appender.append(record)
                await self._components.follower.wait_applied(offset)
            except ChivespanError as error:
                self._metrics.incr(f"batch.start_{error.kind.value}")
        return offset

    async def _read_items(self, chunk_id: ChunkId) -> list[JobItem] | None:
        """Read a chunk's items, retrying while the log is unavailable.

        :return: the items, or None if they passed the log's retention and were not
            carried forward.
        """
        expired_offset = -1
        while True:
            chunk = self._chunk(chunk_id)
            if chunk is None:
                return []
            try:
                return await self._components.store.chunk_items(chunk)
            except ChivespanError as error:
                if error.kind is ErrorKind.LOG_EXPIRED:
                    if chunk.offset == expired_offset:
                        return None
                    expired_offset = chunk.offset
                self._metrics.incr("batch.chunk_reads_failed")
                await anyio.sleep(READ_RETRY_DELAY.total_seconds())

    def _fail_dropped_items(self, chunk_id: ChunkId) -> None:
        """Fail the open items of a chunk that passed the log's retention."""
        chunk = self._chunk(chunk_id)
        if chunk is None:
            return
        _log.error(
            "items dropped by log retention",
            job=chunk_id.job_id,
            chunk=chunk_id.chunk,
        )
        reason = "the item passed the log's retention before it could run"
        for index in chunk.open_items():
            if not self._components.results.holds(chunk_id, index):
                result = failed_result(index, "", 0, ErrorKind.ITEM_FAILED, reason)
                self._components.results.add(chunk_id, result)

    async def _wait_for_service(self, name: str) -> Service:
        """Return a service, waiting until the configuration contains it."""
        while True:
            service = self._configuration().services.get(name)
            if service is not None:
                return service
            await anyio.sleep(READ_RETRY_DELAY.total_seconds())
