"""Finds the batch route of each item, as a configuration may split the route of a job.

An item goes by the batch route of its own path, so that items of one job may have
different routes, with different services and limits. One whose path has none, because
it belongs to an online route or to no route, goes by the route of its job: the job was
accepted by that route, which says nothing of the paths of items. An item has no route
any more only when both are gone.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import TypeVar

from chivespan.batchledger import LedgerJob
from chivespan.batchrecords import BatchItem, BatchJob
from chivespan.clock import Clock
from chivespan.jobroutes import job_route
from chivespan.routes import Route, RouteKind, RoutingTable, directory_of
from chivespan.routingstate import RoutingState

MAX_CACHED = 10_000
K = TypeVar("K")
V = TypeVar("V")
# A node may learn of a configuration before the operator knows that it is in force, and
# the next one may bring a route back.
ROUTE_END_DELAY = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class _FormerTable:
    """A routing table that was in force.

    :param table: None for the time before the first one.
    :param until: when it was seen to be replaced, on the monotonic clock.
    """

    table: RoutingTable | None
    until: timedelta


@dataclass(frozen=True, slots=True)
class _JobServices:
    """The services at which the items of a job may run."""

    job: LedgerJob
    services: frozenset[str]


class ItemRoutes:
    """The batch routes of items by the routing table in force; caches look-ups."""

    def __init__(self, routing: RoutingState, clock: Clock) -> None:
        self._routing = routing
        self._clock = clock
        self._table: RoutingTable | None = None
        self._former: deque[_FormerTable] = deque()
        self._routes: dict[tuple[str, str], Route | None] = {}
        self._job_routes: dict[tuple[str, str, str], Route | None] = {}
        self._services: dict[str, _JobServices] = {}

    def route(self, job: LedgerJob, item: BatchItem) -> Route | None:
        """Return the batch route by which an item goes now; None if there is none."""
        self._follow_table()
        return self._find(job.head, directory_of(item.path))

    def services(self, jobs: Iterable[LedgerJob]) -> set[str]:
        """Return the services at which items of the given jobs may run."""
        self._follow_table()
        return set().union(*map(self._services_of, jobs))

    def has_ended(self, job: LedgerJob, item: BatchItem) -> bool:
        """Return whether an item has no route any more, for ``ROUTE_END_DELAY``.

        A routing table older than the one by which its job was accepted doesn't tell.
        """
        self._follow_table()
        table = self._table
        if table is None or table.version < job.head.config_version:
            return False
        directory = directory_of(item.path)
        now = self._clock.monotonic()
        return self._find(job.head, directory) is None and not any(
            each.table is None
            or _batch_route(each.table, job.head.host, directory) is not None
            or job_route(each.table, job.head) is not None
            for each in self._former
            if now - each.until < ROUTE_END_DELAY
        )

    def _follow_table(self) -> None:
        """Forget all look-ups when another routing table is in force."""
        table = self._routing.table
        if table is self._table:
            return
        now = self._clock.monotonic()
        while self._former and now - self._former[0].until >= ROUTE_END_DELAY:
            self._former.popleft()
        self._former.append(_FormerTable(self._table, now))
        self._table = table
        self._routes.clear()
        self._job_routes.clear()
        self._services.clear()

    def _services_of(self, job: LedgerJob) -> frozenset[str]:
        known = self._services.get(job.job_id)
        if known is None or known.job is not job:
            routes = (self._find(job.head, each) for each in job.directories)
            services = frozenset(each.main_service for each in routes if each)
            known = _JobServices(job, services)
            _make_room(self._services)
            self._services[job.job_id] = known
        return known.services

    def _find(self, head: BatchJob, directory: str) -> Route | None:
        if self._table is None:
            return None
        key = (head.host, directory)
        if key not in self._routes:
            _make_room(self._routes)
            self._routes[key] = _batch_route(self._table, head.host, directory)
        return self._routes[key] or self._find_job_route(self._table, head)

    def _find_job_route(self, table: RoutingTable, head: BatchJob) -> Route | None:
        key = (head.host, head.route, head.path_prefix)
        if key not in self._job_routes:
            _make_room(self._job_routes)
            self._job_routes[key] = job_route(table, head)
        return self._job_routes[key]


def end_of_retention(job: LedgerJob, route: Route) -> datetime | None:
    """Return when an item of the route may be abandoned; None for never."""
    return job.submitted + route.abandon_after if route.abandon_after else None


def _batch_route(table: RoutingTable, host: str, directory: str) -> Route | None:
    route = table.find(host, directory)
    return route if route is not None and route.kind is RouteKind.BATCH else None


def _make_room(cache: dict[K, V]) -> None:
    if len(cache) >= MAX_CACHED:
        cache.clear()
