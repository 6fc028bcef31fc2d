"""Many batch jobs come at once: some are deleted while they are still open."""

import asyncio
import time

from review.harness.site import Site, batch_item, batch_route, configuration, main

SERVICE = "huvo11a"
ITEMS = 24
# On the sheet statusS is 120; a script has no time for that.
STATUS_S = 30
RETENTION_S = 300
SETTLE_S = 1.0
WATCH_S = 85.0
# The usual rate of the sheet is a job in about 3 s; a burst has six times as many.
BURST_JOBS = 6
LOST_READS = 6


async def play(site: Site) -> bool:
    """Return whether an accepted job that is still open can't be read any more."""
    for _ in range(2):
        await site.add_runner(SERVICE, gap_s=0.03, events={"/pule252/": 231})
    route = batch_route("/pule252/", SERVICE, retentionS=RETENTION_S)
    await site.start(3, configuration(7, [SERVICE], [route]))
    await asyncio.sleep(3)
    jobs = BURST_JOBS if site.trouble else 1
    ids = [f"7c41e09b52d6a3{number:02x}" for number in range(jobs)]
    accepted: dict[str, float] = {}
    for number, job_id in enumerate(ids):
        items = [
            batch_item(f"e5b2907c{number:02x}{each:04x}da", f"/pule252/3/{each}a")
            for each in range(ITEMS)
        ]
        assert await site.submit("/pule252/7c41e0", job_id, items)
        accepted[job_id] = time.monotonic()
        await asyncio.sleep(3 / BURST_JOBS)
    async with asyncio.TaskGroup() as tasks:
        readers = [
            tasks.create_task(_is_lost(site, job_id, accepted[job_id]))
            for job_id in ids
        ]
    site.note_runs()
    lost = sum(reader.result() for reader in readers)
    site.note(f"{lost} of {jobs} accepted jobs are lost")
    return lost > 0


async def _is_lost(site: Site, job_id: str, accepted: float) -> bool:
    """Read a job twice a second until it is whole; return whether it is lost."""
    listed = 0
    missing = 0
    turn = 0
    while (age := time.monotonic() - accepted) < WATCH_S:
        node = site.nodes[turn % len(site.nodes)]
        status, page = await site.page(node, job_id)
        if status == 200:
            listed = max(listed, int(page["next"]))
            missing = 0
        elif status in (404, 410) and age > SETTLE_S:
            missing += 1
        if turn % 10 == 0 or status != 200 or listed == ITEMS:
            site.note(
                f"job {job_id} at {node.name}, age {age:.1f} s: {status}, "
                f"{listed} of {ITEMS} listed"
            )
        if listed == ITEMS:
            return False
        if missing >= LOST_READS:
            return True
        turn += 1
        await asyncio.sleep(0.5)
    return False


if __name__ == "__main__":
    main("3", play, bounds={"statusS": STATUS_S})
