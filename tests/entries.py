"""Targets' entries for tests."""

from dataclasses import replace
from typing import Any

from chivespan.nodemessages import TargetEntry

_ENTRY = TargetEntry(
    target_id="t",
    service="s",
    address="10.0.0.1:1",
    data_centre="a",
    slots=8,
    draining=False,
    sequence=1,
    started_ms=1,
)


def target_entry(target_id: str, **changes: Any) -> TargetEntry:
    """Return an entry of service "s" in data centre "a", unless changed."""
    return replace(_ENTRY, target_id=target_id, **changes)
