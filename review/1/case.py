"""Each runner crashes once and is back: no batch item is ever started again."""

import asyncio
import time

from review.harness.site import Site, batch_item, batch_route, configuration, main

SERVICE = "huvo11a"
RUNNERS = 6
# The sheet has a share of 0.17 of the runners, for 4.5 s.
DOWN_S = 4.5
PAUSE_S = 0.5
JOB_INTERVAL_S = 1.0
ITEMS = 12
FINISH_S = 18.0
# Items that failed in the last 20 s don't count.
CALM_S = 22.0
LAST_JOB = "7c41e09b52d6ffff"


async def play(site: Site) -> bool:
    """Return whether a job accepted after the crashes stays open for nothing."""
    for _ in range(RUNNERS):
        await site.add_runner(SERVICE, gap_s=0.006, events={"/pule252/": 231})
    route = batch_route("/pule252/", SERVICE)
    await site.start(3, configuration(7, [SERVICE], [route]))
    await asyncio.sleep(3)
    load = asyncio.ensure_future(_load(site))
    await asyncio.sleep(2)
    for runner in site.runners:
        if site.trouble:
            site.note(f"runner {runner.name} crashes")
            await runner.crash()
        await asyncio.sleep(DOWN_S)
        if site.trouble:
            await runner.start()
            site.note(f"runner {runner.name} is back")
        await asyncio.sleep(PAUSE_S)
    load.cancel()
    await asyncio.sleep(4)
    ids = [f"e5b2ffff{number:04x}" for number in range(ITEMS)]
    items = [batch_item(each, f"/pule252/3/{each[-4:]}") for each in ids]
    assert await site.submit("/pule252/7c41e0", LAST_JOB, items)
    listed = await _read(site, LAST_JOB, FINISH_S + CALM_S + 2)
    site.note_runs()
    return _judge(site, ids, listed)


def _judge(site: Site, ids: list[str], listed: int) -> bool:
    """Return whether items lie open with idle runners, though none failed of late."""
    now = time.monotonic()
    ran = [run for run in site.runs if run.request_id in ids]
    last = max((run.at for run in site.runs), default=0.0)
    busy = sum(runner.busy for runner in site.runners)
    site.note(f"last job: {listed} of {ITEMS} listed, {len(ran)} runs of its items")
    site.note(f"runs in progress: {busy}, the last one began {now - last:.1f} s ago")
    return listed < ITEMS and not ran and not busy and now - last > CALM_S


async def _load(site: Site) -> None:
    """Submit a job each second, as before and during the crashes."""
    number = 0
    while True:
        number += 1
        items = [
            batch_item(f"e5b2{number:04x}{each:04x}", f"/pule252/3/{each}a")
            for each in range(ITEMS)
        ]
        await site.submit("/pule252/7c41e0", f"7c41e09b52d6{number:04x}", items)
        await asyncio.sleep(JOB_INTERVAL_S)


async def _read(site: Site, job_id: str, for_s: float) -> int:
    """Read a job until it is whole, or for some time; return the results listed."""
    listed = 0
    until = time.monotonic() + for_s
    turn = 0
    while time.monotonic() < until and listed < ITEMS:
        node = site.nodes[turn % len(site.nodes)]
        status, page = await site.page(node, job_id)
        listed = int(page.get("next", listed))
        if turn % 6 == 0:
            site.note(f"job {job_id} at {node.name}: {status}, {listed} listed")
        turn += 1
        await asyncio.sleep(0.5)
    return listed


if __name__ == "__main__":
    main("1", play)
