"""Reading of the settings file that the platform writes for each process."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from chivespan.decoding import decoding, error_of
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.nodesettings import FleetNodeSettings, StoreSettings

PATH_VARIABLE = "CHIVESPAN_SETTINGS"
# The contract by which a node bounds what it holds for slow readers.
PRESSURE = "pressure"
DEFAULT_PATH = "/etc/chivespan/local.toml"


def settings_path(environment: Mapping[str, str]) -> Path:
    """Return the path of the settings file."""
    return Path(environment.get(PATH_VARIABLE, DEFAULT_PATH))


def read_settings(path: Path) -> FleetNodeSettings:
    """Return the settings in the file; unknown fields are ignored.

    :raises ChivespanError: ``invalid_setting`` when the file is missing or invalid.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        reason = f"cannot read {path}: {error}"
        raise ChivespanError(ErrorKind.INVALID_SETTING, reason) from error
    with decoding(f"settings in {path}", error_of(ErrorKind.INVALID_SETTING)):
        document = tomllib.loads(text)
    return decode_settings(document)


def decode_settings(document: Mapping[str, Any]) -> FleetNodeSettings:
    """Return the settings in a parsed file.

    :raises ChivespanError: ``invalid_setting``, which names the invalid field.
    """
    with decoding("settings file", error_of(ErrorKind.INVALID_SETTING)):
        return _decode(document)


def _decode(document: Mapping[str, Any]) -> FleetNodeSettings:
    listen = document["listenAddrs"]
    bounds = document.get("bounds", {})
    limits = document.get("limits", {})
    platform = document["platform"]
    store = StoreSettings(
        address=str(platform["address"]),
        max_record_bytes=int(platform.get("recordBytes", 262144)),
        max_call_bytes=int(platform.get("callBytes", 2097152)),
    )
    return FleetNodeSettings(
        name=str(document["nodeName"]),
        vm=str(document["ip"]),
        data_centre=str(document["zone"]),
        region=str(document["region"]),
        front_address=str(listen["front"]),
        ready_address=str(listen["ready"]),
        control_address=str(listen["control"]),
        directory_address=str(listen["directory"]),
        seeds=[str(seed) for seed in document.get("seeds", ())],
        store=store,
        link_mbps=float(limits.get("linkMbps", 1000.0)),
        memory_mb=float(limits.get("memoryMb", 256.0)),
        grace_s=float(bounds.get("graceS", 8.0)),
        drain_ms=int(bounds.get("drainMs", 2000)),
        address_lifetime_limit_s=float(bounds.get("ttl_max_s", 5.0)),
        job_status_s=float(bounds.get("statusS", 120.0)),
        cancel_ms=int(bounds.get("cancelMs", 3000)),
        strict_revocation=bool(bounds.get("strictRevoke", False)),
        revocation_ms=int(bounds.get("revokeMs", 5000)),
        quota_window_s=float(bounds.get("quotaWindowS", 5.0)),
        quota_overage=float(bounds.get("quotaOverage", 0.1)),
        quota_slack=float(bounds.get("quotaSlack", 20.0)),
        bounds_unread_output=PRESSURE in list(document.get("contracts", ())),
    )
