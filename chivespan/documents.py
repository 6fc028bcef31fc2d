"""Data classes generated from schema/documents.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, TypeAlias

Documents: TypeAlias = Any
"""
The inventory and the rules, one document for each thing an operator names.
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
    A group of data centres near each other.
    """

    name: str


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentre:
    """
    A data centre in a region; online work spills to the others of its region.
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
    Most tokens one answer may have.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class PlainCall:
    """
    One call of a plain service.
    """

    method: str
    path: str
    """
    Path of the call below the service's own path.
    """
    idempotent: bool = False
    """
    Whether the call may be repeated.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """
    What callers ask for; its runners do the work.
    """

    name: str
    kind: ServiceKind
    models: list[str] = field(default_factory=list)
    calls: list[PlainCall] = field(default_factory=list)
    deadline_ms: int = 30000
    """
    A whole online answer is due within this.
    """
    first_token_ms: int = 630
    """
    Bound of the time to the first token for 95 in 100.
    """
    token_gap_ms: int = 26
    """
    Bound of the gap between tokens for 95 in 100.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class Runner:
    """
    The inventory's entry for one target.
    """

    name: str
    service: str
    address: str
    """
    IP number and port.
    """
    data_centre: str
    slots: int
    """
    Requests that run at a time.
    """
    model: str = ''
    version: str = ''
    adapters: list[str] = field(default_factory=list)
    role: str = 'serve'
    checks_fencing: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Owner:
    """
    A customer whose keys callers present.
    """

    name: str
    key_sha256: list[str]
    """
    Hex digests of the owner's keys.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class Operator:
    """
    A person who may change inventory and rules.
    """

    name: str
    key_sha256: list[str]


@dataclass(frozen=True, kw_only=True, slots=True)
class Rule:
    """
    Whose work counts as what at which service, and what it may take.
    """

    name: str
    owner: str
    service: str
    work_class: WorkClassRule
    weight: int = 1
    """
    Share against other owners when all want more.
    """
    max_in_progress: int = 0
    """
    Requests at a time; 0 for no limit.
    """
    max_tokens_per_s: int = 0
    """
    0 for no limit.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class Keeping:
    """
    How long results and keys are kept, and bounds of batch work. There is one, named "keeping".
    """

    name: str
    results_days: int = 7
    keys_days: int = 7
    """
    Job keys and claims of calls that may not be repeated.
    """
    item_attempts: int = 4
    """
    Attempts after which an item ends as failed.
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
