"""Several entries on one VM: each is listed to callers and can drain separately."""

import json
import signal
from collections.abc import Iterator
from dataclasses import replace
from datetime import timedelta
from pathlib import Path
from random import Random

import anyio
import httpcore
import pytest

from chivespan.addressselector import AddressSelector
from chivespan.clock import SystemClock
from chivespan.drainstate import DrainState
from chivespan.linkmessages import Program
from chivespan.messages import VmState, VmView
from chivespan.metrics import Metrics
from chivespan.nodeview import NodeView
from chivespan.peerlink import LinkEnd, LinkOptions, new_hello
from tests.callers import Caller
from tests.controlnodes import (
    CENTRE,
    REGION,
    ControlNode,
    Platform,
    control_nodes,
    inventory,
    settings_of,
    until,
)
from tools.cluster import Cluster, random_address_block
from tools.demo import MODEL, OWNER_KEY, Demo, demo_site

VM = "127.46.0.1"
PORTS = [8080, 8090]
SETTINGS = {
    "heartbeat_ms": "200",
    "peer_silence_ms": "1000",
    "address_lifetime_ms": "1000",
}


def vm_view(vm: str, ports: list[int] | None) -> VmView:
    return VmView(
        vm=vm,
        data_centre=CENTRE,
        region=REGION,
        state=VmState.live,
        entry_ports=ports,
    )


def addresses(*views: VmView) -> list[str]:
    book = AddressSelector(8080, timedelta(seconds=10), Random(1))
    return book.select(views, CENTRE, REGION).addresses


def test_every_vm_is_listed_before_a_second_entry_of_any_vm() -> None:
    views = [vm_view(f"10.0.0.{number}", PORTS) for number in (1, 2, 3)]
    listed = addresses(*views)
    assert len(set(listed)) == 4
    assert {each.split(":")[0] for each in listed[:3]} == {view.vm for view in views}


def test_vm_without_reported_ports_is_listed_with_the_default_port() -> None:
    assert addresses(vm_view("10.0.0.1", None)) == ["10.0.0.1:8080"]
    assert addresses(vm_view("10.0.0.1", [])) == []


async def follow(platform: Platform, port: int, drain_state: DrainState) -> None:
    """Follow the dispatcher like an entry."""
    settings = replace(settings_of(VM, platform.port), entry_port=port)
    end = LinkEnd(
        new_hello(settings, Program.entry),
        LinkOptions.from_settings(settings),
        SystemClock(),
        Metrics(),
        drain_state.heartbeat_frame,
    )
    await NodeView(end, settings, platform.vm_list).run()


def reported_ports(node: ControlNode) -> list[int] | None:
    return node.dispatcher.membership.views[VM].entry_ports


@pytest.mark.anyio
async def test_dispatcher_reports_ports_of_entries_that_serve_callers() -> None:
    platform = Platform()
    platform.publish(*inventory(1))
    drain_state = DrainState()
    async with (
        control_nodes(platform, [VM]) as [node],
        anyio.create_task_group() as own,
    ):
        own.start_soon(follow, platform, PORTS[0], DrainState())
        async with anyio.create_task_group() as second:
            second.start_soon(follow, platform, PORTS[1], drain_state)
            await until(lambda: reported_ports(node) == PORTS)
            drain_state.start_draining()
            await until(lambda: reported_ports(node) == PORTS[:1])
            second.cancel_scope.cancel()
        own.cancel_scope.cancel()
        await until(lambda: reported_ports(node) == [])


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    site = replace(demo_site(random_address_block()), entries=2, settings=SETTINGS)
    with Cluster(site) as running:
        Demo(running, tmp_path).apply()
        yield running


@pytest.mark.anyio
async def test_one_entry_drains_while_the_other_continues_to_serve(
    cluster: Cluster,
) -> None:
    vm = cluster.site.vms[0].vm
    leaving = cluster.process(f"{vm}/entry-{PORTS[1]}")
    first, second = (Caller(f"{vm}:{port}", OWNER_KEY, MODEL) for port in PORTS)
    async with anyio.create_task_group() as tasks:

        async def long_answer() -> None:
            got = await second.stream("long", 200, across_shutdown=True)
            assert got.ended == "done"

        tasks.start_soon(long_answer)
        await second.on_token.wait()
        leaving.terminate()
        await until(lambda: second.address not in listed_addresses(first.address))
        assert (await first.complete("short", 4)).ended == "done"
        assert (await second.complete("with an old address", 4)).ended == "done"
    assert await anyio.to_thread.run_sync(leaving.wait) == 0
    assert -signal.SIGKILL not in {p.exit_code for p in cluster.vm_processes(vm)}


def listed_addresses(address: str) -> list[str]:
    """Return the addresses that an entry lists to callers in its data centre."""
    answer = httpcore.request(
        "GET",
        f"http://{address}/v1/addresses",
        headers={"authorization": f"Bearer {OWNER_KEY}"},
    )
    listed: list[str] = json.loads(answer.content)["addresses"]
    return listed
