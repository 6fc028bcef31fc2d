"""The list of nodes in the store, used by nodes to discover each other.

A node adds itself to the list and removes itself when it shuts down. A VM that is lost
permanently can't do so: its entry is removed after a long time without a link. A node
that was partitioned for that long adds itself again.
"""

from collections.abc import Iterable, Iterator
from datetime import timedelta

import msgspec

from chivespan.addresses import parse_address
from chivespan.clock import Clock
from chivespan.decoding import decoding
from chivespan.errors import ChivespanError
from chivespan.fleetlinks import FleetLinks
from chivespan.keyedstore import KeyedRecord, KeyedStore, Partition, load_newest
from chivespan.logs import logger
from chivespan.nodemessages import NodeValue
from chivespan.remotenodes import RemoteNodes

NODES = Partition("keyed.nodes")
REMOVE_LOST_AFTER = timedelta(minutes=10)

_log = logger("nodes")


class NodeList:
    """Reads the list for this node and maintains its own entry."""

    def __init__(
        self,
        store: KeyedStore,
        links: FleetLinks,
        remote_nodes: RemoteNodes,
        clock: Clock,
    ) -> None:
        self._store = store
        self._links = links
        self._remote_nodes = remote_nodes
        self._clock = clock
        self._lost_since: dict[str, timedelta] = {}

    async def read(self) -> None:
        """Update the known nodes from the list, and correct the list.

        Adds this node if it is missing, and removes nodes that are lost.

        :raises ChivespanError: if the store is unreachable.
        """
        page = await load_newest(self._store, NODES)
        nodes = list(_decode_nodes(page.records))
        own = self._links.own
        if own not in nodes:
            record = KeyedRecord(own.vm, msgspec.json.encode(own))
            await self._store.append(NODES, [record])
        self._links.add_nodes(nodes)
        self._links.remove_unlisted(nodes)
        await self._remove_lost(nodes)

    async def unlist(self) -> None:
        """Remove this node from the list."""
        try:
            await self._store.append(NODES, [KeyedRecord(self._links.own.vm, b"")])
        except ChivespanError as error:
            _log.warning("node_still_listed", reason=error.message)

    async def _remove_lost(self, nodes: Iterable[NodeValue]) -> None:
        """Remove nodes that have been lost for too long.

        Only the live node with the lowest IP number writes the removal.
        """
        now = self._clock.monotonic()
        peers = self._links.peers
        unlinked_live = {node.vm for node in self._remote_nodes.nodes}
        listed = {node.vm for node in nodes}
        lost = listed - peers.keys() - unlinked_live - {self._links.own.vm}
        self._lost_since = {vm: self._lost_since.get(vm, now) for vm in lost}
        expired = [
            vm for vm, at in self._lost_since.items() if now - at > REMOVE_LOST_AFTER
        ]
        live = peers.keys() | unlinked_live
        if not expired or any(vm < self._links.own.vm for vm in live):
            return
        _log.notice(
            "nodes_dropped", vms=expired, lost_s=REMOVE_LOST_AFTER.total_seconds()
        )
        await self._store.append(NODES, [KeyedRecord(vm, b"") for vm in expired])


def _decode_nodes(records: Iterable[KeyedRecord]) -> Iterator[NodeValue]:
    for record in records:
        try:
            yield _decode_node(record)
        except ChivespanError as error:
            _log.warning("node_unreadable", key=record.key, reason=error.message)


def _decode_node(record: KeyedRecord) -> NodeValue:
    """Return the node in a record.

    :raises ChivespanError: ``invalid_document`` when the record is invalid.
    """
    with decoding("node"):
        node = msgspec.json.decode(record.value, type=NodeValue)
        for address in filter(None, (node.front_address, node.control_address)):
            parse_address(address)
        return node
