"""Tests that configuration reaches all nodes by push, polling, peers or snapshots."""

from collections.abc import Sequence
from dataclasses import replace
from datetime import timedelta

import anyio
import pytest

from chivespan import configfeed
from chivespan.codec import encode
from chivespan.configcopy import ConfigCopy, config_records
from chivespan.configfold import CONFIG_STREAM
from chivespan.configuration import DocumentId
from chivespan.documents import DocumentKind, Region
from chivespan.messages import ConfigRequest, ConfigSnapshot
from chivespan.records import DocumentChange
from tests.controlnodes import (
    ControlNode,
    Platform,
    control_nodes,
    grant_requester,
    inventory,
    start_node,
    until,
)
from tests.fakelog import FakeLog

pytestmark = pytest.mark.anyio

VMS = tuple(f"127.45.0.{number}" for number in range(1, 7))
NEW_VM = "127.45.0.9"


def new_region(number: int) -> DocumentChange:
    name = f"region-{number}"
    return DocumentChange(
        kind="region", name=name, base_version=0, document=encode(Region(name=name))
    )


def all_at_offset(nodes: Sequence[ControlNode], offset: int) -> bool:
    return all(node.offset == offset for node in nodes)


def reader_nodes(nodes: Sequence[ControlNode]) -> list[ControlNode]:
    return [node for node in nodes if node.dispatcher.feed.is_reader]


async def wait_views_agree(nodes: Sequence[ControlNode]) -> None:
    """Wait until all nodes consider each other live.

    Before that, more than ``READERS_PER_CENTRE`` nodes may act as readers.
    """
    vms = {node.vm for node in nodes}
    await until(lambda: all(node.live_vms == vms for node in nodes))


async def test_change_is_pushed_to_all_nodes_and_subscribed_programs() -> None:
    platform = Platform()
    platform.publish(*inventory(2))
    async with (
        control_nodes(platform, VMS) as nodes,
        grant_requester(platform, VMS[0]) as entry,
    ):
        await until(lambda: all_at_offset(nodes, 0))
        await wait_views_agree(nodes)
        assert len(reader_nodes(nodes)) == configfeed.READERS_PER_CENTRE
        offset = platform.publish(new_region(1))
        await until(lambda: all_at_offset(nodes, offset), 2)
        await until(lambda: entry.view.configuration.offset == offset, 2)
        assert all(node.dispatcher.feed.age < timedelta(seconds=5) for node in nodes)


async def test_lost_readers_are_replaced() -> None:
    platform = Platform()
    platform.publish(*inventory(2))
    async with control_nodes(platform, VMS) as nodes:
        await until(lambda: all_at_offset(nodes, 0))
        await wait_views_agree(nodes)
        readers = reader_nodes(nodes)
        left = [node for node in nodes if node not in readers]
        for reader in readers:
            reader.stop()
        offset = platform.publish(new_region(1))
        await until(lambda: all_at_offset(left, offset), 8)


async def test_node_without_pushes_polls_the_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(configfeed, "POLL_INTERVAL", timedelta(milliseconds=200))
    monkeypatch.setattr(configfeed, "READERS_PER_CENTRE", 0)
    platform = Platform()
    platform.publish(*inventory(2))
    async with control_nodes(platform, VMS[:1]) as nodes:
        await until(lambda: all_at_offset(nodes, 0))
        offset = platform.publish(new_region(1))
        await until(lambda: all_at_offset(nodes, offset), 2)


async def test_node_started_in_an_outage_gets_configuration_from_peers() -> None:
    platform = Platform()
    platform.publish(*inventory(2))
    async with control_nodes(platform, VMS[:2]) as nodes:
        await until(lambda: all_at_offset(nodes, 0))
        platform.log.outage = True
        platform.list_vms(NEW_VM)
        async with anyio.create_task_group() as tasks:
            new_node = start_node(tasks, platform, NEW_VM)
            async with grant_requester(platform, NEW_VM) as entry:
                await until(lambda: all_at_offset([new_node], 0), 3)
                assert entry.view.configuration.offset == 0
            tasks.cancel_scope.cancel()


async def test_node_without_log_and_peers_is_not_initialized() -> None:
    platform = Platform()
    platform.publish(*inventory(2))
    platform.log.outage = True
    async with control_nodes(platform, VMS[:1]) as nodes:
        await until(lambda: "config.log_failures" in nodes[0].metrics.counters)
        assert not nodes[0].dispatcher.feed.is_initialized
        assert nodes[0].dispatcher.status("").targets == []
        platform.log.outage = False
        await until(lambda: all_at_offset(nodes, 0))


async def test_node_behind_retention_is_restored_from_a_snapshot() -> None:
    platform = Platform()
    platform.publish(*inventory(2))
    async with control_nodes(platform, VMS[:1]) as nodes:
        await until(lambda: all_at_offset(nodes, 0))
        platform.publish(new_region(1))
        await until(lambda: all_at_offset(nodes, 1))
        await nodes[0].dispatcher.snapshots.write()
    offset = platform.publish(new_region(2))
    platform.log.expire(CONFIG_STREAM, 2)
    async with control_nodes(platform, VMS[1:2]) as nodes:
        await until(lambda: all_at_offset(nodes, offset))
        assert nodes[0].metrics.counters["config.behind_retention"] == 1
        configuration = nodes[0].dispatcher.copy.configuration
        assert {"region", "region-1", "region-2"} <= set(configuration.regions)
        assert configuration.version(region_id(2)) == offset + 1


async def test_peer_with_an_older_configuration_reverts_nothing() -> None:
    """A node whose log replica lacks the newest record gets it from its peer."""
    platform = Platform()
    platform.publish(*inventory(2))
    short_log = FakeLog()
    short_log.put(CONFIG_STREAM, [platform.log.records(CONFIG_STREAM)[0].payload])
    old = replace(platform, log=short_log)
    offset = platform.publish(new_region(1))
    async with control_nodes(platform, VMS[:1]) as nodes:
        await until(lambda: all_at_offset(nodes, offset))
        platform.list_vms(VMS[1])
        async with anyio.create_task_group() as tasks:
            nodes.append(start_node(tasks, old, VMS[1]))
            await until(lambda: all_at_offset(nodes, offset))
            tasks.cancel_scope.cancel()


def region_id(number: int) -> DocumentId:
    return DocumentId(DocumentKind.region, f"region-{number}")


def test_copy_ignores_older_records_and_stops_at_gaps() -> None:
    platform = Platform(port=0)
    for number in range(4):
        platform.publish(new_region(number))
    records = platform.log.records(CONFIG_STREAM)
    ahead, behind = ConfigCopy(), ConfigCopy()
    ahead.apply(records)
    behind.apply(records[:2])
    old = ConfigSnapshot(as_of=1, snapshot=behind.fold.snapshot())
    assert not ahead.apply_snapshot(old)
    assert not ahead.apply_snapshot(replace(old, as_of=9))
    assert ahead.apply_records(config_records(-1, records[:3])) == ()
    assert ahead.offset == 3
    assert behind.apply_records(config_records(2, records[3:])) == ()
    assert behind.offset == 1
    answer = ahead.build_reply(ConfigRequest(have_offset=behind.offset))
    assert answer == config_records(1, records[2:])
    assert len(behind.apply_records(config_records(1, records[2:]))) == 2
    empty = ConfigCopy()
    full_snapshot = ConfigSnapshot(as_of=3, snapshot=ahead.fold.snapshot())
    assert empty.apply_snapshot(full_snapshot)
    assert empty.fold.digest == ahead.fold.digest == behind.fold.digest
    assert empty.build_reply(ConfigRequest(have_offset=-1)) == full_snapshot
