"""Data classes generated from schema/nodesettings.yaml; do not edit."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeAlias

NodeSettingsFile: TypeAlias = Any
"""
Contents of the settings file of one process of the fleet.
"""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreSettings:
    """
    Address and limits of the platform's store.
    """

    address: str
    """
    IP address and port of the store.
    """
    max_record_bytes: int = 262144
    """
    Maximum size of a record in the store.
    """
    max_call_bytes: int = 2097152
    """
    Maximum total size of the records of one append.
    """


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetNodeSettings:
    """
    Identity, addresses and limits of one VM of the fleet.
    """

    name: str
    """
    Name of this VM.
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
    front_address: str
    """
    Address for requests of callers.
    """
    ready_address: str
    """
    Address of the readiness probe of the platform.
    """
    control_address: str
    """
    Address for links from other VMs.
    """
    directory_address: str
    """
    Address where callers request the addresses of VMs to use.
    """
    store: StoreSettings
    seeds: list[str] = field(default_factory=list)
    """
    Control addresses of some VMs for the first contact; may be stale.
    """
    link_mbps: float = 1000.0
    """
    Bandwidth of the VM's link.
    """
    memory_mb: float = 256.0
    """
    Memory in MB above which the platform ends the process.
    """
    grace_s: float = 8.0
    """
    Seconds from SIGTERM until the process is killed.
    """
    drain_ms: int = 2000
    """
    Milliseconds after which a draining target must not get new requests.
    """
    address_lifetime_limit_s: float = 5.0
    """
    Maximum lifetime of an address list that callers honour.
    """
    job_status_s: float = 120.0
    """
    Seconds for which a job stays readable once it has closed.
    """
    cancel_ms: int = 3000
    """
    Milliseconds after the acknowledged end of a job from which none of its items may reach a target.
    """
    strict_revocation: bool = False
    """
    Whether a VM that can't confirm the configuration refuses requests that need a key.
    """
    revocation_ms: int = 5000
    """
    Milliseconds after the last confirmation from which it does so.
    """
    quota_window_s: float = 5.0
    """
    Seconds of any window in which a customer's requests are counted against its quota.
    """
    quota_overage: float = 0.1
    """
    Share by which a quota may be exceeded in a window.
    """
    quota_slack: float = 20.0
    """
    Requests by which a quota may be exceeded in a window besides.
    """
    bounds_unread_output: bool = False
    """
    Whether output that callers don't read is bounded.
    """
    metrics_port: int = 9464
    """
    Port on which metrics are served.
    """
