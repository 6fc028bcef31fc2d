"""Requests that come while a node shuts down."""

from pathlib import Path

import anyio
import httpcore
import pytest

from standins.platformtarget import TargetOptions, TargetStandIn
from tests.fleet import ONCE_PREFIX, STREAM_PREFIX, Fleet, config, fleet, route

pytestmark = pytest.mark.anyio

LONG_PREFIX = "/long/"
TIMEOUT_MS = 20_000
# A request of five events ends before the node only if it comes in the first seconds.
EVENT_GAP_MS = 1_400
LATE_S = 2.3


async def send(site: Fleet, name: str, prefix: str) -> int:
    """Return the status of the answer; 0 if it was cut."""
    headers = {
        "X-Chivespan-Request-Id": name,
        "X-Chivespan-Deadline-Ms": f"{TIMEOUT_MS}",
    }
    try:
        answer = await site.call(
            2, "POST", f"{prefix}x", headers, timeout_s=TIMEOUT_MS / 1000
        )
    except (httpcore.RemoteProtocolError, httpcore.ReadError):
        return 0
    return answer.status


def slow_and_quick() -> tuple[TargetStandIn, TargetStandIn]:
    slow = TargetOptions(target_id="i-1", gap_ms=EVENT_GAP_MS)
    return TargetStandIn(slow), TargetStandIn(TargetOptions(target_id="i-2"))


# Guards against: a request that may run once only is taken late in the grace of a node,
# sent on, and cut without an answer as the node ends.
@pytest.mark.parametrize("is_known", [True, False])
async def test_request_that_would_be_cut_is_refused_and_not_sent(
    tmp_path: Path, is_known: bool
) -> None:
    slow = slow_and_quick()[0]
    async with fleet(tmp_path, 2, slow) as (site, tasks):
        long = route("r-long", LONG_PREFIX, kind="non_idempotent", timeoutMs=TIMEOUT_MS)
        site.publish(config(5, long))
        await anyio.sleep(2.5)
        if is_known:
            assert await send(site, "first", LONG_PREFIX) == 200
        tasks.start_soon(site.stop, 2)
        await anyio.sleep(LATE_S)
        arrived = len(slow.arrivals)
        assert await send(site, "late", LONG_PREFIX) == 503
        assert len(slow.arrivals) == arrived


# Guards against: a node that shuts down refuses what it can still answer.
@pytest.mark.parametrize("prefix", [ONCE_PREFIX, STREAM_PREFIX])
async def test_short_requests_are_served_late_in_the_grace(
    tmp_path: Path, prefix: str
) -> None:
    quick = slow_and_quick()[1]
    async with fleet(tmp_path, 2, quick) as (site, tasks):
        assert await send(site, "first", prefix) == 200
        tasks.start_soon(site.stop, 2)
        await anyio.sleep(LATE_S)
        assert await send(site, "late", prefix) == 200
