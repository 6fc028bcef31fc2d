"""Runs leased batch items on this node and keeps their partial output.

An item yields its slot as soon as its target has no slot left for online requests: the
connection is closed and the events received so far are kept. The run resumes after the
last of them when the owner of the item's partition starts the item again. When that
owner is lost, this node reports all held items to the next owner.
"""

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from random import Random

import anyio
from anyio.abc import TaskGroup

from chivespan.batchyield import YieldRule
from chivespan.clock import MILLISECOND, Clock
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.eventstream import (
    EventOrder,
    EventSplitter,
    OutputExceeded,
    parse_events,
)
from chivespan.eventtiming import EventTiming
from chivespan.exchange import LateTimeout, NoLocalResource, NotSent, Reply, exchange
from chivespan.helditem import HeldItem, retargeted, status_without_run
from chivespan.httpcall import InvalidRequest
from chivespan.itemoutput import (
    DEFAULT_MAX_EVENTS,
    ItemOutput,
    NoMemoryForOutput,
    OutputBudget,
)
from chivespan.itemquarantine import ItemQuarantine
from chivespan.itemrequest import encoded_headers, header_pairs, item_call
from chivespan.loadtable import LoadTable
from chivespan.logs import logger
from chivespan.nodemessages import (
    ItemStart,
    ItemState,
    ItemStatus,
    ItemStop,
    TargetEntry,
)
from chivespan.nodemetrics import NodeMetrics
from chivespan.platform import wire
from chivespan.quarantine import Quarantine
from chivespan.suspicion import READS_OF_AN_ANSWER
from chivespan.targetannouncements import record_announcements
from chivespan.targetpick import TargetPicker
from chivespan.targetset import TargetSet
from chivespan.targetsilence import RequestWatch, SilenceDetector
from chivespan.yieldorder import ItemProgress

# A sound target may fall silent for a second or so.
EVENT_TIMEOUT = timedelta(seconds=2)
REPEAT_INTERVAL = timedelta(seconds=1)

_log = logger("executor")


class _Yielded(Exception):
    """The item yields its slot to an online request."""


class BatchExecutor:
    """Runs and holds the items of this node.

    :param send_status: sends a status to the owner of its partition.
    :param max_output_bytes: limit of the partial output of all items, in memory.
    :param customers_known: returns whether the configuration names customers.
    """

    def __init__(
        self,
        targets: TargetSet,
        picker: TargetPicker,
        load_table: LoadTable,
        silence: SilenceDetector,
        clock: Clock,
        metrics: NodeMetrics,
        send_status: Callable[[ItemStatus], None],
        quarantine: Quarantine,
        max_output_bytes: int,
        customers_known: Callable[[], bool] = lambda: False,
    ) -> None:
        self._targets = targets
        self._picker = picker
        self._load_table = load_table
        self._silence = silence
        self._clock = clock
        self._metrics = metrics
        self._send_status = send_status
        self._quarantine = ItemQuarantine(quarantine, clock)
        self._yield_rule = YieldRule(picker, load_table, clock, Random())
        self._budget = OutputBudget(max_output_bytes)
        self._customers_known = customers_known
        self._items: dict[tuple[str, str], HeldItem] = {}
        self._tasks: TaskGroup | None = None

    async def run(self) -> None:
        """Run items and periodically resend their statuses until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                await anyio.sleep(REPEAT_INTERVAL.total_seconds())
                for held in list(self._items.values()):
                    self._send_status(held.held_status(repeated=True))

    def start(self, message: ItemStart) -> None:
        """Start an item, or resume one that is held."""
        key = (message.job_id, message.item_id)
        held = self._items.get(key)
        if held is not None and held.state is ItemState.running:
            self._send_status(held.status())
            return
        if held is None and not message.path:
            # The owner then sends the item again, as a whole.
            self._send_status(status_without_run(message, ItemState.returned))
            return
        if held is None:
            parts = wire.item_prompt_parts(header_pairs(message.headers))
            output = ItemOutput(self._budget, message.events)
            held = self._items[key] = HeldItem(message, output, parts)
        else:
            held.start = retargeted(held.start, message)
        if held.state is ItemState.done:
            self._send_status(held.status())
            return
        held.state = ItemState.running
        if self._tasks is not None:
            self._tasks.start_soon(self._run_item, held)

    def stop(self, message: ItemStop) -> None:
        """Cancel an item and discard its output."""
        held = self._items.pop((message.job_id, message.item_id), None)
        if held is None:
            return
        if held.scope is not None:
            held.scope.cancel()
        held.output.release()

    def statuses(self, partition: int) -> list[ItemStatus]:
        """Return the statuses of all held items of a partition, for its owner."""
        return [
            held.held_status(repeated=False)
            for held in self._items.values()
            if held.start.partition == partition
        ]

    def return_items(self) -> None:
        """Cancel all runs and send their partial output to the owners."""
        for held in list(self._items.values()):
            if held.state is not ItemState.done:
                if held.scope is not None:
                    held.scope.cancel()
                held.state = ItemState.returned
            self._send_status(held.status())
            held.output.release()
        self._items.clear()

    async def _run_item(self, held: HeldItem) -> None:
        with anyio.CancelScope() as scope:
            held.scope = scope
            started_at = self._clock.monotonic()
            events_before = len(held.events)
            state = await self._attempt(held)
        held.scope = None
        if scope.cancelled_caught or self._items.get(held.key) is not held:
            return
        held.state = state
        if state is ItemState.failed:
            held.record_failed_attempt()
        self._metrics.incr(f"item_{state.value}")
        _log.info(
            "item_run_ended",
            job=held.start.job_id,
            item=held.start.item_id,
            target=held.start.target_id,
            state=state.value,
            attempt=held.start.attempt,
            events=len(held.events),
            gained=len(held.events) - events_before,
            expected=held.start.expected_events,
            late=held.start.is_late,
            took_ms=(self._clock.monotonic() - started_at) // MILLISECOND,
        )
        self._send_status(held.status())

    async def _attempt(self, held: HeldItem) -> ItemState:
        entry = self._targets.find(held.start.target_id)
        if entry is None:
            return ItemState.not_run
        if self._is_full(entry):
            return ItemState.paused
        if self._is_held_back(held):
            return ItemState.not_run
        held.answered = False
        events_before = len(held.events)
        self._picker.limiter.record_send(entry)
        with self._load_table.track_batch(entry.target_id):
            try:
                return await self._exchange(held, entry)
            except _Yielded:
                return ItemState.paused
            except NoMemoryForOutput:
                held.output.truncate(events_before)
                return self._failed_locally(held, "no memory for more output")
            except OutputExceeded as error:
                held.output.truncate(events_before)
                return await self._broken(held, entry, error.message)
            except (InvalidRequest, LateTimeout, NoLocalResource) as error:
                return self._failed_locally(held, error.message)
            except NotSent:
                self._picker.record_unreachable(entry.target_id)
                return ItemState.not_run
            except ChivespanError as error:
                return await self._broken(held, entry, error.message)
            except Exception as error:
                # Nothing that a target sends may stop this process. Errors of targets
                # are of the closed list; any other is one of this process.
                _log.exception("item_run_failed", item=held.start.item_id)
                return self._failed_locally(held, repr(error))

    def _is_held_back(self, held: HeldItem) -> bool:
        """Return whether an item may not be sent, though its owner didn't know yet."""
        start = held.start
        part = self._quarantine.find_blocking(held.parts, start.item_id, held.breaks)
        if part is None:
            return False
        _log.info("item_not_sent", job=start.job_id, item=start.item_id, suspect=part)
        return True

    def _failed_locally(self, held: HeldItem, reason: str) -> ItemState:
        """Record that this node itself ended a run, which says nothing of the target.

        Neither the target's health nor the item's attempts change.
        """
        self._metrics.incr("item_failed_locally")
        start = held.start
        job, item = start.job_id, start.item_id
        _log.warning("item_failed_locally", job=job, item=item, reason=reason)
        return ItemState.not_run

    async def _broken(
        self, held: HeldItem, entry: TargetEntry, reason: str
    ) -> ItemState:
        """Record that a target failed during a run."""
        self._picker.record_failure(entry.target_id)
        _log_broken(held, entry, reason)
        if not held.answered:
            held.breaks.record(self._clock.monotonic())
            item_id = held.start.item_id
            await self._quarantine.record_break(held.parts, item_id, entry)
        return ItemState.broken

    async def _exchange(self, held: HeldItem, entry: TargetEntry) -> ItemState:
        watching = self._silence.watch_request(entry.target_id)
        customers_known = self._customers_known()
        events = len(held.events)
        call = item_call(held.start, entry.address, events, customers_known)
        async with exchange(call) as reply:
            record_announcements(self._picker, entry, reply, held.start.item_id)
            if wire.reports_not_run(reply, held.start.item_id):
                return ItemState.not_run
            if not wire.is_response_to(reply, held.start.item_id):
                reason = f"response with status {reply.status} to another item"
                raise ChivespanError(ErrorKind.TARGET_FAILED, reason)
            if reply.status == HTTPStatus.UNPROCESSABLE_ENTITY:
                return ItemState.impossible
            if reply.status == HTTPStatus.INTERNAL_SERVER_ERROR:
                return ItemState.failed
            if reply.status != HTTPStatus.OK:
                # It may be the item's fault, so it says nothing of the target's health.
                _log_broken(held, entry, f"response with status {reply.status}")
                return ItemState.broken
            with watching as watch:
                timing = await self._receive_events(held, entry, reply, watch)
        self._picker.record_success(entry.target_id)
        self._picker.record_event_time(entry, timing)
        return ItemState.done

    async def _receive_events(
        self, held: HeldItem, entry: TargetEntry, reply: Reply, watch: RequestWatch
    ) -> EventTiming:
        """Append events to the held item as they arrive; return their timing.

        :raises _Yielded: if the item yields its slot.
        :raises ChivespanError: ``stream_broken`` if the stream is incomplete.
        """
        max_tokens = wire.max_output_tokens(encoded_headers(held.start))
        max_events = DEFAULT_MAX_EVENTS if max_tokens is None else max_tokens
        splitter = EventSplitter(EventOrder.CONSECUTIVE, len(held.events), max_events)
        timing = EventTiming()
        reads = 0
        checked = last_event = self._clock.monotonic()
        while True:
            # Parts of an event don't extend its time limit.
            time_left = EVENT_TIMEOUT - (self._clock.monotonic() - last_event)
            chunk = await reply.next_chunk(time_left)
            if chunk is None:
                break
            whole = splitter.feed(chunk)
            if whole:
                watch.record_data()
                last_event = self._clock.monotonic()
                timing.record(last_event, splitter.events)
            self._add_output(held, [event.data for event in parse_events(whole)])
            reads += bool(whole)
            if reads >= READS_OF_AN_ANSWER:
                self._record_answered(held)
            now = self._clock.monotonic()
            progress = _progress_of(held, max_events)
            if self._yield_rule.must_yield(entry, now - checked, progress):
                raise _Yielded
            checked = now
        splitter.check_end(reply.is_delimited)
        if reads and reply.is_delimited:
            self._record_answered(held)
        return timing

    def _add_output(self, held: HeldItem, events: list[str]) -> None:
        """Add events to a held item.

        When the output of all items takes too much memory, that of the item with the
        largest is dropped; one that runs at another target drops its own.

        :raises OutputExceeded: when this item has too much.
        :raises NoMemoryForOutput: when all items have, and this one the most of it.
        """
        held.output.extend(events)
        if not self._budget.is_exceeded:
            return
        paused = [
            each
            for each in self._items.values()
            if each.scope is None and each.state is not ItemState.done
        ]
        largest = max(paused, key=lambda each: each.output.size, default=held)
        if largest.output.size <= held.output.size:
            raise NoMemoryForOutput
        _log.warning(
            "item_output_dropped",
            item=largest.start.item_id,
            job=largest.start.job_id,
            size=largest.output.size,
        )
        largest.output.truncate(0)

    def _record_answered(self, held: HeldItem) -> None:
        if not held.answered:
            held.answered = True
            self._quarantine.record_answered(held.parts)

    def _is_full(self, entry: TargetEntry) -> bool:
        return self._load_table.total(entry.target_id) >= entry.slots


def _log_broken(held: HeldItem, entry: TargetEntry, reason: str) -> None:
    item_id = held.start.item_id
    _log.info("item_broken", item=item_id, target=entry.target_id, reason=reason)


def _progress_of(held: HeldItem, max_events: int) -> ItemProgress:
    """Return how far an item is, expecting no more events than its caller allows."""
    expected = min(held.start.expected_events, max_events)
    return ItemProgress(len(held.events), expected, held.start.is_late)
