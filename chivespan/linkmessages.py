"""Data classes generated from schema/linkmessages.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TypeAlias

LinkMessages: TypeAlias = Any
"""
Messages that open a link between chivespan processes and keep it alive.
"""


class Program(StrEnum):
    """
    The programs of one VM and the operators' command line.
    """

    entry = 'entry'
    dispatch = 'dispatch'
    batch = 'batch'
    operator = 'operator'
    node = 'node'


@dataclass(frozen=True, kw_only=True, slots=True)
class Hello:
    """
    First message on every connection, in both directions; the only one that is encoded with field names.
    """

    vm: str
    """
    IP address of the sender's VM.
    """
    program: Program
    data_centre: str
    region: str
    incarnation: str
    """
    Unique id of one run of the process.
    """
    serving_port: int = 0
    """
    Port on which the process serves callers; 0 for none.
    """
    protocol: int = 1
    """
    Version of the frames that follow; both ends must use the same.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class SliceLoad:
    """
    Load of one slice, as counted by its owner.
    """

    slice_id: str
    free_slots: int
    total_slots: int
    queued_online: int
    batch_running: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Heartbeat:
    """
    Sent on every peer connection at a fixed interval, in both directions.
    """

    config_offset: int
    """
    Offset of the last applied configuration record.
    """
    leaving: bool
    slices: list[SliceLoad]
    runs_batch: bool = True
    """
    Whether the VM's batch process is available.
    """
    entry_ports: list[int] | None = None
    """
    Ports of the VM's entry processes that serve callers; null while unknown.
    """
