"""Links of many nodes in one process: gateways and their replacements."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta

import anyio
import pytest

from chivespan import fleetlinks
from chivespan.clock import SystemClock
from chivespan.codec import PROTOCOL_VERSION
from chivespan.fleetlinks import FleetLinks, Peer
from chivespan.heartbeattiming import HeartbeatTiming
from chivespan.linkmessages import Hello, Program
from chivespan.linkplan import GATEWAYS_PER_CENTRE
from chivespan.metrics import Metrics
from chivespan.node import LINK_OPTIONS
from chivespan.nodemessages import NodeValue
from chivespan.nodesettings import FleetNodeSettings, StoreSettings
from chivespan.peerlink import LinkEnd
from tests.addresses import own_block

pytestmark = pytest.mark.anyio

CENTRES = 3
# Third number of the first data centre's addresses; tests/fleet.py uses lower ones.
FIRST_CENTRE = 240
NODES_PER_CENTRE = 9
PORT = 8166
SETTLE_TIMEOUT_S = 15.0


@dataclass
class Member:
    """The links of one node, and the scope that ends them."""

    links: FleetLinks
    scope: anyio.CancelScope

    @property
    def vm(self) -> str:
        return self.links.own.vm

    async def run(self) -> None:
        with self.scope:
            await self.links.run()


def member(centre: int, number: int) -> Member:
    """Return a node; a higher number means a higher bandwidth."""
    vm = f"{own_block()}.{FIRST_CENTRE + centre}.{number}"
    settings = FleetNodeSettings(
        name=vm,
        vm=vm,
        data_centre=f"dc-{centre}",
        region="r",
        front_address=f"{vm}:8161",
        ready_address="",
        control_address=f"{vm}:{PORT}",
        directory_address="",
        store=StoreSettings(address=""),
        link_mbps=10.0 + number,
    )
    hello = Hello(
        vm=vm,
        program=Program.node,
        data_centre=settings.data_centre,
        region="r",
        incarnation="1",
        serving_port=8161,
        protocol=PROTOCOL_VERSION,
    )
    clock = SystemClock()
    timing = HeartbeatTiming(settings.data_centre, clock)
    end = LinkEnd(
        hello,
        LINK_OPTIONS,
        clock,
        Metrics(),
        interval_for=timing.heartbeat_interval,
        silence_timeout_for=timing.silence_timeout,
    )
    return Member(FleetLinks(settings, end, timing), anyio.CancelScope())


@asynccontextmanager
async def linked_fleet() -> AsyncIterator[list[Member]]:
    members = [
        member(c, n) for c in range(CENTRES) for n in range(1, NODES_PER_CENTRE + 1)
    ]
    listed: list[NodeValue] = [each.links.own for each in members]
    async with anyio.create_task_group() as tasks:
        for each in members:
            each.links.add_nodes(listed)
            tasks.start_soon(each.run)
        yield members
        tasks.cancel_scope.cancel()


def gateways_of(members: list[Member], centre: int) -> set[str]:
    of_centre = [m for m in members if m.links.own.data_centre == f"dc-{centre}"]
    return {each.vm for each in of_centre[-GATEWAYS_PER_CENTRE:]}


def wanted_peers(member: Member, members: list[Member]) -> set[str]:
    """Return the nodes that a node should be linked to."""
    all_gateways = set[str]().union(*(gateways_of(members, c) for c in range(CENTRES)))
    centre = int(member.links.own.data_centre[-1])
    if member.vm not in all_gateways:
        return gateways_of(members, centre)
    local = {m.vm for m in members if m.links.own.data_centre == f"dc-{centre}"}
    return (local | all_gateways) - {member.vm}


async def settle(members: list[Member]) -> None:
    """Wait until each node has the links it should have and no other ones."""
    with anyio.fail_after(SETTLE_TIMEOUT_S):
        for each in members:
            while each.links.peers.keys() != wanted_peers(each, members):
                await anyio.sleep(0.05)


async def test_ordinary_nodes_have_links_with_gateways_of_their_data_centre_only() -> (
    None
):
    async with linked_fleet() as members:
        await settle(members)
        centres = range(CENTRES)
        all_gateways = set[str]().union(*(gateways_of(members, c) for c in centres))
        for each in members:
            centre = int(each.links.own.data_centre[-1])
            own_gateways = gateways_of(members, centre)
            is_gateway = each.vm in own_gateways
            assert each.links.is_gateway == is_gateway
            assert each.links.gateways == (all_gateways if is_gateway else own_gateways)


async def test_next_node_replaces_a_lost_gateway(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(fleetlinks, "LINK_PRUNE_INTERVAL", timedelta(seconds=0.5))
    async with linked_fleet() as members:
        await settle(members)
        lost = members.pop()
        lost.scope.cancel()
        await settle(members)
        assert all(lost.vm not in each.links.peers for each in members)
        stand_in = members[-GATEWAYS_PER_CENTRE]
        assert stand_in.links.is_gateway


async def test_failed_dial_beside_an_open_link_adds_no_replacement(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(fleetlinks, "UNREACHABLE_AFTER", timedelta(0))
    own, *others = (
        member(c, n) for c in range(CENTRES) for n in range(1, NODES_PER_CENTRE + 1)
    )
    own.links.add_nodes([each.links.own for each in others])
    gateway = others[NODES_PER_CENTRE - 2]
    before = own.links._to_dial
    own.links._peers[gateway.vm] = Peer(gateway.links.own, "1")
    own.links._record_dial_failure(gateway.vm)
    assert own.links._to_dial == before
    del own.links._peers[gateway.vm]
    own.links._record_dial_failure(gateway.vm)
    assert len(own.links._to_dial) == len(before) + 1
