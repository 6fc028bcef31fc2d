"""Wiring and lifecycle of one node, from startup to graceful shutdown."""

import secrets
import signal
from datetime import timedelta
from pathlib import Path
from random import Random

import anyio
from anyio.abc import TaskGroup

from chivespan.absentmodules import cache_absent_modules
from chivespan.addresses import Address, parse_address
from chivespan.batchcapacity import BATCH_CAPACITY_POLICIES
from chivespan.batchexecutor import BatchExecutor
from chivespan.batchfront import BatchFrontend
from chivespan.batchnode import BatchNode
from chivespan.batchownerclient import BatchOwnerClient
from chivespan.batchownership import PartitionOwnership
from chivespan.callerapp import CallerApp, Listener
from chivespan.calleroutput import UNSENT_IN_KERNEL_BYTES, OutputGuard
from chivespan.callerserver import CallerServer
from chivespan.clock import Clock
from chivespan.codec import PROTOCOL_VERSION
from chivespan.configconfirmation import ConfirmationQueries
from chivespan.errors import ChivespanError
from chivespan.evidencestore import EvidenceStore
from chivespan.evidencewriter import EvidenceWriter
from chivespan.fleetlinks import FleetLinks
from chivespan.fleetwatch import FleetSources, FleetWatch
from chivespan.forwarding import Forwarder
from chivespan.heartbeattiming import (
    SMALL_FLEET_INTERVAL,
    SMALL_FLEET_SILENCE,
    HeartbeatTiming,
)
from chivespan.heldbodies import TARGET_STALL_TIME, HeldBodies, max_held_bytes
from chivespan.itemoutput import max_output_bytes
from chivespan.jsonlog import LineWriter
from chivespan.keyedstore import Partition
from chivespan.linkmessages import Hello, Program
from chivespan.loadreports import LoadReports
from chivespan.loadtable import LoadTable
from chivespan.logs import logger
from chivespan.measuredstore import MeasuredStore
from chivespan.nodecustomers import NodeCustomers
from chivespan.nodelist import NodeList
from chivespan.nodemessages import ItemStatus
from chivespan.nodemetrics import NodeMetrics
from chivespan.nodepolicies import DEFAULT_POLICIES, NodePolicies
from chivespan.nodesettings import FleetNodeSettings
from chivespan.nodestatus import NodeStatus
from chivespan.peerlink import LinkEnd, LinkOptions
from chivespan.platform import documents
from chivespan.platform.settingsfile import read_settings
from chivespan.platform.store import PlatformStore
from chivespan.quarantine import Quarantine
from chivespan.remotenodes import NodeAnnouncer, RemoteNodes
from chivespan.requestguard import RequestGuard
from chivespan.routes import CallerLimits
from chivespan.routingstate import RoutingState
from chivespan.targetchoices import TARGET_CHOICES
from chivespan.targetpick import TargetPicker
from chivespan.targetset import TargetSet
from chivespan.targetsilence import SilenceDetector
from chivespan.unreadoutput import UnreadOutput, max_unread_bytes

# Control addresses are reachable from VMs of the fleet only.
PEER_KEY = "chivespan-node"
LINK_OPTIONS = LinkOptions(
    peer_key=PEER_KEY,
    heartbeat_interval=SMALL_FLEET_INTERVAL,
    silence_timeout=SMALL_FLEET_SILENCE,
)
UPKEEP_INTERVAL_S = 0.25
# The owner of this batch partition also writes the evidence on suspects.
EVIDENCE_PARTITION = 0
OWNERSHIP_INTERVAL_S = 0.1
# Nodes that are no gateways don't take partitions over.
IDLE_OWNERSHIP_INTERVAL_S = 1

_log = logger("node")


class Node:
    """One node, with all its components.

    :param path: the settings file, which is reloaded when it changes.
    """

    def __init__(
        self,
        settings: FleetNodeSettings,
        path: Path,
        clock: Clock,
        writer: LineWriter,
        policies: NodePolicies = DEFAULT_POLICIES,
    ) -> None:
        cache_absent_modules()
        self._settings = settings
        self._path = path
        self._clock = clock
        self._writer = writer
        self.metrics = NodeMetrics()
        self.load_table = LoadTable(clock)
        self.targets = TargetSet(clock)
        self.routing = RoutingState(documents.decode_config)
        timing = HeartbeatTiming(settings.data_centre, clock)
        end = LinkEnd(
            _hello(settings),
            LINK_OPTIONS,
            clock,
            self.metrics,
            interval_for=timing.heartbeat_interval,
            silence_timeout_for=timing.silence_timeout,
        )
        self.silence = SilenceDetector(clock)
        self.quarantine = Quarantine(clock)
        self.customers = NodeCustomers(settings, self.routing, clock)
        self.links = FleetLinks(settings, end, timing)
        platform = PlatformStore(settings.store.address)
        self.store = MeasuredStore(platform, clock, self.metrics)
        self.remote_nodes = RemoteNodes(self.links)
        self.node_list = NodeList(self.store, self.links, self.remote_nodes, clock)
        self.watch = FleetWatch(
            self.store,
            _document_sources(),
            self.links,
            self.node_list,
            self.routing,
            self.targets,
            clock,
            timedelta(milliseconds=settings.drain_ms),
            lambda: self.reports.is_relay,
            self.customers.config_read_wait,
        )
        self.confirmations = ConfirmationQueries(
            self.links,
            self.routing,
            self.watch.confirmation,
            self.customers.revocation.longest_age,
        )
        self.placement = PartitionOwnership(self.links, clock)
        self.evidence = EvidenceWriter(
            EvidenceStore(
                self.store,
                clock,
                settings.store.max_record_bytes,
                settings.store.max_call_bytes,
            ),
            self.quarantine,
            clock,
            lambda: EVIDENCE_PARTITION in self.placement.owned,
        )
        self.node_status = NodeStatus(
            settings,
            self.links,
            self.remote_nodes,
            self.watch,
            self.routing,
            self.placement,
            clock,
        )
        self.reports = LoadReports(
            self.links,
            self.load_table,
            self.node_status.report,
            self.silence,
            self.targets,
            self.quarantine,
            self.customers.reports,
            self.customers.report_watch(self.links, lambda: self.remote_nodes.nodes),
        )
        self.node_announcer = NodeAnnouncer(self.links, self.reports, self.remote_nodes)
        self.picker = TargetPicker(
            self.targets,
            self.load_table,
            settings.data_centre,
            clock,
            self.silence,
            TARGET_CHOICES[policies.target_choice],
            lambda: self.reports.staleness,
            lambda: len(self.links.nodes),
        )
        self.executor = BatchExecutor(
            self.targets,
            self.picker,
            self.load_table,
            self.silence,
            clock,
            self.metrics,
            self._notify_owner,
            self.quarantine,
            max_output_bytes(settings.memory_mb),
            self.customers.are_known,
        )
        self.batch = BatchNode(
            settings,
            self.store,
            self.links,
            self.placement,
            self.routing,
            self.picker,
            self.executor,
            clock,
            self.metrics,
            BATCH_CAPACITY_POLICIES[policies.batch_room],
            self.quarantine,
            self.watch.check_store,
        )
        questions = BatchOwnerClient(
            self.links, self.watch, self.placement, clock, self.batch.handle_request
        )
        forwarder = Forwarder(
            self.picker,
            self.load_table,
            self.silence,
            clock,
            self.metrics,
            RequestGuard(self.quarantine),
            TARGET_STALL_TIME if settings.bounds_unread_output else None,
        )
        self.output_guard = self._output_guard()
        self.bodies = _held_bodies(settings)
        listeners = _listeners(settings)
        app = CallerApp(
            {address.port: use for address, use in listeners.items()},
            self.node_status,
            self.routing,
            forwarder,
            BatchFrontend(questions, clock, self.metrics, self.output_guard),
            self.metrics,
            clock,
            self.customers.identity(lambda: self.watch.confirmation.age),
            self.customers.limiter,
            guard=self.output_guard,
            bodies=self.bodies,
        )
        self.server = CallerServer(
            app,
            list(listeners),
            self._limits,
            None if self.output_guard is None else UNSENT_IN_KERNEL_BYTES,
        )

    async def run(self) -> None:
        """Serve until a termination signal has led to a graceful shutdown."""
        _log.notice("started", vm=self._settings.vm, settings=str(self._path))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.links.run)
            tasks.start_soon(self.watch.run)
            tasks.start_soon(self.evidence.run)
            if self._settings.strict_revocation:
                tasks.start_soon(self.confirmations.run)
            tasks.start_soon(self.reports.run)
            tasks.start_soon(self.node_announcer.run)
            tasks.start_soon(self.executor.run)
            tasks.start_soon(self.batch.run)
            tasks.start_soon(self._watch_ownership)
            tasks.start_soon(self._run_upkeep)
            tasks.start_soon(self._handle_signals, tasks)
            if self.output_guard is not None:
                tasks.start_soon(self.output_guard.run)
            self.links.add_seeds(self._settings.seeds)
            await self.server.run()
            tasks.cancel_scope.cancel()
        _log.notice("stopped")
        self._writer.flush()

    def _output_guard(self) -> OutputGuard | None:
        """Return what bounds unread output; None if the settings don't ask for it."""
        if not self._settings.bounds_unread_output:
            return None
        max_bytes = max_unread_bytes(self._settings.memory_mb)
        return OutputGuard(UnreadOutput(max_bytes, self._clock), self.metrics)

    def _limits(self) -> CallerLimits:
        table = self.routing.table
        return CallerLimits() if table is None else table.limits

    def _notify_owner(self, status: ItemStatus) -> None:
        self.batch.send_status_to_owner(status)

    async def _watch_ownership(self) -> None:
        """Update the ownership of batch partitions periodically; never returns."""
        while True:
            may_own = self.links.is_gateway or bool(self.placement.owned)
            await anyio.sleep(
                OWNERSHIP_INTERVAL_S if may_own else IDLE_OWNERSHIP_INTERVAL_S
            )
            if self._update_ownership():
                self.reports.send_now()

    def _update_ownership(self) -> bool:
        """Update which batch partitions this node owns; return whether that changed."""
        leaving = self.node_status.is_leaving
        change = self.placement.update(self.watch.store_reached, leaving)
        if change:
            self.batch.ownership_changed(change)
        return bool(change)

    async def _handle_signals(self, tasks: TaskGroup) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as received:
            # The settings may have changed since they were read; SIGHUP was ignored.
            self._reload()
            async for number in received:
                if number == signal.SIGHUP:
                    self._reload()
                elif not self.node_status.is_leaving:
                    _log.notice("leaving", signal=number.name)
                    self.node_status.leave()
                    self._update_ownership()
                    self.reports.send_now()
                    self.batch.leave()
                    tasks.start_soon(self._shut_down)

    async def _shut_down(self) -> None:
        """Stop once callers use other nodes, or when the grace period expires."""
        await self.node_list.unlist()
        while not self.node_status.must_end:
            if self._is_unused():
                # An unfinished request may still keep it from ending.
                self.server.stop()
            time_left_s = self.node_status.time_to_end.total_seconds()
            await anyio.sleep(min(UPKEEP_INTERVAL_S, max(0, time_left_s)))
        _log.warning("time_is_up", in_progress=self.server.in_progress)
        self.server.stop_now()

    def _is_unused(self) -> bool:
        """Return whether no caller uses this node any more."""
        expired = self.node_status.cached_addresses_expired
        return expired and not self.server.in_progress

    async def _run_upkeep(self) -> None:
        """Flush the log, update gauges and reload changed settings, periodically."""
        modified = self._settings_mtime_ns()
        while True:
            await anyio.sleep(UPKEEP_INTERVAL_S)
            self._writer.flush()
            self.quarantine.update()
            self.evidence.update()
            self._update_gauges()
            if (now := self._settings_mtime_ns()) != modified:
                modified = now
                self._reload()

    def _update_gauges(self) -> None:
        self.metrics.gauge("requests_in_progress", self.server.in_progress)
        self.metrics.gauge("live_peers", len(self.links.peers))
        self.metrics.gauge("routing_version", self.routing.version)
        self.metrics.gauge("config_age_s", self.watch.confirmation.age.total_seconds())
        self.metrics.gauge("quarantined_suspects", len(self.quarantine.quarantined))
        self.metrics.gauge("stale_partitions", self.batch.stale_partitions)
        self.metrics.gauge("limited_targets", len(self.targets.limits.in_force))
        self.metrics.gauge("unusual_targets", self.targets.speeds.unusual_targets)
        self.customers.update_gauges(self.metrics)
        if self.output_guard is not None:
            self.metrics.gauge("unread_output_bytes", self.output_guard.unread_bytes)
        if self.bodies is not None:
            self.metrics.gauge("held_body_bytes", self.bodies.total)

    def _settings_mtime_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError as error:
            _log.warning("settings_unreadable", reason=repr(error))
            return 0

    def _reload(self) -> None:
        """Reload the seeds; other settings take effect only at the next start."""
        try:
            fresh = read_settings(self._path)
        except ChivespanError as error:
            _log.error("reload_failed", reason=error.message)
            return
        self.links.add_seeds(fresh.seeds)
        _log.notice("reloaded", seeds=len(fresh.seeds))


def _held_bodies(settings: FleetNodeSettings) -> HeldBodies | None:
    """Return what bounds request bodies; None if the settings don't ask for it."""
    if not settings.bounds_unread_output:
        return None
    return HeldBodies(max_held_bytes(settings.memory_mb), Random())


def _hello(settings: FleetNodeSettings) -> Hello:
    """Return a Hello with a new incarnation."""
    return Hello(
        vm=settings.vm,
        program=Program.node,
        data_centre=settings.data_centre,
        region=settings.region,
        incarnation=secrets.token_hex(6),
        serving_port=parse_address(settings.front_address).port,
        protocol=PROTOCOL_VERSION,
    )


def _document_sources() -> FleetSources:
    return FleetSources(
        routing=Partition(documents.OPERATOR_TOPIC),
        routing_key=documents.CONFIG_KEY,
        targets=Partition(documents.TARGETS_TOPIC),
        decode_target=documents.decode_target,
    )


def _listeners(settings: FleetNodeSettings) -> dict[Address, Listener]:
    return {
        parse_address(settings.front_address): Listener.FRONT,
        parse_address(settings.ready_address): Listener.READY,
        parse_address(settings.directory_address): Listener.DIRECTORY,
        Address(settings.vm, settings.metrics_port): Listener.METRICS,
    }
