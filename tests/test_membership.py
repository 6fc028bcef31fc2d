"""The view of live VMs with a lagging, unavailable or stale list, and lost peers."""

from collections.abc import Sequence
from dataclasses import replace
from datetime import timedelta
from random import Random

import anyio
import pytest
from websockets.asyncio.server import ServerConnection, serve

from chivespan.addressselector import AddressSelector
from chivespan.clock import ManualClock
from chivespan.codec import PROTOCOL_VERSION, encode_message
from chivespan.linkmessages import Heartbeat, Hello, Program
from chivespan.membership import RECONNECT_GRACE, REMOVE_AFTER, Membership
from chivespan.messages import MembershipUpdate, VmState, VmView
from chivespan.platformservices import ListedVm
from tests.controlnodes import (
    CENTRE,
    REGION,
    ControlNode,
    FakeVmList,
    Platform,
    control_nodes,
    inventory,
    settings_of,
    start_node,
    until,
)

OWN, PEER, THIRD = "127.44.0.1", "127.44.0.2", "127.44.0.3"
FAR = "127.44.1.1"
LIVE, LEAVING, SILENT = VmState.live, VmState.leaving, VmState.silent


def membership() -> tuple[Membership, ManualClock]:
    clock = ManualClock()
    return Membership(settings_of(OWN, 1), clock), clock


def listed(vm: str, state: VmState = LIVE, centre: str = CENTRE) -> ListedVm:
    return ListedVm(vm, centre, REGION, state)


def hello(vm: str, centre: str = CENTRE) -> Hello:
    return Hello(
        vm=vm,
        program=Program.dispatch,
        data_centre=centre,
        region=REGION,
        incarnation="i",
        protocol=PROTOCOL_VERSION,
    )


def test_peer_unknown_to_the_list_is_live_while_linked() -> None:
    view, clock = membership()
    view.link_opened(hello(PEER))
    assert view.views[PEER].state is LIVE
    view.update_from_list([listed(OWN)])
    assert view.views[PEER].state is LIVE
    view.link_closed(hello(PEER))
    view.refresh_pending()
    assert view.views[PEER].state is LIVE
    clock.advance(RECONNECT_GRACE + timedelta(milliseconds=1))
    view.refresh_pending()
    assert view.views[PEER].state is SILENT
    clock.advance(REMOVE_AFTER)
    view.refresh()
    assert PEER not in view.views


def test_stale_list_does_not_make_a_lost_peer_live() -> None:
    view, clock = membership()
    entries = [listed(OWN), listed(PEER)]
    view.update_from_list(entries)
    view.link_opened(hello(PEER))
    view.link_closed(hello(PEER))
    view.record_dial_failure(PEER)
    assert view.views[PEER].state is SILENT
    view.update_from_list([*entries, listed(THIRD)])
    clock.advance(10 * REMOVE_AFTER)
    view.refresh()
    assert view.views[PEER].state is SILENT
    view.link_opened(hello(PEER))
    assert view.views[PEER].state is LIVE


def test_link_reopened_within_the_grace_time_is_no_change() -> None:
    view, clock = membership()
    view.link_opened(hello(PEER))
    before = view.sequence
    view.link_closed(hello(PEER))
    clock.advance(RECONNECT_GRACE / 2)
    view.refresh_pending()
    view.link_opened(hello(PEER))
    clock.advance(10 * RECONNECT_GRACE)
    view.refresh_pending()
    assert view.sequence == before


def test_listed_vm_that_never_connects_becomes_silent() -> None:
    view, clock = membership()
    view.update_from_list([listed(OWN), listed(PEER), listed(FAR, centre="far")])
    assert view.views[PEER].state is LIVE
    clock.advance(timedelta(seconds=3))
    view.refresh_pending()
    assert view.views[PEER].state is SILENT
    assert view.views[FAR].state is LIVE


def test_stopped_process_is_published_to_subscribers() -> None:
    view, _ = membership()
    view.update_from_list([listed(OWN), listed(PEER)])
    view.link_opened(hello(PEER))
    view.record_heartbeat(PEER, Heartbeat(config_offset=3, leaving=False, slices=[]))
    before = view.sequence
    view.record_heartbeat(
        PEER, Heartbeat(config_offset=3, leaving=False, slices=[], runs_batch=False)
    )
    update = view.changes_since(before)
    assert update is not None
    assert [
        (one.vm, one.state, one.runs_batch, one.entry_ports) for one in update.vms
    ] == [(PEER, LIVE, False, None)]
    before = view.sequence
    view.record_heartbeat(
        PEER, Heartbeat(config_offset=3, leaving=False, slices=[], entry_ports=[])
    )
    update = view.changes_since(before)
    assert update is not None
    book = AddressSelector(8080, timedelta(seconds=10), Random(1))
    assert book.select(update.vms, CENTRE, REGION).addresses == []
    assert book.select(tuple(view.views.values()), CENTRE, REGION).addresses == [
        f"{OWN}:8080"
    ]


def test_leaving_is_accepted_from_list_and_heartbeat() -> None:
    view, _ = membership()
    view.update_from_list([listed(OWN), listed(PEER), listed(THIRD, LEAVING)])
    view.link_opened(hello(PEER))
    view.link_opened(hello(THIRD))
    view.record_heartbeat(PEER, Heartbeat(config_offset=3, leaving=True, slices=[]))
    assert view.views[PEER].state is LEAVING
    assert view.views[THIRD].state is LEAVING
    assert view.live_vms(CENTRE) == [OWN]
    assert not view.leaving
    view.update_from_list([listed(OWN, LEAVING)])
    assert view.leaving


def test_listed_targets_are_not_vms_but_their_leaving_state_is_kept() -> None:
    view, _ = membership()
    view.set_target_addresses(["10.0.0.9"])
    view.update_from_list([listed(OWN), listed("10.0.0.9", LEAVING)])
    assert list(view.views) == [OWN]
    assert view.leaving_addresses == {"10.0.0.9"}


def test_changes_contain_only_changed_vms() -> None:
    view, _ = membership()
    view.update_from_list([listed(OWN), listed(PEER), listed(FAR, centre="far")])
    first = view.changes_since(0)
    assert first is not None
    assert first.whole
    assert {each.vm for each in first.vms} == {OWN, PEER, FAR}
    sequence = view.sequence
    assert view.changes_since(sequence) is None
    report = VmView(
        vm=FAR, data_centre="far", region=REGION, state=SILENT, config_offset=7
    )
    view.update_from_report("far", MembershipUpdate(vms=[report], whole=False))
    change = view.changes_since(sequence)
    assert change == MembershipUpdate(vms=[report], whole=False)
    assert view.changes_since(sequence, CENTRE) is None


def test_peers_to_link_are_all_local_and_few_in_the_rest_of_the_region() -> None:
    view, _ = membership()
    local = [listed(f"127.44.0.{n}") for n in range(1, 31)]
    same_region = [listed(f"127.44.1.{n}", centre="near") for n in range(1, 31)]
    other_region = [
        ListedVm(f"127.44.2.{n}", "other", "other", LIVE) for n in range(30)
    ]
    view.update_from_list([*local, *same_region, *other_region])
    chosen = view.peers_to_link()
    assert {each.vm for each in local} - {OWN} <= chosen
    assert len(chosen) == 29 + 1


pytestmark = pytest.mark.anyio


def live_everywhere(nodes: Sequence[ControlNode]) -> bool:
    vms = {node.vm for node in nodes}
    return all({*node.dispatcher.membership.live_vms()} == vms for node in nodes)


def owners(nodes: Sequence[ControlNode]) -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for node in nodes:
        for target in node.dispatcher.status("").targets:
            found.setdefault(target.slice_id, []).append(node.vm)
    return {slice_id: sorted(set(vms)) for slice_id, vms in found.items()}


def each_slice_once(nodes: Sequence[ControlNode], count: int) -> bool:
    by_slice = owners(nodes)
    return len(by_slice) == count and all(len(vms) == 1 for vms in by_slice.values())


def remove_owner(nodes: list[ControlNode]) -> ControlNode:
    """Remove a node that owns a slice from ``nodes``, and return it."""
    node = next(node for node in nodes if node.dispatcher.status("").targets)
    nodes.remove(node)
    return node


async def test_node_started_while_the_list_is_unavailable_is_found_by_peers() -> None:
    platform = Platform()
    platform.publish(*inventory(targets=40))
    without_list = replace(platform, vm_list=FakeVmList(unavailable=True))
    async with control_nodes(platform, [OWN, PEER]) as nodes:
        platform.list_vms(THIRD)
        async with anyio.create_task_group() as tasks:
            nodes.append(start_node(tasks, without_list, THIRD))
            await until(lambda: live_everywhere(nodes))
            await until(lambda: each_slice_once(nodes, 3))
            tasks.cancel_scope.cancel()


async def test_node_missing_from_a_lagging_list_joins() -> None:
    platform = Platform()
    fresh = replace(platform, vm_list=FakeVmList())
    async with control_nodes(platform, [OWN, PEER]) as nodes:
        fresh.list_vms(OWN, PEER, THIRD)
        async with anyio.create_task_group() as tasks:
            nodes.append(start_node(tasks, fresh, THIRD))
            await until(lambda: live_everywhere(nodes))
            tasks.cancel_scope.cancel()


async def test_lost_node_becomes_silent_although_listed_as_live() -> None:
    platform = Platform()
    platform.publish(*inventory(targets=40))
    async with control_nodes(platform, [OWN, PEER, THIRD]) as nodes:
        await until(lambda: live_everywhere(nodes) and each_slice_once(nodes, 3))
        lost = remove_owner(nodes)
        lost.stop()
        await until(lambda: all(n.state_of(lost.vm) is SILENT for n in nodes), 3)
        await until(lambda: each_slice_once(nodes, 3), 3)


async def test_frozen_peer_becomes_silent_within_the_timeout() -> None:
    platform = Platform()
    platform.list_vms(PEER)
    opened = anyio.Event()

    async def freeze(websocket: ServerConnection) -> None:
        await websocket.send(encode_message(hello(PEER)))
        opened.set()
        await websocket.wait_closed()

    async with control_nodes(platform, [OWN]) as nodes:
        async with serve(freeze, PEER, platform.port):
            await opened.wait()
            began = anyio.current_time()
            await until(lambda: nodes[0].metrics.counters.get("peer.silent", 0) == 1)
            assert anyio.current_time() - began < 1
        await until(lambda: nodes[0].state_of(PEER) is SILENT, 3)


async def test_leaving_node_hands_over_and_ends() -> None:
    platform = Platform()
    platform.publish(*inventory(targets=40))
    async with control_nodes(platform, [OWN, PEER, THIRD]) as nodes:
        await until(lambda: live_everywhere(nodes) and each_slice_once(nodes, 3))
        leaving = remove_owner(nodes)
        leaving.dispatcher.announce_leaving()
        await until(lambda: all(n.state_of(leaving.vm) is LEAVING for n in nodes), 1)
        await until(lambda: each_slice_once(nodes, 3) and not owners([leaving]), 1)
        await leaving.dispatcher.drain()
        await until(lambda: all(n.state_of(leaving.vm) is not LIVE for n in nodes))


async def test_node_that_the_list_shows_as_leaving_owns_nothing() -> None:
    platform = Platform()
    platform.publish(*inventory(targets=40))
    async with control_nodes(platform, [OWN, PEER]) as nodes:
        await until(lambda: live_everywhere(nodes) and each_slice_once(nodes, 3))
        leaving = remove_owner(nodes)
        platform.vm_list.mark(leaving.vm, LEAVING)
        await until(lambda: each_slice_once(nodes, 3) and not owners([leaving]), 3)


async def test_leaving_target_is_removed_from_its_slice() -> None:
    platform = Platform()
    platform.publish(*inventory(targets=2))
    async with control_nodes(platform, [OWN]) as nodes:
        status = nodes[0].dispatcher.status
        await until(lambda: len(status("").targets) == 2)
        platform.list_vms("127.9.0.1", centre=CENTRE)
        platform.vm_list.mark("127.9.0.1", LEAVING)
        await until(
            lambda: [each.target for each in status("").targets] == ["runner-1"], 3
        )
