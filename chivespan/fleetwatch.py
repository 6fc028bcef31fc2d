"""Keeps routing table, targets and nodes current from the store or from a peer.

A node that can't read the store queries a live peer instead. In a large fleet only the
relay of a data centre reads targets and routing table regularly, and feeds them to the
other nodes there.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

import anyio

from chivespan.clock import Clock
from chivespan.configconfirmation import ConfigConfirmation
from chivespan.errors import ChivespanError
from chivespan.fleetlinks import FleetLinks, FleetListener, Peer
from chivespan.keyedstore import (
    KeyedRecord,
    KeyedStore,
    Partition,
    StoreExpired,
    load_newest,
)
from chivespan.logs import logger
from chivespan.nodelist import NodeList
from chivespan.nodemessages import (
    FleetAnswer,
    FleetQuery,
    LoadReport,
    TargetEntry,
)
from chivespan.routingstate import NO_VERSION, RoutingState
from chivespan.startcheck import StartCheck
from chivespan.storefeed import StoreFeed
from chivespan.storereachability import StoreReachability
from chivespan.targetset import TargetSet

CONFIG_READ_WAIT = timedelta(milliseconds=1500)
# After this many reads of the log the newest document is loaded again, in case the log
# has moved past the read position.
MAX_CONFIG_READS = 4
# Share of the time limit within which a draining target must get no new requests.
TARGETS_INTERVAL_SHARE = 0.35
# Share of the same time limit within which a feed of the targets must be renewed.
FEED_LIFETIME_SHARE = 0.5
NODES_INTERVAL = timedelta(seconds=4)
STARTUP_NODES_INTERVAL = timedelta(milliseconds=400)
# The list of a large fleet is mostly complete at startup and takes longer to read.
LARGE_FLEET_STARTUP_NODES_INTERVAL = timedelta(seconds=1)
STARTUP_TIME = timedelta(seconds=3)
RETRY_INTERVAL = timedelta(milliseconds=400)
# The store may briefly return the same newest document, whose position has expired.
EXPIRED_RETRY_INTERVAL = timedelta(milliseconds=100)
PEER_QUERY_INTERVAL = timedelta(milliseconds=250)
MAX_TARGETS_AGE = timedelta(seconds=1.5)

_log = logger("fleet")


@dataclass(frozen=True, slots=True)
class FleetSources:
    """Location of the fleet's documents in the store, and how to decode them.

    :param decode_target: raises ``ChivespanError`` for an invalid target entry.
    """

    routing: Partition
    routing_key: str
    targets: Partition
    decode_target: Callable[[str, bytes], TargetEntry]


class FleetWatch(FleetListener):
    """Keeps this node's view of the fleet up to date.

    :param drain_bound: time limit within which a draining target must get no new
        requests.
    :param is_relay: returns whether this node is the relay of its data centre.
    :param config_read_wait: longest time that the store may take to say that there is
        no newer configuration.
    """

    def __init__(
        self,
        store: KeyedStore,
        sources: FleetSources,
        links: FleetLinks,
        node_list: NodeList,
        routing: RoutingState,
        targets: TargetSet,
        clock: Clock,
        drain_bound: timedelta,
        is_relay: Callable[[], bool],
        config_read_wait: timedelta = CONFIG_READ_WAIT,
    ) -> None:
        self.confirmation = ConfigConfirmation(clock)
        self._config_read_wait = config_read_wait
        self._targets_interval = drain_bound * TARGETS_INTERVAL_SHARE
        self._feed = StoreFeed(
            links, is_relay, clock, drain_bound * FEED_LIFETIME_SHARE
        )
        self._store = store
        self._sources = sources
        self._links = links
        self._node_list = node_list
        self._routing = routing
        self._targets = targets
        self._clock = clock
        self._random = Random()
        self._started = clock.monotonic()
        self._start_check = StartCheck(links, routing, clock)
        self._targets_read: timedelta | None = None
        self._last_query = timedelta(0)
        self._unreadable: dict[str, bytes] = {}
        self._reachability = StoreReachability(clock)
        self._check_requested = anyio.Event()
        links.add_listener(self)

    @property
    def store_reached(self) -> bool:
        """Whether the store is reachable, ignoring failures within a grace period."""
        return self._reachability.is_reached

    @property
    def targets_known(self) -> bool:
        """Whether the targets have been read, by this node or a peer."""
        return self._targets.is_loaded

    def check_store(self) -> None:
        """Find out soon whether the store serves this node, as another read failed.

        A node that is fed by its relay rarely reads the store by itself.
        """
        self._check_requested.set()

    async def run(self) -> None:
        """Watch routing table, targets and nodes; never returns."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_routing)
            tasks.start_soon(self._watch_targets)
            tasks.start_soon(self._watch_nodes)
            tasks.start_soon(self._feed_routing)

    async def handle_message(self, peer: Peer, message: object) -> None:
        """Answer queries of peers, apply their answers, and query a newer peer."""
        if isinstance(message, FleetQuery):
            peer.send(self._answer_query(message))
        elif isinstance(message, FleetAnswer):
            self._apply_answer(peer, message)
        elif isinstance(message, LoadReport) and self._has_newer_config(message):
            self._query_peer(peer)

    def _has_newer_config(self, report: LoadReport) -> bool:
        return report.config_version > self._routing.version

    async def _feed_routing(self) -> None:
        """Pass each new routing table on to the nodes that this node feeds."""
        while True:
            await self._routing.wait_changed()
            self._feed.send(
                FleetAnswer(
                    config=self._routing.document_newer_than(NO_VERSION),
                    targets=[],
                    targets_known=False,
                    nodes=[],
                    config_version=self._routing.version,
                    config_age_ms=self.confirmation.age_ms,
                )
            )

    async def _watch_routing(self) -> None:
        while True:
            await self._feed.wait_until_stale()
            try:
                await self._follow_routing()
            except StoreExpired as error:
                _log.info("routing_history_expired", reason=error.message)
                await self._sleep_with_jitter(EXPIRED_RETRY_INTERVAL)
            except ChivespanError as error:
                self._record_store_failure("routing", error)
                await self._sleep_with_jitter(RETRY_INTERVAL)

    async def _follow_routing(self) -> None:
        """Load the newest document, then read newer ones a limited number of times."""
        asked = self._clock.monotonic()
        newest = await load_newest(self._store, self._sources.routing)
        await self._start_check.wait()
        self._apply_config(newest.records, asked, asked)
        end = newest.end
        for _ in range(MAX_CONFIG_READS):
            asked = self._clock.monotonic()
            wait = self._config_read_wait
            page = await self._store.read(self._sources.routing, end, wait)
            # The store has waited for a newer document in vain.
            confirmed = asked if page.records else asked + wait
            self._apply_config(page.records, asked, confirmed)
            end += len(page.records)

    def _apply_config(
        self, records: Iterable[KeyedRecord], asked: timedelta, confirmed: timedelta
    ) -> None:
        """Apply what was read from the store.

        :param asked: when the call was sent.
        :param confirmed: earliest time at which the store may have answered. A process
            that was suspended meanwhile may receive the answer much later.
        """
        self._offer_documents(records)
        self._reachability.record_success(asked)
        self.confirmation.record(confirmed)

    def _offer_documents(self, records: Iterable[KeyedRecord]) -> None:
        for record in records:
            if record.key == self._sources.routing_key and record.value:
                self._routing.apply_if_newer(record.value, "store")

    async def _watch_targets(self) -> None:
        while True:
            await self._feed.wait_until_stale()
            asked = self._clock.monotonic()
            try:
                page = await load_newest(self._store, self._sources.targets)
            except ChivespanError as error:
                self._record_store_failure("targets", error)
                await self._sleep_with_jitter(RETRY_INTERVAL)
                continue
            await self._start_check.wait()
            self._targets.replace(self._decode_targets(page.records))
            self._targets_read = self._clock.monotonic()
            self._reachability.record_success(asked)
            self._feed.send(self._targets_feed())
            await self._sleep_with_jitter(self._targets_interval)

    def _targets_feed(self) -> FleetAnswer:
        return FleetAnswer(
            config=b"",
            targets=list(self._targets.entries),
            targets_known=True,
            nodes=[],
            is_feed=True,
            config_version=self._routing.version,
            config_age_ms=self.confirmation.age_ms,
        )

    def _decode_targets(self, records: Iterable[KeyedRecord]) -> Iterable[TargetEntry]:
        for record in records:
            try:
                yield self._sources.decode_target(record.key, record.value)
            except ChivespanError as error:
                if self._unreadable.get(record.key) != record.value:
                    self._unreadable[record.key] = record.value
                    _log.warning("target_unreadable", reason=error.message)

    async def _watch_nodes(self) -> None:
        while True:
            asked = self._clock.monotonic()
            try:
                await self._node_list.read()
            except ChivespanError as error:
                self._record_store_failure("nodes", error)
            else:
                if self._feed.is_fresh:
                    # Nothing else that this node reads tells of the store.
                    self._reachability.record_success(asked)
            await self._wait_to_read_nodes()

    async def _wait_to_read_nodes(self) -> None:
        """Wait until the list of nodes is due, or until the store is to be checked."""
        started_ago = self._clock.monotonic() - self._started
        interval = NODES_INTERVAL
        if started_ago < STARTUP_TIME:
            interval = STARTUP_NODES_INTERVAL
            if self._links.is_large:
                interval = LARGE_FLEET_STARTUP_NODES_INTERVAL
        least = min(interval, RETRY_INTERVAL)
        await self._sleep_with_jitter(least)
        self._check_requested = anyio.Event()
        with anyio.move_on_after(self._with_jitter(interval - least)):
            await self._check_requested.wait()

    def _record_store_failure(self, what: str, error: ChivespanError) -> None:
        self._reachability.record_failure(what, error)
        peers = [peer for peer in self._links.peers.values()]
        if peers:
            self._query_peer(self._random.choice(peers))

    def _query_peer(self, peer: Peer) -> None:
        now = self._clock.monotonic()
        if now - self._last_query >= PEER_QUERY_INTERVAL:
            self._last_query = now
            peer.send(FleetQuery(config_version=self._routing.version))

    def _answer_query(self, query: FleetQuery) -> FleetAnswer:
        read = self._targets_read
        fresh = read is not None and self._clock.monotonic() - read < MAX_TARGETS_AGE
        targets = self._targets.entries if fresh else ()
        return FleetAnswer(
            config=self._routing.document_newer_than(query.config_version),
            targets=list(targets),
            targets_known=fresh,
            nodes=self._links.nodes,
            config_version=self._routing.version,
            config_age_ms=self.confirmation.age_ms,
        )

    def _apply_answer(self, peer: Peer, answer: FleetAnswer) -> None:
        if answer.config:
            self._routing.apply_if_newer(answer.config, f"peer {peer.node.vm}")
        if answer.config_version > self._routing.version:
            self._query_peer(peer)
        is_feed = self._feed.record_if_feed(peer, answer)
        self.confirmation.record_answer(answer, self._routing.version, is_feed)
        if is_feed:
            self._targets.replace(answer.targets)
            self._targets_read = self._clock.monotonic()
        elif answer.targets_known and self._reachability.is_failing:
            self._targets.replace(answer.targets)
        self._links.add_nodes(answer.nodes)

    async def _sleep_with_jitter(self, interval: timedelta) -> None:
        await anyio.sleep(self._with_jitter(interval))

    def _with_jitter(self, interval: timedelta) -> float:
        """Return a random time around an interval, in seconds."""
        return interval.total_seconds() * self._random.uniform(0.85, 1.15)
