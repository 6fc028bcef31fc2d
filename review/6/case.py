"""A batch job is ended while the store turns away the node that starts its items."""

import asyncio
import os
import sys
import time
from pathlib import Path
from zlib import crc32

from review.harness_2.site import BOUNDS, Site, items, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CANCEL_S = BOUNDS["cancelMs"] / 1000
STABLE_S = BOUNDS["stableWindowMs"] / 1000
ITEMS = 200
# The only node in its zone, whose link is the fastest.
TURNED_AWAY = 1
DOWN_S = 6.0
ENDED_AFTER_S = 0.6


async def play(site: Site) -> list[str]:
    """End a job shortly after the store began to turn one node away."""
    for runner in site.runners:
        runner.events_of = events_of
    await asyncio.sleep(STABLE_S + 1)
    answer = await site.submit(
        2, "/digest/j", "job-1", items("it", "/digest/i/", ITEMS)
    )
    assert answer.status == 202, answer
    await asyncio.sleep(2)
    if TROUBLE:
        waits = site.store.waits_for_config[TURNED_AWAY] = asyncio.Event()
        await waits.wait()
        site.note(f"the store turns node {TURNED_AWAY} away (503)")
        site.store.down[TURNED_AWAY] = "busy"
    began = time.time()
    await asyncio.sleep(ENDED_AFTER_S)
    answer = await site.job_call(2, "DELETE", "/-/lots/job-1")
    ended = time.time()
    assert answer.status == 200, answer
    await asyncio.sleep(max(0.0, began + DOWN_S - time.time()))
    site.note(f"the store serves node {TURNED_AWAY} again")
    site.store.down.clear()
    await asyncio.sleep(4)
    late = [
        each
        for runner in site.runners
        for each in runner.arrivals
        if each.ran and each.at > ended + CANCEL_S
    ]
    if not late:
        return []
    last = max(each.at for each in late) - ended
    return [
        f"UNASKED: {len(late)} items of the job reached runners later than "
        f"{CANCEL_S:g} s after the acknowledgement of its end, the last {last:.2f} s"
    ]


def events_of(item_id: str) -> int:
    """Return the number of events of an item, 30 to 89."""
    return 30 + crc32(item_id.encode()) % 60


def prepare(site: Site) -> None:
    """Put one node into a zone without runners; give it the fastest link."""
    site.runner_zone = "hr-east-vukovar"
    for node in site.nodes:
        if node != TURNED_AWAY:
            site.zones[node] = site.runner_zone
            site.link_mbps[node] = 300.0


if __name__ == "__main__":
    sys.exit(
        run_case(Path(sys.argv[1]), nodes=3, runners=3, play=play, prepare=prepare)
    )
