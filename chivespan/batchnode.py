"""Batch work of one node: the partitions that it owns, and the items that it holds."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from chivespan.batchanswers import BatchAnswers
from chivespan.batchbacklog import BacklogNote
from chivespan.batchexecutor import BatchExecutor
from chivespan.batchowner import BatchOwner
from chivespan.batchplacement import PARTITIONS, BatchPlacement, OwnershipChange
from chivespan.batchschedule import (
    NodeRoom,
    RoomPolicy,
    TargetRoom,
    WaitingItem,
    has_room,
    place_items,
)
from chivespan.clock import MILLISECOND, Clock
from chivespan.errors import ChivespanError
from chivespan.fleetlinks import FleetLinks, FleetListener, Peer
from chivespan.itemrun import Run
from chivespan.keyedstore import KeyedStore, Partition
from chivespan.ledgerstore import LedgerStore
from chivespan.logs import logger
from chivespan.nodemessages import (
    BatchQuestion,
    BatchReply,
    ItemStart,
    ItemStatus,
    ItemStop,
    LoadReport,
)
from chivespan.nodemetrics import NodeMetrics
from chivespan.nodesettings import FleetNodeSettings
from chivespan.onlinepeak import OnlinePeak
from chivespan.routingstate import RoutingState
from chivespan.targetpick import TargetPicker

TOPIC = "keyed.batch"
TICK = timedelta(milliseconds=25)
# Of a node that owns no partition.
IDLE_TICK = timedelta(milliseconds=200)
UPKEEP_INTERVAL = timedelta(milliseconds=500)

_log = logger("batch")


class BatchNode(FleetListener):
    """All batch work of this node.

    :param room_of: the policy that says how many items a target takes.
    """

    def __init__(
        self,
        settings: FleetNodeSettings,
        store: KeyedStore,
        links: FleetLinks,
        placement: BatchPlacement,
        routing: RoutingState,
        picker: TargetPicker,
        executor: BatchExecutor,
        clock: Clock,
        metrics: NodeMetrics,
        room_of: RoomPolicy,
    ) -> None:
        self._links = links
        self._placement = placement
        self._settings = settings
        self._picker = picker
        self._executor = executor
        self._room_of = room_of
        self._clock = clock
        self._backlog_note = BacklogNote(clock, room_of)
        self._peaks: dict[str, OnlinePeak] = {}
        self._stores = [
            LedgerStore(
                store,
                Partition(TOPIC, number),
                clock,
                settings.store.max_call_bytes,
            )
            for number in range(PARTITIONS)
        ]
        self._owners = [
            BatchOwner(
                number,
                ledger,
                routing,
                clock,
                self._send_to_node,
                timedelta(seconds=settings.job_status_s),
                settings.store.max_record_bytes,
                metrics,
            )
            for number, ledger in enumerate(self._stores)
        ]
        self._answers = [
            BatchAnswers(
                ledger,
                routing,
                clock,
                settings.store.max_record_bytes,
                owner.stop_runs_of_ended,
            )
            for ledger, owner in zip(self._stores, self._owners, strict=True)
        ]
        self._owned_by: dict[str, list[int]] = {}
        self._taken = anyio.Event()
        self._tasks: TaskGroup | None = None
        links.add_listener(self)

    async def run(self) -> None:
        """Own, schedule and answer until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for ledger, owner in zip(self._stores, self._owners, strict=True):
                tasks.start_soon(ledger.run)
                tasks.start_soon(owner.list_finished)
            tasks.start_soon(self._schedule)
            await self._keep_up()

    def owned_changed(self, change: OwnershipChange) -> None:
        """Take over the partitions that are this node's now, and leave the others."""
        for number in change.released:
            _log.notice("partition_released", partition=number)
            self._owners[number].release()
        for number in change.taken:
            _log.notice("partition_taken", partition=number)
            self._owners[number].take_over()
            for status in self._executor.statuses(number):
                self._owners[number].take_status(self._own_vm, status)
        if change.taken:
            self._taken.set()

    def leave(self) -> None:
        """Hand over the items that are held here."""
        self._executor.give_back()

    def peer_left(self, peer: Peer) -> None:
        """Let its items run elsewhere."""
        vm = peer.node.vm
        self._owned_by.pop(vm, None)
        for owner in self._owners:
            owner.node_lost(vm)

    async def handle_message(self, peer: Peer, message: object) -> None:
        """Take a message on batch work."""
        vm = peer.node.vm
        if isinstance(message, ItemStart):
            self._executor.start(message)
        elif isinstance(message, ItemStop):
            self._executor.stop(message)
        elif isinstance(message, ItemStatus):
            self._owners[message.partition].take_status(vm, message)
        elif isinstance(message, BatchQuestion) and self._tasks is not None:
            self._tasks.start_soon(self._answer_peer, peer, message)
        elif isinstance(message, LoadReport):
            self._heed_owned(peer, message)

    def tell_owner(self, status: ItemStatus) -> None:
        """Tell the owner of an item's partition how it stands."""
        vm = self._placement.owner_of(status.partition)
        if vm == self._own_vm:
            self._owners[status.partition].take_status(vm, status)
        elif vm is not None:
            self._send_to_node(vm, status)

    @property
    def _own_vm(self) -> str:
        return self._settings.vm

    def _heed_owned(self, peer: Peer, report: LoadReport) -> None:
        """Tell a node that has just become an owner what is held here for it."""
        before = self._owned_by.get(peer.node.vm, [])
        self._owned_by[peer.node.vm] = report.owned
        for number in report.owned:
            if number not in before:
                for status in self._executor.statuses(number):
                    peer.send(status)

    async def _answer_peer(self, peer: Peer, question: BatchQuestion) -> None:
        peer.send(await self.reply_to(question))

    async def reply_to(self, question: BatchQuestion) -> BatchReply:
        """Answer a question here, whether or not this node owns the partition."""
        kind, body, retry_after = "", b"", timedelta(0)
        try:
            body = await self._answers[question.partition].answer(question)
        except ChivespanError as error:
            kind = error.kind.value
            body = error.message.encode()
            retry_after = error.retry_after or retry_after
        return BatchReply(
            question=question.question,
            kind=kind,
            body=body,
            retry_after_ms=retry_after // MILLISECOND,
        )

    def _send_to_node(self, vm: str, message: object) -> bool:
        if vm == self._own_vm:
            if isinstance(message, ItemStart):
                self._executor.start(message)
            elif isinstance(message, ItemStop):
                self._executor.stop(message)
            return True
        peer = self._links.peers.get(vm)
        return peer is not None and peer.send(message)

    async def _schedule(self) -> None:
        while True:
            tick = TICK if self._placement.owned else IDLE_TICK
            await anyio.sleep(tick.total_seconds())
            self._start_items()

    def _start_items(self) -> None:
        owned = [self._owners[number] for number in self._placement.owned]
        services = {service for owner in owned for service in owner.services()}
        running = [run for owner in owned for run in owner.running()]
        at_targets = Counter(run.target_id for run in running)
        targets = list(self._target_rooms(services, at_targets))
        if self._backlog_note.is_due:
            now = self._clock.now()
            self._backlog_note.write(_waiting(owned), len(running), targets, now)
        if has_room(targets, self._room_of):
            self._fill(targets, _waiting(owned), running)

    def _fill(
        self,
        targets: Sequence[TargetRoom],
        waiting: Sequence[WaitingItem],
        running: Sequence[Run],
    ) -> None:
        """Start waiting items where targets have room."""
        nodes = list(self._node_rooms(Counter(run.vm for run in running)))
        now = self._clock.now()
        placements = list(place_items(waiting, targets, nodes, now, self._room_of))
        for placement in placements:
            self._owners[placement.item.partition].start(placement)
        self._backlog_note.started(len(placements))

    def _target_rooms(
        self, services: set[str], running: Counter[str]
    ) -> Iterator[TargetRoom]:
        for service in services:
            candidates = self._picker.candidates(service)
            slots = sum(candidate.slots for candidate in candidates)
            peak = self._peak_of(service)
            peak.note(sum(candidate.online for candidate in candidates))
            for candidate in candidates:
                started = running[candidate.entry.target_id]
                yield TargetRoom(
                    entry=candidate.entry,
                    slots=candidate.slots,
                    online=candidate.online,
                    batch=max(candidate.batch, started),
                    online_peak=peak.value * candidate.slots / slots,
                )

    def _peak_of(self, service: str) -> OnlinePeak:
        if service not in self._peaks:
            self._peaks[service] = OnlinePeak(self._clock)
        return self._peaks[service]

    def _node_rooms(self, running: Counter[str]) -> Iterator[NodeRoom]:
        peers = self._links.peers.values()
        staying = (peer.node for peer in peers if not peer.report.leaving)
        for node in (self._links.own, *staying):
            yield NodeRoom(node.vm, node.data_centre, running[node.vm])

    async def _keep_up(self) -> None:
        """Keep owned partitions current, for ever."""
        while True:
            with anyio.move_on_after(UPKEEP_INTERVAL.total_seconds()):
                await self._taken.wait()
            self._taken = anyio.Event()
            for number in self._placement.owned:
                await self._keep_up_one(self._owners[number])

    async def _keep_up_one(self, owner: BatchOwner) -> None:
        try:
            await owner.load()
            owner.loosen_unheard()
            owner.give_up_abandoned()
            await owner.forget_past_jobs()
        except ChivespanError as error:
            _log.warning(
                "partition_not_current",
                partition=owner.partition,
                reason=error.message,
            )


def _waiting(owners: Iterable[BatchOwner]) -> list[WaitingItem]:
    """Return the items of all partitions given that could be started now."""
    return [item for owner in owners for item in owner.waiting()]
