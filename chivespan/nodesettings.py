"""Data classes generated from schema/nodesettings.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeAlias

NodeSettingsFile: TypeAlias = Any
"""
What one process of the fleet learns from its settings file.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreSettings:
    """
    Where the platform's store is, and what it takes.
    """

    address: str
    """
    IP number and port of the store.
    """
    max_record_bytes: int = 262144
    """
    Largest record that the store takes.
    """
    max_call_bytes: int = 2097152
    """
    Largest sum of the records of one append.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetNodeSettings:
    """
    One VM's place in the fleet.
    """

    name: str
    """
    Name of this VM.
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
    front_address: str
    """
    Where callers send requests.
    """
    ready_address: str
    """
    Where the platform asks whether this VM takes requests.
    """
    control_address: str
    """
    Where the other VMs dial links.
    """
    directory_address: str
    """
    Where callers ask which VMs to use.
    """
    store: StoreSettings
    seeds: list[str] = field(default_factory=list)
    """
    Control addresses of a few VMs; may be stale.
    """
    link_mbps: float = 1000.0
    """
    Bandwidth of the VM's link.
    """
    grace_s: float = 8.0
    """
    Seconds from SIGTERM until the process is killed.
    """
    drain_ms: int = 2000
    """
    Milliseconds after which a draining target must get nothing new.
    """
    address_lifetime_limit_s: float = 5.0
    """
    Longest lifetime of an address answer that callers honour.
    """
    job_status_s: float = 120.0
    """
    Seconds after its submission for which a job stays readable.
    """
    metrics_port: int = 9464
    """
    Port on which metrics are served.
    """
