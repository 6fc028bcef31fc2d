"""Decoding of the documents that the operator and the runners write to the store."""

from collections.abc import Iterator
from datetime import timedelta

import msgspec

from chivespan.addresses import parse_address
from chivespan.decoding import checked, decoding
from chivespan.nodemessages import TargetEntry
from chivespan.platform.tenants import Tenant, decode_customers
from chivespan.routes import (
    CallerLimits,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    ServiceShare,
)

OPERATOR_TOPIC = "keyed.op"
CONFIG_KEY = "config"
TARGETS_TOPIC = "keyed.servers"

MAX_SLOTS = 1_000_000
# Exact in any JSON library; Unix milliseconds stay far below.
MAX_COUNT = 2**53
MAX_DURATION_MS = 366 * 24 * 3600 * 1000
MILLISECONDS_PER_S = 1000
MAX_SHOWN_ID = 80

_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "stream": RouteKind.STREAM,
    "batch_job": RouteKind.BATCH,
}
_STATES = {"ready": False, "draining": True}


class _Weighted(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str  # noqa: N815
    kind: str
    # Longest time that a request may wait.
    timeoutMs: float = 5000  # noqa: N815
    # Response time up to which a response earns its full credit.
    goalMs: float = 1000  # noqa: N815
    priority: int = 0
    service: str = ""
    weightedServices: list[_Weighted] = []  # noqa: N815
    maxAttempts: int = 1  # noqa: N815
    resumable: bool = False
    gapAimMs: float = 0  # noqa: N815
    dueMs: float = 0  # noqa: N815
    # In a route: when items may be abandoned. In the settings: the store's history.
    retentionS: float = 0  # noqa: N815
    # In a route: limit of waiting tokens. In an engine: limit of waiting event calls.
    cap: int = 0
    public: bool = False


class _Engine(msgspec.Struct):
    slots: int = 0


class _Service(msgspec.Struct):
    name: str
    healthPath: str = ""  # noqa: N815
    maxConns: int = 0  # noqa: N815
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    maxHeaderBytes: int = 16384  # noqa: N815
    maxBodyBytes: int = 4194304  # noqa: N815
    headerTimeoutMs: float = 3000  # noqa: N815
    idleTimeoutMs: float = 15000  # noqa: N815


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # An empty list admits nobody to routes that aren't public; none at all everybody.
    tenants: list[Tenant] | None = None


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    # Incremented with each write of the runner, even if nothing else changes.
    seq: int
    # Version of the runner's software, not of its weights.
    version: str
    # Remaining warm-up time, during which the runner is slow after its start.
    coldLeftMs: float  # noqa: N815
    # Start time of the runner, in Unix milliseconds.
    born: int = 0


_CONFIGS = msgspec.json.Decoder(_Config)
_ENTRIES = msgspec.json.Decoder(_Entry)


def decode_config(value: bytes) -> RoutingTable:
    """Return the routing table of the operator's configuration document.

    :raises ChivespanError: ``invalid_document`` when the document is invalid.
    """
    with decoding("configuration"):
        config = _CONFIGS.decode(value)
        checked("version", config.version, 0, MAX_COUNT)
        tenants = config.tenants
        return RoutingTable(
            version=config.version,
            routes=tuple(_routes(config)),
            services=tuple(_service(service) for service in config.services),
            limits=_limits(config.limits),
            customers=None if tenants is None else decode_customers(tenants),
        )


def decode_target(target_id: str, value: bytes) -> TargetEntry:
    """Return the target that a runner's entry describes.

    :raises ChivespanError: ``invalid_document`` when the entry is invalid.
    """
    with decoding(f"entry of {target_id[:MAX_SHOWN_ID]!r}"):
        entry = _ENTRIES.decode(value)
        checked("slots", entry.slots, 1, MAX_SLOTS)
        checked("seq", entry.seq, -MAX_COUNT, MAX_COUNT)
        checked("born", entry.born, 0, MAX_COUNT)
        parse_address(entry.address)
        return TargetEntry(
            target_id=target_id,
            service=entry.service,
            address=entry.address,
            data_centre=entry.zone,
            slots=entry.slots,
            draining=_STATES[entry.state],
            sequence=entry.seq,
            started_ms=entry.born,
        )


def _routes(config: _Config) -> Iterator[Route]:
    for route in config.routes:
        checked("priority", route.priority, -MAX_COUNT, MAX_COUNT)
        checked("maxAttempts", route.maxAttempts, 0, MAX_COUNT)
        checked("cap", route.cap, 0, MAX_COUNT)
        yield Route(
            name=route.name,
            host=route.host.lower(),
            path_prefix=route.pathPrefix,
            kind=_KINDS.get(route.kind, RouteKind.NON_IDEMPOTENT),
            timeout=_ms(route.timeoutMs),
            objective=_ms(route.goalMs),
            priority=route.priority,
            shares=_shares(route),
            max_attempts=max(1, route.maxAttempts),
            resumable=route.resumable,
            longest_gap=_ms(route.gapAimMs),
            due=_ms(route.dueMs),
            abandon_after=_ms(route.retentionS * MILLISECONDS_PER_S),
            waiting_tokens_limit=route.cap,
            is_public=route.public,
        )


def _shares(route: _Route) -> tuple[ServiceShare, ...]:
    if not route.weightedServices:
        return (ServiceShare(route.service, 1),)
    for share in route.weightedServices:
        checked("weight", share.weight, 0, MAX_COUNT)
    return tuple(
        ServiceShare(share.service, share.weight) for share in route.weightedServices
    )


def _service(service: _Service) -> Service:
    checked("maxConns", service.maxConns, 0, MAX_COUNT)
    slots = service.engine.slots if service.engine else 0
    return Service(service.name, service.healthPath, service.maxConns, slots)


def _limits(limits: _Limits) -> CallerLimits:
    checked("maxHeaderBytes", limits.maxHeaderBytes, 0, MAX_COUNT)
    checked("maxBodyBytes", limits.maxBodyBytes, 0, MAX_COUNT)
    return CallerLimits(
        max_header_bytes=limits.maxHeaderBytes,
        max_body_bytes=limits.maxBodyBytes,
        header_timeout=_ms(limits.headerTimeoutMs),
        idle_timeout=_ms(limits.idleTimeoutMs),
    )


def _ms(value: float) -> timedelta:
    checked("duration", value, 0, MAX_DURATION_MS)
    return timedelta(milliseconds=value)
