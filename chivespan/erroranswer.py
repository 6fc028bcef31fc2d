"""Data classes generated from schema/erroranswer.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeAlias

ErrorAnswers: TypeAlias = Any
"""
Bodies that tell callers and operators of errors, in JSON.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldShare:
    """
    Part of the capacity that one owner's work holds.
    """

    owner: str
    work_class: str
    slots: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ErrorBody:
    code: str
    """
    An error kind.
    """
    message: str
    request_id: str
    was_run: str
    """
    "no" or "unknown".
    """
    retry_after_ms: int | None
    shares: list[HeldShare] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True, slots=True)
class ErrorAnswer:
    error: ErrorBody
