"""A configuration splits a route: items run by a service that may not run them."""

import asyncio
from collections import Counter

from review.harness.site import Site, batch_item, batch_route, configuration, main

OLD_SERVICE, NEW_SERVICE = "huvo11a", "pazi77b"
PREFIX, SPLIT_PREFIX = "/pule252/", "/pule252/3/"
JOB_ID = "7c41e09b52d6a3f8"
ITEMS = 10
# Later than configApplyMs after the acknowledgement.
APPLIED_S = 4.0
FINISH_S = 30.0


async def play(site: Site) -> bool:
    """Return whether an item ran at a service that no configuration allows it."""
    for service in (OLD_SERVICE, OLD_SERVICE, NEW_SERVICE, NEW_SERVICE):
        await site.add_runner(service, events={PREFIX: 40})
    services = [OLD_SERVICE, NEW_SERVICE]
    whole = batch_route(PREFIX, OLD_SERVICE)
    await site.start(3, configuration(7, services, [whole]))
    await asyncio.sleep(2)
    if site.trouble:
        part = batch_route(SPLIT_PREFIX, NEW_SERVICE, name="r-batch-2")
        site.publish(configuration(12, services, [whole, part]))
    await asyncio.sleep(APPLIED_S)
    items = [
        batch_item(f"e5b2907c14da{n:04x}", f"{SPLIT_PREFIX if n == 0 else PREFIX}{n}a")
        for n in range(ITEMS)
    ]
    assert await site.submit(f"{PREFIX}7c41e0", JOB_ID, items)
    rows: list[dict[str, str]] = []
    for _ in range(round(FINISH_S / 0.5)):
        _, page = await site.page(site.nodes[0], JOB_ID)
        rows = page.get("results", rows)
        if len(rows) == ITEMS:
            break
        await asyncio.sleep(0.5)
    site.note_runs()
    return _judge(site, rows)


def _judge(site: Site, rows: list[dict[str, str]]) -> bool:
    """Only the part that was split off may ever run at the new service."""
    foreign = [
        run
        for run in site.runs
        if run.service == NEW_SERVICE and not run.path.startswith(SPLIT_PREFIX)
    ]
    states = Counter(row["state"] for row in rows)
    site.note(f"listed {len(rows)} of {ITEMS}: {dict(states)}")
    site.note(f"runs at a service that no configuration allows: {len(foreign)}")
    return bool(foreign)


if __name__ == "__main__":
    main("4", play)
