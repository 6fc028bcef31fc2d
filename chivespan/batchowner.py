"""Tracks, at the owner of a batch partition, which nodes run its items, and results."""

from collections.abc import Callable, Collection, Iterator
from dataclasses import replace
from datetime import timedelta

import anyio

from chivespan.batchchanges import DeleteJob, WriteResult
from chivespan.batchledger import LedgerJob, is_expired
from chivespan.batchrecords import BatchItem
from chivespan.batchschedule import Placement, WaitingItem
from chivespan.clock import MILLISECOND, NO_WAIT, Clock
from chivespan.errors import ChivespanError
from chivespan.itemduration import ItemDurationEstimator
from chivespan.itemeligibility import ItemEligibility
from chivespan.itemmessages import start_message, stop_message
from chivespan.itemquarantine import ItemQuarantine
from chivespan.itemresult import record_listed
from chivespan.itemroutes import ItemRoutes, end_of_retention
from chivespan.itemrun import ItemOutcome, ItemRun
from chivespan.itemtimes import ItemPhase, ItemTimes
from chivespan.jobends import RequestedEnds
from chivespan.ledgerage import LedgerAgeLimit
from chivespan.ledgerstore import LedgerStore
from chivespan.logs import logger
from chivespan.nodemessages import ItemState, ItemStatus
from chivespan.nodemetrics import NodeMetrics
from chivespan.quarantine import Quarantine
from chivespan.routingstate import RoutingState

# How stale the ledger may be before it is read again while no job is open.
MAX_AGE_IDLE = timedelta(seconds=1.5)
# How long to retry the deletion of a job.
DELETE_TIMEOUT = timedelta(seconds=1)
# A new owner waits this long for nodes to report the items that they hold.
TAKEOVER_DELAY = timedelta(milliseconds=300)
FAILED_RETRY_DELAY = timedelta(milliseconds=200)
YIELDED_RETRY_DELAY = timedelta(milliseconds=40)
# A repeated status that arrives this soon after a start may have been sent before the
# node received the start.
IN_FLIGHT_TIME = timedelta(milliseconds=700)
RETENTION_MARGIN = timedelta(seconds=20)

_log = logger("batch")

SendToNode = Callable[[str, object], bool]


class BatchOwner:
    """Runs the items of one partition on nodes and writes their results.

    :param send: sends a message to a node; returns whether the node was reachable.
    :param job_status: how long the status of a job stays readable once it has closed.
    :param age_limit: of the ledger from which items are started.
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
        quarantine: Quarantine,
        age_limit: LedgerAgeLimit,
    ) -> None:
        self.partition = partition
        self._metrics = metrics
        self._store = store
        self._routes = ItemRoutes(routing, clock)
        self._clock = clock
        self._send = send
        self._retention = job_status + RETENTION_MARGIN
        self._max_record_bytes = max_record_bytes
        self._runs: dict[tuple[str, str], ItemRun] = {}
        self._start_not_before = NO_WAIT
        self._owner_since = clock.now()
        self._caught_up = False
        self._eligibility = ItemEligibility(
            self._routes, ItemQuarantine(quarantine, clock), clock, metrics
        )
        self._age_limit = age_limit
        self._requested_ends = RequestedEnds(store, clock)
        self._durations = ItemDurationEstimator()
        # The last one of each node for each item, as they come again each second.
        self._early_statuses: dict[tuple[str, str, str], ItemStatus] = {}
        self._finished: list[WriteResult] = []
        self._result_added = anyio.Event()

    async def load(self) -> None:
        """Refresh the ledger with the jobs that other nodes accepted or ended.

        :raises ChivespanError: if the store can't be read.
        """
        if not self._caught_up:
            await self._catch_up()
            return
        busy = any(True for _ in self._store.ledger.open_jobs())
        max_age = self._age_limit.max_age_before_read
        await self._store.refresh(max_age if busy else MAX_AGE_IDLE)
        self._requested_ends.forget_settled()
        self.stop_runs_of_ended_jobs()

    async def _catch_up(self) -> None:
        """Read the records of earlier owners, then apply the early statuses."""
        await self._store.refresh(NO_WAIT)
        self._caught_up = True
        early, self._early_statuses = self._early_statuses, {}
        for (vm, _, _), status in early.items():
            self.handle_status(vm, status)

    @property
    def is_stale(self) -> bool:
        """Whether no items are started, as the ledger was too old at the last check."""
        return self._age_limit.is_exceeded

    @property
    def ledger_age(self) -> timedelta:
        """Time for which other nodes may have changed the ledger unnoticed."""
        return self._store.age

    def running(self) -> Iterator[ItemRun]:
        """Yield the runs that are executing at a target."""
        return (run for run in self._runs.values() if run.target_id)

    def services(self) -> set[str]:
        """Return the services that the items of open jobs need."""
        return self._routes.services(self._store.ledger.open_jobs())

    def waiting(self) -> Iterator[WaitingItem]:
        """Yield the items that are ready to start."""
        now = self._clock.monotonic()
        wall_time = self._clock.now()
        if now < self._start_not_before or not self._caught_up:
            return
        jobs = list(self._store.ledger.open_jobs())
        if not jobs or not self._age_limit.allows_start():
            return
        suspects = self._eligibility.suspects
        for job in jobs:
            if self._requested_ends.may_have_ended(job.job_id):
                continue
            for order, item in enumerate(job.waiting_items()):
                route = self._routes.route(job, item)
                if route is None:
                    continue
                run = self._runs.get((job.job_id, item.item_id))
                if run and not run.can_start(now):
                    continue
                if self._eligibility.is_unsendable(job, item):
                    continue
                if suspects and self._is_held_back(job, item, suspects):
                    continue
                remaining = self._remaining(run)
                due = job.submitted + route.due
                yield WaitingItem(
                    partition=self.partition,
                    job_id=job.job_id,
                    item_id=item.item_id,
                    host=route.host,
                    service=route.main_service,
                    due=due,
                    order=order,
                    holder=run.vm if run else "",
                    will_be_late=wall_time + remaining > due,
                    remaining=remaining,
                    abandoned_at=end_of_retention(job, route),
                )

    def start(self, placement: Placement) -> None:
        """Send an item to the node that is to run it."""
        waiting = placement.item
        job = self._store.ledger.jobs[waiting.job_id]
        key = (waiting.job_id, waiting.item_id)
        run = self._run_of(key)
        expected = self._durations.expected_events
        message = start_message(job, run, placement, expected)
        if run.held_back:
            part = run.held_back
            _log.info("item_let_go", job=key[0], item=key[1], suspect=part)
        run.start(placement.vm, placement.entry.target_id, self._clock.monotonic())
        run.speed = placement.speed
        if not self._send(placement.vm, message):
            self._release_item(key, run)

    def handle_status(self, vm: str, status: ItemStatus) -> None:
        """Process the status of an item, reported by the node that holds it."""
        if not self._caught_up:
            self._early_statuses[vm, status.job_id, status.item_id] = status
            return
        key = (status.job_id, status.item_id)
        job = self._store.ledger.jobs.get(status.job_id)
        if job is None or not job.is_unfinished(status.item_id):
            if status.state is not ItemState.returned:
                self._send(vm, stop_message(key))
            self._runs.pop(key, None)
            return
        run = self._run_of(key)
        if run.settled or (run.target_id and run.vm not in ("", vm)):
            # The item is assigned to another node by now.
            self._send(vm, stop_message(key))
            return
        run.record_report(self._clock.monotonic())
        failed = run.reported_failures(vm, status)
        if not status.repeated or self._was_missed(run, vm, status):
            self._apply_status(key, run, vm, status)
        self._count_failures(key, run, failed)

    def is_running_at(self, vm: str, status: ItemStatus) -> bool:
        """Return whether a node is expected to run the item of a status now."""
        run = self._runs.get((status.job_id, status.item_id))
        return run is not None and run.is_running_at(vm)

    def _was_missed(self, run: ItemRun, vm: str, status: ItemStatus) -> bool:
        """Return whether to apply a repeated status because the original was lost."""
        if status.state not in (ItemState.running, ItemState.paused):
            return True
        if run.last_heard - run.started < IN_FLIGHT_TIME:
            return False
        is_running = status.state is ItemState.running
        return run.vm != vm or bool(run.target_id) != is_running

    def release_silent_items(self) -> None:
        """Release items whose nodes have stopped reporting them."""
        now = self._clock.monotonic()
        for key, run in list(self._runs.items()):
            if run.vm and not run.settled and run.is_unheard(now):
                _log.warning(
                    "item_unheard",
                    job=key[0],
                    item=key[1],
                    vm=run.vm,
                    silent_ms=(now - run.last_heard) // MILLISECOND,
                    link_lost=run.link_lost is not None,
                )
                self._release_item(key, run)

    def link_lost(self, vm: str) -> None:
        """Give a node little time to come back and report its items.

        Its items may still run: the node may be slow, or only the link broken.
        """
        now = self._clock.monotonic()
        for run in self._runs.values():
            if run.vm == vm:
                run.record_link_lost(now)

    def take_over(self) -> None:
        """Become the owner; starts nothing until nodes have reported their items."""
        # A read that began under an earlier ownership may have ended since.
        self._caught_up = False
        self._owner_since = self._clock.now()
        self._start_not_before = self._clock.monotonic() + TAKEOVER_DELAY

    def release(self) -> None:
        """Discard the state of all runs, as another node owns the partition now."""
        self._runs.clear()
        self._early_statuses.clear()
        self._requested_ends.clear()
        self._caught_up = False
        self._age_limit.reset()

    def end_requested(self, job_id: str) -> None:
        """Start no more items of a job whose end a caller has requested.

        If this node fails to commit the end, another node may do so.
        """
        self._requested_ends.record(job_id)

    async def write_results(self) -> None:
        """Write results to the store until cancelled; retries them during outages."""
        async with anyio.create_task_group() as tasks:
            while True:
                while self._finished:
                    tasks.start_soon(self._write_result, self._finished.pop())
                self._result_added = anyio.Event()
                await self._result_added.wait()

    async def delete_expired_jobs(self) -> None:
        """Delete jobs whose retention time is over."""
        now = self._clock.now()
        for job in list(self._store.ledger.jobs.values()):
            if is_expired(job, now, self._retention):
                await self._store.commit(DeleteJob(job), DELETE_TIMEOUT)

    def fail_abandoned_items(self) -> None:
        """Fail items that are too old or whose route no longer exists."""
        for job in self._store.ledger.open_jobs():
            for item in job.waiting_items():
                reason = self._eligibility.reason_to_abandon(job, item)
                if reason is not None:
                    self._finish((job.job_id, item.item_id), reason)

    def _is_held_back(
        self, job: LedgerJob, item: BatchItem, suspects: frozenset[str]
    ) -> bool:
        """Return whether an item may not be sent, as it may crash its target."""
        if suspects.isdisjoint(job.prompt_parts_of(item)):
            return False
        run = self._run_of((job.job_id, item.item_id))
        return self._eligibility.is_held_back(job, item, run)

    def _apply_status(
        self, key: tuple[str, str], run: ItemRun, vm: str, status: ItemStatus
    ) -> None:
        run.vm = vm
        run.target_id = ""
        self._record_run_duration(run, status)
        run.event_count = status.events
        if status.state is ItemState.running:
            run.target_id = status.target_id
            return
        run.times.enter(ItemPhase.paused, self._clock.monotonic())
        if status.state is ItemState.done:
            self._finish(key, ItemOutcome.done, "\n".join(status.text))
        elif status.state is ItemState.impossible:
            self._finish(key, ItemOutcome.impossible)
        elif status.state is ItemState.returned:
            run.vm = ""
            run.events = tuple(status.text)
        elif status.state is ItemState.paused:
            run.not_before = self._clock.monotonic() + YIELDED_RETRY_DELAY
        else:
            if status.state is ItemState.broken:
                run.breaks.record(self._clock.monotonic())
            run.not_before = self._clock.monotonic() + FAILED_RETRY_DELAY

    def _record_run_duration(self, run: ItemRun, status: ItemStatus) -> None:
        """Update the estimate of item run times from the events of a run.

        The time is converted to that at a target of usual speed.
        """
        if run.started:
            took = (self._clock.monotonic() - run.started) * run.speed
            self._durations.record_run(status.events - run.event_count, took)
        if status.state is ItemState.done:
            self._durations.record_finished(status.events)

    def _remaining(self, run: ItemRun | None) -> timedelta:
        return self._durations.remaining(run.event_count if run else 0)

    def _count_failures(
        self, key: tuple[str, str], run: ItemRun, attempts: Collection[int]
    ) -> None:
        if not attempts:
            return
        run.record_failures(attempts)
        job = self._store.ledger.jobs[key[0]]
        route = self._routes.route(job, job.items[key[1]])
        if route is not None and len(run.failed_attempts) >= route.max_attempts:
            self._finish(key, ItemOutcome.attempts_failed)

    def _finish(
        self, key: tuple[str, str], outcome: ItemOutcome, text: str = ""
    ) -> None:
        """Queue an item's final result to be written."""
        run = self._run_of(key)
        if run.settled:
            return
        run.settle(outcome, self._clock.monotonic())
        result = WriteResult(
            job_id=key[0],
            item_id=key[1],
            done=outcome is ItemOutcome.done,
            text=text,
            max_record_bytes=self._max_record_bytes,
            written=self._clock.now(),
        )
        self._finished.append(result)
        self._result_added.set()

    async def _write_result(self, result: WriteResult) -> None:
        key = (result.job_id, result.item_id)
        try:
            await self._store.commit(result)
        except ChivespanError as error:
            _log.error("result_refused", item=result.item_id, reason=error.message)
            if (run := self._runs.get(key)) is not None:
                run.outcome = ItemOutcome.too_large
            await self._store.commit(replace(result, done=False, text=""))
        run = self._runs.pop(key, None)
        job = self._store.ledger.jobs.get(result.job_id)
        record_listed(result, run, job, self._owner_since, self._clock, self._metrics)
        if run is not None and run.vm:
            self._send(run.vm, stop_message(key))

    def _run_of(self, key: tuple[str, str]) -> ItemRun:
        """Return the run of an item; creates one in the waiting phase if needed."""
        run = self._runs.get(key)
        if run is None:
            times = ItemTimes(self._clock.monotonic() - self._age_of(key[0]))
            run = self._runs[key] = ItemRun(times)
        return run

    def _age_of(self, job_id: str) -> timedelta:
        """Return a job's age, counted from this node's takeover if that was later."""
        job = self._store.ledger.jobs.get(job_id)
        if job is None:
            return NO_WAIT
        since = max(job.submitted, self._owner_since)
        return max(NO_WAIT, self._clock.now() - since)

    def _release_item(self, key: tuple[str, str], run: ItemRun) -> None:
        """Let another node start an item whose holder is lost."""
        self._runs[key] = run.after_node_loss(self._clock.monotonic())

    def stop_runs_of_ended_jobs(self) -> None:
        """Stop the runs of items whose job has ended."""
        for key, run in list(self._runs.items()):
            job = self._store.ledger.jobs.get(key[0])
            if job is None or job.ended:
                del self._runs[key]
                if run.vm:
                    self._send(run.vm, stop_message(key))
