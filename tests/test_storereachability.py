"""Whether the store serves this node, from the outcomes of its reads."""

from datetime import timedelta
from typing import Any, cast

import anyio
import pytest

from chivespan import fleetwatch
from chivespan.clock import MILLISECOND, ManualClock, SystemClock
from chivespan.errors import ChivespanError
from chivespan.fleetwatch import FleetSources, FleetWatch
from chivespan.keyedstore import Partition, StoreUnavailable
from chivespan.nodemessages import FleetAnswer
from chivespan.routingstate import RoutingState
from chivespan.storereachability import FAILURE_GRACE, StoreReachability
from chivespan.targetset import TargetSet
from tests.fakelinks import FakeLinks
from tests.fakestore import FakeStore

pytestmark = pytest.mark.anyio
DOWN = StoreUnavailable("status 503")
DRAIN = timedelta(seconds=2)
FEED = FleetAnswer(config=b"", targets=[], targets_known=True, nodes=[], is_feed=True)


# Guards against: the answer to a long read that the store accepted before it began to
# turn this node away counts as a sign that it serves the node (review/6).
def test_read_that_began_before_the_failure_proves_nothing() -> None:
    clock = ManualClock()
    state = StoreReachability(clock)
    state.record_success(clock.monotonic())
    long_read_began = clock.monotonic()
    clock.advance(100 * MILLISECOND)
    state.record_failure("targets", DOWN)
    clock.advance(FAILURE_GRACE * 0.9)
    state.record_success(long_read_began)
    assert state.is_failing
    assert state.is_reached
    clock.advance(FAILURE_GRACE * 0.2)
    assert not state.is_reached
    state.record_success(clock.monotonic())
    assert state.is_reached
    assert not state.is_failing


class Nodes:
    """The list of nodes in a store that can turn this node away.

    :ivar reads: number of reads.
    """

    def __init__(self) -> None:
        self.reads = 0
        self.error: ChivespanError | None = None

    async def read(self) -> None:
        self.reads += 1
        if self.error is not None:
            raise self.error


class FedNode:
    """A node that its relay feeds, so that it reads the list of nodes only."""

    def __init__(self) -> None:
        clock = SystemClock()
        self.nodes = Nodes()
        self.links = FakeLinks()
        self.watch = FleetWatch(
            FakeStore(),
            FleetSources(Partition("r"), "config", Partition("t"), cast(Any, None)),
            cast(Any, self.links),
            cast(Any, self.nodes),
            RoutingState(cast(Any, None)),
            TargetSet(clock),
            clock,
            DRAIN,
            lambda: False,
        )

    async def feed(self) -> None:
        relay = self.links.join("10.0.0.2", "a")
        await self.watch.handle_message(relay, FEED)


# Guards against: a node that its relay feeds finds out only with its next read of the
# list of nodes, seconds later, that the store turns it away, and keeps its partitions
# for as long (review/6).
async def test_failed_read_of_a_ledger_makes_a_fed_node_check_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(fleetwatch, "STARTUP_TIME", timedelta(0))
    monkeypatch.setattr(fleetwatch, "RETRY_INTERVAL", 20 * MILLISECOND)
    node = FedNode()
    await node.feed()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.watch._watch_nodes)
        await anyio.sleep(0.1)
        assert node.nodes.reads == 1
        assert node.watch.store_reached
        node.nodes.error = DOWN
        node.watch.check_store()
        await anyio.sleep(0.1)
        assert node.nodes.reads == 2
        assert node.watch._reachability.is_failing
        node.nodes.error = None
        node.watch.check_store()
        await anyio.sleep(0.1)
        assert not node.watch._reachability.is_failing
        tasks.cancel_scope.cancel()
