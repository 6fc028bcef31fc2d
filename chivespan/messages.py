"""Data classes generated from schema/messages.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, TypeAlias

from chivespan.linkmessages import SliceLoad

Messages: TypeAlias = Any
"""
Messages between chivespan processes, in CBOR over websockets.
"""


class WorkClass(StrEnum):
    """
    Online requests have a waiting caller; batch work uses the remaining capacity.
    """

    online = 'online'
    batch = 'batch'


class Outcome(StrEnum):
    """
    How the use of a grant ended, as reported by its holder.
    """

    done = 'done'
    failed = 'failed'
    timed_out = 'timed_out'
    cancelled = 'cancelled'
    not_sent = 'not_sent'


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantRequest:
    """
    Requests one slot on a target of a slice from the slice's owner.
    """

    request_id: str
    slice_id: str
    service: str
    model: str
    """
    Empty for a plain service.
    """
    owner: str
    work_class: WorkClass
    deadline_ms: int
    """
    Milliseconds from now until a grant is no longer useful.
    """
    tokens: int
    """
    Upper bound of the number of tokens to generate.
    """
    prefix_hash: int = 0
    """
    Hash of the prompt's prefix; 0 for none.
    """
    excluded: list[str] = field(default_factory=list)
    """
    Targets on which this request failed before.
    """
    attempt: int = 1
    max_wait_ms: int = -1
    """
    Maximum wait for a grant; a longer wait is refused immediately, so that the sender can try another slice; -1 to wait until the deadline.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantAbandon:
    """
    Withdraws a request for a grant.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """
    A slot on one target, to be used immediately.
    """

    request_id: str
    grant_id: str
    target: str
    """
    Name of the runner.
    """
    address: str
    """
    IP address and port of the target.
    """
    lifetime_ms: int
    """
    Time after which an unused grant expires.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerShare:
    """
    Slots held by one owner's requests of one work class.
    """

    owner: str
    work_class: WorkClass
    slots: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """
    Refuses a grant immediately, with the time after which to retry.
    """

    request_id: str
    error: str
    """
    Code of an error kind.
    """
    retry_after_ms: int
    shares: list[OwnerShare] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantRelease:
    """
    Releases a slot and reports the holder's measurements.
    """

    grant_id: str
    outcome: Outcome
    first_token_us: int = 0
    """
    Time from the grant to the first token; 0 if there was none.
    """
    token_gap_us: int = 0
    """
    Mean gap between tokens; 0 if unknown.
    """
    tokens: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantRevoke:
    """
    Revokes a batch grant; the holder cancels the stream.
    """

    grant_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldGrant:
    """
    One grant in use, reported to a slice's new owner.
    """

    grant_id: str
    target: str
    owner: str
    work_class: WorkClass


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldGrants:
    """
    All grants that the sender holds on one slice; ends a new owner's recovery phase for this sender.
    """

    slice_id: str
    grants: list[HeldGrant]


class VmState(StrEnum):
    """
    Live and leaving as listed or announced; silent after heartbeats stopped.
    """

    live = 'live'
    leaving = 'leaving'
    silent = 'silent'


@dataclass(frozen=True, kw_only=True, slots=True)
class VmView:
    """
    State of one VM in the sender's view.
    """

    vm: str
    data_centre: str
    region: str
    state: VmState
    config_offset: int = -1
    slices: list[SliceLoad] = field(default_factory=list)
    runs_batch: bool = True
    """
    Whether the VM's batch process is available.
    """
    entry_ports: list[int] | None = None
    """
    Ports of the VM's entry processes that serve callers; null while unknown.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class MembershipUpdate:
    """
    The complete membership view, pushed by a dispatcher to the other programs of its VM on changes.
    """

    vms: list[VmView]
    whole: bool = True
    """
    False when only these VMs changed.
    """
    gone: list[str] = field(default_factory=list)
    """
    VMs to remove from the view.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigRequest:
    """
    Requests configuration records newer than the sender's.
    """

    have_offset: int
    """
    Offset of the sender's last record; -1 for none.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigRecords:
    """
    Configuration records in log order; the first follows the receiver's offset.
    """

    from_offset: int
    records: list[bytes]
    next_offset: int = 0
    offsets: list[int] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigSnapshot:
    """
    The complete configuration as of an offset, for a receiver that has none or fell behind.
    """

    as_of: int
    snapshot: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageCount:
    """
    Usage of one service by one owner in one work class since the sender started.
    """

    owner: str
    service: str
    work_class: WorkClass
    requests: int = 0
    tokens: int = 0
    slot_ms: int = 0
    refusals: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageReport:
    """
    Cumulative totals of one process; the receiver keeps the highest for each incarnation.
    """

    vm: str
    incarnation: str
    counts: list[UsageCount]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelNotice:
    """
    Speeds up a cancellation; the record in the log is authoritative.
    """

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetStatus:
    """
    State of one target in the view of its slice's owner.
    """

    target: str
    slice_id: str
    state: str
    slots: int
    online_running: int
    batch_running: int
    model: str = ''
    version: str = ''
    desired: str = ''
    """
    Model and version that the inventory specifies.
    """
    ordered: str = ''
    """
    Model and version of the outstanding order.
    """
    observed: str = ''
    """
    Model and version that the engine reports; empty if it reports none.
    """
    phase: str = ''
    """
    Progress of the target's order; empty for a target without orders.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusRequest:
    """
    Requests a dispatcher's status, with its targets and its configuration.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusReply:
    request_id: str
    vm: str
    config_offset: int
    config_age_ms: int
    """
    Time since the log or a peer last confirmed that this is the newest.
    """
    leaving: bool
    targets: list[TargetStatus]
    vms: list[VmView]


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageRequest:
    """
    Requests the merged usage of a dispatcher's data centre.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageReply:
    """
    Usage summed over all processes of the data centre that reported it.
    """

    request_id: str
    counts: list[UsageCount]


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainRequest:
    """
    Starts draining a dispatcher's VM; the reply is a StatusReply.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldGrantsRequest:
    """
    Requests the grants that the receiver holds on a slice; sent by its new owner.
    """

    slice_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetStatus:
    """
    Response to GET /operator/status, in JSON.
    """

    vms: list[StatusReply]
    unreachable: list[str]
    """
    VMs whose dispatcher did not reply.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetUsage:
    """
    Response to GET /v1/usage, in JSON.
    """

    counts: list[UsageCount]
    missing: list[str]
    """
    Data centres of which no dispatcher replied.
    """
