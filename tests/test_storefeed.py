"""Feeds of a relay, which replace the reads of the store by each node."""

from dataclasses import replace
from datetime import timedelta
from typing import Any, cast

import anyio
import pytest

from chivespan.clock import ManualClock, SystemClock
from chivespan.fleetlinks import NO_REPORT
from chivespan.fleetwatch import FleetSources, FleetWatch
from chivespan.keyedstore import KeyedRecord, NewestPage, Partition
from chivespan.nodemessages import FleetAnswer, TargetEntry
from chivespan.routingstate import RoutingState
from chivespan.storefeed import StoreFeed
from chivespan.targetset import TargetSet
from tests.factories import target_entry
from tests.fakelinks import FakeLinks
from tests.fakestore import FakeStore

pytestmark = pytest.mark.anyio

ROUTING, TARGETS = Partition("routing"), Partition("targets")
LIFETIME = timedelta(seconds=2)
DRAIN = timedelta(milliseconds=400)
ENTRY = target_entry("i-1", service="s")
FEED = FleetAnswer(
    config=b"",
    targets=[ENTRY],
    targets_known=True,
    nodes=[],
    is_feed=True,
)


class CountingStore(FakeStore):
    """Store that counts the reads of targets."""

    reads = 0

    async def newest(self, partition: Partition, after: str = "") -> NewestPage:
        self.reads += partition == TARGETS
        return await super().newest(partition, after)


def decode_target(target_id: str, value: bytes) -> TargetEntry:
    return replace(ENTRY, target_id=target_id)


class Watch:
    """A node's view of the fleet, from a store and from feeds."""

    def __init__(self, *, is_relay: bool) -> None:
        clock = SystemClock()
        self.links = FakeLinks()
        self.store = CountingStore()
        self.targets = TargetSet(clock)
        self.watch = FleetWatch(
            self.store,
            FleetSources(ROUTING, "config", TARGETS, decode_target),
            cast(Any, self.links),
            cast(Any, None),
            RoutingState(cast(Any, None)),
            self.targets,
            clock,
            DRAIN,
            lambda: is_relay,
        )


def test_only_a_relay_feeds_the_nodes_of_its_data_centre() -> None:
    links = FakeLinks()
    links.join("10.0.0.2", "a")
    links.join("10.1.0.1", "b")
    is_relay = False
    feed = StoreFeed(cast(Any, links), lambda: is_relay, ManualClock(), LIFETIME)
    feed.send(FEED)
    assert links.sent == []
    is_relay = True
    feed.send(FEED)
    assert links.sent == [("10.0.0.2", FEED)]


# Guards against: each of hundreds of nodes reads the same targets from the store.
async def test_fed_node_does_not_read_targets_from_the_store() -> None:
    fed = Watch(is_relay=False)
    relay = fed.links.join("10.0.0.2", "a")
    await fed.watch.handle_message(relay, FEED)
    with anyio.move_on_after(3 * DRAIN.total_seconds()):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fed.watch._watch_targets)
            while True:
                await anyio.sleep(DRAIN.total_seconds() / 4)
                await fed.watch.handle_message(relay, FEED)
    assert fed.store.reads == 0
    assert [entry.target_id for entry in fed.targets.usable("s")] == ["i-1"]


# Guards against: nodes go on with old targets when their relay stops or is frozen.
async def test_node_reads_the_store_within_the_drain_bound_after_its_last_feed() -> (
    None
):
    fed = Watch(is_relay=False)
    relay = fed.links.join("10.0.0.2", "a")
    await fed.store.append(TARGETS, [KeyedRecord("i-2", b"x")])
    await fed.watch.handle_message(relay, FEED)
    with anyio.move_on_after(DRAIN.total_seconds() * 0.9):
        await fed.watch._watch_targets()
    assert fed.store.reads > 0
    assert fed.targets.find("i-2") is not None


async def test_relay_feeds_its_data_centre_after_each_read() -> None:
    relay = Watch(is_relay=True)
    # A node that starts waits for the first report of a peer.
    relay.links.join("10.0.0.2", "a").report = replace(NO_REPORT, sequence=1)
    await relay.store.append(TARGETS, [KeyedRecord("i-2", b"x")])
    with anyio.move_on_after(DRAIN.total_seconds()):
        await relay.watch._watch_targets()
    assert relay.store.reads == len(relay.links.sent) > 1
    ((_, feed), *_) = relay.links.sent
    assert isinstance(feed, FleetAnswer)
    assert feed.is_feed
    assert [entry.target_id for entry in feed.targets] == ["i-2"]


async def test_answer_from_another_data_centre_is_no_feed() -> None:
    fed = Watch(is_relay=False)
    remote = fed.links.join("10.1.0.1", "b")
    await fed.watch.handle_message(remote, FEED)
    assert not fed.targets.is_loaded
