"""Data classes generated from schema/records.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime
from typing import Any, TypeAlias

Records: TypeAlias = Any
"""
Records that chivespan writes to the platform's log. Every record is wrapped in an Envelope.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordId:
    """
    Unique id of a record; folds ignore duplicates.
    """

    writer: str
    """
    VM and incarnation of the writing process.
    """
    sequence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """
    Envelope of every record.
    """

    writer: str
    sequence: int
    written_at: datetime
    kind: str
    body: bytes
    """
    CBOR of the record
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class VoidRecord:
    """
    Voids the record with this id, unless that record comes first.
    """

    writer: str
    sequence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DocumentChange:
    """
    Replacement or removal of one document, based on a version of it.
    """

    kind: str
    name: str
    base_version: int
    """
    Expected current version; 0 if the document must not exist.
    """
    document: bytes | None = None
    """
    CBOR of the document; null removes it.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigChange:
    """
    One operator's change; it takes effect only if every base version still matches at its offset.
    """

    operator: str
    reason: str
    changes: list[DocumentChange]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobBegin:
    """
    First record of a batch job's submission.
    """

    job_id: str
    owner: str
    job_key: str
    """
    Idempotency key chosen by the owner; empty for none.
    """
    service: str
    model: str
    items: int
    chunks: int
    digest: str
    """
    Hash of the content of the job.
    """
    idempotent: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class JobItem:
    item_key: str
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class JobChunk:
    """
    Consecutive items of a job.
    """

    job_id: str
    chunk: int
    items: list[JobItem]
    digest: str = ''
    """
    Digest of the submission that the chunk belongs to.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class JobClose:
    """
    Closes the submission; the job is accepted once this record and all chunks have been read back.
    """

    job_id: str
    digest: str = ''
    """
    Digest of the closed submission.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancel:
    job_id: str
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemStart:
    """
    Claims the only run of an item that is not idempotent.
    """

    job_id: str
    chunk: int
    index: int
    """
    Position in the chunk.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemResult:
    index: int
    """
    Position in the chunk.
    """
    ok: bool
    attempts: int
    body: bytes
    error: str = ''
    """
    Code of an error kind if not ok.
    """
    item_key: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemResults:
    """
    Results of items of one chunk; the first result of an item in log order wins.
    """

    job_id: str
    chunk: int
    results: list[ItemResult]


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """
    Claims the only run of a keyed request that is not idempotent; the first claim in log order wins.
    """

    owner: str
    key: str
    digest: str
    """
    Hash of the request.
    """
    service: str
    path: str
    claimant: str = ''
    """
    Unique to one attempt of one process; a repeated claim of the same claimant is the same claim.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimOutcome:
    """
    Outcome of a claimed request.
    """

    owner: str
    key: str
    known: bool
    """
    False if it cannot be determined whether the request ran.
    """
    body: bytes
    ran: bool = True
    """
    False if the request did not run; this releases the claim.
    """
    claim_offset: int = -1
    """
    Offset of the claim.
    """
    claimant: str = ''
    """
    Identifies the claim if its offset is unknown.
    """
    status: int = 0
    content_type: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """
    The complete state of a fold as of an offset; replay continues after as_of, not after this record.
    """

    as_of: int
    digest: str
    part: int
    parts: int
    state: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class SeenWriter:
    """
    The record ids of one writer that a fold has seen; all up to floor, and those listed in above.
    """

    writer: str
    floor: int
    above: list[int] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True, slots=True)
class AuditChange:
    """
    One document in an audit entry.
    """

    kind: str
    name: str
    base_version: int
    """
    Version that the change is based on.
    """
    version: int
    """
    Version after the record; 0 if there is none.
    """
    removed: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class AuditEntry:
    """
    Outcome of one configuration record.
    """

    offset: int
    written_at: datetime
    operator: str
    reason: str
    accepted: bool
    changes: list[AuditChange]
    writer: str = ''
    sequence: int = 0
    error: str = ''
    """
    Code of an error kind if not accepted.
    """
    detail: str = ''
    """
    Names the first document that caused the rejection.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderRecord:
    """
    An order that a node is about to send to a target.
    """

    vm: str
    """
    IP address of the node's VM.
    """
    target: str
    fence: int
    """
    Offset of the configuration that requires the order.
    """
    model: str
    version: str
    role: str
    before: str
    """
    Model and version that the target was last seen to have loaded.
    """
    adapters: list[str] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredState:
    """
    One document in a snapshot of the configuration.
    """

    kind: str
    name: str
    version: int
    offset: int
    document: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigState:
    """
    The complete state of the configuration's fold.
    """

    offset: int
    documents: list[StoredState]
    history: list[AuditEntry]
    seen: list[SeenWriter]


@dataclass(frozen=True, kw_only=True, slots=True)
class CarriedChunk:
    """
    A chunk with unfinished items, appended again before log retention drops it.
    """

    job_id: str
    chunk: int
    from_offset: int
    """
    The record is valid only while the chunk's current record is at this offset.
    """
    items: list[JobItem]


@dataclass(frozen=True, kw_only=True, slots=True)
class CarriedResults:
    """
    All results of a chunk so far, appended again before log retention drops them.
    """

    job_id: str
    chunk: int
    from_offsets: list[int]
    """
    The record is valid only while these are the offsets of the chunk's results.
    """
    results: list[ItemResult]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobExpire:
    """
    Expires a job that has ended, or was never closed, after its retention time.
    """

    job_id: str
    begin_offset: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CarriedOutcome:
    """
    An outcome, appended again before log retention drops it.
    """

    from_offset: int
    """
    The record is valid only while the outcome's current record is at this offset.
    """
    outcome: ClaimOutcome


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimsExpire:
    """
    Expires all claims written before a time.
    """

    before: datetime


@dataclass(frozen=True, kw_only=True, slots=True)
class StartState:
    """
    A started item without a result.
    """

    index: int
    offset: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ChunkEntry:
    """
    One chunk in a snapshot of jobs.
    """

    offset: int
    count: int
    done: bytes
    """
    One bit for each item, starting with the lowest.
    """
    failed: int
    results: list[int]
    starts: list[StartState] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True, slots=True)
class JobEntry:
    """
    One job in a snapshot of jobs.
    """

    begin: JobBegin
    begin_offset: int
    begun_at: datetime
    phase: str
    chunks: list[ChunkEntry]
    ended_at: datetime | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class JobsState:
    """
    The complete state of the fold of a partition of jobs.
    """

    offset: int
    jobs: list[JobEntry]
    seen: list[SeenWriter]


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimEntry:
    """
    One claim in a snapshot of claims.
    """

    claim_id: bytes
    """
    Hash of the owner and the key.
    """
    offset: int
    written_at: datetime
    digest: str
    claimant: str
    outcome_offset: int
    """
    -1 for none.
    """
    known: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimsState:
    """
    The complete state of the fold of a partition of claims.
    """

    offset: int
    claims: list[ClaimEntry]
    seen: list[SeenWriter]


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemAnswer:
    """
    Body of an item's successful result.
    """

    status: int
    content_type: str
    text: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemFailure:
    """
    Body of an item's failed result.
    """

    message: str
