"""Counts of all nodes at every node, with little between data centres."""

from types import SimpleNamespace
from typing import Any, cast

import pytest

from chivespan.clock import ManualClock
from chivespan.codec import decode_message
from chivespan.fleetlinks import FleetLinks, Peer
from chivespan.loadboard import LoadBoard
from chivespan.loadreports import LoadReports
from chivespan.nodemessages import LoadReport, NodeValue
from chivespan.targetsilence import TargetSilence

pytestmark = pytest.mark.anyio


class Node:
    """One node with its board, linked with others by hand."""

    def __init__(self, vm: str, data_centre: str) -> None:
        self.value = NodeValue(
            vm=vm, data_centre=data_centre, front_address="", control_address=""
        )
        self.board = LoadBoard(ManualClock())
        self.peers: dict[str, Peer] = {}
        self.sent: list[tuple[str, object]] = []
        links = SimpleNamespace(
            own=self.value,
            peers=self.peers,
            add_listener=lambda _: None,
            is_near=lambda peer: peer.node.data_centre == data_centre,
        )
        clock = ManualClock()
        self.reports = LoadReports(
            cast(FleetLinks, links),
            self.board,
            clock,
            self._describe,
            TargetSilence(clock),
        )

    def link(self, other: "Node") -> None:
        def send_frame(frame: bytes) -> bool:
            self.sent.append((other.value.vm, decode_message(frame)))
            return True

        def send(message: object) -> bool:
            self.sent.append((other.value.vm, message))
            return True

        report = LoadReport(
            config_version=-1,
            leaving=False,
            store_reached=True,
            owned=[],
            silent=[],
            loads=[],
        )
        peer = SimpleNamespace(
            node=other.value, report=report, send=send, send_frame=send_frame
        )
        self.peers[other.value.vm] = cast(Peer, peer)

    def _describe(self) -> LoadReport:
        return LoadReport(
            config_version=1,
            leaving=False,
            store_reached=True,
            owned=[],
            silent=[],
            loads=self.board.own_loads(),
        )


async def deliver(nodes: dict[str, Node]) -> int:
    """Deliver all messages until none is left; return those between data centres."""
    between = 0
    while any(node.sent for node in nodes.values()):
        for node in nodes.values():
            sent, node.sent = node.sent, []
            for vm, message in sent:
                to = nodes[vm]
                between += to.value.data_centre != node.value.data_centre
                await to.reports.take(to.peers[node.value.vm], message)
    return between


def site() -> dict[str, Node]:
    nodes = {
        f"10.0.{c}.{n}": Node(f"10.0.{c}.{n}", f"dc{c}")
        for c in (1, 2)
        for n in (1, 2, 3)
    }
    for node in nodes.values():
        for other in nodes.values():
            if other is not node:
                node.link(other)
    return nodes


async def report_round(nodes: dict[str, Node]) -> int:
    for node in nodes.values():
        node.reports._send(node.reports._near_peers(), node._describe())
    between = await deliver(nodes)
    for node in nodes.values():
        if node.reports._is_relay():
            node.reports._send_sums()
    return between + await deliver(nodes)


async def test_every_node_knows_the_sum_and_two_messages_cross() -> None:
    nodes = site()
    holds: list[Any] = []
    for node in nodes.values():
        hold = node.board.hold_online("t")
        hold.__enter__()
        holds.append(hold)
    assert await report_round(nodes) == 2
    assert {node.board.total("t") for node in nodes.values()} == {6}
    assert await report_round(nodes) == 0, "nothing has changed"


async def test_loss_of_a_relay_and_of_a_data_centre() -> None:
    nodes = site()
    hold = nodes["10.0.2.3"].board.hold_batch("t")
    hold.__enter__()
    await report_round(nodes)
    lost = nodes.pop("10.0.2.1")
    for node in nodes.values():
        node.reports.peer_left(node.peers.pop(lost.value.vm))
    another = nodes["10.0.2.2"].board.hold_batch("t")
    another.__enter__()
    await report_round(nodes)
    assert nodes["10.0.1.3"].board.total("t") == 2
    for vm in ("10.0.2.2", "10.0.2.3"):
        node = nodes["10.0.1.3"]
        node.reports.peer_left(node.peers.pop(vm))
    assert nodes["10.0.1.3"].board.total("t") == 0
