"""Routing table: maps a request to a route, its services and its limits."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import StrEnum
from functools import cached_property
from random import Random

from chivespan.customers.keys import CustomerKeys


class RouteKind(StrEnum):
    """How requests of a route may be retried and served."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Settings for the requests to one host whose paths share a prefix.

    :param timeout: longest time from a request's arrival to its complete response.
    :param objective: time within which a response has its full value; later responses
        are worth less.
    :param priority: priority of its requests; 0 is the most urgent.
    :param max_attempts: most targets that one request may be sent to.
    :param resumable: whether a broken stream may continue from another target.
    :param longest_gap: longest time between events of a stream that is on time.
    :param due: time after a job's submission at which all its results are due.
    :param abandon_after: time after a job's submission at which unfinished items may
        be abandoned.
    :param waiting_tokens_limit: most tokens of all accepted items, of each customer if
        customers are known; 0 for no limit.
    :param is_public: whether requests need no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: timedelta
    objective: timedelta
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    resumable: bool = False
    longest_gap: timedelta = timedelta(0)
    due: timedelta = timedelta(0)
    abandon_after: timedelta = timedelta(0)
    waiting_tokens_limit: int = 0
    is_public: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable

    @property
    def is_resumable(self) -> bool:
        """Whether its responses are streams that another target may continue."""
        return self.kind is RouteKind.STREAM and self.resumable

    @property
    def main_service(self) -> str:
        """The service with the largest share of the requests."""
        return max(self.shares, key=lambda share: share.weight).service

    def pick_service(self, random: Random) -> str:
        """Return the service for one request, chosen at random by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        names = [share.service for share in self.shares]
        weights = [share.weight for share in self.shares]
        if not sum(weights):
            return names[0]
        return random.choices(names, weights)[0]


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable targets.

    :param slots: concurrent requests of each target; 0 if unknown.
    :param max_connections: connections that a target accepts from all callers.
    """

    name: str
    health_path: str
    max_connections: int
    slots: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits and timeouts for the requests of callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True)
class RoutingTable:
    """All routes and services of one version of the configuration.

    :param customers: None if the configuration names no customers, so that keys are
        neither needed nor read.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)
    customers: CustomerKeys | None = None

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches the path.

        >>> short = example_route(path_prefix="/a/")
        >>> long = example_route(path_prefix="/a/b/")
        >>> table = RoutingTable(1, (short, long), ())
        >>> table.find("h", "/a/b/c").path_prefix, table.find("h", "/b/")
        ('/a/b/', None)
        """
        prefixes = self._by_host.get(host, {})
        for candidate in _prefixes(path):
            if candidate in prefixes:
                return prefixes[candidate]
        return None

    def route_at(self, host: str, path_prefix: str) -> Route | None:
        """Return the route of a host with exactly this prefix."""
        return self._by_host.get(host, {}).get(path_prefix)

    def route_named(self, name: str) -> Route | None:
        """Return the route with a given name."""
        return self._by_name.get(name)

    def is_under_batch_route(self, host: str, path: str) -> bool:
        """Return whether a path has the prefix of a batch route, longest or not."""
        if host not in self._batch_hosts:
            return False
        prefixes = self._by_host[host]
        found = (prefixes.get(each) for each in _prefixes(path))
        return any(each is not None and each.kind is RouteKind.BATCH for each in found)

    def has_public_batch_route(self, host: str) -> bool:
        """Return whether jobs may be submitted to a host without a key."""
        return host in self._public_batch_hosts

    @cached_property
    def _batch_hosts(self) -> frozenset[str]:
        return frozenset(
            route.host for route in self.routes if route.kind is RouteKind.BATCH
        )

    @cached_property
    def _public_batch_hosts(self) -> frozenset[str]:
        return frozenset(
            route.host
            for route in self.routes
            if route.is_public and route.kind is RouteKind.BATCH
        )

    @cached_property
    def _by_host(self) -> dict[str, dict[str, Route]]:
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.path_prefix] = route
        return by_host

    @cached_property
    def _by_name(self) -> dict[str, Route]:
        return {route.name: route for route in self.routes}


def _prefixes(path: str) -> Iterable[str]:
    """Yield the prefixes of a path that end with a slash, longest first."""
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        yield path[: end + 1]


def directory_of(path: str) -> str:
    """Return a path up to its last slash, which alone determines its route.

    >>> directory_of("/a/b/c"), directory_of("/a/"), directory_of("a")
    ('/a/b/', '/a/', '')
    """
    return path[: path.rfind("/") + 1]


def example_route(path_prefix: str = "/a/") -> Route:
    """Return a route for doctests and tests."""
    second = timedelta(seconds=1)
    return Route(
        name="r",
        host="h",
        path_prefix=path_prefix,
        kind=RouteKind.STREAM,
        timeout=5 * second,
        objective=second,
        priority=0,
        shares=(ServiceShare("s", 1),),
        max_attempts=1,
    )
