"""Data classes generated from schema/documents.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, TypeAlias

Documents: TypeAlias = Any
"""
The inventory and the rules, one document for each named object.
"""


class ServiceKind(StrEnum):
    model = 'model'
    plain = 'plain'


class WorkClassRule(StrEnum):
    online = 'online'
    batch = 'batch'


@dataclass(frozen=True, kw_only=True, slots=True)
class Region:
    """
    A group of data centres close to each other.
    """

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentre:
    """
    A data centre in a region; online requests spill over to the others of its region.
    """

    name: str
    region: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Model:
    """
    A model that runners load from the weight store.
    """

    name: str
    version: str
    max_tokens: int = 4096
    """
    Maximum number of tokens of one response.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class PlainCall:
    """
    One call of a plain service.
    """

    method: str
    path: str
    """
    Path of the call relative to the service's path.
    """
    idempotent: bool = False
    """
    Whether the call may be retried.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """
    A service that callers request; its runners process the requests.
    """

    name: str
    kind: ServiceKind
    models: list[str] = field(default_factory=list)
    calls: list[PlainCall] = field(default_factory=list)
    deadline_ms: int = 30000
    """
    Time limit of a complete online response.
    """
    first_token_ms: int = 630
    """
    Limit of the 95th percentile of the time to the first token.
    """
    token_gap_ms: int = 26
    """
    Limit of the 95th percentile of the gap between tokens.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class Runner:
    """
    The inventory entry of one target.
    """

    name: str
    service: str
    address: str
    """
    IP address and port.
    """
    data_centre: str
    slots: int
    """
    Maximum number of concurrent requests.
    """
    model: str = ''
    version: str = ''
    adapters: list[str] = field(default_factory=list)
    role: str = 'serve'
    checks_fencing: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Owner:
    """
    A customer, identified by the keys that callers present.
    """

    name: str
    key_sha256: list[str]
    """
    SHA-256 hex digests of the owner's keys.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class Operator:
    """
    A person who may change the inventory and the rules.
    """

    name: str
    key_sha256: list[str]


@dataclass(frozen=True, kw_only=True, slots=True)
class Rule:
    """
    Work class, weight and limits of an owner's requests to a service.
    """

    name: str
    owner: str
    service: str
    work_class: WorkClassRule
    weight: int = 1
    """
    Relative share of the capacity when owners compete for it.
    """
    max_in_progress: int = 0
    """
    Maximum number of concurrent requests; 0 for no limit.
    """
    max_tokens_per_s: int = 0
    """
    Maximum token rate; 0 for no limit.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class Keeping:
    """
    Retention of results and keys, and limits of batch work. There is one document, named "keeping".
    """

    name: str
    results_days: int = 7
    keys_days: int = 7
    """
    Retention of job keys and of claims of calls that are not idempotent.
    """
    item_attempts: int = 4
    """
    Maximum number of attempts before an item fails.
    """


class DocumentKind(StrEnum):
    region = 'region'
    data_centre = 'data_centre'
    model = 'model'
    service = 'service'
    runner = 'runner'
    owner = 'owner'
    operator = 'operator'
    rule = 'rule'
    keeping = 'keeping'
