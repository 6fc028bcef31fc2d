"""Data classes generated from schema/records.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime
from typing import Any, TypeAlias

Records: TypeAlias = Any
"""
What chivespan writes to the platform's log. Every record travels in an Envelope.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordId:
    """
    Unique id of a record; folds ignore a second copy.
    """

    writer: str
    """
    VM and incarnation of the process that wrote it.
    """
    sequence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Envelope:
    """
    Outer form of every record.
    """

    writer: str
    sequence: int
    written_at: datetime
    kind: str
    body: bytes
    """
    CBOR of the record named by kind.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class VoidRecord:
    """
    Makes a record with this id count for nothing, unless it comes first.
    """

    writer: str
    sequence: int


@dataclass(frozen=True, kw_only=True, slots=True)
class DocumentChange:
    """
    One document's new text, or its removal, made against a version.
    """

    kind: str
    name: str
    base_version: int
    """
    0 when the document must not exist.
    """
    document: bytes | None = None
    """
    CBOR of the document; null removes it.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigChange:
    """
    One operator's change; in force only if every base version still matches at its offset.
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
    The owner's own key; empty for none.
    """
    service: str
    model: str
    items: int
    chunks: int
    digest: str
    """
    Hash of the job's content.
    """
    idempotent: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class JobItem:
    item_key: str
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class JobChunk:
    """
    A run of a job's items, in order.
    """

    job_id: str
    chunk: int
    items: list[JobItem]
    digest: str = ''
    """
    Digest of the submission that it belongs to.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class JobClose:
    """
    Closes the submission; the job is accepted when this and all chunks have been read back.
    """

    job_id: str
    digest: str = ''
    """
    Digest of the submission that it closes.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancel:
    job_id: str
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemStart:
    """
    Claims the one run of an item that may not be repeated.
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
    Code of an error kind when not ok.
    """
    item_key: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemResults:
    """
    Results of items of one chunk; for each item the first in log order counts.
    """

    job_id: str
    chunk: int
    results: list[ItemResult]


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """
    The right to run a keyed request that may not be repeated; the first in log order has it.
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
    Unique to one try of one process; a claim asked for again by the same claimant is the same claim.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimOutcome:
    """
    What became of a claimed request.
    """

    owner: str
    key: str
    known: bool
    """
    False when nobody can know whether it ran.
    """
    body: bytes
    ran: bool = True
    """
    False gives the claim back; it was not run.
    """
    claim_offset: int = -1
    """
    Offset of the claim that this is the outcome of.
    """
    claimant: str = ''
    """
    Names the claim where its offset isn't known.
    """
    status: int = 0
    content_type: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """
    A fold's whole state as of an offset; replay goes on after as_of, not after this record.
    """

    as_of: int
    digest: str
    part: int
    parts: int
    state: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class SeenWriter:
    """
    The ids that a fold has seen of one writer; all up to floor, and those listed.
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
    Version that the change was made against.
    """
    version: int
    """
    Version after the record; 0 when there is none.
    """
    removed: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class AuditEntry:
    """
    What became of one configuration record.
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
    Code of an error kind when not accepted.
    """
    detail: str = ''
    """
    Names the first document that stood against it.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderRecord:
    """
    An order that a node is about to send to a target.
    """

    vm: str
    """
    IP number of the node's VM.
    """
    target: str
    fence: int
    """
    Offset of the configuration that wants it.
    """
    model: str
    version: str
    role: str
    before: str
    """
    What the target was seen to have loaded.
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
    The whole state of the configuration's fold.
    """

    offset: int
    documents: list[StoredState]
    history: list[AuditEntry]
    seen: list[SeenWriter]


@dataclass(frozen=True, kw_only=True, slots=True)
class CarriedChunk:
    """
    A chunk with open items, appended anew before the log drops it.
    """

    job_id: str
    chunk: int
    from_offset: int
    """
    Counts only while the chunk is still kept at this offset.
    """
    items: list[JobItem]


@dataclass(frozen=True, kw_only=True, slots=True)
class CarriedResults:
    """
    All results of a chunk so far, appended anew before the log drops them.
    """

    job_id: str
    chunk: int
    from_offsets: list[int]
    """
    Counts only while these are still the chunk's results.
    """
    results: list[ItemResult]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobExpire:
    """
    The keeping time of a job that has ended, or was never closed, is over.
    """

    job_id: str
    begin_offset: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CarriedOutcome:
    """
    An outcome appended anew before the log drops it.
    """

    from_offset: int
    """
    Counts only while the outcome is still kept at this offset.
    """
    outcome: ClaimOutcome


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimsExpire:
    """
    The keeping time of all claims written before a time is over.
    """

    before: datetime


@dataclass(frozen=True, kw_only=True, slots=True)
class StartState:
    """
    An item that was started and has no result yet.
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
    A bit for each item, the first lowest.
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
    The whole state of the fold of a partition of jobs.
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
    Hash of owner and key.
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
    The whole state of the fold of a partition of claims.
    """

    offset: int
    claims: list[ClaimEntry]
    seen: list[SeenWriter]


@dataclass(frozen=True, kw_only=True, slots=True)
class ItemAnswer:
    """
    Body of an item's good result.
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
