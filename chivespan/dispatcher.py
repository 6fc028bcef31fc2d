"""The control process of a node: replicates state and grants slots of its slices."""

from datetime import timedelta

import anyio
from anyio.abc import TaskGroup

from chivespan.clock import MILLISECOND, Clock
from chivespan.codec import encode_message
from chivespan.configcopy import ConfigCopy
from chivespan.configfeed import ConfigFeed
from chivespan.configsnapshots import ConfigSnapshots
from chivespan.errors import ChivespanError
from chivespan.linkmessages import Heartbeat, Hello, Program
from chivespan.logs import logger
from chivespan.membership import Membership
from chivespan.mesh import Mesh
from chivespan.messages import (
    ConfigRecords,
    ConfigRequest,
    ConfigSnapshot,
    DrainRequest,
    GrantAbandon,
    GrantRelease,
    GrantRequest,
    GrantRevoke,
    HeldGrants,
    HeldGrantsRequest,
    MembershipUpdate,
    StatusReply,
    StatusRequest,
    UsageReply,
    UsageReport,
    UsageRequest,
)
from chivespan.metrics import Metrics
from chivespan.orderaudit import OrderAudit
from chivespan.peerlink import (
    IDLE_HEARTBEAT,
    LinkEnd,
    LinkOptions,
    PeerLink,
    listen,
    new_hello,
)
from chivespan.platformservices import LogService, VmList
from chivespan.policies import Policies
from chivespan.settings import NodeSettings
from chivespan.sliceowner import SliceOwner
from chivespan.subscribers import Subscribers
from chivespan.targetreconciler import ReconcilerContext, TargetControl
from chivespan.usagereplication import UsageReplicator
from chivespan.vmlistpoller import VmListPoller
from chivespan.weightloadlimiter import WeightLoadLimiter

LOAD_PUSH_INTERVAL = timedelta(milliseconds=500)
REMOTE_PUSH_INTERVAL = timedelta(seconds=5)
HEARTBEAT_INTERVAL_PER_LINK = timedelta(milliseconds=30)
# Further changes within this time are sent or applied together with the first.
COALESCE_DELAY = timedelta(milliseconds=20)
DRAIN_DELAY = timedelta(seconds=3)
DRAIN_TIMEOUT = timedelta(seconds=60)

_log = logger("dispatch")


class Dispatcher:
    """Dispatcher of one node.

    :param control: client that queries the state of model engines and sends them
        orders; without it no orders are sent.
    """

    def __init__(
        self,
        settings: NodeSettings,
        log: LogService,
        vm_list: VmList,
        clock: Clock,
        metrics: Metrics,
        policies: Policies | None = None,
        control: TargetControl | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._config_copy = ConfigCopy()
        self._membership = Membership(settings, clock)
        self._end = LinkEnd(
            new_hello(settings, Program.dispatch),
            LinkOptions.from_settings(settings),
            clock,
            metrics,
            self._heartbeat_frame_for,
            self._heartbeat_interval,
        )
        self._mesh = Mesh(settings, self._end, self._membership, self._read_link)
        self._snapshots = ConfigSnapshots(
            settings,
            log,
            self._config_copy,
            self._membership,
            clock,
            metrics,
            self._end.hello.incarnation,
        )
        self._feed = ConfigFeed(
            settings,
            log,
            self._config_copy,
            self._membership,
            clock,
            metrics,
            self._push_configuration,
            self._snapshots.newest,
        )
        self._slices = SliceOwner(
            settings,
            self._membership,
            clock,
            metrics,
            self._revoke,
            self._request_held_grants,
            policies or Policies(),
            self._reconciler_context(log, control) if control else None,
        )
        self._list_poll = VmListPoller(vm_list, self._membership, metrics)
        self._usage = UsageReplicator(
            self._end.hello, self._mesh, self._membership, self._slices.usage
        )
        self._holders: dict[str, list[PeerLink]] = {}
        self._subscribers = Subscribers(settings.vm)
        self._heartbeat_frame = IDLE_HEARTBEAT
        self._configuration_changed = anyio.Event()
        self._drained = anyio.Event()

    @property
    def membership(self) -> Membership:
        """This node's view of the VMs."""
        return self._membership

    @property
    def feed(self) -> ConfigFeed:
        """Replication of the configuration from the log and from peers."""
        return self._feed

    @property
    def snapshots(self) -> ConfigSnapshots:
        """Snapshots of the configuration in the log."""
        return self._snapshots

    @property
    def copy(self) -> ConfigCopy:
        """This node's copy of the configuration."""
        return self._config_copy

    async def run(self) -> None:
        """Run until drained."""
        settings = self._settings
        async with (
            listen(settings.vm, settings.dispatch_port, self._end, self._accept),
            anyio.create_task_group() as tasks,
        ):
            _log.notice("started", port=settings.dispatch_port)
            tasks.start_soon(self._mesh.run)
            tasks.start_soon(self._feed.run)
            tasks.start_soon(self._snapshots.run)
            tasks.start_soon(self._list_poll.run)
            tasks.start_soon(self._watch_configuration, tasks)
            tasks.start_soon(self._watch_membership, tasks)
            tasks.start_soon(self._refresh_heartbeat)
            tasks.start_soon(self._usage.run)
            await self._drained.wait()
            tasks.cancel_scope.cancel()
        _log.notice("ended")

    def announce_leaving(self) -> None:
        """Announce to all peers that this node leaves, which hands over its slices."""
        if self._membership.leaving:
            return
        _log.notice("leaving")
        self._membership.announce_leaving()
        self._update_heartbeat()
        for link in self._mesh.links:
            link.send_frame(self._heartbeat_frame)

    async def drain(self) -> None:
        """Hand over all slices, wait for this VM's programs to end, then stop.

        Waits at most ``DRAIN_TIMEOUT`` for the programs.
        """
        self.announce_leaving()
        await anyio.sleep(DRAIN_DELAY.total_seconds())
        with anyio.move_on_after(DRAIN_TIMEOUT.total_seconds()):
            await self._subscribers.wait_local_ended()
        self._drained.set()

    def status(self, request_id: str) -> StatusReply:
        """Return the owned targets, the configuration offset and the VM views."""
        return StatusReply(
            request_id=request_id,
            vm=self._settings.vm,
            config_offset=self._config_copy.offset,
            config_age_ms=self._feed.age // MILLISECOND,
            leaving=self._membership.leaving,
            targets=self._slices.statuses(),
            vms=list(self._membership.views.values()),
        )

    def _reconciler_context(
        self, log: LogService, control: TargetControl
    ) -> ReconcilerContext:
        incarnation = self._end.hello.incarnation
        limiter = WeightLoadLimiter(
            self._settings.weight_loads_per_min,
            lambda: len(self._membership.live_vms()),
            self._clock,
        )
        audit = OrderAudit(log, self._clock, self._metrics, incarnation)
        return ReconcilerContext(self._settings.vm, control, limiter, audit)

    async def _accept(self, link: PeerLink) -> None:
        if link.remote.program is not Program.dispatch:
            await self._read_link(link)
        elif link.remote.data_centre == self._settings.data_centre:
            await self._mesh.run_link(link, self._read_link)
        else:
            await self._mesh.run_link(link, self._run_remote_link)

    async def _run_remote_link(self, link: PeerLink) -> None:
        """Push this data centre's membership to a peer that dialled from another."""
        centre = self._settings.data_centre
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._push_membership, link, centre, REMOTE_PUSH_INTERVAL)
            await self._read_link(link)
            tasks.cancel_scope.cancel()

    async def _read_link(self, link: PeerLink) -> None:
        """Handle a link's messages until it is closed."""
        self._holders.setdefault(link.holder, []).append(link)
        if link.remote.program is Program.dispatch:
            self._usage.send_snapshot(link)
        try:
            async with anyio.create_task_group() as tasks:
                async for message in link:
                    self._handle_or_reject(link, message, tasks)
                tasks.cancel_scope.cancel()
        finally:
            self._subscribers.discard(link)
            self._remove_holder_link(link)

    def _remove_holder_link(self, link: PeerLink) -> None:
        links = self._holders.get(link.holder, [])
        if link not in links:
            return
        links.remove(link)
        if not links:
            del self._holders[link.holder]
            self._slices.holder_lost(link.holder)

    def _handle_or_reject(
        self, link: PeerLink, message: object, tasks: TaskGroup
    ) -> None:
        try:
            self._handle_message(link, message, tasks)
        except ChivespanError as error:
            _log.warning("invalid message", peer=link.remote.vm, reason=error.message)
            link.reject()

    def _handle_message(
        self, link: PeerLink, message: object, tasks: TaskGroup
    ) -> None:
        match message:
            case Heartbeat():
                self._handle_heartbeat(link, message)
            case GrantRequest():
                tasks.start_soon(self._answer_grant_request, link, message)
            case GrantRelease():
                self._slices.release(message)
            case GrantAbandon():
                self._slices.abandon(message.request_id)
            case HeldGrants():
                self._slices.report(link.holder, message)
            case ConfigRequest():
                self._handle_config_request(link, message, tasks)
            case ConfigRecords():
                self._feed.apply_records(link, message)
            case ConfigSnapshot():
                self._feed.apply_snapshot(message)
            case MembershipUpdate():
                self._membership.update_from_report(link.remote.data_centre, message)
            case UsageReport():
                self._usage.merge(message)
            case _:
                self._handle_query(link, message)

    def _handle_query(self, link: PeerLink, message: object) -> None:
        match message:
            case StatusRequest():
                link.send(self.status(message.request_id))
            case UsageRequest():
                totals = self._usage.totals()
                link.send(UsageReply(request_id=message.request_id, counts=totals))
            case DrainRequest():
                self.announce_leaving()
                link.send(self.status(message.request_id))
            case _:
                self._metrics.incr("peer.unexpected_messages")

    def _handle_heartbeat(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        if link.remote.program is Program.dispatch:
            self._membership.record_heartbeat(link.remote.vm, heartbeat)
            self._feed.record_peer_offset(link, heartbeat.config_offset)
        else:
            self._subscribers.record_heartbeat(link, heartbeat)

    async def _answer_grant_request(
        self, link: PeerLink, request: GrantRequest
    ) -> None:
        answer = await self._slices.answer(request, link.holder)
        link.send(answer)

    def _revoke(self, holder: str, grant_id: str) -> None:
        for link in self._holders.get(holder, ()):
            link.send(GrantRevoke(grant_id=grant_id))

    def _request_held_grants(self, slice_id: str) -> None:
        frame = encode_message(HeldGrantsRequest(slice_id=slice_id))
        for links in self._holders.values():
            if links[-1].remote.program in (Program.entry, Program.batch):
                links[-1].send_frame(frame)

    def _handle_config_request(
        self, link: PeerLink, request: ConfigRequest, tasks: TaskGroup
    ) -> None:
        """Reply to a request for configuration, and subscribe programs that send one.

        Peer dispatchers are not subscribed, as readers push to them.
        """
        self._feed.handle_request(link, request)
        if link.remote.program is Program.dispatch or link in self._subscribers:
            return
        self._subscribers.add(link)
        self._remove_holder_link(link)
        tasks.start_soon(self._push_membership, link, None, LOAD_PUSH_INTERVAL)
        if not self._feed.is_initialized:
            tasks.start_soon(self._reply_when_initialized, link, request)

    async def _reply_when_initialized(
        self, link: PeerLink, request: ConfigRequest
    ) -> None:
        await self._feed.wait_initialized()
        self._feed.handle_request(link, request)

    async def _push_membership(
        self, link: PeerLink, data_centre: str | None, interval: timedelta
    ) -> None:
        """Push changes of the membership: states immediately, loads at an interval."""
        sequence = 0
        while link.is_open:
            update = self._membership.changes_since(sequence, data_centre)
            sequence = self._membership.sequence
            if update is not None:
                link.send(update)
            with anyio.move_on_after(interval.total_seconds()):
                await self._membership.wait_state_changed()
            await anyio.sleep(COALESCE_DELAY.total_seconds())

    def _push_configuration(
        self, message: ConfigRecords | ConfigSnapshot, peers_too: bool
    ) -> None:
        """Send a configuration change to subscribers, and optionally to peers."""
        frame = encode_message(message)
        for link in self._subscribers:
            link.send_frame(frame)
        if peers_too:
            for link in self._mesh.local_links():
                link.send_frame(frame)
        self._metrics.gauge("config.offset", self._config_copy.offset)
        self._configuration_changed.set()

    async def _watch_configuration(self, tasks: TaskGroup) -> None:
        """Refresh slices and rules whenever the configuration changes."""
        await self._feed.wait_initialized()
        while True:
            self._configuration_changed = anyio.Event()
            self._slices.refresh(self._config_copy.configuration, tasks)
            await self._configuration_changed.wait()
            await anyio.sleep(COALESCE_DELAY.total_seconds())

    async def _watch_membership(self, tasks: TaskGroup) -> None:
        """Refresh the ownership of slices whenever the state of a VM changes."""
        await self._feed.wait_initialized()
        while True:
            await self._membership.wait_state_changed()
            self._slices.refresh(self._config_copy.configuration, tasks)

    async def _refresh_heartbeat(self) -> None:
        while True:
            self._update_heartbeat()
            await anyio.sleep(self._end.options.heartbeat_interval.total_seconds())

    def _update_heartbeat(self) -> None:
        heartbeat = Heartbeat(
            config_offset=self._config_copy.offset,
            leaving=self._membership.leaving,
            slices=self._slices.loads(),
            runs_batch=self._subscribers.runs_batch,
            entry_ports=self._subscribers.entry_ports,
        )
        self._membership.set_own_heartbeat(heartbeat)
        self._heartbeat_frame = encode_message(heartbeat)

    def _heartbeat_interval(self, remote: Hello) -> timedelta:
        """Return an interval that grows with the number of links, to bound the load."""
        options = self._end.options
        if remote.program is not Program.dispatch:
            return options.max_heartbeat_interval
        return max(
            options.heartbeat_interval,
            self._mesh.linked_peer_count * HEARTBEAT_INTERVAL_PER_LINK,
        )

    def _heartbeat_frame_for(self, remote: Hello) -> bytes:
        if remote.program is Program.dispatch:
            return self._heartbeat_frame
        return IDLE_HEARTBEAT
