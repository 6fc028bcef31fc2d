"""The items of one partition of batch jobs at its owner: who runs them, and results."""

from collections.abc import Callable, Iterator
from dataclasses import replace
from datetime import datetime, timedelta

import anyio

from chivespan.batchchanges import ForgetJob, ListResult
from chivespan.batchledger import LedgerJob, is_past
from chivespan.batchrecords import BatchItem
from chivespan.batchschedule import Placement, WaitingItem
from chivespan.clock import MILLISECOND, NO_WAIT, Clock
from chivespan.errors import ChivespanError
from chivespan.itempace import ItemPace
from chivespan.itemrun import Run
from chivespan.itemtimes import ItemPhase, ItemTimes
from chivespan.ledgerstore import LedgerStore
from chivespan.logs import logger
from chivespan.nodemessages import (
    ItemHeader,
    ItemStart,
    ItemState,
    ItemStatus,
    ItemStop,
)
from chivespan.nodemetrics import NodeMetrics
from chivespan.routes import Route, RouteKind
from chivespan.routingstate import RoutingState

MAX_AGE_WITH_OPEN_JOBS = timedelta(seconds=1)
MAX_AGE_IDLE = timedelta(seconds=1.5)
TAKEOVER_TIME = timedelta(milliseconds=300)
FAILED_HOLD_OFF = timedelta(milliseconds=200)
YIELDED_HOLD_OFF = timedelta(milliseconds=40)
# A status that crosses an order to run is older than the order.
IN_FLIGHT_TIME = timedelta(milliseconds=700)
UNHEARD_TIME = timedelta(seconds=3)
ABANDON_MARGIN = timedelta(seconds=3)
KEEP_MARGIN = timedelta(seconds=20)

_log = logger("batch")

SendToNode = Callable[[str, object], bool]


class BatchOwner:
    """One partition.

    :param send: sends a message to a node; returns whether it was there.
    """

    def __init__(
        self,
        partition: int,
        store: LedgerStore,
        routing: RoutingState,
        clock: Clock,
        send: SendToNode,
        job_status: timedelta,
        max_record_bytes: int,
        metrics: NodeMetrics,
    ) -> None:
        self.partition = partition
        self._metrics = metrics
        self._store = store
        self._routing = routing
        self._clock = clock
        self._send = send
        self._keep = job_status + KEEP_MARGIN
        self._max_record_bytes = max_record_bytes
        self._runs: dict[tuple[str, str], Run] = {}
        self._starts_from = NO_WAIT
        self._owner_since = clock.now()
        self._caught_up = False
        self._pace = ItemPace()
        self._early: list[tuple[str, ItemStatus]] = []
        self._finished: list[ListResult] = []
        self._results = anyio.Event()

    async def load(self) -> None:
        """Have the ledger, and look for what other nodes accepted or ended.

        :raises ChivespanError: when the store can't be read.
        """
        if not self._caught_up:
            await self._catch_up()
            return
        busy = any(True for _ in self._store.ledger.open_jobs())
        await self._store.refresh(MAX_AGE_WITH_OPEN_JOBS if busy else MAX_AGE_IDLE)
        self.stop_runs_of_ended()

    async def _catch_up(self) -> None:
        """Read what earlier owners wrote, then take what nodes said meanwhile."""
        await self._store.refresh(NO_WAIT)
        self._caught_up = True
        early, self._early = self._early, []
        for vm, status in early:
            self.take_status(vm, status)

    def running(self) -> Iterator[Run]:
        """Yield the runs that are at a target now."""
        return (run for run in self._runs.values() if run.target_id)

    def services(self) -> set[str]:
        """Return the services that run items of open jobs."""
        routes = map(self._route_of, self._store.ledger.open_jobs())
        return {route.main_service for route in routes if route is not None}

    def waiting(self) -> Iterator[WaitingItem]:
        """Yield the items that could be started now."""
        now = self._clock.monotonic()
        wall_time = self._clock.now()
        if now < self._starts_from or not self._caught_up:
            return
        for job in self._store.ledger.open_jobs():
            route = self._route_of(job)
            if route is None:
                continue
            due = job.submitted + route.due
            abandon_after = route.abandon_after
            last_use = job.submitted + abandon_after if abandon_after else None
            for order, item in enumerate(job.waiting_items()):
                run = self._runs.get((job.job_id, item.item_id))
                if run and (run.settled or run.target_id or run.not_before > now):
                    continue
                remaining = self._remaining(run)
                yield WaitingItem(
                    partition=self.partition,
                    job_id=job.job_id,
                    item_id=item.item_id,
                    service=route.main_service,
                    due=due,
                    order=order,
                    holder=run.vm if run else "",
                    will_be_late=wall_time + remaining > due,
                    remaining=remaining,
                    last_use=last_use,
                )

    def start(self, placement: Placement) -> None:
        """Have a node run an item."""
        waiting = placement.item
        job = self._store.ledger.jobs[waiting.job_id]
        item = job.items[waiting.item_id]
        key = (waiting.job_id, waiting.item_id)
        run = self._run_of(key)
        holds = run.vm == placement.vm
        message = ItemStart(
            partition=self.partition,
            job_id=waiting.job_id,
            item_id=waiting.item_id,
            target_id=placement.entry.target_id,
            host=job.head.host,
            path="" if holds else item.path,
            headers=[] if holds else _headers(item),
            body=b"" if holds else item.body,
            events=[] if holds else list(run.events),
        )
        run.start(placement.vm, placement.entry.target_id, self._clock.monotonic())
        if not self._send(placement.vm, message):
            self._loosen(key, run)

    def take_status(self, vm: str, status: ItemStatus) -> None:
        """Take in how an item stands at the node that holds it."""
        if not self._caught_up:
            self._early.append((vm, status))
            return
        key = (status.job_id, status.item_id)
        job = self._store.ledger.jobs.get(status.job_id)
        if job is None or not job.is_open or status.item_id in job.listed:
            if status.state is not ItemState.returned:
                self._send(vm, _stop(key))
            self._runs.pop(key, None)
            return
        run = self._run_of(key)
        if run.settled or (run.target_id and run.vm not in ("", vm)):
            # Another node has it by now.
            self._send(vm, _stop(key))
            return
        run.heard = self._clock.monotonic()
        if not status.repeated or self._was_missed(run, vm, status):
            self._note(key, run, vm, status)

    def _was_missed(self, run: Run, vm: str, status: ItemStatus) -> bool:
        """Return whether a repeated status says what the first one could not."""
        if status.state not in (ItemState.running, ItemState.paused):
            return True
        if run.heard - run.started < IN_FLIGHT_TIME:
            return False
        runs = status.state is ItemState.running
        return run.vm != vm or bool(run.target_id) != runs

    def loosen_unheard(self) -> None:
        """Let items be started elsewhere of which their nodes say nothing any more."""
        now = self._clock.monotonic()
        for key, run in list(self._runs.items()):
            if run.vm and not run.settled and now - run.heard > UNHEARD_TIME:
                _log.warning(
                    "item_unheard",
                    job=key[0],
                    item=key[1],
                    vm=run.vm,
                    silent_ms=(now - run.heard) // MILLISECOND,
                )
                self._loosen(key, run)

    def node_lost(self, vm: str) -> None:
        """Let items of a lost node be started elsewhere."""
        for key, run in list(self._runs.items()):
            if run.vm == vm and not run.settled:
                self._loosen(key, run)

    def take_over(self) -> None:
        """Start nothing before the nodes could say what they hold."""
        self._owner_since = self._clock.now()
        self._starts_from = self._clock.monotonic() + TAKEOVER_TIME

    def release(self) -> None:
        """Forget which nodes hold what: another node owns the partition now."""
        self._runs.clear()
        self._early.clear()
        self._caught_up = False

    async def list_finished(self) -> None:
        """Write results to the store for ever; an outage loses none of them."""
        async with anyio.create_task_group() as tasks:
            while True:
                while self._finished:
                    tasks.start_soon(self._list, self._finished.pop())
                self._results = anyio.Event()
                await self._results.wait()

    async def forget_past_jobs(self) -> None:
        """Drop jobs whose time to be read is over."""
        now = self._clock.now()
        for job in list(self._store.ledger.jobs.values()):
            if is_past(job, now, self._keep):
                await self._store.commit(ForgetJob(job), MAX_AGE_WITH_OPEN_JOBS)

    def give_up_abandoned(self) -> None:
        """List as given up what is too old, or whose route is gone."""
        now = self._clock.now()
        for job in self._store.ledger.open_jobs():
            if not self._is_abandoned(job, now):
                continue
            for item in job.waiting_items():
                self._settle((job.job_id, item.item_id), done=False, text="")

    def _is_abandoned(self, job: LedgerJob, now: datetime) -> bool:
        """Return whether a job's items needn't be run any longer."""
        if self._routing.table is None:
            return False
        route = self._route_of(job)
        if route is None:
            return True
        age = now - job.submitted
        return bool(route.abandon_after) and age > route.abandon_after + ABANDON_MARGIN

    def _note(
        self, key: tuple[str, str], run: Run, vm: str, status: ItemStatus
    ) -> None:
        run.vm = vm
        run.target_id = ""
        self._learn(run, status)
        run.event_count = status.events
        if status.state is ItemState.running:
            run.target_id = status.target_id
            return
        run.times.enter(ItemPhase.paused, self._clock.monotonic())
        if status.state is ItemState.done:
            self._settle(key, done=True, text="\n".join(status.text))
        elif status.state is ItemState.impossible:
            self._settle(key, done=False, text="")
        elif status.state is ItemState.failed:
            self._count_failure(key, run)
        elif status.state is ItemState.returned:
            run.vm = ""
            run.events = tuple(status.text)
        elif status.state is ItemState.paused:
            run.not_before = self._clock.monotonic() + YIELDED_HOLD_OFF
        else:
            run.not_before = self._clock.monotonic() + FAILED_HOLD_OFF

    def _learn(self, run: Run, status: ItemStatus) -> None:
        """Let the pace of items know how a run went."""
        if run.started:
            took = self._clock.monotonic() - run.started
            self._pace.ran(status.events - run.event_count, took)
        if status.state is ItemState.done:
            self._pace.finished(status.events)

    def _remaining(self, run: Run | None) -> timedelta:
        return self._pace.remaining(run.event_count if run else 0)

    def _count_failure(self, key: tuple[str, str], run: Run) -> None:
        run.failures += 1
        run.not_before = self._clock.monotonic() + FAILED_HOLD_OFF
        route = self._route_of(self._store.ledger.jobs[key[0]])
        if route is not None and run.failures >= route.max_attempts:
            self._settle(key, done=False, text="")

    def _settle(self, key: tuple[str, str], done: bool, text: str) -> None:
        """Have an item's final result written."""
        run = self._run_of(key)
        if run.settled:
            return
        run.settle(self._clock.monotonic())
        result = ListResult(
            job_id=key[0],
            item_id=key[1],
            done=done,
            text=text,
            max_record_bytes=self._max_record_bytes,
        )
        self._finished.append(result)
        self._results.set()

    async def _list(self, result: ListResult) -> None:
        key = (result.job_id, result.item_id)
        try:
            await self._store.commit(result)
        except ChivespanError as error:
            _log.error("result_refused", item=result.item_id, reason=error.message)
            await self._store.commit(replace(result, done=False, text=""))
        run = self._runs.pop(key, None)
        self._note_listed(result, run)
        if run is not None and run.vm:
            self._send(run.vm, _stop(key))

    def _note_listed(self, result: ListResult, run: Run | None) -> None:
        """Log and count where the time of an item went that has its result now."""
        job = self._store.ledger.jobs.get(result.job_id)
        times = ItemTimes(self._clock.monotonic()) if run is None else run.times
        times.enter(ItemPhase.listing, self._clock.monotonic())
        for phase, spent in times.spent.items():
            self._metrics.record_item_phase(phase.value, spent)
        age = None if job is None else self._clock.now() - job.submitted
        _log.info(
            "item_listed",
            job=result.job_id,
            item=result.item_id,
            done=result.done,
            age_ms=None if age is None else age // MILLISECOND,
            runs=times.runs,
            lost_events=times.lost_events,
            taken_over=job is not None and job.submitted < self._owner_since,
            **times.milliseconds(),
        )

    def _run_of(self, key: tuple[str, str]) -> Run:
        """Return what is known of an item; without a run, that it waits."""
        run = self._runs.get(key)
        if run is None:
            times = ItemTimes(self._clock.monotonic() - self._age_of(key[0]))
            run = self._runs[key] = Run(times)
        return run

    def _age_of(self, job_id: str) -> timedelta:
        """Return how long ago a job was accepted, but not before this owner began."""
        job = self._store.ledger.jobs.get(job_id)
        if job is None:
            return NO_WAIT
        since = max(job.submitted, self._owner_since)
        return max(NO_WAIT, self._clock.now() - since)

    def _loosen(self, key: tuple[str, str], run: Run) -> None:
        """Let an item be started elsewhere: the node that holds it is lost."""
        self._runs[key] = run.loosened(self._clock.monotonic())

    def stop_runs_of_ended(self) -> None:
        """Have no item of an ended job run on."""
        for key, run in list(self._runs.items()):
            job = self._store.ledger.jobs.get(key[0])
            if job is None or job.ended:
                del self._runs[key]
                if run.vm:
                    self._send(run.vm, _stop(key))

    def _route_of(self, job: LedgerJob) -> Route | None:
        """Return the route that a job's items fall under now."""
        table = self._routing.table
        first = next(iter(job.items.values()), None)
        if table is None or first is None:
            return None
        route = table.find(job.head.host, first.path)
        return route if route is not None and route.kind is RouteKind.BATCH else None


def _headers(item: BatchItem) -> list[ItemHeader]:
    return [ItemHeader(name=each.name, value=each.value) for each in item.headers]


def _stop(key: tuple[str, str]) -> ItemStop:
    return ItemStop(job_id=key[0], item_id=key[1])
