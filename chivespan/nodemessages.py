"""Data classes generated from schema/nodemessages.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, TypeAlias

NodeMessages: TypeAlias = Any
"""
Messages between the nodes of a fleet, in CBOR over websockets.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLoad:
    """
    Number of requests that one node has in progress at one target.
    """

    target_id: str
    online: int
    batch: int


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetRun:
    """
    Identifies one run of a target, from its start to its end.
    """

    target_id: str
    started_ms: int
    """
    Start time as in the target's entry.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class PartCrash:
    """
    One request that a run of a target had not begun to answer when the run ended.
    """

    run: TargetRun
    request_id: str
    age_ms: int
    """
    Time since the run ended.
    """
    fingerprint: str = ''
    """
    The same for all attempts to send the request; empty for batch items and in evidence on a request itself.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class PartEvidence:
    """
    What is known of a part of prompts, or of a request, that may crash targets.
    """

    part: str
    """
    Id of the part; of a request, its fingerprint.
    """
    crashes: list[PartCrash]
    answered_age_ms: int
    """
    Time since a target answered a request with this part; -1 if unknown.
    """
    quarantine_ms: int
    """
    Time for which requests with this part are refused; 0 for none.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetLimit:
    """
    The latest statement of a run of a target on how many requests it accepts from all nodes together.
    """

    run: TargetRun
    per_s: float
    """
    Requests per second; -1 for no limit.
    """
    age_ms: int
    """
    Time since a node received the statement.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetSends:
    """
    Number of requests recently sent to one target that has a rate limit; decays with time.
    """

    target_id: str
    count: float


@dataclass(frozen=True, kw_only=True, slots=True)
class CustomerUsage:
    """
    How much of its quota a customer has used lately; drains at the quota's rate.
    """

    customer: str
    level: float
    """
    Requests.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetSpeed:
    """
    How fast a run of a target produces the events of its responses.
    """

    run: TargetRun
    event_us: int
    """
    Mean time between two events of a response.
    """
    samples: int
    """
    Number of responses that the mean was made from.
    """
    age_ms: int
    """
    Time since the last response that it includes.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceReturns:
    """
    Refused callers of a service that were told when to retry.
    """

    service: str
    first_ms: int
    """
    Time from the sending of the report to the first interval.
    """
    counts: list[int]
    """
    Number of callers in consecutive intervals of 100 ms.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class SummedReport:
    """
    Identifies a load report that is included in a sum.
    """

    vm: str
    """
    IP address of the node that sent the report.
    """
    sequence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentreReport:
    """
    Requests in progress of all nodes of one data centre, or of the whole fleet; replaces its last report.
    """

    data_centre: str
    """
    Empty for the whole fleet.
    """
    summed: list[SummedReport]
    """
    The included report of each node; empty in reports to other data centres.
    """
    silent: list[str]
    """
    Targets whose streams to this data centre stopped sending data.
    """
    loads: list[TargetLoad]
    leaving_targets: list[TargetRun] = field(default_factory=list)
    """
    Runs known to have announced their end while the store still lists them as ready.
    """
    prompt_parts: list[PartEvidence] = field(default_factory=list)
    """
    Evidence that has changed since the last report on what is suspected of crashing targets.
    """
    target_limits: list[TargetLimit] = field(default_factory=list)
    """
    Rate limits that have changed since the last report.
    """
    recent_sends: list[TargetSends] = field(default_factory=list)
    """
    Requests recently sent to targets that have a rate limit.
    """
    customer_usage: list[CustomerUsage] = field(default_factory=list)
    """
    Usage of quotas above the reporting threshold.
    """
    nodes: int = 0
    """
    Number of nodes that the sums cover; 0 by an earlier release or without customers; -1 if the data centre can't be reached.
    """
    sequence: int = 0
    """
    Number of sums sent to other data centres; 0 if it isn't to be acknowledged.
    """
    received: list[SummedReport] = field(default_factory=list)
    """
    Latest sum received from the relay to which this one is sent.
    """
    target_speeds: list[TargetSpeed] = field(default_factory=list)
    """
    Speeds that have changed since the last report.
    """
    promised_returns: list[ServiceReturns] = field(default_factory=list)
    """
    Refused callers that the summed nodes told when to retry, if they have changed since the last report.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetReport:
    """
    Reports that a relay sends within its own data centre.
    """

    reports: list[DataCentreReport]


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetEntry:
    """
    The entry that a running target writes to the store about itself.
    """

    target_id: str
    """
    Identifies one run of the target; usually different after a restart.
    """
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
    draining: bool
    """
    Whether the target accepts no new requests.
    """
    sequence: int
    """
    Increases with each renewal of the entry within one run.
    """
    started_ms: int
    """
    Start time in Unix milliseconds; 0 if the target does not report it.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeValue:
    """
    Location and addresses of one node of the fleet.
    """

    vm: str
    """
    IP address of the node's VM.
    """
    data_centre: str
    front_address: str
    """
    Address for requests of callers.
    """
    control_address: str
    """
    Address for links from other nodes.
    """
    link_mbps: float = 0
    """
    Bandwidth of its link; 0 if unknown.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class DataCentreNodes:
    """
    Live nodes of a data centre that serve callers; replaces the last such message.
    """

    data_centre: str
    nodes: list[NodeValue]
    owners: list[str]
    """
    IP addresses of nodes that own batch partitions.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetQuery:
    """
    Requests a peer's copy of the store's data while the store is unreachable.
    """

    config_version: int
    """
    Version of the sender's configuration; -1 for none.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetAnswer:
    """
    The peer's copy of data that it read from the store recently.
    """

    config: bytes
    """
    The newest configuration; empty if the requester has it.
    """
    targets: list[TargetEntry]
    targets_known: bool
    """
    Whether the peer read the targets from the store recently.
    """
    nodes: list[NodeValue]
    is_feed: bool = False
    """
    Whether a relay sends this unasked when it has just read the targets from the store.
    """
    config_version: int = -1
    """
    Version of the peer's configuration; -1 for none.
    """
    config_age_ms: int = -1
    """
    Milliseconds since the store confirmed that this was the newest version; negative by an earlier release.
    """


class BatchVerb(StrEnum):
    """
    Operation requested from the owner of a batch partition.
    """

    submit = 'submit'
    page = 'page'
    body = 'body'
    end = 'end'


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchQuestion:
    """
    A caller's request for a batch job, forwarded to the owner of its partition.
    """

    question: int
    """
    Id of the request, unique within one run of the sender.
    """
    verb: BatchVerb
    partition: int
    host: str
    route: str
    """
    Name of the route, for a submission.
    """
    job_id: str
    item_id: str
    """
    Item whose body is requested.
    """
    start: int
    """
    First position of the page.
    """
    wait_ms: int
    """
    Maximum time that a page waits for its first result.
    """
    body: bytes
    """
    Items of the submission.
    """
    patience_ms: int
    """
    Time for which the sender waits for the reply.
    """
    customer: str = ''
    """
    Name of the customer that asks; empty if that isn't known.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchReply:
    """
    The owner's reply to a forwarded request.
    """

    question: int
    kind: str
    """
    Kind of error; empty on success.
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
    Starts a batch item on a node at one target, or resumes one that the node holds.
    """

    partition: int
    job_id: str
    item_id: str
    target_id: str
    host: str
    path: str
    """
    Empty to resume an item that the node holds.
    """
    headers: list[ItemHeader]
    body: bytes
    events: list[str]
    """
    Data of the events that were received before.
    """
    attempt: int = 0
    """
    Number of this attempt at the item; 0 if its owner doesn't number them.
    """
    customer: str = ''
    """
    Name of the customer that submitted the item; empty if that isn't known.
    """
    expected_events: int = 0
    """
    Number of events that the item is expected to have; 0 if unknown.
    """
    is_late: bool = False
    """
    Whether the item can't be done by its due time any more.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemStop:
    """
    Stops an item on a node, which discards the output.
    """

    job_id: str
    item_id: str


class ItemState(StrEnum):
    """
    State of an item at the node that holds it. Broken and not run are paused states caused by the target.
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
    Reports the state of an item that the sender holds to the owner of its partition.
    """

    partition: int
    job_id: str
    item_id: str
    target_id: str
    """
    Target where the item runs or ran last.
    """
    state: ItemState
    events: int
    """
    Number of events received.
    """
    text: list[str]
    """
    Data of all events of an item that is done or returned; otherwise empty.
    """
    repeated: bool
    """
    Whether this repeats an earlier status in case that was lost.
    """
    failed_attempts: list[int] = field(default_factory=list)
    """
    Numbers of all attempts that failed while the sender has held the item.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """
    Status of a node, and for the receivers that sum up loads also its requests in progress; replaces its last report.
    """

    config_version: int
    """
    Version of the routing table in force; -1 for none.
    """
    leaving: bool
    store_reached: bool
    """
    Whether its last calls to the store succeeded.
    """
    owned: list[int]
    """
    Batch partitions owned by the node.
    """
    link_mbps: float
    """
    Bandwidth of its link.
    """
    sequence: int
    """
    Number of reports of this node that contain its loads.
    """
    silent: list[str]
    """
    Targets whose streams stopped sending data; only with loads.
    """
    loads: list[TargetLoad]
    leaving_targets: list[TargetRun] = field(default_factory=list)
    """
    Runs that announced their end in a response to this node while the store still lists them as ready; only with loads.
    """
    prompt_parts: list[PartEvidence] = field(default_factory=list)
    """
    Evidence that has changed since the last report on what is suspected of crashing targets; only with loads.
    """
    target_limits: list[TargetLimit] = field(default_factory=list)
    """
    Rate limits that have changed since the last report; only with loads.
    """
    recent_sends: list[TargetSends] = field(default_factory=list)
    """
    Requests recently sent to targets that have a rate limit; only with loads.
    """
    customer_usage: list[CustomerUsage] = field(default_factory=list)
    """
    Usage of quotas above the reporting threshold; only with loads.
    """
    received: list[SummedReport] = field(default_factory=list)
    """
    Latest report of each node that reports to this one directly; only if customers are known.
    """
    target_speeds: list[TargetSpeed] = field(default_factory=list)
    """
    Speeds that have changed since the last report; only with loads.
    """
    promised_returns: list[ServiceReturns] = field(default_factory=list)
    """
    Refused callers that this node told when to retry, if they have changed since the last report; only with loads.
    """
