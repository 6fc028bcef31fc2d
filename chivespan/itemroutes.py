"""Finds the batch route of each item, as a configuration may split the route of a job.

An item is routed like any other request: by its host and its own path. Items of one
job may therefore have different routes, with different services and limits.
"""

from collections.abc import Iterable, Iterator

from chivespan.batchledger import LedgerJob
from chivespan.batchrecords import BatchItem
from chivespan.routes import Route, RouteKind, directory_of
from chivespan.routingstate import RoutingState

MAX_CACHED = 10_000


class ItemRoutes:
    """The batch routes of items by the routing table in force; caches look-ups."""

    def __init__(self, routing: RoutingState) -> None:
        self._routing = routing
        self._table = routing.table
        self._cache: dict[tuple[str, str], Route | None] = {}

    def route(self, job: LedgerJob, item: BatchItem) -> Route | None:
        """Return the batch route that matches an item now; None if there is none."""
        return self._find(job.head.host, directory_of(item.path))

    def services(self, jobs: Iterable[LedgerJob]) -> set[str]:
        """Return the services at which items of the given jobs may run."""
        return {route.main_service for route in self._routes(jobs)}

    def has_ended(self, job: LedgerJob, item: BatchItem) -> bool:
        """Return whether an item has no route any more.

        A routing table older than the one by which its job was accepted doesn't tell.
        """
        table = self._routing.table
        if table is None or table.version < job.head.config_version:
            return False
        return self.route(job, item) is None

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
        if table is not self._table or len(self._cache) >= MAX_CACHED:
            self._table = table
            self._cache.clear()
        key = (host, directory)
        if key not in self._cache:
            route = table.find(host, directory)
            is_batch = route is not None and route.kind is RouteKind.BATCH
            self._cache[key] = route if is_batch else None
        return self._cache[key]
