"""The partitions of jobs and claims that this process follows, and those it owns."""

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

CLAIM_INTERVAL = timedelta(milliseconds=40)
JOB_LATENCY_FACTOR = 2.0

AsyncTask = Callable[[], Coroutine[Any, Any, None]]


@dataclass(frozen=True, slots=True)
class PartitionContext:
    """What all partitions of one process share.

    :param writer: unique to this run of the process.
    :param configuration: gives the configuration in force.
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
        """How long the log keeps records."""
        return timedelta(minutes=self.settings.log_keep_minutes)

    @property
    def job_appends(self) -> AppenderOptions:
        """Group commit of a partition's own share of the log's appends."""
        share = self.settings.log_appends_per_s / self.settings.partitions
        interval = timedelta(seconds=1 / share)
        return AppenderOptions(interval=interval, latency_factor=JOB_LATENCY_FACTOR)


class JobPartition:
    """One partition of jobs in this process."""

    def __init__(
        self,
        context: PartitionContext,
        number: int,
        running: Callable[[str], anyio.CapacityLimiter],
    ) -> None:
        stream = jobs_stream(number)
        log, metrics = context.log, context.metrics
        snapshots = SnapshotStore(log, stream, context.writer)
        follower = Follower(
            log, stream, snapshots, JobFold, JobFold.from_snapshot, metrics
        )
        appender = Appender(
            log, stream, context.writer, context.clock, context.job_appends
        )
        results = ResultBuffer(appender, follower.wait_applied, metrics)
        self.follower = follower
        self.store = JobStore(log, stream, follower, appender)
        self._parts = PartitionComponents(self.store, follower, appender, results)
        self._runner = JobRunner(
            self._parts,
            context.items,
            running,
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
        """Appends to the stream so far."""
        return self._parts.appender.appends

    @property
    def unwritten_results(self) -> int:
        """Results that are not in the log yet."""
        return self._parts.results.count

    async def run(self) -> None:
        """Follow the stream and append to it until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._parts.follower.run)
            tasks.start_soon(self._parts.appender.run)
            tasks.start_soon(self._parts.results.run)

    async def run_owned(self) -> None:
        """Run the partition's items and look after its stream until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._runner.run)
            tasks.start_soon(self.maintenance.run)

    def stop_job(self, job_id: str) -> None:
        """Stop a job's items at once."""
        self._runner.stop_job(job_id)

    async def wait_written(self) -> None:
        """Wait until all results are in the log."""
        await self._parts.results.wait_empty()


class ClaimPartition:
    """One partition of claims in this process."""

    def __init__(self, context: PartitionContext, number: int) -> None:
        stream = claims_stream(number)
        log = context.log
        snapshots = SnapshotStore(log, stream, context.writer)
        self.follower = Follower(
            log, stream, snapshots, ClaimFold, ClaimFold.from_snapshot, context.metrics
        )
        options = AppenderOptions(interval=CLAIM_INTERVAL)
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
        """Look after the stream until cancelled."""
        await self.maintenance.run()


class Partitions:
    """All partitions that this process has met; each is followed from then on."""

    def __init__(self, context: PartitionContext) -> None:
        self._context = context
        self._jobs: dict[int, JobPartition] = {}
        self._claims: dict[int, ClaimPartition] = {}
        self._owned: dict[str, anyio.CancelScope] = {}
        self._running: dict[str, anyio.CapacityLimiter] = {}
        self._tasks: TaskGroup | None = None
        self._started = anyio.Event()

    @property
    def owned(self) -> frozenset[str]:
        """Names of the streams that this process owns."""
        return frozenset(self._owned)

    async def run(self) -> None:
        """Hold the partitions' tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._started.set()
            await anyio.sleep_forever()

    async def wait_started(self) -> None:
        """Wait until partitions can be used."""
        await self._started.wait()

    def jobs(self, number: int) -> JobPartition:
        """Return a partition of jobs, followed from now on.

        :raises ChivespanError: ``not_found`` when there is no such partition.
        """
        if not 0 <= number < self._context.settings.partitions:
            reason = f"there is no partition {number}"
            raise ChivespanError(ErrorKind.NOT_FOUND, reason)
        if number not in self._jobs:
            made = JobPartition(self._context, number, self._limiter)
            self._jobs[number] = made
            self._start(made.run)
        return self._jobs[number]

    def claims(self, number: int) -> ClaimPartition:
        """Return a partition of claims, followed from now on."""
        if number not in self._claims:
            self._claims[number] = ClaimPartition(self._context, number)
            self._start(self._claims[number].run)
        return self._claims[number]

    def set_owned(self, streams: frozenset[str]) -> None:
        """Take over and leave partitions so that exactly these streams are owned."""
        for stream in self._owned.keys() - streams:
            self._owned.pop(stream).cancel()
        for number in range(self._context.settings.partitions):
            if jobs_stream(number) in streams:
                self._take_over(jobs_stream(number), self.jobs(number).run_owned)
        for number in range(CLAIM_PARTITIONS):
            if claims_stream(number) in streams:
                self._take_over(claims_stream(number), self.claims(number).run_owned)

    def all_streams(self) -> list[str]:
        """Return the names of all streams that some process should own."""
        jobs = map(jobs_stream, range(self._context.settings.partitions))
        return [*jobs, *map(claims_stream, range(CLAIM_PARTITIONS))]

    async def wait_written(self) -> None:
        """Wait until all results are in the log."""
        for jobs in list(self._jobs.values()):
            await jobs.wait_written()

    def _take_over(self, stream: str, own: AsyncTask) -> None:
        if stream not in self._owned:
            scope = self._owned[stream] = anyio.CancelScope()
            self._start(partial(_within, scope, own))

    def _start(self, run: AsyncTask) -> None:
        assert self._tasks is not None
        self._tasks.start_soon(run)

    def _limiter(self, service: str) -> anyio.CapacityLimiter:
        if service not in self._running:
            bound = self._context.settings.batch_items
            self._running[service] = anyio.CapacityLimiter(bound)
        return self._running[service]


async def _within(scope: anyio.CancelScope, run: AsyncTask) -> None:
    with scope:
        await run()
