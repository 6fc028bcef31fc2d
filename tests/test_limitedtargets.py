"""Node processes before targets that state how many requests a second they accept."""

from dataclasses import dataclass
from pathlib import Path
from random import Random
from statistics import median

import anyio
import pytest

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

NODES = 3
RATE_PER_S = 2.0
LIMITED = TargetFaults(limit=f"{RATE_PER_S}")
WINDOW_S = 4.0
# What callers allow a target to get beyond its limit.
MOST_IN_WINDOW = 1.5 * RATE_PER_S * WINDOW_S + 5
# Time until all nodes have heard of a limit, and the requests before that have left
# the window.
SPREAD_TIME_S = 0.6
TRAFFIC_S = 6.0
INTERVAL_S = 0.05


@dataclass(frozen=True)
class TimedAnswer:
    status: int
    headers: dict[str, str]
    took_s: float


def target(number: int, faults: TargetFaults | None = None) -> TargetStandIn:
    options = TargetOptions(target_id=f"i-{number}")
    return TargetStandIn(options, faults or TargetFaults())


def most_arrivals(one: TargetStandIn, since: float) -> int:
    """Return the most requests that reached a target within one window."""
    times = [arrival.at for arrival in one.arrivals if arrival.at >= since]
    return max(
        (sum(at <= each < at + WINDOW_S for each in times) for at in times), default=0
    )


async def send_traffic(site: Fleet, seconds: float, prefix: str) -> list[TimedAnswer]:
    """Send requests to all nodes in turn for a while."""
    answers: list[TimedAnswer] = []
    random = Random(1)

    async def send(number: int) -> None:
        headers = {
            "X-Chivespan-Request-Id": f"{prefix}{seconds}-{number}",
            "X-Chivespan-Deadline-Ms": "3000",
        }
        node = random.randint(1, NODES)
        start = anyio.current_time()
        answer = await site.call(node, "POST", f"{prefix}x", headers)
        took_s = anyio.current_time() - start
        answers.append(TimedAnswer(answer.status, answer.headers, took_s))

    async with anyio.create_task_group() as tasks:
        for number in range(int(seconds / INTERVAL_S)):
            tasks.start_soon(send, number)
            await anyio.sleep(INTERVAL_S)
    return answers


# Guards against: nodes that each keep a target's limit send it more than that together.
@pytest.mark.parametrize("prefix", [ONCE_PREFIX, STREAM_PREFIX])
async def test_nodes_together_keep_the_limit_of_a_target(
    tmp_path: Path, prefix: str
) -> None:
    one, two, free = target(1, LIMITED), target(2, LIMITED), target(3)
    async with fleet(tmp_path, NODES, one, two, free) as (site, _):
        await send_traffic(site, SPREAD_TIME_S, prefix)
        since = anyio.current_time()
        answers = await send_traffic(site, TRAFFIC_S, prefix)
        assert {answer.status for answer in answers} == {200}
        for limited in (one, two):
            assert 0 < most_arrivals(limited, since) <= MOST_IN_WINDOW


# Guards against: requests wait, or fail, when all targets have got what they accept.
async def test_requests_beyond_all_limits_are_refused_at_once(tmp_path: Path) -> None:
    one, two = target(1, LIMITED), target(2, LIMITED)
    async with fleet(tmp_path, NODES, one, two) as (site, _):
        await send_traffic(site, SPREAD_TIME_S, ONCE_PREFIX)
        since = anyio.current_time()
        answers = await send_traffic(site, TRAFFIC_S, ONCE_PREFIX)
        for limited in (one, two):
            assert most_arrivals(limited, since) <= MOST_IN_WINDOW
        served = [answer for answer in answers if answer.status == 200]
        refused = [answer for answer in answers if answer.status == 503]
        assert len(served) + len(refused) == len(answers)
        assert len(served) >= RATE_PER_S * TRAFFIC_S
        assert all(float(each.headers["retry-after"]) > 0 for each in refused)
        assert median(each.took_s for each in refused) < 0.1


# Guards against: batch items fill targets beyond their limits, or never run there.
async def test_items_keep_the_limits_and_are_done(tmp_path: Path) -> None:
    one, two = target(1, LIMITED), target(2, LIMITED)
    items = 36
    async with fleet(tmp_path, NODES, one, two) as (site, _):
        site.publish(config(5, route("r-once", ONCE_PREFIX), batch_route()))
        await send_traffic(site, SPREAD_TIME_S, ONCE_PREFIX)
        since = anyio.current_time()
        with anyio.fail_after(5):
            while (await site.submit(1, "job-1", items)).status != 202:
                await anyio.sleep(0.1)
        results = await site.results(1, "job-1", items)
        assert {result["state"] for result in results} == {"completed"}
        for limited in (one, two):
            assert most_arrivals(limited, since) <= MOST_IN_WINDOW


# Guards against: a limit outlives the response that no longer states it.
async def test_target_is_used_again_once_it_states_no_limit(tmp_path: Path) -> None:
    one = target(1, LIMITED)
    async with fleet(tmp_path, NODES, one) as (site, _):
        await send_traffic(site, 2.0, ONCE_PREFIX)
        one.faults = TargetFaults()
        await send_traffic(site, 2.0, ONCE_PREFIX)
        answers = await send_traffic(site, 1.0, ONCE_PREFIX)
        assert {answer.status for answer in answers} == {200}
