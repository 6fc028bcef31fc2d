"""How nodes find each other, and forget those that were removed for good."""

from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest

from chivespan.clock import ManualClock
from chivespan.keyedstore import KeyedRecord, load_newest
from chivespan.nodelist import NODES, REMOVE_LOST_AFTER, NodeList
from chivespan.nodemessages import NodeValue
from tests.factories import node
from tests.fakestore import FakeStore

pytestmark = pytest.mark.anyio


class Links:
    """Links of one node; what it learns from the list is kept."""

    def __init__(self, own: str, *peers: str) -> None:
        self.own = node(own)
        self.peers: dict[str, Any] = dict.fromkeys(peers)
        self.learnt: list[str] = []
        self.remote_nodes = SimpleNamespace(nodes=[])

    def add_nodes(self, nodes: list[NodeValue]) -> None:
        self.learnt = [each.vm for each in nodes]

    def remove_unlisted(self, nodes: list[NodeValue]) -> None:
        pass


async def listed(store: FakeStore) -> list[str]:
    page = await load_newest(store, NODES)
    return sorted(record.key for record in page.records)


async def store_with(*vms: str) -> FakeStore:
    store = FakeStore()
    records = [KeyedRecord(vm, msgspec.json.encode(node(vm))) for vm in vms]
    await store.append(NODES, records)
    return store


def reader(store: FakeStore, links: Links, clock: ManualClock) -> NodeList:
    return NodeList(store, cast(Any, links), cast(Any, links.remote_nodes), clock)


async def test_a_new_node_lists_itself_and_takes_itself_off() -> None:
    store = await store_with("10.0.0.2")
    links = Links("10.0.0.1", "10.0.0.2")
    nodes = reader(store, links, ManualClock())
    await nodes.read()
    assert await listed(store) == ["10.0.0.1", "10.0.0.2"]
    assert links.learnt == ["10.0.0.2"]
    await nodes.unlist()
    assert await listed(store) == ["10.0.0.2"]


@pytest.mark.parametrize(
    ("own", "other", "drops"),
    [("10.0.0.1", "10.0.0.2", True), ("10.0.0.2", "10.0.0.1", False)],
)
async def test_the_first_live_node_drops_one_that_was_lost_for_long(
    own: str, other: str, drops: bool
) -> None:
    store = await store_with(own, other, "10.0.0.9")
    clock = ManualClock()
    nodes = reader(store, Links(own, other), clock)
    await nodes.read()
    clock.advance(REMOVE_LOST_AFTER)
    await nodes.read()
    assert await listed(store) == ["10.0.0.1", "10.0.0.2", "10.0.0.9"]
    clock.advance(REMOVE_LOST_AFTER / 100)
    await nodes.read()
    assert ("10.0.0.9" not in await listed(store)) is drops


async def test_a_node_that_comes_back_in_time_stays_listed() -> None:
    store = await store_with("10.0.0.1", "10.0.0.9")
    clock = ManualClock()
    links = Links("10.0.0.1")
    nodes = reader(store, links, clock)
    await nodes.read()
    clock.advance(REMOVE_LOST_AFTER * 0.9)
    links.peers["10.0.0.9"] = None
    await nodes.read()
    del links.peers["10.0.0.9"]
    clock.advance(REMOVE_LOST_AFTER * 0.9)
    await nodes.read()
    assert await listed(store) == ["10.0.0.1", "10.0.0.9"]
