"""Accepted items that state their route's host in a header are never sent."""

import asyncio
import time
from collections import Counter
from pathlib import Path
from typing import Any

from review.harness_3.httpio import call
from review.harness_3.site import HOST, Site, batch_route, item, route, run_case

JOBS = 2
ITEMS = 8
# Later than finishS, which is 18 s, and than 20 s after an item failed at a runner.
JUDGED_AFTER_S = 30.0
CALM_S = 5.0


def items_of(job: int, trouble: bool) -> list[dict[str, Any]]:
    """Return the items of a job, whose headers are those of requests made online."""
    rows = []
    for number in range(ITEMS):
        parts = f"9c2e41:300,{job * 100 + number + 1:06x}:240"
        row = item(f"e5b2907c{job:04x}{number:04x}", number, parts)
        row["headers"]["Content-Type"] = "application/json"
        if trouble:
            row["headers"]["Host"] = HOST
        rows.append(row)
    return rows


async def online(site: Site, statuses: Counter[int]) -> None:
    """Send online requests of another client all the time; count their statuses."""
    number = 0
    while True:
        number += 1
        headers = {
            "Host": HOST,
            "X-Chivespan-Request-Id": f"a1{number:06x}",
            "X-Chivespan-Deadline-Ms": "5000",
        }
        node = 1 + number % len(site.nodes)
        answer = await call(site.front(node), "POST", "/stream/1", headers, b"x")
        statuses[answer.status] += 1
        await asyncio.sleep(0.1)


async def main(record: Path, trouble: bool) -> int:
    """Return 1 if an accepted item is neither listed nor at a runner at the end."""
    site = Site(record)
    for number in range(3):
        site.add_runner(f"i-{number}")
    site.publish(1, route("r-stream", "/stream/"), batch_route())
    statuses: Counter[int] = Counter()
    background = None
    try:
        await site.start()
        await asyncio.sleep(4)
        background = asyncio.create_task(online(site, statuses))
        await asyncio.sleep(3)
        site.note(f"statuses of online requests before the jobs: {dict(statuses)}")
        statuses.clear()
        jobs: dict[str, set[str]] = {}
        for job in range(JOBS):
            name = f"7c41e09b52d6{job:04x}"
            rows = items_of(job, trouble)
            answer = await site.submit(1 + job % 3, name, rows)
            if answer.status == 202:
                jobs[name] = {str(row["id"]) for row in rows}
        if not jobs:
            return 2
        await asyncio.sleep(JUDGED_AFTER_S)
        background.cancel()
        now = time.monotonic()
        broken = 0
        for name, ids in jobs.items():
            results = await site.results(2, name)
            if results is None:
                return 2
            site.note(f"job {name}: {len(results)} of {len(ids)} items listed")
            open_items = ids - {row["id"] for row in results}
            runs = [
                run
                for runner in site.runners
                for run in runner.runs
                if run.request_id in open_items
            ]
            site.note(f"job {name}: runners had its open items {len(runs)} times")
            if not any((run.ended or now) > now - CALM_S for run in runs):
                broken += len(open_items)
        site.note(f"statuses of online requests with the jobs: {dict(statuses)}")
        reasons = Counter(
            (line["item"], line["reason"]) for _, line in site.events("item_broken")
        )
        for (name, reason), count in sorted(reasons.items()):
            site.note(f"item {name}: {count} times '{reason}'")
        site.note(f"{broken} accepted items are neither listed nor at a runner")
        return int(broken > 0)
    finally:
        if background is not None:
            background.cancel()
        await site.stop()


if __name__ == "__main__":
    run_case(main)
