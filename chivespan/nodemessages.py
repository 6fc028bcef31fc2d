"""Data classes generated from schema/nodemessages.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TypeAlias

NodeMessages: TypeAlias = Any
"""
What the nodes of a fleet say to each other over websockets in CBOR.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLoad:
    """
    Requests that one node has in progress at one target.
    """

    target_id: str
    online: int
    batch: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """
    How a node stands, and towards those who sum it up all that it has in progress; replaces its last report.
    """

    config_version: int
    """
    Version of the routing table in force; -1 for none.
    """
    leaving: bool
    store_reached: bool
    """
    Whether its last calls to the store went well.
    """
    owned: list[int]
    """
    Batch partitions that it owns.
    """
    link_mbps: float
    """
    Bandwidth of its link.
    """
    sequence: int
    """
    Counts the reports of this node that hold its loads.
    """
    silent: list[str]
    """
    Targets whose streams have fallen silent; only with its loads.
    """
    loads: list[TargetLoad]


@dataclass(frozen=True, kw_only=True, slots=True)
class SummedReport:
    """
    A report that a sum holds.
    """

    vm: str
    """
    IP number of the node that sent it.
    """
    sequence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentreReport:
    """
    What all nodes of one data centre have in progress; replaces the last such report.
    """

    data_centre: str
    summed: list[SummedReport]
    """
    The last report of each node there; empty towards other data centres.
    """
    silent: list[str]
    """
    Targets whose streams have fallen silent there.
    """
    loads: list[TargetLoad]


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetReport:
    """
    What a relay passes on to its own data centre; one report for each data centre of which there is news.
    """

    reports: list[DataCentreReport]


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetEntry:
    """
    What a running target says of itself, in its entry in the store.
    """

    target_id: str
    """
    Names one run of the target; a restart mostly gets another.
    """
    service: str
    address: str
    """
    IP number and port.
    """
    data_centre: str
    slots: int
    """
    Requests that it runs at a time.
    """
    draining: bool
    """
    Whether it takes no new requests.
    """
    sequence: int
    """
    Counts up with each renewal of one run.
    """
    started_ms: int
    """
    Unix milliseconds of its start; 0 where it does not say.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeValue:
    """
    Where one node of the fleet is.
    """

    vm: str
    """
    IP number of the node's VM.
    """
    data_centre: str
    front_address: str
    """
    Where it takes callers.
    """
    control_address: str
    """
    Where it takes links.
    """
    link_mbps: float = 0
    """
    Bandwidth of its link; 0 where it isn't known.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentreNodes:
    """
    Which nodes of a data centre are live and take callers; replaces the last such message.
    """

    data_centre: str
    nodes: list[NodeValue]
    owners: list[str]
    """
    IP numbers of nodes that own batch partitions.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetQuery:
    """
    Asks a peer for what the store would say, while the store can't be reached.
    """

    config_version: int
    """
    Version that the sender has; -1 for none.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetAnswer:
    """
    What the peer knows; from the store a short while ago.
    """

    config: bytes
    """
    The newest configuration; empty when the sender has it.
    """
    targets: list[TargetEntry]
    targets_known: bool
    """
    Whether the peer has just read the targets from the store.
    """
    nodes: list[NodeValue]


class BatchVerb(StrEnum):
    """
    What is asked of a batch partition's owner.
    """

    submit = 'submit'
    page = 'page'
    body = 'body'
    end = 'end'


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchQuestion:
    """
    A caller's call on a batch job, passed on to the owner of its partition.
    """

    question: int
    """
    Unique to the sender's run.
    """
    verb: BatchVerb
    partition: int
    host: str
    route: str
    """
    Name of the route of a submission.
    """
    job_id: str
    item_id: str
    """
    Item whose body is wanted.
    """
    start: int
    """
    First position of a page.
    """
    wait_ms: int
    """
    How long a page may wait for its first result.
    """
    body: bytes
    """
    Items of a submission.
    """
    patience_ms: int
    """
    How long the sender waits for the answer.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchReply:
    """
    The owner's answer.
    """

    question: int
    kind: str
    """
    Kind of error; empty when all went well.
    """
    body: bytes
    retry_after_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemHeader:
    """
    One header of an item's request.
    """

    name: str
    value: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemStart:
    """
    Has a node run an item of a batch job at one target; or go on with one that it holds.
    """

    partition: int
    job_id: str
    item_id: str
    target_id: str
    host: str
    path: str
    """
    Empty to go on with an item that the node holds.
    """
    headers: list[ItemHeader]
    body: bytes
    events: list[str]
    """
    Data of the events that are there already.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemStop:
    """
    Has a node drop an item; whatever was produced is not wanted.
    """

    job_id: str
    item_id: str


class ItemState(StrEnum):
    """
    How an item stands at the node that holds it. Broken and not run are paused ones whose target is to blame.
    """

    running = 'running'
    paused = 'paused'
    broken = 'broken'
    not_run = 'not_run'
    failed = 'failed'
    impossible = 'impossible'
    done = 'done'
    returned = 'returned'


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemStatus:
    """
    Tells the owner of a partition of an item that the sender holds.
    """

    partition: int
    job_id: str
    item_id: str
    target_id: str
    """
    Where it runs or ran last.
    """
    state: ItemState
    events: int
    """
    Events that are there.
    """
    text: list[str]
    """
    Data of all events of an item that is done or returned; else empty.
    """
    repeated: bool
    """
    Whether it was told before and is told again in case that was lost.
    """
