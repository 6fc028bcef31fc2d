"""Data classes generated from schema/evidencerecords.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias

EvidenceRecords: TypeAlias = Any
"""
Records of evidence on suspects in the store, one for each suspect.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredCrash:
    """
    One request that a run of a target had not begun to answer when the run ended.
    """

    target_id: str
    started_ms: int
    """
    Start of the run as in the target's entry.
    """
    request_id: str
    ended_ms: int
    """
    End of the run in Unix milliseconds.
    """
    fingerprint: str = ''
    """
    The same for all attempts to send the request; empty for batch items and in evidence on a request itself.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredEvidence:
    """
    What is known of a part of prompts, or of a request, that may crash targets.
    """

    suspect: str
    """
    Id of the part; of a request, its fingerprint.
    """
    crashes: list[StoredCrash]
    answered_ms: int = 0
    """
    When a target last answered it
    """
    quarantined_until_ms: int = 0
    """
    Until when requests with it are refused, in Unix milliseconds; 0 for none.
    """
