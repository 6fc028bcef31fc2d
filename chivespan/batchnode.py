"""Runs the batch work of one node: the partitions it owns and the items it holds."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from chivespan.batchbacklog import BacklogLog
from chivespan.batchcapacity import CapacityPolicy, TargetCapacity
from chivespan.batchexecutor import BatchExecutor
from chivespan.batchowner import BatchOwner
from chivespan.batchownership import PARTITIONS, OwnershipChange, PartitionOwnership
from chivespan.batchrequesthandler import BatchRequestHandler
from chivespan.batchschedule import NodeLoad, WaitingItem, has_capacity, place_items
from chivespan.batchtargets import BatchTargets
from chivespan.clock import MILLISECOND, Clock
from chivespan.errors import ChivespanError
from chivespan.fleetlinks import FleetLinks, FleetListener, Peer
from chivespan.helditem import status_without_run
from chivespan.itemrun import ItemRun
from chivespan.keyedstore import KeyedStore, Partition
from chivespan.ledgerage import CHECK_INTERVAL, LedgerAgeLimit
from chivespan.ledgerstore import LedgerStore
from chivespan.logs import logger
from chivespan.nodemessages import (
    BatchQuestion,
    BatchReply,
    ItemStart,
    ItemState,
    ItemStatus,
    ItemStop,
    LoadReport,
)
from chivespan.nodemetrics import NodeMetrics
from chivespan.nodesettings import FleetNodeSettings
from chivespan.quarantine import Quarantine
from chivespan.routingstate import RoutingState
from chivespan.targetpick import TargetPicker

TOPIC = "keyed.batch"
TICK = timedelta(milliseconds=25)
UPKEEP_INTERVAL = CHECK_INTERVAL

_log = logger("batch")


class BatchNode(FleetListener):
    """Connects partition owners, request handlers and the executor of this node.

    :param capacity_policy: determines how many items may start at a target.
    :param store_failed: called when the ledger of an owned partition can't be read.
    """

    def __init__(
        self,
        settings: FleetNodeSettings,
        store: KeyedStore,
        links: FleetLinks,
        ownership: PartitionOwnership,
        routing: RoutingState,
        picker: TargetPicker,
        executor: BatchExecutor,
        clock: Clock,
        metrics: NodeMetrics,
        capacity_policy: CapacityPolicy,
        quarantine: Quarantine,
        store_failed: Callable[[], None],
    ) -> None:
        self._links = links
        self._ownership = ownership
        self._settings = settings
        self._picker = picker
        self._executor = executor
        self._capacity_policy = capacity_policy
        self._clock = clock
        self._backlog_log = BacklogLog(clock, capacity_policy)
        self._targets = BatchTargets(picker, clock)
        self._store_failed = store_failed
        cancel_time = timedelta(milliseconds=settings.cancel_ms)
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
                quarantine,
                LedgerAgeLimit(
                    number,
                    ledger,
                    cancel_time,
                    lambda: ownership.others_reach_store,
                ),
            )
            for number, ledger in enumerate(self._stores)
        ]
        self._handlers = [
            BatchRequestHandler(
                ledger,
                routing,
                clock,
                settings.store.max_record_bytes,
                owner.end_requested,
                owner.stop_runs_of_ended_jobs,
            )
            for ledger, owner in zip(self._stores, self._owners, strict=True)
        ]
        self._owned_by: dict[str, list[int]] = {}
        self._partition_taken = anyio.Event()
        self._tasks: TaskGroup | None = None
        links.add_listener(self)

    async def run(self) -> None:
        """Schedule items, write results and handle requests until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for ledger, owner in zip(self._stores, self._owners, strict=True):
                tasks.start_soon(ledger.run)
                tasks.start_soon(owner.write_results)
            tasks.start_soon(self._schedule)
            await self._maintain()

    def ownership_changed(self, change: OwnershipChange) -> None:
        """Take over newly owned partitions and release those owned no longer."""
        for number in change.released:
            _log.notice("partition_released", partition=number)
            self._owners[number].release()
        for number in change.taken:
            _log.notice("partition_taken", partition=number)
            self._owners[number].take_over()
            for status in self._executor.statuses(number):
                self._owners[number].handle_status(self._own_vm, status)
        if change.taken:
            self._partition_taken.set()

    @property
    def stale_partitions(self) -> int:
        """Number of owned partitions whose ledger is too old to start items."""
        return sum(self._owners[number].is_stale for number in self._ownership.owned)

    def leave(self) -> None:
        """Return all held items to the owners of their partitions."""
        self._executor.return_items()

    def peer_left(self, peer: Peer) -> None:
        """Release the items that the peer holds unless it soon reports them."""
        vm = peer.node.vm
        self._owned_by.pop(vm, None)
        for owner in self._owners:
            owner.link_lost(vm)

    async def handle_message(self, peer: Peer, message: object) -> None:
        """Handle a message on batch work."""
        vm = peer.node.vm
        if isinstance(message, ItemStart):
            self._start_for(peer, message)
        elif isinstance(message, ItemStop):
            self._executor.stop(message)
        elif isinstance(message, ItemStatus):
            self._handle_status(vm, message)
        elif isinstance(message, BatchQuestion) and self._tasks is not None:
            self._tasks.start_soon(self._handle_peer_request, peer, message)
        elif isinstance(message, LoadReport):
            self._report_items_to_new_owner(peer, message)

    def _handle_status(self, vm: str, status: ItemStatus) -> None:
        """Handle another node's status of an item, as the owner of its partition.

        The owner itself may run none of the items that show that a target is well. An
        item is reported as done again and again until its result is written.
        """
        owner = self._owners[status.partition]
        if status.state is ItemState.done and owner.is_running_at(vm, status):
            self._picker.record_remote_success(status.target_id)
        owner.handle_status(vm, status)

    def send_status_to_owner(self, status: ItemStatus) -> None:
        """Send the status of an item to the owner of its partition."""
        vm = self._ownership.owner_of(status.partition)
        if vm == self._own_vm:
            self._owners[status.partition].handle_status(vm, status)
        elif vm is not None:
            self._send_to_node(vm, status)

    @property
    def _own_vm(self) -> str:
        return self._settings.vm

    def _start_for(self, peer: Peer, message: ItemStart) -> None:
        """Start an item unless another node than the sender claims its partition.

        Around a change of owners, the previous one may not know of it yet, and the next
        one starts the item as well.
        """
        sender = peer.node.vm
        owner = self._ownership.claimant_of(message.partition)
        if owner in ("", sender):
            self._executor.start(message)
            return
        _log.warning(
            "item_start_refused",
            job=message.job_id,
            item=message.item_id,
            sender=sender,
            owner=owner,
        )
        peer.send(status_without_run(message, ItemState.not_run))

    def _report_items_to_new_owner(self, peer: Peer, report: LoadReport) -> None:
        """Report the items held on this node to a peer that has become their owner."""
        before = self._owned_by.get(peer.node.vm, [])
        self._owned_by[peer.node.vm] = report.owned
        for number in report.owned:
            if number not in before:
                for status in self._executor.statuses(number):
                    peer.send(status)

    async def _handle_peer_request(self, peer: Peer, question: BatchQuestion) -> None:
        peer.send(await self.handle_request(question))

    async def handle_request(self, question: BatchQuestion) -> BatchReply:
        """Handle a request on this node, whether or not it owns the partition."""
        kind, body, retry_after = "", b"", timedelta(0)
        try:
            body = await self._handlers[question.partition].answer(question)
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
            if not self._ownership.owned:
                await self._partition_taken.wait()
            await anyio.sleep(TICK.total_seconds())
            self._start_items()

    def _start_items(self) -> None:
        owned = [self._owners[number] for number in self._ownership.owned]
        services = {service for owner in owned for service in owner.services()}
        running = [run for owner in owned for run in owner.running()]
        at_targets = Counter(run.target_id for run in running)
        targets = self._targets.capacities(services, at_targets)
        if self._backlog_log.is_due:
            now = self._clock.now()
            rises = self._targets.rises()
            self._backlog_log.write(_waiting(owned), len(running), targets, now, rises)
        if has_capacity(targets, self._capacity_policy):
            self._fill(targets, _waiting(owned), running)

    def _fill(
        self,
        targets: Sequence[TargetCapacity],
        waiting: Sequence[WaitingItem],
        running: Sequence[ItemRun],
    ) -> None:
        """Start waiting items at targets that have capacity."""
        nodes = list(self._node_loads(Counter(run.vm for run in running)))
        now = self._clock.now()
        placements = list(
            place_items(
                waiting,
                targets,
                nodes,
                now,
                self._capacity_policy,
                self._targets.rises(),
            )
        )
        for placement in placements:
            self._targets.record_start(placement.entry)
            self._owners[placement.item.partition].start(placement)
        self._backlog_log.started(len(placements))

    def _node_loads(self, running: Counter[str]) -> Iterator[NodeLoad]:
        peers = self._links.peers.values()
        staying = (peer.node for peer in peers if not peer.report.leaving)
        for node in (self._links.own, *staying):
            yield NodeLoad(node.vm, node.data_centre, running[node.vm])

    async def _maintain(self) -> None:
        """Refresh and clean up the owned partitions until cancelled.

        A slow read of one partition doesn't let the others become stale.
        """
        in_progress: set[int] = set()

        async def maintain(number: int) -> None:
            in_progress.add(number)
            try:
                await self._maintain_partition(self._owners[number])
            finally:
                in_progress.discard(number)

        async with anyio.create_task_group() as tasks:
            while True:
                await self._wait_for_upkeep()
                for number in self._ownership.owned - in_progress:
                    tasks.start_soon(maintain, number)

    async def _wait_for_upkeep(self) -> None:
        """Wait until the owned partitions are due, or until one is taken over."""
        owns_any = bool(self._ownership.owned)
        timeout_s = UPKEEP_INTERVAL.total_seconds() if owns_any else None
        with anyio.move_on_after(timeout_s):
            await self._partition_taken.wait()
        # The scheduler waits for the same event: it is replaced only once set.
        if self._partition_taken.is_set():
            self._partition_taken = anyio.Event()

    async def _maintain_partition(self, owner: BatchOwner) -> None:
        owner.release_silent_items()
        try:
            await owner.load()
            owner.fail_abandoned_items()
            await owner.delete_expired_jobs()
        except ChivespanError as error:
            self._store_failed()
            _log.warning(
                "partition_not_current",
                partition=owner.partition,
                reason=error.message,
                age_ms=owner.ledger_age // MILLISECOND,
            )


def _waiting(owners: Iterable[BatchOwner]) -> list[WaitingItem]:
    """Return the items of the given partitions that are ready to start."""
    return [item for owner in owners for item in owner.waiting()]
