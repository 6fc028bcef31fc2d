"""Data classes generated from schema/jobmessages.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TypeAlias

JobMessages: TypeAlias = Any
"""
Messages between entries and batch workers about jobs and claims.
"""


class JobPhase(StrEnum):
    submitting = 'submitting'
    accepted = 'accepted'
    finished = 'finished'
    cancelled = 'cancelled'


@dataclass(frozen=True, kw_only=True, slots=True)
class JobState:
    """
    State of a job in the fold of its partition.
    """

    job_id: str
    owner: str
    service: str
    phase: JobPhase
    items: int
    done: int
    """
    Number of items with a result, successful or failed.
    """
    failed: int
    job_key: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class SubmitItem:
    item_key: str
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class SubmitJob:
    """
    Submits a job whose chunks were sent before.
    """

    request_id: str
    submission_id: str
    job_id: str
    owner: str
    job_key: str
    service: str
    model: str
    items: int
    chunks: int
    digest: str
    idempotent: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class JobStateRequest:
    request_id: str
    owner: str
    job_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class JobStateReply:
    request_id: str
    state: JobState


@dataclass(frozen=True, kw_only=True, slots=True)
class JobListRequest:
    """
    Requests the jobs of an owner in one partition.
    """

    request_id: str
    owner: str
    partition: int


@dataclass(frozen=True, kw_only=True, slots=True)
class JobListReply:
    request_id: str
    states: list[JobState]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobResultsRequest:
    """
    Requests the results of one chunk.
    """

    request_id: str
    owner: str
    job_id: str
    chunk: int


@dataclass(frozen=True, kw_only=True, slots=True)
class JobResult:
    index: int
    """
    Position in the job.
    """
    item_key: str
    ok: bool
    attempts: int
    error: str
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class JobResultsReply:
    request_id: str
    chunks: int
    """
    Number of chunks of the job.
    """
    results: list[JobResult]


@dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelRequest:
    request_id: str
    owner: str
    job_id: str
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimRequest:
    """
    Claims the only run of a request with an idempotency key.
    """

    request_id: str
    owner: str
    key: str
    digest: str
    service: str
    path: str
    claimant: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimReply:
    """
    Grants the claim, or returns the recorded response of the request.
    """

    request_id: str
    granted: bool
    claim_offset: int
    status: int = 0
    content_type: str = ''
    body: bytes | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeRequest:
    """
    Records the outcome of a granted claim.
    """

    request_id: str
    owner: str
    key: str
    known: bool
    ran: bool
    claim_offset: int = -1
    claimant: str = ''
    """
    Identifies the claim if its offset is unknown.
    """
    status: int = 0
    content_type: str = ''
    body: bytes | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Done:
    """
    Confirms that a request was carried out; the reply has no content.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchError:
    """
    Reports that the request was refused.
    """

    request_id: str
    error: str
    """
    Code of an error kind.
    """
    message: str
    retry_after_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class SubmitChunk:
    """
    A part of a submission, sent before SubmitJob on the same connection.
    """

    request_id: str
    submission_id: str
    chunk: int
    items: list[SubmitItem]
