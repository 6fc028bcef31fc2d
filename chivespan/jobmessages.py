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
