"""Data classes generated from schema/erroranswer.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeAlias

ErrorAnswers: TypeAlias = Any
"""
JSON bodies that report errors to callers and operators.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldShare:
    """
    Slots held by one owner's requests of one work class.
    """

    owner: str
    work_class: str
    slots: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ErrorBody:
    code: str
    """
    Code of an error kind.
    """
    message: str
    request_id: str
    was_run: str
    """
    Whether the request was run, "no" or "unknown".
    """
    retry_after_ms: int | None
    shares: list[HeldShare] = field(default_factory=list)


@dataclass(frozen=True, kw_only=True, slots=True)
class ErrorAnswer:
    error: ErrorBody
