"""A new online route has accepted items of a batch route given up."""

import asyncio
import time
from collections import Counter
from pathlib import Path
from typing import Any

from review.harness_3.site import Site, batch_route, item, route, run_case

JOBS_BEFORE = 3
ITEMS = 30
RETENTION_S = 60
CHANGE_AFTER_S = 3.0
# Later than configApplyMs after the acknowledgement.
JOB_AFTER_CHANGE_S = 4.0
JUDGED_AFTER_S = 32.0


def items_of(job: int) -> list[dict[str, Any]]:
    """Return the items of a job; all paths are under the prefix of its route."""
    rows = []
    for number in range(ITEMS):
        parts = f"9c2e41:300,{job * 100 + number + 1:06x}:240"
        row = item(f"e5b2907c{job:04x}{number:04x}", number, parts)
        row["path"] = f"/batch/3/{number:x}"
        rows.append(row)
    return rows


async def main(record: Path, trouble: bool) -> int:
    """Return 1 if an item is a dead letter without any of the reasons for that."""
    site = Site(record)
    for number in range(3):
        site.add_runner(f"i-{number}", events=60, gap_ms=25.0)
    routes = [route("r-stream", "/stream/"), batch_route(retentionS=RETENTION_S)]
    site.publish(1, *routes)
    jobs: dict[str, set[str]] = {}

    async def submit(job: int) -> None:
        name = f"7c41e09b52d6{job:04x}"
        rows = items_of(job)
        answer = await site.submit(1 + job % 3, name, rows)
        if answer.status == 202:
            jobs[name] = {str(row["id"]) for row in rows}

    try:
        await site.start()
        await asyncio.sleep(6)
        for job in range(JOBS_BEFORE):
            await submit(job)
        await asyncio.sleep(CHANGE_AFTER_S)
        if trouble:
            # All that it adds is a route; host and service are the same.
            site.publish(2, *routes, route("r-slot", "/batch/3/"))
        await asyncio.sleep(JOB_AFTER_CHANGE_S)
        await submit(JOBS_BEFORE)
        if not jobs:
            return 2
        began = time.monotonic()
        states: Counter[str] = Counter()
        while time.monotonic() - began < JUDGED_AFTER_S:
            await asyncio.sleep(2)
            states.clear()
            for name, ids in jobs.items():
                results = await site.results(2, name)
                if results is None:
                    continue
                states.update(row["state"] for row in results)
                states["open"] += len(ids) - len(results)
            site.note(f"items: {dict(states)}")
            if not states["open"]:
                break
        for number, line in site.events("item_listed"):
            if line["outcome"] != "done":
                shown = {name: line[name] for name in ("item", "outcome", "age_ms")}
                site.note(f"node {number} listed {shown}, runs {line['runs']}")
        # No runner here answers 422 or 500, no job was ended, no route removed.
        dead = states["dead_letter"]
        site.note(f"{dead} items are dead letters before {RETENTION_S} s")
        return int(dead > 0)
    finally:
        await site.stop()


if __name__ == "__main__":
    run_case(main)
