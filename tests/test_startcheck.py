"""A starting node compares the store's answers with what its peers know."""

from dataclasses import replace
from typing import Any, cast

import anyio
import pytest

from chivespan.clock import SystemClock
from chivespan.fleetlinks import NO_REPORT
from chivespan.routingstate import NO_VERSION
from chivespan.startcheck import PEER_REPORT_TIMEOUT, StartCheck
from tests.fakelinks import FakeLinks

pytestmark = pytest.mark.anyio
TIMEOUT_S = PEER_REPORT_TIMEOUT.total_seconds()


class Start:
    """A node that has just started, with one peer."""

    def __init__(self) -> None:
        self.links = FakeLinks()
        self.peer = self.links.join("10.0.0.2", "a")
        self.version = NO_VERSION
        self.check = StartCheck(cast(Any, self.links), cast(Any, self), SystemClock())

    def hear(self, version: int) -> None:
        self.peer.report = replace(NO_REPORT, config_version=version)

    async def is_waiting(self) -> bool:
        with anyio.move_on_after(TIMEOUT_S / 4) as scope:
            await self.check.wait()
        return scope.cancelled_caught


async def test_node_waits_for_the_newer_routing_table_of_a_peer() -> None:
    start = Start()
    assert await start.is_waiting()
    start.hear(5)
    assert await start.is_waiting()
    start.version = 5
    assert not await start.is_waiting()


async def test_node_whose_peers_start_as_well_does_not_wait() -> None:
    start = Start()
    start.hear(NO_VERSION)
    assert not await start.is_waiting()


async def test_node_without_word_from_its_peers_starts_after_the_timeout() -> None:
    start = Start()
    with anyio.fail_after(4 * TIMEOUT_S):
        await start.check.wait()
