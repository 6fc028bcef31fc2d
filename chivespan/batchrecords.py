"""Data classes generated from schema/batchrecords.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias

BatchRecords: TypeAlias = Any
"""
What the store keeps of batch jobs, one record for each key.
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
    All items of a job; cut into parts that fit into records.
    """

    items: list[BatchItem]


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchJob:
    """
    An accepted job; written behind all of its items.
    """

    route: str
    """
    Name of the route at the time of the submission.
    """
    host: str
    chunks: int
    """
    Records over which its items are spread.
    """
    submitted_ms: int
    """
    Unix milliseconds of its submission.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchResult:
    """
    The final result of one item, at its position.
    """

    item_id: str
    done: bool
    """
    Whether the item was completed
    """
    text: str
    """
    Data of all events
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class BatchEnd:
    """
    The caller ended the job.
    """

    ended_ms: int
    """
    Unix milliseconds.
    """
