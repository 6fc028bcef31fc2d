"""Fake links of one node, which record the messages sent."""

from types import SimpleNamespace
from typing import Any, cast

from chivespan.codec import decode_message
from chivespan.fleetlinks import Peer
from chivespan.nodemessages import NodeValue
from tests.factories import node, peers_in


class FakeLinks:
    """Links of a node of data centre ``a`` in a large fleet.

    :ivar sent: the messages sent, each with its receiver.
    """

    uses_gateways = True
    uses_relay = True
    is_gateway = True

    def __init__(self) -> None:
        self.own = node("10.0.0.1", "a")
        self.peers: dict[str, Peer] = {}
        self.sent: list[tuple[str, Any]] = []

    @property
    def nodes(self) -> list[NodeValue]:
        return [self.own, *(peer.node for peer in self.peers.values())]

    @property
    def gateways(self) -> frozenset[str]:
        return frozenset({self.own.vm})

    def join(self, vm: str, centre: str) -> Peer:
        peer = Peer(node(vm, centre), "1")

        def send_frame(frame: bytes) -> bool:
            self.sent.append((vm, decode_message(frame)))
            return True

        link = SimpleNamespace(is_open=True, send_frame=send_frame)
        peer.links.append(cast(Any, link))
        self.peers[vm] = peer
        return peer

    def peers_in(self, data_centre: str) -> list[Peer]:
        return peers_in(self.peers, data_centre)

    def is_local(self, peer: Peer) -> bool:
        return peer.node.data_centre == self.own.data_centre

    def add_listener(self, listener: object) -> None:
        pass

    def add_nodes(self, nodes: object) -> None:
        pass
