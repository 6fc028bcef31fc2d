"""Live nodes of all data centres, including those without a link to this node.

The relay of each data centre sends the list of its live nodes, and of those that own
batch partitions, to the relays of the others and to the nodes of its own. It forwards
the lists that it receives to these as well.
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
# Only gateways become relays.
IDLE_ANNOUNCE_INTERVAL = timedelta(seconds=1)

_log = logger("nodes")


class RemoteNodes(FleetListener):
    """Node lists received from the relays of all data centres."""

    def __init__(self, links: FleetLinks) -> None:
        self._links = links
        self._received: dict[str, DataCentreNodes] = {}
        links.add_listener(self)

    @property
    def centres(self) -> list[DataCentreNodes]:
        """The latest node list of each other data centre."""
        own_centre = self._links.own.data_centre
        return [
            received
            for received in self._received.values()
            if received.data_centre != own_centre
        ]

    @property
    def nodes(self) -> list[NodeValue]:
        """Nodes that serve callers and have no link to this node.

        Empty in a small fleet, where all live nodes are linked. Lists received during
        startup, when the fleet size was not yet known, are then outdated.
        """
        if not self._links.uses_gateways:
            return []
        # All nodes of its own data centre are linked to a gateway.
        centres = self.centres if self._links.is_gateway else self._received.values()
        linked = self._links.peers.keys() | {self._links.own.vm}
        return [
            node for centre in centres for node in centre.nodes if node.vm not in linked
        ]

    def peer_left(self, peer: Peer) -> None:
        """Discard the nodes of data centres that can't be reached any more.

        Only a gateway is linked to other data centres. Its empty list is forwarded to
        the nodes that are not.
        """
        centre = peer.node.data_centre
        if not self._links.peers:
            self._received.clear()
        elif self._links.is_gateway and self._has_lost(centre):
            _log.warning("data_centre_lost", data_centre=centre)
            self._received[centre] = DataCentreNodes(
                data_centre=centre, nodes=[], owners=[]
            )
        self._update_partition_owners()

    def _has_lost(self, centre: str) -> bool:
        return centre in self._received and not any(self._links.peers_in(centre))

    async def handle_message(self, peer: Peer, message: object) -> None:
        """Store the node list of a data centre."""
        if not isinstance(message, DataCentreNodes):
            return
        name = message.data_centre
        if self._received.get(name) == message:
            return
        self._received[name] = message
        _log.info(
            "far_nodes_told",
            data_centre=name,
            by=peer.node.vm,
            nodes=len(message.nodes),
            owners=message.owners,
        )
        self._update_partition_owners()

    def _update_partition_owners(self) -> None:
        owners = (vm for centre in self._received.values() for vm in centre.owners)
        self._links.set_partition_owners(frozenset(owners))


class NodeAnnouncer(FleetListener):
    """Sends node lists to peers when this node is the relay in a large fleet."""

    def __init__(
        self, links: FleetLinks, reports: LoadReports, remote_nodes: RemoteNodes
    ) -> None:
        self._links = links
        self._reports = reports
        self._remote_nodes = remote_nodes
        self._sent: dict[str, dict[str, DataCentreNodes]] = {}
        links.add_listener(self)

    def peer_joined(self, peer: Peer) -> None:
        """Schedule all node lists for a new peer."""
        self.links_changed(peer)

    def links_changed(self, peer: Peer) -> None:
        """Schedule all node lists again, since a replaced link may have lost them."""
        self._sent[peer.node.vm] = {}

    def peer_left(self, peer: Peer) -> None:
        """Discard the record of the lists sent to a lost peer."""
        self._sent.pop(peer.node.vm, None)

    async def run(self) -> None:
        """Send changes periodically; never returns."""
        while True:
            await anyio.sleep(self._interval.total_seconds())
            if self._reports.is_relay and self._links.uses_gateways:
                self.send_changes()
            else:
                self._forget_sent()

    @property
    def _interval(self) -> timedelta:
        return ANNOUNCE_INTERVAL if self._links.is_gateway else IDLE_ANNOUNCE_INTERVAL

    def send_changes(self) -> None:
        """Send changed lists to the other relays and to peers in this data centre."""
        own_centre = self._own_centre()
        local_peers = list(self._links.peers_in(own_centre.data_centre))
        self._send(own_centre, [*self._reports.remote_relays(), *local_peers])
        for centre in self._remote_nodes.centres:
            self._send(centre, local_peers)

    def _forget_sent(self) -> None:
        """Forget what was sent, since another relay may have sent other lists since."""
        for sent in self._sent.values():
            sent.clear()

    def _send(self, message: DataCentreNodes, peers: Iterable[Peer]) -> None:
        name = message.data_centre
        outdated = [p for p in peers if self._sent[p.node.vm].get(name) != message]
        if not outdated:
            return
        frame = encode_message(message)
        for peer in outdated:
            if peer.send_frame(frame):
                self._sent[peer.node.vm][name] = message

    def _own_centre(self) -> DataCentreNodes:
        own = self._links.own
        local_peers = self._links.peers_in(own.data_centre)
        reports = {peer.node.vm: (peer.node, peer.report) for peer in local_peers}
        reports[own.vm] = (own, self._reports.own_status())
        serving = [each for _, each in sorted(reports.items()) if not each[1].leaving]
        return DataCentreNodes(
            data_centre=own.data_centre,
            nodes=[node for node, _ in serving],
            owners=[node.vm for node, report in serving if report.owned],
        )
