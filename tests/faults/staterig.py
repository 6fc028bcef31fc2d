"""Test rig: workers on an in-memory log, each of which can be paused at a given step.

A worker accesses the log and the targets through its own ``PausableLog``. Steps are the
append of a record, before or after it takes effect, a read, and a run at a target. A
paused worker simulates a frozen process and continues where it stopped once resumed. A
killed worker stays paused until all checks are done. The clock is advanced manually.
"""

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import TypeVar

import anyio
import msgspec
from anyio.abc import TaskGroup

from chivespan.callerapi import BatchModelItem, BatchPlainItem
from chivespan.claimfold import CLAIM_PARTITIONS
from chivespan.clock import ManualClock
from chivespan.codec import decode
from chivespan.engineapi import EngineRequest
from chivespan.engineclient import StreamLimits, Token
from chivespan.envelope import decode_envelope
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.itemrunner import ItemRunner
from chivespan.jobfold import ENDED_PHASES
from chivespan.jobmessages import SubmitItem
from chivespan.jobplan import JobPlan, plan_job
from chivespan.metrics import Metrics
from chivespan.partitions import ClaimPartition, JobPartition, Partitions
from chivespan.plainclient import PlainRequest
from chivespan.platformservices import LogPage
from chivespan.records import ItemAnswer
from chivespan.targethttp import HttpResponse
from standins.enginetext import token, token_count
from standins.journal import Journal
from tests.batchfakes import MODEL_SERVICE, MS, OWNER, PLAIN_SERVICE, Site
from tests.fakelog import FakeLog
from tests.oracle import ItemRead, Observations, ObservedJob, violations

STEPS = (
    *("JobClose", "JobBegin", "JobChunk", "JobCancel", "ItemStart", "ItemResults"),
    *("Claim", "ClaimOutcome", "ConfigChange", "Snapshot"),
)
READ = "read"
RUN = "run"
TOKENS = 3
RETENTION = timedelta(minutes=1440)
TIMEOUT_S = 20.0
RETRY_DELAY_S = 0.01
START_GRACE = timedelta(seconds=0.3)
RETRYABLE_KINDS = (
    ErrorKind.NOT_READY,
    ErrorKind.LOG_UNAVAILABLE,
    ErrorKind.ACCEPTANCE_UNKNOWN,
)

T = TypeVar("T")


@dataclass(frozen=True)
class PausePoint:
    """A step at which a process pauses.

    :param name: kind of the record that an append is named after, or ``READ``, ``RUN``.
    :param after: pause after the step's effect instead of before it.
    """

    name: str
    after: bool = False


class PausableLog:
    """One process's access to the log; implements ``platformservices.LogService``.

    :ivar pause_at: the step at which ``on_reached`` is called, once.
    :ivar on_reached: pauses the process by default.
    :ivar paused: set while the process is paused.
    :ivar reached: set once the step was reached.
    :ivar paused_payloads: payloads of the latest append when the step was reached.
    """

    def __init__(self, log: FakeLog) -> None:
        self.pause_at: PausePoint | None = None
        self.on_reached: Callable[[], None] = self.pause
        self.paused = anyio.Event()
        self.reached = anyio.Event()
        self.paused_payloads: Sequence[bytes] = ()
        self._appending: Sequence[bytes] = ()
        self._log = log
        self._resumed = anyio.Event()
        self._resumed.set()

    def pause(self) -> None:
        """Pause the process at its next step."""
        self._resumed = anyio.Event()
        self.paused.set()

    def resume(self) -> None:
        """Resume the process."""
        self._resumed.set()
        self.paused = anyio.Event()

    async def checkpoint(self, name: str, *, after: bool = False) -> None:
        """Call ``on_reached`` if this is the chosen step; wait while paused."""
        if self.pause_at == PausePoint(name, after):
            self.pause_at = None
            self.paused_payloads = self._appending
            self.reached.set()
            self.on_reached()
        await self._resumed.wait()

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        kinds = {decode_envelope(payload).kind for payload in payloads}
        self._appending = payloads
        step = next((name for name in STEPS if name in kinds), "")
        await self.checkpoint(step)
        offset = await self._log.append(stream, payloads)
        await self.checkpoint(step, after=True)
        return offset

    async def read(
        self, stream: str, start: int, limit: int, wait: timedelta
    ) -> LogPage:
        if not wait:
            await self.checkpoint(READ)
        page = await self._log.read(stream, start, limit, wait)
        await self.checkpoint(READ, after=True)
        return page

    async def bounds(self, stream: str) -> LogPage:
        await self._resumed.wait()
        return await self._log.bounds(stream)


@dataclass
class Targets:
    """Clients of engines and plain services for one worker.

    :ivar streams_released: returns the event that streams wait for after a token.
    """

    log: PausableLog
    journal: Journal
    streams_released: Callable[[], anyio.Event]

    async def stream(
        self,
        address: str,
        request: EngineRequest,
        limits: StreamLimits,
    ) -> AsyncGenerator[Token, None]:
        self.journal.add("start", request.request_id, detail=request.prompt)
        count = token_count(request.prompt, TOKENS)
        for index in range(len(request.resume_tokens), count):
            await self.log.checkpoint(RUN)
            last = "length" if index == count - 1 else None
            yield Token(index, token(request.prompt, index), last)
            if not last:
                await self.streams_released().wait()

    async def call(
        self, address: str, request: PlainRequest, timeout: timedelta
    ) -> HttpResponse:
        body = request.body.decode()
        self.journal.add("start", request.request_id, detail=body)
        await self.log.checkpoint(RUN)
        return HttpResponse(201, "text/plain", request.body)


@dataclass
class Worker:
    """One VM's batch program."""

    log: PausableLog
    partitions: Partitions
    tasks: TaskGroup

    @property
    def jobs(self) -> JobPartition:
        """The only partition of jobs."""
        return self.partitions.jobs(0)

    def own_all_partitions(self) -> None:
        """Own every partition, even if another worker owns them too."""
        self.partitions.set_owned(frozenset(self.partitions.all_streams()))

    async def try_request(
        self, request: Callable[["Worker"], Awaitable[T]]
    ) -> T | None:
        """Return the answer; None after a retryable error or while paused."""
        answers: list[T] = []
        done = anyio.Event()

        async def wait_answer() -> None:
            try:
                answers.append(await request(self))
            except ChivespanError as error:
                if error.kind not in RETRYABLE_KINDS:
                    raise
            done.set()

        self.tasks.start_soon(wait_answer)
        async with anyio.create_task_group() as either:

            async def first(event: anyio.Event) -> None:
                await event.wait()
                either.cancel_scope.cancel()

            either.start_soon(first, done)
            either.start_soon(first, self.log.paused)
        return answers[0] if answers else None


@dataclass
class StateRig:
    """Components that a scenario controls, and its observations.

    :ivar streams_released: while not set, streams wait after their first token.
    """

    site: Site
    clock: ManualClock
    tasks: TaskGroup
    workers: list[Worker] = field(default_factory=list)
    journal: Journal = field(default_factory=Journal)
    observations: Observations = field(default_factory=Observations)
    streams_released: anyio.Event = field(default_factory=anyio.Event)

    @property
    def log(self) -> FakeLog:
        """The log that all workers share."""
        return self.site.log

    @property
    def active_workers(self) -> list[Worker]:
        """The workers that aren't paused."""
        return [worker for worker in self.workers if not worker.log.paused.is_set()]

    async def start_worker(self, pause_at: PausePoint | None = None) -> Worker:
        """Start a VM's batch program that owns no partitions."""
        log = PausableLog(self.log)
        log.pause_at = pause_at
        targets = Targets(log, self.journal, lambda: self.streams_released)
        items = ItemRunner(self.site.slots, targets, targets, self.clock, Metrics(), MS)
        context = replace(self.site.context(START_GRACE), log=log, items=items)
        worker = Worker(log, Partitions(context), self.tasks)
        self.tasks.start_soon(worker.partitions.run)
        await worker.partitions.wait_started()
        assert worker.jobs
        self.workers.append(worker)
        return worker

    async def request_any(self, request: Callable[[Worker], Awaitable[T]]) -> T:
        """Send a request to each worker in turn until one answers, as an entry does."""
        with anyio.fail_after(TIMEOUT_S):
            while True:
                for worker in self.active_workers:
                    answer = await worker.try_request(request)
                    if answer is not None:
                        return answer
                await anyio.sleep(RETRY_DELAY_S)

    async def wait(self, met: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        with anyio.fail_after(TIMEOUT_S):
            while not met():
                await anyio.sleep(RETRY_DELAY_S)

    async def expire_log(self, worker: Worker) -> None:
        """Expire all present records while a worker runs the maintenance of the log."""
        claims = [worker.partitions.claims(n) for n in range(CLAIM_PARTITIONS)]
        partitions: list[JobPartition | ClaimPartition] = [worker.jobs, *claims]
        for _ in range(4):
            self.clock.advance(RETENTION * 0.35)
            for partition in partitions:
                await partition.follower.wait_caught_up()
                await partition.maintenance.run_pass()
            self.log.expire_written_before(self.clock.now() - RETENTION)

    async def read(self, worker: Worker, plan: JobPlan) -> list[ItemRead]:
        """Return a job's results as read from one worker, as an entry does."""
        found = []
        for number in range(len(plan.chunks)):
            found += await worker.jobs.store.results(OWNER, plan.job_id, number)
        return [
            ItemRead(
                one.item_key,
                one.ok,
                decode(one.body, ItemAnswer).text if one.ok else "",
            )
            for one in found
        ]

    async def wait_ended(self, plan: JobPlan) -> None:
        """Wait until the job has ended at every active worker."""

        def all_ended() -> bool:
            jobs = [
                each.jobs.store.fold.job(plan.job_id) for each in self.active_workers
            ]
            return all(job is not None and job.phase in ENDED_PHASES for job in jobs)

        await self.wait(all_ended)

    async def finish(self, plan: JobPlan, *, finished: bool = True) -> None:
        """Wait for a job's end, read its results before and after retention, and check.

        The results are read from every active worker and from a newly started one.
        """
        await self.wait_ended(plan)
        reads = [
            await self.request_any(lambda w: self.read(w, plan))
            for _ in self.active_workers
        ]
        await self.expire_log(self.active_workers[-1])
        reads += [await self.read(each, plan) for each in self.active_workers]
        new_worker = await self.start_worker()
        await new_worker.jobs.follower.wait_caught_up()
        reads.append(await self.read(new_worker, plan))
        prompts = prompts_of(plan)
        if plan.service == PLAIN_SERVICE.name:
            self.observations.not_repeatable += prompts
            assert [item.item_key for item in reads[0]] == list(prompts)
            prompts, finished = {}, False
        observed_job = ObservedJob(plan.job_id, prompts, TOKENS, reads, finished)
        self.observations.jobs.append(observed_job)
        self.check()

    def check(self) -> None:
        """Assert that the oracle finds no violation."""
        assert self.violations() == []

    def violations(self) -> list[str]:
        """Return the oracle's violations.

        Workers at equal offsets must have equal digests.
        """
        self.observations.journals = {"targets": self.journal.entries}
        digests: dict[int, str] = {}
        for worker in self.active_workers:
            fold = worker.jobs.store.fold
            assert digests.setdefault(fold.offset, fold.digest) == fold.digest
        return violations(self.observations)


@asynccontextmanager
async def state_rig(workers: int = 2) -> AsyncIterator[StateRig]:
    """Run workers, the first of which owns all partitions."""
    clock = ManualClock()
    site = Site(clock=clock)
    async with anyio.create_task_group() as tasks:
        rig = StateRig(site, clock, tasks)
        rig.streams_released.set()
        for _ in range(workers):
            await rig.start_worker()
        rig.workers[0].own_all_partitions()
        await rig.workers[0].jobs.follower.wait_caught_up()
        try:
            yield rig
        finally:
            rig.streams_released.set()
            site.log.outage = False
            for worker in rig.workers:
                worker.log.resume()
            tasks.cancel_scope.cancel()


def job_plan(key: str, prompts: Sequence[str]) -> JobPlan:
    """Return the plan of a job with one item for each prompt."""
    lines = {
        f"i{number}": BatchModelItem(id=f"i{number}", prompt=each, max_tokens=TOKENS)
        for number, each in enumerate(prompts)
    }
    items = [
        SubmitItem(item_key=k, body=msgspec.json.encode(v)) for k, v in lines.items()
    ]
    return _plan(key, items, MODEL_SERVICE.name, idempotent=True)


def booking_plan(key: str, bodies: Sequence[str]) -> JobPlan:
    """Return the plan of a job of non-idempotent bookings."""
    lines = {
        body: BatchPlainItem(id=body, path="/bookings", body=body) for body in bodies
    }
    items = [
        SubmitItem(item_key=k, body=msgspec.json.encode(v)) for k, v in lines.items()
    ]
    return _plan(key, items, PLAIN_SERVICE.name, idempotent=False)


def _plan(
    key: str, items: Sequence[SubmitItem], service: str, *, idempotent: bool
) -> JobPlan:
    return plan_job(
        items,
        owner=OWNER,
        job_key=key,
        service=service,
        model="m" if idempotent else "",
        idempotent=idempotent,
        partitions=1,
    )


def prompts_of(plan: JobPlan) -> dict[str, str]:
    """Return the prompt of each item by item key."""
    lines = [item for chunk in plan.chunks for item in chunk]
    return {
        item.item_key: msgspec.json.decode(item.body).get("prompt", item.item_key)
        for item in lines
    }
