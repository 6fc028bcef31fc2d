"""Data classes generated from schema/engineapi.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeAlias

EngineApi: TypeAlias = Any
"""
JSON bodies that chivespan exchanges with model engines.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineRequest:
    """
    Body of POST /v1/completions to an engine.
    """

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    request_id: str
    resume_tokens: list[str]


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineCancel:
    request_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineChoice:
    index: int
    text: str
    finish_reason: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineUsage:
    prompt_tokens: int
    completion_tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineEvent:
    """
    One event of an engine's stream, with one token.
    """

    id: str
    token_index: int
    choices: list[EngineChoice]
    usage: EngineUsage | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineLoad:
    """
    An engine's report of its own load; it may be outdated.
    """

    slots: int
    running: int
    waiting: int
    kv_used: float = 0.0
    model: str = ''
    version: str = ''
    adapters: list[str] = field(default_factory=list)
    role: str = 'serve'
    state: str = 'ready'
    fence: int = -1


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineOrder:
    fence: int
    action: str
    model: str
    version: str
    adapters: list[str] = field(default_factory=list)
    role: str = 'serve'
