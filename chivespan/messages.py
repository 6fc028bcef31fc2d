"""Data classes generated from schema/messages.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, TypeAlias

Messages: TypeAlias = Any
"""
What chivespan's own processes say to each other over websockets in CBOR.
"""


class WorkClass(StrEnum):
    """
    Online work has a caller waiting; batch work takes what is left.
    """

    online = 'online'
    batch = 'batch'


class Program(StrEnum):
    """
    The programs of one VM, and the operators' command line.
    """

    entry = 'entry'
    dispatch = 'dispatch'
    batch = 'batch'
    operator = 'operator'
    node = 'node'


class Outcome(StrEnum):
    """
    How the use of a grant ended, as its holder saw it.
    """

    done = 'done'
    failed = 'failed'
    timed_out = 'timed_out'
    cancelled = 'cancelled'
    not_sent = 'not_sent'


@dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """
    First message on every connection, in both directions; the only one whose fields go by name.
    """

    vm: str
    """
    IP number of the sender's VM.
    """
    program: Program
    data_centre: str
    region: str
    incarnation: str
    """
    Unique to one run of the process.
    """
    serving_port: int = 0
    """
    Port on which the process takes callers; 0 for none.
    """
    protocol: int = 1
    """
    Version of the frames that follow; the other end has to speak the same.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class SliceLoad:
    """
    Load of one slice, as its owner counts it.
    """

    slice_id: str
    free_slots: int
    total_slots: int
    queued_online: int
    batch_running: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """
    Sent on every peer connection at a fixed interval, in both directions.
    """

    config_offset: int
    """
    Offset of the last configuration record applied.
    """
    leaving: bool
    slices: list[SliceLoad]
    runs_batch: bool = True
    """
    Whether the VM's batch process is there.
    """
    entry_ports: list[int] | None = None
    """
    Ports of the VM's entry processes that take callers; null while unknown.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantRequest:
    """
    Asks a slice's owner for one slot on one of its targets.
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
    Milliseconds from now within which a grant is of use.
    """
    tokens: int
    """
    Upper bound of tokens to generate.
    """
    prefix_hash: int = 0
    """
    Hash of the prompt's head; 0 for none.
    """
    excluded: list[str] = field(default_factory=list)
    """
    Targets that failed this request before.
    """
    attempt: int = 1
    max_wait_ms: int = -1
    """
    A grant that would take longer is refused at once, so that another slice can be asked; -1 to wait until the deadline.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantAbandon:
    """
    The asker no longer wants the grant it asked for.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """
    A slot on one target, to be used at once.
    """

    request_id: str
    grant_id: str
    target: str
    """
    Name of the runner.
    """
    address: str
    """
    IP number and port of the target.
    """
    lifetime_ms: int
    """
    Unused after this time the grant lapses.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnerShare:
    """
    Part of a capacity that one owner's work holds.
    """

    owner: str
    work_class: WorkClass
    slots: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """
    No grant, said at once, with when to come back.
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
    The holder gives a slot back and says what it measured.
    """

    grant_id: str
    outcome: Outcome
    first_token_us: int = 0
    """
    From grant to first token; 0 when none came.
    """
    token_gap_us: int = 0
    """
    Mean gap between tokens; 0 when unknown.
    """
    tokens: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class GrantRevoke:
    """
    The slice's owner takes a batch grant back; the holder cancels the stream.
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
    All grants that the sender holds on one slice; ends a new owner's careful phase for this sender.
    """

    slice_id: str
    grants: list[HeldGrant]


class VmState(StrEnum):
    """
    Live and leaving as listed or announced; silent when heartbeats stopped.
    """

    live = 'live'
    leaving = 'leaving'
    silent = 'silent'


@dataclass(frozen=True, kw_only=True, slots=True)
class VmView:
    """
    One VM as the sender sees it.
    """

    vm: str
    data_centre: str
    region: str
    state: VmState
    config_offset: int = -1
    slices: list[SliceLoad] = field(default_factory=list)
    runs_batch: bool = True
    """
    Whether the VM's batch process is there.
    """
    entry_ports: list[int] | None = None
    """
    Ports of the VM's entry processes that take callers; null while unknown.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class MembershipUpdate:
    """
    The whole membership view, pushed by a dispatcher to its VM's other programs on change.
    """

    vms: list[VmView]
    whole: bool = True
    """
    False when only these VMs changed.
    """
    gone: list[str] = field(default_factory=list)
    """
    VMs to forget.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigRequest:
    """
    Asks for configuration newer than what the sender has.
    """

    have_offset: int
    """
    -1 when the sender has none.
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
    A whole configuration as of an offset, for a receiver that has nothing or fell behind.
    """

    as_of: int
    snapshot: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageCount:
    """
    What one owner consumed of one service in one class since the sender started.
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
    Running totals of one process; the receiver keeps the highest for each incarnation.
    """

    vm: str
    incarnation: str
    counts: list[UsageCount]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelNotice:
    """
    Speeds up a cancel; the record in the log is what counts.
    """

    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class TargetStatus:
    """
    One target as its slice's owner sees it.
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
    What the inventory wants loaded.
    """
    ordered: str = ''
    """
    What the order says that is out.
    """
    observed: str = ''
    """
    What the engine says that it has loaded; empty when it doesn't say.
    """
    phase: str = ''
    """
    Where its order stands; empty for a target that gets none.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusRequest:
    """
    Asks a dispatcher for what it owns and has in force.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusReply:
    request_id: str
    vm: str
    config_offset: int
    config_age_ms: int
    """
    Since the log or a peer last confirmed this to be the newest.
    """
    leaving: bool
    targets: list[TargetStatus]
    vms: list[VmView]


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageRequest:
    """
    Asks a dispatcher for the merged usage of its data centre.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageReply:
    """
    Usage summed over all processes of the data centre that were heard.
    """

    request_id: str
    counts: list[UsageCount]


@dataclass(frozen=True, kw_only=True, slots=True)
class DrainRequest:
    """
    Tells a dispatcher that its VM is to leave; answered by a StatusReply.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldGrantsRequest:
    """
    A slice's new owner asks what the receiver holds on it.
    """

    slice_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetStatus:
    """
    Answer of GET /operator/status, in JSON.
    """

    vms: list[StatusReply]
    unreachable: list[str]
    """
    VMs whose dispatcher gave no answer.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetUsage:
    """
    Answer of GET /v1/usage, in JSON.
    """

    counts: list[UsageCount]
    missing: list[str]
    """
    Data centres of which no dispatcher gave an answer.
    """
