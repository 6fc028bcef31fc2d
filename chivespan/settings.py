"""Data classes generated from schema/settings.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias

Settings: TypeAlias = Any
"""
Settings of each program, from flags and environment variables (CHIVESPAN_ and the name in capitals).
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """
    What every program of a VM must be told.
    """

    vm: str
    """
    IP number of this VM.
    """
    data_centre: str
    """
    Data centre of this VM.
    """
    region: str
    """
    Region of this VM.
    """
    log_url: str
    """
    Base URL of the log service, with an IP number.
    """
    vm_list_url: str
    """
    Base URL of the VM list, with an IP number.
    """
    peer_key: str
    """
    Shared key of chivespan's own processes.
    """
    weight_loads_per_min: int = 60
    """
    Loads a minute that the weight store serves for all VMs together.
    """
    entry_port: int = 8080
    """
    Port of this chivespan-entry; each of several on a VM has its own.
    """
    dispatch_port: int = 8081
    """
    Port of chivespan-dispatch on every VM.
    """
    batch_port: int = 8082
    """
    Port of chivespan-batch on every VM.
    """
    statsd_address: str = ''
    """
    IP number and port of a statsd server; empty for none.
    """
    log_level: str = 'info'
    """
    debug, info, notice, warning or error.
    """
    heartbeat_ms: int = 500
    """
    Interval of heartbeats between processes.
    """
    peer_silence_ms: int = 2000
    """
    A peer connection without a frame for this long is left.
    """
    address_lifetime_ms: int = 10000
    """
    How long callers may keep an address answer.
    """
    body_limit_bytes: int = 16777216
    """
    Largest request body.
    """
    partitions: int = 8
    """
    Partitions of batch jobs; the same on every VM.
    """
    batch_items: int = 256
    """
    Batch items that a VM runs or waits for slots with at a time.
    """
    log_appends_per_s: int = 200
    """
    Appends a second that the batch jobs of all VMs together may use.
    """
    log_keep_minutes: int = 1440
    """
    The log keeps records for at least this long.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class OperatorSettings:
    """
    What the operators' command line must be told.
    """

    log_url: str
    """
    Base URL of the log service.
    """
    operator: str
    """
    Name of the operator.
    """
    operator_key: str
    """
    The operator's key.
    """
    entry: str = ''
    """
    IP number and port of any entry VM; needed by commands that ask one.
    """
