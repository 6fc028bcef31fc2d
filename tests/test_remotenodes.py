"""Node lists exchanged between the nodes of a large fleet."""

from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

import pytest

from chivespan.fleetlinks import NO_REPORT, Peer
from chivespan.nodemessages import DataCentreNodes
from chivespan.remotenodes import NodeAnnouncer, RemoteNodes
from tests.factories import node
from tests.fakelinks import FakeLinks

pytestmark = pytest.mark.anyio


class Links(FakeLinks):
    """Links of one relay, with its node lists."""

    def __init__(self) -> None:
        super().__init__()
        self.owners: frozenset[str] = frozenset()
        self.remote_nodes = RemoteNodes(cast(Any, self))
        self.relays: list[Peer] = []
        self.own_report = NO_REPORT
        reports = SimpleNamespace(
            remote_relays=lambda: self.relays, own_status=lambda: self.own_report
        )
        self.node_announcer = NodeAnnouncer(
            cast(Any, self), cast(Any, reports), self.remote_nodes
        )

    def set_partition_owners(self, owners: frozenset[str]) -> None:
        self.owners = owners

    def join(self, vm: str, centre: str) -> Peer:
        peer = super().join(vm, centre)
        self.node_announcer.peer_joined(peer)
        return peer

    def leave(self, peer: Peer) -> None:
        del self.peers[peer.node.vm]
        self.remote_nodes.peer_left(peer)
        self.node_announcer.peer_left(peer)

    def send_changes(self) -> list[tuple[str, DataCentreNodes]]:
        """Send changes, and return the messages sent."""
        self.sent.clear()
        self.node_announcer.send_changes()
        assert all(isinstance(message, DataCentreNodes) for _, message in self.sent)
        return list(self.sent)


def remote_centre(*vms: str, owners: list[str] | None = None) -> DataCentreNodes:
    nodes = [node(vm, "b") for vm in vms]
    return DataCentreNodes(data_centre="b", nodes=nodes, owners=owners or [])


def forwarded(sent: list[tuple[str, DataCentreNodes]]) -> list[str]:
    """Return who got the list of another data centre."""
    return [to for to, message in sent if message.data_centre == "b"]


async def test_relay_sends_its_live_nodes_to_other_relays_once() -> None:
    links = Links()
    links.join("10.0.0.2", "a")
    relay = links.join("10.1.0.1", "b")
    links.relays = [relay]
    sent = links.send_changes()
    assert [to for to, _ in sent] == ["10.1.0.1", "10.0.0.2"]
    for _, message in sent:
        assert [each.vm for each in message.nodes] == ["10.0.0.1", "10.0.0.2"]
    assert links.send_changes() == []


async def test_relay_forwards_received_lists_also_to_nodes_that_join_later() -> None:
    links = Links()
    links.join("10.0.0.2", "a")
    relay = links.join("10.1.0.1", "b")
    await links.remote_nodes.handle_message(
        relay, remote_centre("10.1.0.1", "10.1.0.2")
    )
    assert forwarded(links.send_changes()) == ["10.0.0.2"]
    links.join("10.0.0.3", "a")
    assert forwarded(links.send_changes()) == ["10.0.0.3"]


async def test_leaving_nodes_are_omitted_and_owners_are_sent() -> None:
    links = Links()
    local_peer = links.join("10.0.0.2", "a")
    links.relays = [links.join("10.1.0.1", "b")]
    links.send_changes()
    local_peer.report = replace(NO_REPORT, leaving=True)
    links.own_report = replace(NO_REPORT, owned=[2])
    sent = links.send_changes()
    assert [to for to, _ in sent] == ["10.1.0.1", "10.0.0.2"]
    for _, message in sent:
        assert [each.vm for each in message.nodes] == ["10.0.0.1"]
        assert message.owners == ["10.0.0.1"]


async def test_unlinked_nodes_are_listed_until_their_data_centre_is_lost() -> None:
    links = Links()
    relay = links.join("10.1.0.1", "b")
    await links.remote_nodes.handle_message(
        relay, remote_centre("10.1.0.1", "10.1.0.2")
    )
    assert [each.vm for each in links.remote_nodes.nodes] == ["10.1.0.2"]
    links.leave(relay)
    assert links.remote_nodes.nodes == []


async def test_remote_partition_owners_are_linked() -> None:
    links = Links()
    relay = links.join("10.1.0.1", "b")
    await links.remote_nodes.handle_message(
        relay, remote_centre("10.1.0.1", owners=["10.1.0.7"])
    )
    assert links.owners == {"10.1.0.7"}
    links.leave(relay)
    assert links.owners == frozenset()


async def test_lists_received_during_startup_of_a_small_fleet_are_ignored() -> None:
    links = Links()
    relay = links.join("10.1.0.1", "b")
    await links.remote_nodes.handle_message(
        relay, remote_centre("10.1.0.1", "10.1.0.2")
    )
    links.uses_gateways = False
    assert links.remote_nodes.nodes == []


def local_centre(*vms: str, owners: list[str] | None = None) -> DataCentreNodes:
    nodes = [node(vm, "a") for vm in vms]
    return DataCentreNodes(data_centre="a", nodes=nodes, owners=owners or [])


def ordinary_node() -> tuple[Links, Peer]:
    """Return the links of a node that is no gateway, and its relay."""
    links = Links()
    links.is_gateway = False
    return links, links.join("10.0.0.9", "a")


# Guards against: callers aren't sent to nodes of their data centre without a link.
async def test_ordinary_node_knows_unlinked_nodes_of_its_data_centre() -> None:
    links, relay = ordinary_node()
    told = local_centre("10.0.0.1", "10.0.0.5", "10.0.0.9", owners=["10.0.0.5"])
    await links.remote_nodes.handle_message(relay, told)
    assert [each.vm for each in links.remote_nodes.nodes] == ["10.0.0.5"]
    assert links.owners == {"10.0.0.5"}


# Guards against: a node that has become a gateway names lost nodes of its data centre
# as live, from a list that it received before.
async def test_gateway_ignores_an_earlier_list_of_its_own_data_centre() -> None:
    links, relay = ordinary_node()
    await links.remote_nodes.handle_message(relay, local_centre("10.0.0.5"))
    links.is_gateway = True
    assert links.remote_nodes.nodes == []


# Guards against: nodes without links to a lost data centre name its nodes for good.
async def test_loss_of_a_data_centre_is_forwarded_by_the_relay() -> None:
    links = Links()
    links.join("10.0.0.2", "a")
    remote = links.join("10.1.0.1", "b")
    await links.remote_nodes.handle_message(remote, remote_centre("10.1.0.1"))
    links.send_changes()
    links.leave(remote)
    ((to, message),) = [
        (to, sent) for to, sent in links.send_changes() if sent.data_centre == "b"
    ]
    assert (to, message.nodes) == ("10.0.0.2", [])


# Guards against: a relay that was replaced for a while doesn't correct the lists that
# its substitute has sent.
async def test_relay_sends_all_lists_again_after_another_was_relay() -> None:
    links = Links()
    links.join("10.0.0.2", "a")
    assert len(links.send_changes()) == 1
    links.node_announcer._forget_sent()
    assert len(links.send_changes()) == 1


async def test_isolated_node_knows_no_other_node() -> None:
    links, relay = ordinary_node()
    await links.remote_nodes.handle_message(relay, remote_centre("10.1.0.1"))
    links.leave(relay)
    assert links.remote_nodes.nodes == []


# Guards against: nodes that can't become relays wake as often as those that can.
async def test_only_gateways_look_for_changes_often() -> None:
    links, _ = ordinary_node()
    idle = links.node_announcer._interval
    links.is_gateway = True
    assert links.node_announcer._interval * 5 <= idle
