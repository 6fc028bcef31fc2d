"""A node that freezes and wakes: the failed attempts of its items are counted twice."""

import asyncio
import signal
from collections import Counter

from review.harness.site import (
    Node,
    Site,
    batch_item,
    batch_route,
    configuration,
    main,
    stream_route,
)

SERVICE = "huvo11a"
RUNNERS, NODES = 6, 5
JOBS, ITEMS = 4, 20
MAX_ATTEMPTS = 3
# The sheet freezes one machine for 4 s.
FREEZE_S = 4.0
FREEZES = 2
AWAKE_S = 3.0
CALLERS = 80
FINISH_S = 50.0


async def play(site: Site) -> bool:
    """Return whether an item was given up before its last attempt."""
    failures: Counter[str] = Counter()
    for _ in range(RUNNERS):
        runner = await site.add_runner(
            SERVICE, gap_s=0.03, events={"/pule252/": 70, "/lohu930/": 100}
        )
        runner.failures = failures
    routes = [
        batch_route("/pule252/", SERVICE, maxAttempts=MAX_ATTEMPTS),
        stream_route("/lohu930/", SERVICE, "r-stream"),
    ]
    await site.start(NODES, configuration(7, [SERVICE], routes))
    await asyncio.sleep(6)
    hopeless = await _submit(site, failures)
    await _until_failed(site, hopeless)
    load = asyncio.ensure_future(_load(site))
    owner = max(site.nodes, key=lambda node: len(node.logged("partition_taken")))
    await asyncio.sleep(1)
    holder = _holder(site, owner, hopeless)
    for _ in range(FREEZES):
        if site.trouble:
            site.send_signal(holder, signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        if site.trouble:
            site.send_signal(holder, signal.SIGCONT)
        await asyncio.sleep(AWAKE_S)
    load.cancel()
    results = await _results(site, owner)
    site.note_runs(prefix="/pule252/")
    return _judge(site, results, hopeless)


async def _submit(site: Site, failures: Counter[str]) -> list[str]:
    """Submit jobs of which one item in 20 can never be done; return these items."""
    hopeless = []
    for job in range(JOBS):
        items = [
            batch_item(f"e5b2{job:04x}{each:04x}", f"/pule252/3/{each}a")
            for each in range(ITEMS)
        ]
        hopeless.append(items[job]["id"])
        failures[items[job]["id"]] = 1000
        assert await site.submit("/pule252/7c41e0", _job_id(job), items)
    return hopeless


def _job_id(job: int) -> str:
    return f"7c41e09b52d6a3{job:02x}"


def _answers_of_500(site: Site) -> Counter[str]:
    return Counter(run.request_id for run in site.runs if run.status == 500)


async def _until_failed(site: Site, hopeless: list[str]) -> None:
    """Wait until half of the hopeless items have failed once."""
    for _ in range(2000):
        counts = _answers_of_500(site)
        if sum(counts[each] > 0 for each in hopeless) >= len(hopeless) // 2:
            return
        await asyncio.sleep(0.005)
    raise AssertionError("the items don't reach the runners")


def _holder(site: Site, owner: Node, hopeless: list[str]) -> Node:
    """Return a node that holds a hopeless item for another node."""
    failed = _answers_of_500(site)
    for item in sorted(hopeless, key=lambda each: failed[each]):
        for node in site.nodes:
            runs = node.logged("item_run_ended")
            if node is not owner and any(run["item"] == item for run in runs):
                return node
    # Log lines may be missing on a busy node; any other node may hold one.
    return next(node for node in site.nodes if node is not owner)


async def _load(site: Site) -> None:
    """Send streams without a pause, so that no place is left for items."""

    async def caller(number: int) -> None:
        sent = 0
        while True:
            sent += 1
            request_id = f"9c41d07b{number:04x}{sent:04x}"
            headers = {
                "X-Chivespan-Request-Id": request_id,
                "X-Chivespan-Deadline-Ms": "5000",
                "X-Chivespan-Model": "m",
                "X-Chivespan-Token-Count": "450,34",
                "X-Chivespan-Prompt-Prefix": f"5c1e07a2:200,{request_id}:250",
            }
            node = site.nodes[number % NODES]
            answer = await site.request(node, "POST", "/lohu930/2f", headers, b"x")
            site.note(f"stream {request_id} at {node.name}: {answer.status}")
            if answer.status != 200:
                await asyncio.sleep(0.1)

    async with asyncio.TaskGroup() as tasks:
        for number in range(CALLERS):
            tasks.create_task(caller(number))


async def _results(site: Site, node: Node) -> dict[str, str]:
    """Read all jobs until they are whole; return the state of each item."""
    states: dict[str, str] = {}
    for _ in range(round(FINISH_S)):
        for job in range(JOBS):
            _, page = await site.page(node, _job_id(job))
            for row in page.get("results", []):
                states[row["id"]] = row["state"]
        if len(states) == JOBS * ITEMS:
            break
        await asyncio.sleep(1)
    return states


def _judge(site: Site, states: dict[str, str], hopeless: list[str]) -> bool:
    failed = _answers_of_500(site)
    early = [
        each
        for each, state in states.items()
        if state == "dead_letter" and failed[each] < MAX_ATTEMPTS
    ]
    for each in hopeless:
        site.note(f"item {each}: {states.get(each)}, answers of 500: {failed[each]}")
    site.note(f"{len(states)} of {JOBS * ITEMS} listed")
    site.note(f"given up before {MAX_ATTEMPTS} answers of 500: {early}")
    return bool(early)


if __name__ == "__main__":
    main("2", play)
