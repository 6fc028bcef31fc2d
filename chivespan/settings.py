"""Data classes generated from schema/settings.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias

Settings: TypeAlias = Any
"""
Settings of each program, from flags and environment variables (CHIVESPAN_ and the name in upper case).
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """
    Settings of the programs of a VM.
    """

    vm: str
    """
    IP address of this VM.
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
    Base URL of the log service, with an IP address.
    """
    vm_list_url: str
    """
    Base URL of the VM list, with an IP address.
    """
    peer_key: str
    """
    Shared key with which chivespan processes authenticate each other.
    """
    weight_loads_per_min: int = 60
    """
    Maximum number of loads per minute that the weight store serves for all VMs together.
    """
    entry_port: int = 8080
    """
    Port of this chivespan-entry; must be unique if several run on a VM.
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
    IP address and port of a statsd server; empty for none.
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
    Time without a frame after which a peer connection is given up.
    """
    address_lifetime_ms: int = 10000
    """
    Time for which callers may cache the list of addresses.
    """
    body_limit_bytes: int = 16777216
    """
    Maximum size of a request body.
    """
    partitions: int = 8
    """
    Partitions of batch jobs; the same on every VM.
    """
    batch_items: int = 256
    """
    Maximum number of batch items that a VM runs or holds while waiting for slots.
    """
    log_appends_per_s: int = 200
    """
    Maximum number of appends per second for the batch jobs of all VMs together.
    """
    log_keep_minutes: int = 1440
    """
    Minimum retention of records in the log.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class OperatorSettings:
    """
    Settings of the operators' command line.
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
    IP address and port of any entry VM; required by commands that send requests to one.
    """
