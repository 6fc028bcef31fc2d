"""Workers on the log in memory, each of which can be stopped at a step of its own.

All that a worker sends or hears passes its door. A step is an append of some records,
before or after its effect, a read, or a run at a target. Behind a shut door a worker is
frozen and goes on where it stood once the door opens; one that was killed stays shut
until everything is checked. Time passes only when a scenario says so.
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
from standins.enginetext import length, token
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
WITHIN_S = 20.0
AGAIN_S = 0.01
LOST_AFTER = timedelta(seconds=0.3)
AGAIN_KINDS = (
    ErrorKind.NOT_READY,
    ErrorKind.LOG_UNAVAILABLE,
    ErrorKind.ACCEPTANCE_UNKNOWN,
)

T = TypeVar("T")


@dataclass(frozen=True)
class At:
    """A step: an append by its leading record, a read or a run."""

    name: str
    after: bool = False


class Door:
    """One process's way to the log; implements ``platform.LogService``.

    :ivar stop_at: the step at which ``on_stop`` is called once, by default to shut.
    :ivar shut: set while nothing passes.
    :ivar stopped: set once the step was reached.
    :ivar stopped_with: what was appended there.
    """

    def __init__(self, log: FakeLog) -> None:
        self.stop_at: At | None = None
        self.on_stop: Callable[[], None] = self.close
        self.shut = anyio.Event()
        self.stopped = anyio.Event()
        self.stopped_with: Sequence[bytes] = ()
        self._appending: Sequence[bytes] = ()
        self._log = log
        self._opened = anyio.Event()
        self._opened.set()

    def close(self) -> None:
        """Freeze the process."""
        self._opened = anyio.Event()
        self.shut.set()

    def open(self) -> None:
        """Let it go on."""
        self._opened.set()
        self.shut = anyio.Event()

    async def reach(self, name: str, *, after: bool = False) -> None:
        """Stop here if it is the step, and while the door is shut."""
        if self.stop_at == At(name, after):
            self.stop_at = None
            self.stopped_with = self._appending
            self.stopped.set()
            self.on_stop()
        await self._opened.wait()

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        kinds = {decode_envelope(payload).kind for payload in payloads}
        self._appending = payloads
        step = next((name for name in STEPS if name in kinds), "")
        await self.reach(step)
        offset = await self._log.append(stream, payloads)
        await self.reach(step, after=True)
        return offset

    async def read(
        self, stream: str, start: int, limit: int, wait: timedelta
    ) -> LogPage:
        if not wait:
            await self.reach(READ)
        page = await self._log.read(stream, start, limit, wait)
        await self.reach(READ, after=True)
        return page

    async def bounds(self, stream: str) -> LogPage:
        await self._opened.wait()
        return await self._log.bounds(stream)


@dataclass
class Targets:
    """Engines and plain services as one worker reaches them.

    :ivar free: streams wait here after their first token while it isn't set.
    """

    door: Door
    journal: Journal
    free: Callable[[], anyio.Event]

    async def stream(
        self,
        address: str,
        request: EngineRequest,
        limits: StreamLimits,
        *,
        fresh: bool = False,
    ) -> AsyncGenerator[Token, None]:
        self.journal.add("start", request.request_id, detail=request.prompt)
        count = length(request.prompt, TOKENS)
        for index in range(len(request.resume_tokens), count):
            await self.door.reach(RUN)
            last = "length" if index == count - 1 else None
            yield Token(index, token(request.prompt, index), last)
            if not last:
                await self.free().wait()

    async def call(
        self, address: str, request: PlainRequest, timeout: timedelta
    ) -> HttpResponse:
        body = request.body.decode()
        self.journal.add("start", request.request_id, detail=body)
        await self.door.reach(RUN)
        return HttpResponse(201, "text/plain", request.body)


@dataclass
class Worker:
    """One VM's batch program."""

    door: Door
    partitions: Partitions
    tasks: TaskGroup

    @property
    def jobs(self) -> JobPartition:
        """The one partition of jobs."""
        return self.partitions.jobs(0)

    def own(self) -> None:
        """Own every partition from now on, whoever else does."""
        self.partitions.set_owned(frozenset(self.partitions.all_streams()))

    async def answer(self, ask: Callable[["Worker"], Awaitable[T]]) -> T | None:
        """Return its answer; None when it refuses for now or its door is shut."""
        answers: list[T] = []
        done = anyio.Event()

        async def wait_answer() -> None:
            try:
                answers.append(await ask(self))
            except ChivespanError as error:
                if error.kind not in AGAIN_KINDS:
                    raise
            done.set()

        self.tasks.start_soon(wait_answer)
        async with anyio.create_task_group() as either:

            async def first(event: anyio.Event) -> None:
                await event.wait()
                either.cancel_scope.cancel()

            either.start_soon(first, done)
            either.start_soon(first, self.door.shut)
        return answers[0] if answers else None


@dataclass
class StateRig:
    """What a scenario steers and looks at."""

    site: Site
    clock: ManualClock
    tasks: TaskGroup
    workers: list[Worker] = field(default_factory=list)
    journal: Journal = field(default_factory=Journal)
    observations: Observations = field(default_factory=Observations)
    free: anyio.Event = field(default_factory=anyio.Event)

    @property
    def log(self) -> FakeLog:
        """The log itself."""
        return self.site.log

    @property
    def awake(self) -> list[Worker]:
        """The workers whose doors are open."""
        return [worker for worker in self.workers if not worker.door.shut.is_set()]

    async def start_worker(self, stop_at: At | None = None) -> Worker:
        """Start a VM's batch program that owns nothing yet."""
        door = Door(self.log)
        door.stop_at = stop_at
        targets = Targets(door, self.journal, lambda: self.free)
        items = ItemRunner(self.site.slots, targets, targets, self.clock, Metrics(), MS)
        context = replace(self.site.context(LOST_AFTER), log=door, items=items)
        worker = Worker(door, Partitions(context), self.tasks)
        self.tasks.start_soon(worker.partitions.run)
        await worker.partitions.wait_started()
        assert worker.jobs
        self.workers.append(worker)
        return worker

    async def ask(self, ask: Callable[[Worker], Awaitable[T]]) -> T:
        """Ask one worker after the other until one answers, as an entry does."""
        with anyio.fail_after(WITHIN_S):
            while True:
                for worker in self.awake:
                    answer = await worker.answer(ask)
                    if answer is not None:
                        return answer
                await anyio.sleep(AGAIN_S)

    async def wait(self, met: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        with anyio.fail_after(WITHIN_S):
            while not met():
                await anyio.sleep(AGAIN_S)

    async def pass_retention(self, worker: Worker) -> None:
        """Let the log forget all that it holds now, while a worker looks after it."""
        claims = [worker.partitions.claims(n) for n in range(CLAIM_PARTITIONS)]
        partitions: list[JobPartition | ClaimPartition] = [worker.jobs, *claims]
        for _ in range(4):
            self.clock.advance(RETENTION * 0.35)
            for partition in partitions:
                await partition.follower.wait_caught_up()
                await partition.maintenance.run_pass()
            self.log.expire_written_before(self.clock.now() - RETENTION)

    async def read(self, worker: Worker, plan: JobPlan) -> list[ItemRead]:
        """Read a job's results from one worker, as an entry does."""
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

    async def ended(self, plan: JobPlan) -> None:
        """Wait until every awake worker shows the job as ended."""

        def all_show() -> bool:
            shown = [each.jobs.store.fold.job(plan.job_id) for each in self.awake]
            return all(job is not None and job.phase in ENDED_PHASES for job in shown)

        await self.wait(all_show)

    async def finish(self, plan: JobPlan, *, finished: bool = True) -> None:
        """See a job's end, read it at every worker, also past retention; check all."""
        await self.ended(plan)
        seen = [await self.ask(lambda w: self.read(w, plan)) for _ in self.awake]
        await self.pass_retention(self.awake[-1])
        seen += [await self.read(each, plan) for each in self.awake]
        newcomer = await self.start_worker()
        await newcomer.jobs.follower.wait_caught_up()
        seen.append(await self.read(newcomer, plan))
        prompts = prompts_of(plan)
        if plan.service == PLAIN_SERVICE.name:
            self.observations.not_repeatable += prompts
            assert [item.item_key for item in seen[0]] == list(prompts)
            prompts, finished = {}, False
        seen_job = ObservedJob(plan.job_id, prompts, TOKENS, seen, finished)
        self.observations.jobs.append(seen_job)
        self.check()

    def check(self) -> None:
        """Compare what callers were told with what the targets did."""
        assert self.violations() == []

    def violations(self) -> list[str]:
        """Return in what callers were told otherwise than the targets did."""
        self.observations.journals = {"targets": self.journal.entries}
        digests: dict[int, str] = {}
        for worker in self.awake:
            fold = worker.jobs.store.fold
            assert digests.setdefault(fold.offset, fold.digest) == fold.digest
        return violations(self.observations)


@asynccontextmanager
async def state_rig(workers: int = 2) -> AsyncIterator[StateRig]:
    """Run some workers, of which the first owns all partitions."""
    clock = ManualClock()
    site = Site(clock=clock)
    async with anyio.create_task_group() as tasks:
        rig = StateRig(site, clock, tasks)
        rig.free.set()
        for _ in range(workers):
            await rig.start_worker()
        rig.workers[0].own()
        await rig.workers[0].jobs.follower.wait_caught_up()
        try:
            yield rig
        finally:
            rig.free.set()
            site.log.outage = False
            for worker in rig.workers:
                worker.door.open()
            tasks.cancel_scope.cancel()


def job_plan(key: str, prompts: Sequence[str]) -> JobPlan:
    """Return a job of one item for each prompt."""
    lines = {
        f"i{number}": BatchModelItem(id=f"i{number}", prompt=each, max_tokens=TOKENS)
        for number, each in enumerate(prompts)
    }
    items = [
        SubmitItem(item_key=k, body=msgspec.json.encode(v)) for k, v in lines.items()
    ]
    return _plan(key, items, MODEL_SERVICE.name, idempotent=True)


def booking_plan(key: str, bodies: Sequence[str]) -> JobPlan:
    """Return a job of bookings, none of which may be repeated."""
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
    """Return each item's prompt by its key."""
    lines = [item for chunk in plan.chunks for item in chunk]
    return {
        item.item_key: msgspec.json.decode(item.body).get("prompt", item.item_key)
        for item in lines
    }
