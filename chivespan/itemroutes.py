"""Finds the batch route of each item, as a configuration may split the route of a job.

An item is routed like any other request: by its host and its own path. Items of one
job may therefore have different routes, with different services and limits.
"""

from collections.abc import Iterable, Iterator
from datetime import timedelta

from chivespan.batchledger import LedgerJob
from chivespan.batchrecords import BatchItem
from chivespan.clock import Clock
from chivespan.routes import Route, RouteKind, RoutingTable, directory_of
from chivespan.routingstate import RoutingState

MAX_CACHED = 10_000
# A node may learn of a configuration before the operator knows that it is in force, and
# the next one may bring a route back.
ROUTE_END_DELAY = timedelta(seconds=5)


class ItemRoutes:
    """The batch routes of items by the routing table in force; caches look-ups."""

    def __init__(self, routing: RoutingState, clock: Clock) -> None:
        self._routing = routing
        self._clock = clock
        self._table = routing.table
        self._cache: dict[tuple[str, str], Route | None] = {}
        # Since when there is no route, on the monotonic clock.
        self._missing_since: dict[tuple[str, str], timedelta] = {}

    def route(self, job: LedgerJob, item: BatchItem) -> Route | None:
        """Return the batch route that matches an item now; None if there is none."""
        return self._find(job.head.host, directory_of(item.path))

    def services(self, jobs: Iterable[LedgerJob]) -> set[str]:
        """Return the services at which items of the given jobs may run."""
        return {route.main_service for route in self._routes(jobs)}

    def has_ended(self, job: LedgerJob, item: BatchItem) -> bool:
        """Return whether an item has no route any more, for ``ROUTE_END_DELAY``.

        A routing table older than the one by which its job was accepted doesn't tell.
        """
        table = self._routing.table
        if table is None or table.version < job.head.config_version:
            return False
        if self.route(job, item) is not None:
            return False
        since = self._missing_since[job.head.host, directory_of(item.path)]
        return self._clock.monotonic() - since >= ROUTE_END_DELAY

    def _routes(self, jobs: Iterable[LedgerJob]) -> Iterator[Route]:
        for job in jobs:
            for directory in job.directories:
                route = self._find(job.head.host, directory)
                if route is not None:
                    yield route

    def _find(self, host: str, directory: str) -> Route | None:
        table = self._routing.table
        if table is None:
            return None
        if table is not self._table:
            self._table = table
            self._forget_found(table)
        key = (host, directory)
        if key not in self._cache:
            self._make_room()
            route = self._cache[key] = _batch_route(table, host, directory)
            if route is None:
                self._missing_since.setdefault(key, self._clock.monotonic())
        return self._cache[key]

    def _forget_found(self, table: RoutingTable) -> None:
        """Forget the look-ups, and which routes were missing that are there again."""
        self._cache.clear()
        self._missing_since = {
            key: since
            for key, since in self._missing_since.items()
            if _batch_route(table, *key) is None
        }

    def _make_room(self) -> None:
        if len(self._cache) >= MAX_CACHED:
            self._cache.clear()
            self._missing_since.clear()


def _batch_route(table: RoutingTable, host: str, directory: str) -> Route | None:
    route = table.find(host, directory)
    return route if route is not None and route.kind is RouteKind.BATCH else None
