"""Factories of target entries and nodes for tests."""

from dataclasses import replace
from typing import Any

from chivespan.fleetlinks import Peer
from chivespan.nodemessages import NodeValue, TargetEntry

# Limit for the output of all items of a node.
MAX_OUTPUT_BYTES = 32_000_000
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
    """Return a target entry with default values, except for ``changes``."""
    return replace(_ENTRY, target_id=target_id, **changes)


def peers_in(peers: dict[str, Peer], data_centre: str) -> list[Peer]:
    """Return the peers in a data centre, like ``FleetLinks.peers_in``."""
    return [each for each in peers.values() if each.node.data_centre == data_centre]


def node(vm: str, data_centre: str = "a", link_mbps: float = 0.0) -> NodeValue:
    """Return a node with empty addresses."""
    return NodeValue(
        vm=vm,
        data_centre=data_centre,
        front_address="",
        control_address="",
        link_mbps=link_mbps,
    )
