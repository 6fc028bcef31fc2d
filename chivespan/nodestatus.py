"""Status of a node: readiness, shutdown, and the addresses returned to callers."""

from datetime import timedelta

from chivespan.batchownership import PartitionOwnership
from chivespan.clock import Clock
from chivespan.fleetlinks import FleetLinks
from chivespan.fleetwatch import FleetWatch
from chivespan.nodemessages import LoadReport, NodeValue
from chivespan.nodesettings import FleetNodeSettings
from chivespan.platform import bodies
from chivespan.remotenodes import RemoteNodes
from chivespan.routingstate import NO_VERSION, RoutingState

ADDRESS_LIFETIME = timedelta(seconds=1)
# For so many lifetimes callers may still use an address list after it was returned.
ADDRESS_LIFETIMES_KEPT = 3
MAX_ADDRESSES = 64
PEER_DISCOVERY_TIME = timedelta(seconds=1.5)
# Time reserved within the grace period to complete requests in progress, after the node
# has accepted the last one.
FINAL_REQUEST_TIME = timedelta(seconds=5)
END_MARGIN = timedelta(milliseconds=600)


class NodeStatus:
    """Status of this node as reported to callers and peers."""

    def __init__(
        self,
        settings: FleetNodeSettings,
        links: FleetLinks,
        remote_nodes: RemoteNodes,
        watch: FleetWatch,
        routing: RoutingState,
        placement: PartitionOwnership,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._links = links
        self._remote_nodes = remote_nodes
        self._watch = watch
        self._routing = routing
        self._placement = placement
        self._started = clock.monotonic()
        self._clock = clock
        self._leaving_since: timedelta | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts requests."""
        has_routing = self._routing.version != NO_VERSION
        return not self.is_leaving and has_routing and self._watch.targets_known

    @property
    def is_leaving(self) -> bool:
        """Whether a graceful shutdown has started."""
        return self._leaving_since is not None

    @property
    def refuses_new(self) -> bool:
        """Whether the node is too close to its end to complete a new request."""
        return self.is_leaving and self._leaving_time() >= self._serving_time()

    @property
    def cached_addresses_expired(self) -> bool:
        """Whether no caller still uses an address list that contains this node."""
        kept = ADDRESS_LIFETIME * ADDRESS_LIFETIMES_KEPT
        return self.is_leaving and self._leaving_time() >= kept

    @property
    def must_end(self) -> bool:
        """Whether the grace period of the shutdown has nearly expired."""
        return self.is_leaving and self.time_to_end <= timedelta(0)

    @property
    def time_to_end(self) -> timedelta:
        """Time left until a shutdown that has started must end."""
        grace = timedelta(seconds=self._settings.grace_s) - END_MARGIN
        return grace - self._leaving_time()

    def leave(self) -> None:
        """Start the graceful shutdown."""
        if self._leaving_since is None:
            self._leaving_since = self._clock.monotonic()

    def encode_address_list(self, caller_centre: str) -> bytes | None:
        """Return the encoded front addresses of live nodes and their lifetime.

        None shortly after startup while no peer has been found: a list with only this
        node would direct all callers to it.

        :param caller_centre: data centre of the caller; empty if it isn't known.
        """
        alone = not self._links.peers
        if alone and self._clock.monotonic() - self._started < PEER_DISCOVERY_TIME:
            return None
        peers = self._links.peers.values()
        nodes = [peer.node for peer in peers if not peer.report.leaving]
        nodes += self._remote_nodes.nodes
        if not self.is_leaving or not nodes:
            nodes.append(self._links.own)
        longest = self._settings.address_lifetime_limit_s
        lifetime = min(ADDRESS_LIFETIME.total_seconds(), longest)
        return bodies.encode_addresses(_addresses(nodes, caller_centre), lifetime)

    def report(self) -> LoadReport:
        """Return the report sent to peers, without target loads."""
        return LoadReport(
            config_version=self._routing.version,
            leaving=self.is_leaving,
            store_reached=self._watch.store_reached,
            owned=sorted(self._placement.owned),
            link_mbps=self._settings.link_mbps,
            sequence=0,
            silent=[],
            loads=[],
        )

    def _leaving_time(self) -> timedelta:
        since = self._leaving_since
        return timedelta(0) if since is None else self._clock.monotonic() - since

    def _serving_time(self) -> timedelta:
        kept = ADDRESS_LIFETIME * ADDRESS_LIFETIMES_KEPT
        grace = timedelta(seconds=self._settings.grace_s)
        return max(kept, grace - FINAL_REQUEST_TIME)


def _addresses(nodes: list[NodeValue], caller_centre: str) -> list[str]:
    """Return up to ``MAX_ADDRESSES``, those in the caller's data centre first."""
    nodes.sort(key=lambda each: (each.data_centre != caller_centre, each.vm))
    return [node.front_address for node in nodes[:MAX_ADDRESSES]]
