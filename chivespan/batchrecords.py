"""Data classes generated from schema/batchrecords.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias

BatchRecords: TypeAlias = Any
"""
Records of batch jobs in the store, one for each key.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchHeader:
    """
    One header of an item's request.
    """

    name: str
    value: str


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchItem:
    """
    One item as it was submitted.
    """

    item_id: str
    path: str
    headers: list[BatchHeader]
    body: bytes
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchItems:
    """
    All items of a job; split into chunks that fit into records.
    """

    items: list[BatchItem]


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchJob:
    """
    An accepted job; written after all of its items.
    """

    route: str
    """
    Name of the route at the time of the submission.
    """
    host: str
    chunks: int
    """
    Number of records that hold its items.
    """
    submitted_ms: int
    """
    Time of the submission in Unix milliseconds.
    """
    config_version: int = 0
    """
    Version of the configuration by which it was accepted; 0 by an earlier release.
    """
    customer: str = ''
    """
    Name of the customer that submitted it; empty if that isn't known.
    """
    path_prefix: str = ''
    """
    Path prefix of the route at the time of the submission; empty by an earlier release.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchResult:
    """
    The final result of the item at one position.
    """

    item_id: str
    done: bool
    """
    Whether the item completed; false if it failed.
    """
    text: str
    """
    Data of all events
    """
    written_ms: int = 0
    """
    When it was written
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchEnd:
    """
    Marks a job as ended by its caller.
    """

    ended_ms: int
    """
    Time of the end in Unix milliseconds.
    """
