"""Links between the nodes of the fleet, and detection of live nodes.

A node is considered live while a link to it is open. Both ends close a link on which no
frame arrives within the silence timeout. Either end may dial; of duplicate links, the
one dialled by the node with the lower IP number is kept. A node closes links it has
dialled once neither end needs them.
"""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta
from random import Random

import anyio
from anyio.abc import TaskGroup

from chivespan.addresses import parse_address
from chivespan.codec import encode_message
from chivespan.heartbeattiming import SMALL_FLEET, HeartbeatTiming
from chivespan.linkplan import (
    MAX_DIRECT_PEERS,
    designated_gateways,
    gateways,
    group_by_centre,
    nodes_to_dial,
)
from chivespan.logs import logger
from chivespan.nodemessages import LoadReport, NodeValue
from chivespan.nodesettings import FleetNodeSettings
from chivespan.peerlink import Backoff, LinkEnd, PeerLink, dial_once, listen

# Delay before the node with the higher IP number dials, to avoid duplicate links.
SECOND_DIALLER_DELAY_S = 0.2
# Links to other nodes replace those to a node unreachable for this long.
UNREACHABLE_AFTER = timedelta(seconds=1)
# During this time after startup the size of the fleet isn't known yet.
STARTUP_TIME = timedelta(seconds=4)
LINK_PRUNE_INTERVAL = timedelta(seconds=3)
NO_REPORT = LoadReport(
    config_version=-1,
    leaving=False,
    store_reached=False,
    owned=[],
    link_mbps=0.0,
    sequence=0,
    silent=[],
    loads=[],
)

_log = logger("links")


@dataclass(slots=True)
class Peer:
    """A live node.

    :param report: the latest report received from the node.
    """

    node: NodeValue
    incarnation: str
    links: list[PeerLink] = field(default_factory=list)
    report: LoadReport = NO_REPORT

    def send(self, message: object) -> bool:
        """Send a message; return whether an open link accepted it."""
        return self.send_frame(encode_message(message))

    def send_frame(self, frame: bytes) -> bool:
        """Send an encoded message; return whether an open link accepted it."""
        return any(link.send_frame(frame) for link in self.links if link.is_open)


class FleetListener:
    """Receiver of peer events and messages; the methods do nothing by default."""

    def peer_joined(self, peer: Peer) -> None:
        """Handle a node that has become live."""

    def links_changed(self, peer: Peer) -> None:
        """Resend state to a live node, since a closed link may have lost frames."""

    def peer_left(self, peer: Peer) -> None:
        """Handle a node that is no longer live."""

    async def handle_message(self, peer: Peer, message: object) -> None:
        """Handle a message from a peer."""


class FleetLinks:
    """All links of this node.

    :param end: the local end of the links.
    :param timing: updated with the size of the fleet.
    """

    def __init__(
        self, settings: FleetNodeSettings, end: LinkEnd, timing: HeartbeatTiming
    ) -> None:
        self._settings = settings
        self._end = end
        self._timing = timing
        self._nodes: dict[str, NodeValue] = {}
        self._peers: dict[str, Peer] = {}
        self._to_dial: frozenset[str] = frozenset()
        self._dialling: set[str] = set()
        self._unreachable_since: dict[str, timedelta] = {}
        self._owners: frozenset[str] = frozenset()
        self._changed = anyio.Event()
        self._listeners: list[FleetListener] = []
        self.own = NodeValue(
            vm=settings.vm,
            data_centre=settings.data_centre,
            front_address=settings.front_address,
            control_address=settings.control_address,
            link_mbps=settings.link_mbps,
        )
        self._gateways = frozenset([self.own.vm])
        self._uses_relay = False
        self._is_starting = True
        self._dialled: dict[str, PeerLink] = {}

    @property
    def peers(self) -> dict[str, Peer]:
        """All live nodes except this one, by IP number."""
        return self._peers

    @property
    def nodes(self) -> list[NodeValue]:
        """All known nodes including this one, live or not."""
        return [self.own, *self._nodes.values()]

    @property
    def is_large(self) -> bool:
        """Whether more nodes are known than a small fleet may have."""
        return len(self._nodes) >= SMALL_FLEET

    @property
    def uses_gateways(self) -> bool:
        """Whether nodes are linked to gateways only, not to all other nodes."""
        return self._is_starting or self.is_large

    @property
    def uses_relay(self) -> bool:
        """Whether this data centre has too many nodes for direct reports."""
        return self._uses_relay

    @property
    def gateways(self) -> frozenset[str]:
        """The live gateways that are linked to this node, and this node if it is one.

        In a small fleet, all live nodes.
        """
        return self._gateways

    @property
    def is_gateway(self) -> bool:
        """Whether this node is a gateway of its data centre."""
        return self.own.vm in self._gateways

    def set_partition_owners(self, owners: frozenset[str]) -> None:
        """Set the nodes of other data centres that own partitions, to be linked."""
        if owners != self._owners:
            self._owners = owners
            self._update_links()

    def add_listener(self, listener: FleetListener) -> None:
        """Add a listener for peer events and messages."""
        self._listeners.append(listener)

    def is_local(self, peer: Peer) -> bool:
        """Return whether a peer is in the data centre of this node."""
        return peer.node.data_centre == self._settings.data_centre

    def peers_in(self, data_centre: str) -> Iterator[Peer]:
        """Yield the live nodes of a data centre except this one."""
        for peer in self._peers.values():
            if peer.node.data_centre == data_centre:
                yield peer

    def add_nodes(self, nodes: Iterable[NodeValue]) -> None:
        """Add or update nodes, and dial new ones as required."""
        others = {node.vm: node for node in nodes if node.vm != self._settings.vm}
        if others.items() <= self._nodes.items():
            return
        self._nodes.update(others)
        self._update_links()

    def remove_unlisted(self, nodes: Iterable[NodeValue]) -> None:
        """Remove nodes that are no longer listed and have no link."""
        listed = {node.vm for node in nodes}
        removed = self._nodes.keys() - listed - self._peers.keys()
        for vm in removed:
            del self._nodes[vm]
            self._unreachable_since.pop(vm, None)
        if removed:
            self._update_links()

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add control addresses whose nodes are not yet known."""
        for address in addresses:
            vm = parse_address(address).host
            if vm != self._settings.vm and vm not in self._nodes:
                self._nodes[vm] = NodeValue(
                    vm=vm, data_centre="", front_address="", control_address=address
                )
                self._update_links()

    async def run(self) -> None:
        """Accept and dial links; never returns."""
        own = parse_address(self._settings.control_address)
        async with (
            listen(own.host, own.port, self._end, self._run_accepted_link),
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._end_startup)
            tasks.start_soon(self._close_unneeded_links)
            while True:
                self._start_dialling(tasks)
                await self._changed.wait()

    async def _end_startup(self) -> None:
        await anyio.sleep(STARTUP_TIME.total_seconds())
        self._is_starting = False
        self._update_links()

    async def _close_unneeded_links(self) -> None:
        """Close links that neither end needs, periodically; never returns."""
        while True:
            await anyio.sleep(LINK_PRUNE_INTERVAL.total_seconds())
            if self.is_gateway:
                continue
            for vm in self._dialled.keys() - self._to_dial:
                # A new owner may be known by its own report only.
                if not self._peers[vm].report.owned:
                    self._dialled[vm].abort()

    def _start_dialling(self, tasks: TaskGroup) -> None:
        for vm in self._to_dial - self._dialling:
            self._dialling.add(vm)
            tasks.start_soon(self._maintain_link, vm)

    async def _maintain_link(self, vm: str) -> None:
        """Maintain a link to a node for as long as one is needed."""
        delays = Backoff(Random())
        if self._settings.vm > vm:
            await anyio.sleep(SECOND_DIALLER_DELAY_S)
        while vm in self._to_dial:
            if vm in self._peers:
                await self._changed.wait()
                continue
            address = self._nodes[vm].control_address
            if await dial_once(address, self._end, self._run_dialled_link):
                delays.reset()
            else:
                self._record_dial_failure(vm)
            await anyio.sleep(delays.next().total_seconds())
        self._dialling.discard(vm)

    def _record_dial_failure(self, vm: str) -> None:
        """Record a failed dial; links to other nodes may be needed instead.

        Ignored when the node is live: this node's dial may fail although the other
        node's dial succeeded.
        """
        if vm in self._peers:
            return
        now = self._end.clock.monotonic()
        since = self._unreachable_since.setdefault(vm, now)
        if now - since >= UNREACHABLE_AFTER:
            self._update_links()

    def _unreachable_vms(self) -> set[str]:
        limit = self._end.clock.monotonic() - UNREACHABLE_AFTER
        return {vm for vm, since in self._unreachable_since.items() if since <= limit}

    async def _run_accepted_link(self, link: PeerLink) -> None:
        await self._run_link(link)

    async def _run_dialled_link(self, link: PeerLink) -> None:
        vm = link.remote.vm
        if vm in self._peers and self._settings.vm > vm:
            return
        self._dialled[vm] = link
        try:
            await self._run_link(link)
        finally:
            del self._dialled[vm]

    async def _run_link(self, link: PeerLink) -> None:
        with self._registered_link(link) as peer:
            async for message in link:
                for listener in self._listeners:
                    await listener.handle_message(peer, message)

    @contextmanager
    def _registered_link(self, link: PeerLink) -> Iterator[Peer]:
        peer = self._get_or_create_peer(link)
        peer.links.insert(0, link)
        if self._peers.get(peer.node.vm) is peer:
            self._notify_links_changed(peer)
        else:
            self._add_peer(peer)
        try:
            yield peer
        finally:
            peer.links.remove(link)
            if self._peers.get(peer.node.vm) is peer:
                self._after_link_closed(peer)

    def _after_link_closed(self, peer: Peer) -> None:
        """Remove a peer without links, or report the change of its links."""
        if peer.links:
            self._notify_links_changed(peer)
        else:
            self._remove_peer(peer)

    def _notify_links_changed(self, peer: Peer) -> None:
        for listener in self._listeners:
            listener.links_changed(peer)

    def _get_or_create_peer(self, link: PeerLink) -> Peer:
        """Return the peer at the remote end, replacing one of an older incarnation."""
        remote = link.remote
        known = self._peers.get(remote.vm)
        if known is not None and known.incarnation == remote.incarnation:
            return known
        if known is not None:
            self._remove_peer(known)
        node = NodeValue(
            vm=remote.vm,
            data_centre=remote.data_centre,
            front_address=f"{remote.vm}:{remote.serving_port}",
            control_address=self._control_address(remote.vm),
        )
        if (listed := self._nodes.get(remote.vm)) is not None:
            node = replace(node, link_mbps=listed.link_mbps)
        return Peer(node, remote.incarnation)

    def _add_peer(self, peer: Peer) -> None:
        vm = peer.node.vm
        self._peers[vm] = peer
        self._nodes[vm] = peer.node
        self._unreachable_since.pop(vm, None)
        _log.info("peer_joined", peer=vm, incarnation=peer.incarnation)
        for listener in self._listeners:
            listener.peer_joined(peer)
        self._update_links()

    def _remove_peer(self, peer: Peer) -> None:
        del self._peers[peer.node.vm]
        _log.info("peer_left", peer=peer.node.vm, incarnation=peer.incarnation)
        for listener in self._listeners:
            listener.peer_left(peer)
        self._update_links()

    def _control_address(self, vm: str) -> str:
        """Return the address at which a node accepts links; all use the same port."""
        return f"{vm}:{parse_address(self._settings.control_address).port}"

    def _update_links(self) -> None:
        """Recompute which links are needed and wake the tasks that maintain them."""
        self._timing.set_fleet_size(len(self._nodes))
        centres = group_by_centre(self.nodes)
        local = centres[self.own.data_centre]
        self._uses_relay = len(local) > MAX_DIRECT_PEERS + 1
        live = set(self._peers)
        if self.uses_gateways:
            unreachable = self._unreachable_vms()
            live |= designated_gateways(local, unreachable) & {self.own.vm}
            self._gateways = gateways(centres, live)
            self._to_dial = nodes_to_dial(self.own, centres, unreachable, self._owners)
        else:
            self._gateways = frozenset(live | {self.own.vm})
            self._to_dial = frozenset(self._nodes)
        self._changed.set()
        self._changed = anyio.Event()
