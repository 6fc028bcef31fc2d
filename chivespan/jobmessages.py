"""Data classes generated from schema/jobmessages.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TypeAlias

JobMessages: TypeAlias = Any
"""
What entries and batch workers say to each other about jobs and claims.
"""


class JobPhase(StrEnum):
    submitting = 'submitting'
    accepted = 'accepted'
    finished = 'finished'
    cancelled = 'cancelled'


@dataclass(frozen=True, kw_only=True, slots=True)
class JobState:
    """
    A job as its partition's fold shows it.
    """

    job_id: str
    owner: str
    service: str
    phase: JobPhase
    items: int
    done: int
    """
    Items with a result, good or failed.
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
    Asks for an owner's jobs in one partition.
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
    Asks for the results of one chunk.
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
    How many chunks the job has.
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
    Asks for the one run of a keyed request.
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
    Either the claim is granted, or an answer was recorded.
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
    Records what became of a granted claim.
    """

    request_id: str
    owner: str
    key: str
    known: bool
    ran: bool
    claim_offset: int = -1
    claimant: str = ''
    """
    Names the claim where its offset isn't known.
    """
    status: int = 0
    content_type: str = ''
    body: bytes | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Done:
    """
    The request was carried out and has no further answer.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchError:
    """
    The request was refused.
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
    A part of a submission, sent ahead of SubmitJob on the same connection.
    """

    request_id: str
    submission_id: str
    chunk: int
    items: list[SubmitItem]
