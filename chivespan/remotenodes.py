"""Live nodes of other data centres with which this node has no link.

The relay of each data centre tells the relays of the others which nodes are live there,
and which of them own batch partitions; a relay passes that on to its own data centre.
"""

from collections.abc import Iterable
from datetime import timedelta

import anyio

from chivespan.codec import encode_message
from chivespan.fleetlinks import FleetLinks, FleetListener, Peer
from chivespan.loadreports import LoadReports
from chivespan.logs import logger
from chivespan.nodemessages import DataCentreNodes, NodeValue

ANNOUNCE_INTERVAL = timedelta(milliseconds=200)

_log = logger("nodes")


class RemoteNodes(FleetListener):
    """What this node was told of other data centres."""

    def __init__(self, links: FleetLinks) -> None:
        self._links = links
        self._received: dict[str, DataCentreNodes] = {}
        links.add_listener(self)

    @property
    def centres(self) -> list[DataCentreNodes]:
        """The last message of each other data centre."""
        return list(self._received.values())

    @property
    def nodes(self) -> list[NodeValue]:
        """Nodes that take callers and have no link with this one.

        In a small fleet there are none: what was told while it started is past.
        """
        if not self._links.uses_gateways:
            return []
        peers = self._links.peers
        return [
            node
            for centre in self._received.values()
            for node in centre.nodes
            if node.vm not in peers
        ]

    def peer_left(self, peer: Peer) -> None:
        """Forget a data centre with which no link is left."""
        centre = peer.node.data_centre
        is_linked = any(self._links.peers_in(centre))
        if not is_linked and self._received.pop(centre, None) is not None:
            _log.warning("data_centre_lost", data_centre=centre)
            self._link_with_owners()

    async def handle_message(self, peer: Peer, message: object) -> None:
        """Take in which nodes are live in another data centre."""
        if not isinstance(message, DataCentreNodes):
            return
        name = message.data_centre
        if name == self._links.own.data_centre or self._received.get(name) == message:
            return
        self._received[name] = message
        _log.info(
            "far_nodes_told",
            data_centre=name,
            by=peer.node.vm,
            nodes=len(message.nodes),
            owners=message.owners,
        )
        self._link_with_owners()

    def _link_with_owners(self) -> None:
        owners = (vm for centre in self._received.values() for vm in centre.owners)
        self._links.set_partition_owners(frozenset(owners))


class NodeAnnouncer(FleetListener):
    """Tells of live nodes, where this node is the relay of a large fleet."""

    def __init__(
        self, links: FleetLinks, reports: LoadReports, remote_nodes: RemoteNodes
    ) -> None:
        self._links = links
        self._reports = reports
        self._remote_nodes = remote_nodes
        self._sent: dict[str, dict[str, DataCentreNodes]] = {}
        links.add_listener(self)

    def peer_joined(self, peer: Peer) -> None:
        """Tell a new peer everything."""
        self.links_changed(peer)

    def links_changed(self, peer: Peer) -> None:
        """Tell a peer everything again."""
        self._sent[peer.node.vm] = {}

    def peer_left(self, peer: Peer) -> None:
        """Forget what a lost peer was told."""
        self._sent.pop(peer.node.vm, None)

    async def run(self) -> None:
        """Tell of changes for ever."""
        while True:
            await anyio.sleep(ANNOUNCE_INTERVAL.total_seconds())
            if self._reports.is_relay and self._links.uses_gateways:
                self.send_changes()

    def send_changes(self) -> None:
        """Send what has changed to the other relays and the own data centre."""
        self._send(self._own_centre(), self._reports.far_relays())
        near = list(self._links.peers_in(self._links.own.data_centre))
        for centre in self._remote_nodes.centres:
            self._send(centre, near)

    def _send(self, message: DataCentreNodes, peers: Iterable[Peer]) -> None:
        name = message.data_centre
        behind = [p for p in peers if self._sent[p.node.vm].get(name) != message]
        if not behind:
            return
        frame = encode_message(message)
        for peer in behind:
            if peer.send_frame(frame):
                self._sent[peer.node.vm][name] = message

    def _own_centre(self) -> DataCentreNodes:
        own = self._links.own
        near = self._links.peers_in(own.data_centre)
        reports = {peer.node.vm: (peer.node, peer.report) for peer in near}
        reports[own.vm] = (own, self._reports.own_standing())
        staying = [each for _, each in sorted(reports.items()) if not each[1].leaving]
        return DataCentreNodes(
            data_centre=own.data_centre,
            nodes=[node for node, _ in staying],
            owners=[node.vm for node, report in staying if report.owned],
        )
