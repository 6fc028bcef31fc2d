"""Manages the partitions of jobs and claims that this process follows or owns."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import Any

import anyio
from anyio.abc import TaskGroup

from chivespan.appender import Appender, AppenderOptions
from chivespan.claimfold import CLAIM_PARTITIONS, ClaimFold, claims_stream
from chivespan.claimstore import ClaimStore
from chivespan.clock import Clock
from chivespan.configuration import Configuration
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.follower import Follower
from chivespan.itemrunner import ItemRunner
from chivespan.jobfold import JobFold, jobs_stream
from chivespan.jobrunner import START_GRACE, JobRunner, PartitionComponents
from chivespan.jobstore import JobStore
from chivespan.metrics import Metrics
from chivespan.platformservices import LogService
from chivespan.resultbuffer import ResultBuffer
from chivespan.settings import NodeSettings
from chivespan.snapshots import SnapshotStore
from chivespan.streammaintenance import (
    ClaimCarrier,
    JobCarrier,
    StreamComponents,
    StreamMaintenance,
)

CLAIM_APPEND_INTERVAL = timedelta(milliseconds=40)
JOB_APPEND_LATENCY_FACTOR = 2.0

AsyncTask = Callable[[], Coroutine[Any, Any, None]]


@dataclass(frozen=True, slots=True)
class PartitionContext:
    """The resources and settings that all partitions of a process share.

    :param writer: writer id, unique to this run of the process.
    :param configuration: returns the current configuration.
    """

    settings: NodeSettings
    log: LogService
    writer: str
    clock: Clock
    metrics: Metrics
    items: ItemRunner
    configuration: Callable[[], Configuration]
    start_grace: timedelta = START_GRACE

    @property
    def log_retention(self) -> timedelta:
        """The retention time of the log's records."""
        return timedelta(minutes=self.settings.log_keep_minutes)

    @property
    def job_appender_options(self) -> AppenderOptions:
        """Group commit options for a partition's share of the log's append rate."""
        share = self.settings.log_appends_per_s / self.settings.partitions
        interval = timedelta(seconds=1 / share)
        return AppenderOptions(
            interval=interval, latency_factor=JOB_APPEND_LATENCY_FACTOR
        )


class JobPartition:
    """The components of one partition of jobs, and their tasks."""

    def __init__(
        self,
        context: PartitionContext,
        number: int,
        limiter: Callable[[str], anyio.CapacityLimiter],
    ) -> None:
        stream = jobs_stream(number)
        log, metrics = context.log, context.metrics
        snapshots = SnapshotStore(log, stream, context.writer)
        follower = Follower(
            log, stream, snapshots, JobFold, JobFold.from_snapshot, metrics
        )
        appender = Appender(
            log, stream, context.writer, context.clock, context.job_appender_options
        )
        results = ResultBuffer(appender, follower.wait_applied, metrics)
        self.follower = follower
        self.store = JobStore(log, stream, follower, appender)
        self._components = PartitionComponents(self.store, follower, appender, results)
        self._runner = JobRunner(
            self._components,
            context.items,
            limiter,
            context.configuration,
            metrics,
            context.start_grace,
        )
        carrier = JobCarrier(
            self.store, appender, lambda: context.configuration().keeping
        )
        self.maintenance = StreamMaintenance(
            StreamComponents(
                log, stream, follower, snapshots, JobFold, JobFold.from_snapshot
            ),
            carrier,
            context.clock,
            context.log_retention,
            metrics,
        )

    @property
    def appends(self) -> int:
        """Number of appends to the stream so far."""
        return self._components.appender.appends

    @property
    def unwritten_results(self) -> int:
        """Number of results that are not in the log yet."""
        return self._components.results.count

    async def run(self) -> None:
        """Follow the stream and append to it until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._components.follower.run)
            tasks.start_soon(self._components.appender.run)
            tasks.start_soon(self._components.results.run)

    async def run_owned(self) -> None:
        """Do the owner's work until cancelled: run items and maintain the stream."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._runner.run)
            tasks.start_soon(self.maintenance.run)

    def stop_job(self, job_id: str) -> None:
        """Cancel the running items of a job."""
        self._runner.stop_job(job_id)

    async def wait_written(self) -> None:
        """Wait until all results are in the log."""
        await self._components.results.wait_empty()


class ClaimPartition:
    """The components of one partition of claims, and their tasks."""

    def __init__(self, context: PartitionContext, number: int) -> None:
        stream = claims_stream(number)
        log = context.log
        snapshots = SnapshotStore(log, stream, context.writer)
        self.follower = Follower(
            log, stream, snapshots, ClaimFold, ClaimFold.from_snapshot, context.metrics
        )
        options = AppenderOptions(interval=CLAIM_APPEND_INTERVAL)
        self._appender = Appender(log, stream, context.writer, context.clock, options)
        self.store = ClaimStore(log, stream, self.follower, self._appender)
        carrier = ClaimCarrier(
            self.store, self._appender, lambda: context.configuration().keeping
        )
        self.maintenance = StreamMaintenance(
            StreamComponents(
                log,
                stream,
                self.follower,
                snapshots,
                ClaimFold,
                ClaimFold.from_snapshot,
            ),
            carrier,
            context.clock,
            context.log_retention,
            context.metrics,
        )

    async def run(self) -> None:
        """Follow the stream and append to it until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self._appender.run)

    async def run_owned(self) -> None:
        """Do the owner's work until cancelled: maintain the stream."""
        await self.maintenance.run()


class Partitions:
    """The partitions of this process; each is followed from its first use on."""

    def __init__(self, context: PartitionContext) -> None:
        self._context = context
        self._jobs: dict[int, JobPartition] = {}
        self._claims: dict[int, ClaimPartition] = {}
        self._owned: dict[str, anyio.CancelScope] = {}
        self._limiters: dict[str, anyio.CapacityLimiter] = {}
        self._tasks: TaskGroup | None = None
        self._started = anyio.Event()

    @property
    def owned(self) -> frozenset[str]:
        """Names of the streams whose partitions this process owns."""
        return frozenset(self._owned)

    async def run(self) -> None:
        """Run the partitions' tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._started.set()
            await anyio.sleep_forever()

    async def wait_started(self) -> None:
        """Wait until ``run`` can start the tasks of partitions."""
        await self._started.wait()

    def jobs(self, number: int) -> JobPartition:
        """Return a partition of jobs, and follow its stream from now on.

        :raises ChivespanError: ``not_found`` if there is no such partition.
        """
        if not 0 <= number < self._context.settings.partitions:
            reason = f"there is no partition {number}"
            raise ChivespanError(ErrorKind.NOT_FOUND, reason)
        if number not in self._jobs:
            partition = JobPartition(self._context, number, self._limiter)
            self._jobs[number] = partition
            self._start(partition.run)
        return self._jobs[number]

    def claims(self, number: int) -> ClaimPartition:
        """Return a partition of claims, and follow its stream from now on."""
        if number not in self._claims:
            self._claims[number] = ClaimPartition(self._context, number)
            self._start(self._claims[number].run)
        return self._claims[number]

    def set_owned(self, streams: frozenset[str]) -> None:
        """Take over and release partitions so that exactly these streams are owned."""
        for stream in self._owned.keys() - streams:
            self._owned.pop(stream).cancel()
        for number in range(self._context.settings.partitions):
            if jobs_stream(number) in streams:
                self._take_over(jobs_stream(number), self.jobs(number).run_owned)
        for number in range(CLAIM_PARTITIONS):
            if claims_stream(number) in streams:
                self._take_over(claims_stream(number), self.claims(number).run_owned)

    def all_streams(self) -> list[str]:
        """Return the names of the streams of all partitions."""
        jobs = map(jobs_stream, range(self._context.settings.partitions))
        return [*jobs, *map(claims_stream, range(CLAIM_PARTITIONS))]

    async def wait_written(self) -> None:
        """Wait until all results are in the log."""
        for jobs in list(self._jobs.values()):
            await jobs.wait_written()

    def _take_over(self, stream: str, own: AsyncTask) -> None:
        if stream not in self._owned:
            scope = self._owned[stream] = anyio.CancelScope()
            self._start(partial(_run_in_scope, scope, own))

    def _start(self, run: AsyncTask) -> None:
        assert self._tasks is not None
        self._tasks.start_soon(run)

    def _limiter(self, service: str) -> anyio.CapacityLimiter:
        if service not in self._limiters:
            limit = self._context.settings.batch_items
            self._limiters[service] = anyio.CapacityLimiter(limit)
        return self._limiters[service]


async def _run_in_scope(scope: anyio.CancelScope, run: AsyncTask) -> None:
    with scope:
        await run()
