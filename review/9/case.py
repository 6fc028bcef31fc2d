"""All nodes are killed after a part of prompts was found to crash runners."""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path

from review.harness_2.runner import Arrival, Runner
from review.harness_2.site import BOUNDS, Site, run_case

HARMFUL = "bad0cafe"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STABLE_S = BOUNDS["stableWindowMs"] / 1000
RUNNER_DOWN_S = 3.0
SOUND_PER_S = 8
GROUPS = 3
# Requests, at the nodes in turn, two at a time.
GROUP_SIZE = 6
PAIR_GAP_S = 0.4
GROUP_GAP_S = 9.0
ALLOWED = 3


async def play(site: Site) -> list[str]:
    """Send groups of harmful requests; kill all nodes after the first group."""
    crashes: list[float] = []
    revived: set[asyncio.Task[None]] = set()

    async def revive(runner: Runner) -> None:
        await asyncio.sleep(RUNNER_DOWN_S)
        await site.start_runner(runner)

    async def crash_if_harmful(runner: Runner, arrival: Arrival, number: int) -> None:
        if not is_harmful(arrival):
            return
        if runner.is_up:
            crashes.append(asyncio.get_running_loop().time())
            site.note(f"runner {runner.runner_id} crashes")
            runner.crash()
            revived.add(asyncio.create_task(revive(runner)))
        raise ConnectionResetError

    for runner in site.runners:
        runner.before_event = crash_if_harmful
    loop = asyncio.get_running_loop()
    in_touch_from = loop.time() + STABLE_S
    sound = asyncio.create_task(send_sound(site))
    await asyncio.sleep(2)
    fifth = 0.0
    counted = 0
    for group in range(GROUPS):
        before = harmful_arrivals(site)
        began = loop.time()
        site.note(f"group {group} of harmful requests")
        async with asyncio.TaskGroup() as tasks:
            for number in range(GROUP_SIZE):
                node = 1 + number % len(site.nodes)
                request_id = f"bad-{group}-{number}"
                parts = f"a1:100,{HARMFUL}:100,{group}{number}:250"
                tasks.create_task(
                    site.request(node, "/confirm/x", request_id, parts=parts)
                )
                await asyncio.sleep(PAIR_GAP_S * (number % 2))
        reached = harmful_arrivals(site) - before
        is_counted = fifth and began > max(fifth + STABLE_S, in_touch_from)
        site.note(f"{reached} sends reached runners, counted: {bool(is_counted)}")
        if is_counted:
            counted += reached
        if not fifth and len(crashes) >= 5:
            fifth = crashes[4]
        await asyncio.sleep(1)
        if TROUBLE and group == 0:
            for node in site.nodes:
                site.send_signal(node, signal.SIGKILL)
            for node in site.nodes:
                await site.wait_end(node)
                await site.launch(node)
            in_touch_from = loop.time() + STABLE_S
            await site.wait_ready(*site.nodes)
        await asyncio.sleep(max(0.0, began + GROUP_GAP_S - loop.time()))
    sound.cancel()
    assert fifth, "no fifth crash"
    if counted > ALLOWED:
        return [f"BUDGET: {counted} sends with the part reached runners"]
    return []


def is_harmful(arrival: Arrival) -> bool:
    """Return whether a request holds the harmful part."""
    return any(
        name == "x-chivespan-prompt-prefix" and HARMFUL in value
        for name, value in arrival.headers
    )


def harmful_arrivals(site: Site) -> int:
    """Return how many requests with the part have reached runners."""
    return sum(is_harmful(each) for runner in site.runners for each in runner.arrivals)


async def send_sound(site: Site) -> None:
    """Send sound requests that share the first part, at random nodes."""
    async with asyncio.TaskGroup() as tasks:
        for number in range(10_000):
            node = random.choice(list(site.nodes))
            parts = f"a1:100,ok{number % 20}:100,s{number}:250"
            tasks.create_task(
                site.request(node, "/confirm/x", f"sound-{number}", parts=parts)
            )
            await asyncio.sleep(1 / SOUND_PER_S)


if __name__ == "__main__":
    sys.exit(run_case(Path(sys.argv[1]), nodes=3, runners=12, play=play))
