"""Data classes generated from schema/callerapi.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias

CallerApi: TypeAlias = Any
"""
JSON bodies that callers and operators exchange with chivespan-entry.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class CompletionRequest:
    """
    Body of POST /v1/completions.
    """

    model: str
    prompt: str
    max_tokens: int = 256
    stream: bool = False
    service: str = ''
    """
    Required only if several services serve the model.
    """
    deadline_ms: int = 0
    """
    Time limit of the complete response; 0 for the service's default.
    """
    user: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class ChatMessage:
    role: str
    content: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ChatRequest:
    """
    Body of POST /v1/chat/completions.
    """

    model: str
    messages: list[ChatMessage]
    max_tokens: int = 256
    stream: bool = False
    service: str = ''
    deadline_ms: int = 0
    user: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenUsage:
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CompletionChoice:
    index: int
    text: str
    finish_reason: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class CompletionAnswer:
    """
    A complete response, or one event of a stream.
    """

    id: str
    object: str
    created: int
    model: str
    choices: list[CompletionChoice]
    usage: TokenUsage | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ChatDelta:
    role: str
    content: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ChatChunkChoice:
    index: int
    delta: ChatDelta
    finish_reason: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ChatChunk:
    """
    One event of a chat stream.
    """

    id: str
    object: str
    created: int
    model: str
    choices: list[ChatChunkChoice]


@dataclass(frozen=True, kw_only=True, slots=True)
class ChatChoice:
    index: int
    message: ChatDelta
    finish_reason: str | None


@dataclass(frozen=True, kw_only=True, slots=True)
class ChatAnswer:
    id: str
    object: str
    created: int
    model: str
    choices: list[ChatChoice]
    usage: TokenUsage


@dataclass(frozen=True, kw_only=True, slots=True)
class AddressAnswer:
    """
    Response to GET /v1/addresses.
    """

    addresses: list[str]
    """
    IP addresses with port, the best first.
    """
    lifetime_ms: int
    """
    Time after which the caller requests the addresses again.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelEntry:
    id: str
    object: str
    service: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelList:
    """
    Response to GET /v1/models.
    """

    object: str
    data: list[ModelEntry]


@dataclass(frozen=True, kw_only=True, slots=True)
class HealthAnswer:
    vm: str
    ready: bool
    leaving: bool
    in_progress: int


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchModelItem:
    """
    One line of a batch job for a model.
    """

    id: str
    prompt: str
    max_tokens: int = 256


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchPlainItem:
    """
    One line of a batch job for a plain service.
    """

    id: str
    path: str
    method: str = 'POST'
    content_type: str = 'application/json'
    body: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchJob:
    """
    State of a batch job.
    """

    id: str
    service: str
    status: str
    items: int
    done: int
    """
    Number of items with a result, successful or failed.
    """
    failed: int
    key: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchJobList:
    object: str
    data: list[BatchJob]


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchItemError:
    code: str
    message: str


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchResult:
    """
    One line of a batch job's results; either a response or an error.
    """

    index: int
    id: str
    ok: bool
    attempts: int
    status: int = 200
    content_type: str = ''
    text: str = ''
    """
    The model's text or the plain service's response body.
    """
    error: BatchItemError | None = None
