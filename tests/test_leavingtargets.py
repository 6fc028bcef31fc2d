"""Node processes before a target that announces its end while still listed as ready."""

from pathlib import Path

import anyio
import pytest

from standins.platformstore import StoreFaults
from standins.platformtarget import TargetFaults, TargetOptions, TargetStandIn
from tests.fleet import (
    ONCE_PREFIX,
    STREAM_PREFIX,
    Fleet,
    batch_route,
    config,
    fleet,
    route,
)

pytestmark = pytest.mark.anyio

LEAVING = TargetFaults(leaving=True)
REQUESTS = 20
SPREAD_TIME_S = 0.6


def target(number: int, slots: int = 8) -> TargetStandIn:
    return TargetStandIn(TargetOptions(target_id=f"i-{number}", slots=slots))


async def send(site: Fleet, node: int, name: str, prefix: str = ONCE_PREFIX) -> int:
    headers = {"X-Chivespan-Request-Id": name, "X-Chivespan-Deadline-Ms": "3000"}
    return (await site.call(node, "POST", f"{prefix}x", headers)).status


async def send_until_announced(site: Fleet, node: int, leaving: TargetStandIn) -> None:
    """Send requests until one has reached the leaving target."""
    for number in range(200):
        await send(site, node, f"first-{node}-{number}")
        if leaving.arrivals:
            return
    raise AssertionError("no request reached the target")


async def requests_reaching(site: Fleet, node: int, one: TargetStandIn) -> int:
    """Return how many of some requests to a node reach a target."""
    before = len(one.arrivals)
    for number in range(REQUESTS):
        assert await send(site, node, f"later-{node}-{number}") == 200
    return len(one.arrivals) - before


# Guards against: requests go on to a target that has said in an answer that it leaves,
# for as long as the store still lists it as ready.
async def test_target_that_announced_its_end_gets_nothing_from_any_node(
    tmp_path: Path,
) -> None:
    one, two = target(1), target(2)
    one.faults = LEAVING
    async with fleet(tmp_path, 2, one, two) as (site, _):
        await send_until_announced(site, 1, one)
        assert await requests_reaching(site, 1, one) == 0
        await anyio.sleep(SPREAD_TIME_S)
        assert await requests_reaching(site, 2, one) == 0


# Guards against: a node without the store keeps using a target that leaves, as it can't
# read the target's entry.
async def test_announcement_holds_at_a_node_cut_from_the_store_and_its_peers(
    tmp_path: Path,
) -> None:
    one, two = target(1), target(2)
    async with fleet(tmp_path, 2, one, two) as (site, _):
        await site.kill(2)
        site.store.faults = StoreFaults(down="busy")
        one.faults = LEAVING
        await send_until_announced(site, 1, one)
        assert await requests_reaching(site, 1, one) == 0
        site.store.faults = StoreFaults()
        await anyio.sleep(1.5)
        assert await requests_reaching(site, 1, one) == 0


# Guards against: a new configuration, which replaces the routes, brings a target that
# leaves back into use.
async def test_announcement_survives_a_change_of_configuration(tmp_path: Path) -> None:
    one, two = target(1), target(2)
    one.faults = LEAVING
    async with fleet(tmp_path, 1, one, two) as (site, _):
        await send_until_announced(site, 1, one)
        site.publish(config(5, route("r-new", "/new/")))
        await anyio.sleep(SPREAD_TIME_S)
        before = len(one.arrivals)
        for number in range(REQUESTS):
            assert await send(site, 1, f"new-{number}", "/new/") == 200
        assert len(one.arrivals) == before


# Guards against: the retry of a request that a leaving target refused as not run, and
# the requests after it, go to that target again.
async def test_refused_request_is_retried_elsewhere_and_the_target_left_out(
    tmp_path: Path,
) -> None:
    one, two = target(1), target(2)
    one.faults = TargetFaults(leaving=True, full=True)
    async with fleet(tmp_path, 1, one, two) as (site, _):
        await send_until_announced(site, 1, one)
        assert len(one.arrivals) == 1
        assert await requests_reaching(site, 1, one) == 0
        assert not one.ran


# Guards against: a stream that broke at one target is resumed at a target that leaves.
async def test_broken_stream_is_not_resumed_at_a_leaving_target(tmp_path: Path) -> None:
    one, two, three = target(1), target(2), target(3)
    one.faults = LEAVING
    async with fleet(tmp_path, 1, one, two, three) as (site, _):
        await send_until_announced(site, 1, one)
        two.faults = TargetFaults(break_after=2, break_count=3)
        for number in range(REQUESTS):
            await send(site, 1, f"stream-{number}", STREAM_PREFIX)
        assert len(one.arrivals) == 1


# Guards against: items of batch jobs go on to a target that has said that it leaves.
async def test_items_are_not_started_at_a_leaving_target(tmp_path: Path) -> None:
    one, two = target(1), target(2)
    one.faults = LEAVING
    async with fleet(tmp_path, 1, one, two) as (site, _):
        routes = (route("r-once", ONCE_PREFIX), batch_route())
        site.publish(config(5, *routes))
        await send_until_announced(site, 1, one)
        assert (await site.submit(1, "job-1", 12)).status == 202
        results = await site.results(1, "job-1", 12)
        assert {result["state"] for result in results} == {"completed"}
        assert len(one.arrivals) == 1
