"""Discovery of nodes through the list, and removal of permanently lost ones."""

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
    """Fake links of one node that record the nodes added from the list."""

    def __init__(self, own: str, *peers: str) -> None:
        self.own = node(own)
        self.peers: dict[str, Any] = dict.fromkeys(peers)
        self.added: list[str] = []
        self.remote_nodes = SimpleNamespace(nodes=[])

    def add_nodes(self, nodes: list[NodeValue]) -> None:
        self.added = [each.vm for each in nodes]

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


def node_list(store: FakeStore, links: Links, clock: ManualClock) -> NodeList:
    return NodeList(store, cast(Any, links), cast(Any, links.remote_nodes), clock)


async def test_new_node_adds_and_removes_its_entry() -> None:
    store = await store_with("10.0.0.2")
    links = Links("10.0.0.1", "10.0.0.2")
    nodes = node_list(store, links, ManualClock())
    await nodes.read()
    assert await listed(store) == ["10.0.0.1", "10.0.0.2"]
    assert links.added == ["10.0.0.2"]
    await nodes.unlist()
    assert await listed(store) == ["10.0.0.2"]


@pytest.mark.parametrize(
    ("own", "other", "removes"),
    [("10.0.0.1", "10.0.0.2", True), ("10.0.0.2", "10.0.0.1", False)],
)
async def test_lowest_live_node_removes_a_node_lost_for_too_long(
    own: str, other: str, removes: bool
) -> None:
    store = await store_with(own, other, "10.0.0.9")
    clock = ManualClock()
    nodes = node_list(store, Links(own, other), clock)
    await nodes.read()
    clock.advance(REMOVE_LOST_AFTER)
    await nodes.read()
    assert await listed(store) == ["10.0.0.1", "10.0.0.2", "10.0.0.9"]
    clock.advance(REMOVE_LOST_AFTER / 100)
    await nodes.read()
    assert ("10.0.0.9" not in await listed(store)) is removes


async def test_node_that_returns_in_time_stays_listed() -> None:
    store = await store_with("10.0.0.1", "10.0.0.9")
    clock = ManualClock()
    links = Links("10.0.0.1")
    nodes = node_list(store, links, clock)
    await nodes.read()
    clock.advance(REMOVE_LOST_AFTER * 0.9)
    links.peers["10.0.0.9"] = None
    await nodes.read()
    del links.peers["10.0.0.9"]
    clock.advance(REMOVE_LOST_AFTER * 0.9)
    await nodes.read()
    assert await listed(store) == ["10.0.0.1", "10.0.0.9"]
