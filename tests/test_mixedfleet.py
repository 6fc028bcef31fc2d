"""A rolling upgrade: nodes of the last release beside nodes of this one.

Run by ``make mixed``, which checks out the last release; not part of CI.
"""

import os
from pathlib import Path

import anyio
import pytest

from standins.platformtarget import TargetOptions, TargetStandIn
from tests.fleet import STREAM_PREFIX, Fleet, fleet

pytestmark = [pytest.mark.anyio, pytest.mark.slow]

LAST_RELEASE = "CHIVESPAN_LAST_RELEASE"
NODES = (1, 2, 3, 4)
OLD_NODES = (1, 2)
ITEMS = 6
EVENTS = 5
SETTLE_TIME_S = 2


def target(number: int) -> TargetStandIn:
    return TargetStandIn(TargetOptions(target_id=f"i-{number}", events=EVENTS))


async def request_each(site: Fleet, name: str) -> None:
    """Send a request to each node; each must be answered completely."""
    for node in NODES:
        request_id = f"{name}-{node}"
        headers = {
            "X-Chivespan-Request-Id": request_id,
            "X-Chivespan-Deadline-Ms": "3000",
        }
        answer = await site.call(node, "POST", f"{STREAM_PREFIX}x", headers)
        events = [f"id: {n}\ndata: {request_id}-{n}\n\n" for n in range(1, EVENTS + 1)]
        assert (answer.status, answer.body) == (200, "".join(events).encode())


async def read_at_each(site: Fleet, job_id: str) -> None:
    """Read a job at each node; all must list the same results."""
    pages = [await site.results(node, job_id, ITEMS) for node in NODES]
    assert all(page == pages[0] for page in pages)
    assert {result["state"] for result in pages[0]} == {"completed"}


def live_peers(site: Fleet, node: int) -> set[str]:
    """Return the peers that a node has according to its log."""
    peers: set[str] = set()
    for line in site.logs[node]:
        if line["event"] == "peer_joined":
            peers.add(line["peer"])
        elif line["event"] == "peer_left":
            peers.discard(line["peer"])
    return peers


# Guards against: nodes of two releases close their links, or lose jobs and requests,
# while a fleet is upgraded node by node.
async def test_fleet_serves_while_it_is_upgraded_node_by_node(tmp_path: Path) -> None:
    release = Path(os.environ[LAST_RELEASE])
    async with fleet(tmp_path, 0, target(1), target(2)) as (site, tasks):
        site.checkouts = dict.fromkeys(OLD_NODES, release)
        for node in NODES:
            await site.start(node, tasks)
        await anyio.sleep(SETTLE_TIME_S)
        await request_each(site, "mixed")
        for node in NODES:
            assert (await site.submit(node, f"mixed-{node}", ITEMS)).status == 202
            await read_at_each(site, f"mixed-{node}")
        for node in NODES:
            assert len(live_peers(site, node)) == len(NODES) - 1
            assert len(site.events(node, "peer_left")) == 0
        for node in OLD_NODES:
            assert (await site.submit(node, f"rolled-{node}", ITEMS)).status == 202
            await site.stop(node)
            del site.checkouts[node]
            await site.start(node, tasks)
            await anyio.sleep(SETTLE_TIME_S)
            await request_each(site, f"rolled-{node}")
            await read_at_each(site, f"rolled-{node}")
            await read_at_each(site, f"mixed-{node}")
