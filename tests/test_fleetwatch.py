"""Following the configuration while the store expires its history."""

from datetime import timedelta
from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from chivespan.clock import SystemClock
from chivespan.fleetwatch import FleetSources, FleetWatch
from chivespan.keyedstore import KeyedPage, KeyedRecord, NewestPage, Partition
from tests.fakestore import FakeStore

pytestmark = pytest.mark.anyio

ROUTING = Partition("routing")
SOURCES = FleetSources(ROUTING, "config", Partition("targets"), cast(Any, None))


class StaleStore(FakeStore):
    """Store that returns an expired end offset while ``stale`` is set."""

    stale = True
    reads = 0

    async def newest(self, partition: Partition, after: str = "") -> NewestPage:
        page = await super().newest(partition, after)
        return NewestPage(page.records, 0 if self.stale else page.end, page.more)

    async def read(
        self, partition: Partition, start: int, wait: timedelta
    ) -> KeyedPage:
        self.reads += 1
        return await super().read(partition, start, wait)


async def test_expired_history_is_reloaded_after_a_delay() -> None:
    store = StaleStore()
    await store.append(ROUTING, [KeyedRecord("config", b"1")])
    store.compact(ROUTING)
    offered: list[bytes] = []
    routing = SimpleNamespace(
        version=1, apply_if_newer=lambda document, _: offered.append(document)
    )
    unused = cast(Any, SimpleNamespace(add_listener=lambda _: None))
    drain = timedelta(seconds=2)
    watch = FleetWatch(
        store,
        SOURCES,
        unused,
        unused,
        cast(Any, routing),
        unused,
        SystemClock(),
        drain,
        lambda: False,
    )
    with anyio.move_on_after(0.5):
        await watch._watch_routing()
    assert 2 <= store.reads <= 7
    assert offered[-1] == b"1"
