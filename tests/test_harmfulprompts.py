"""Node processes before targets that end at prompts with a certain part."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import httpcore
import pytest

from standins.platformtarget import encode_target_entry
from tests.crashingtarget import (
    HARMFUL_PART,
    CrashingTarget,
    crashing_targets,
)
from tests.fleet import SERVICE, STREAM_PREFIX, Fleet, fleet

pytestmark = pytest.mark.anyio

NODES = 3
TARGETS = 6
ROUNDS = 24
ROUND_PAUSE_S = 0.15
# The users' rule counts requests from so long after the fifth crash.
COUNTED_AFTER_S = 3.0
MOST_COUNTED = 3


async def send(site: Fleet, node: int, name: str, *, harmful: bool) -> int:
    """Return the status of the answer; 0 if it ended early, as a target did."""
    parts = f"5a:200,{HARMFUL_PART}:50,{name}:9" if harmful else f"5a:200,{name}:9"
    headers = {
        "X-Chivespan-Request-Id": name,
        "X-Chivespan-Deadline-Ms": "3000",
        "X-Chivespan-Prompt-Prefix": parts,
    }
    try:
        answer = await site.call(node, "POST", f"{STREAM_PREFIX}x", headers)
    except (httpcore.RemoteProtocolError, httpcore.ReadError):
        return 0
    return answer.status


async def send_round(site: Fleet, number: int, sound: list[int]) -> None:
    """Send a sound and a harmful request to each node at the same time."""

    async def send_sound(node: int) -> None:
        sound.append(await send(site, node, f"a{number}{node}", harmful=False))

    async def send_harmful(node: int) -> None:
        await send(site, node, f"b{number}{node}", harmful=True)

    async with anyio.create_task_group() as tasks:
        for node in site.processes:
            tasks.start_soon(send_sound, node)
            tasks.start_soon(send_harmful, node)


async def send_until_quarantined(site: Fleet) -> None:
    """Send rounds until all nodes have found the harmful part, and a little longer."""
    for number in range(ROUNDS):
        await send_round(site, number, [])
        await anyio.sleep(ROUND_PAUSE_S)
        if all(site.events(node, "suspect_quarantined") for node in site.processes):
            break
    await anyio.sleep(1.0)


@asynccontextmanager
async def targets_of(site: Fleet) -> AsyncIterator[list[CrashingTarget]]:
    """Run targets that list each of their runs, until the nodes know them."""

    def list_run(target: CrashingTarget, number: int) -> None:
        entry = encode_target_entry(
            SERVICE, target.address, "dc-1", 8, 1, born=number + 1
        )
        site.store.put("keyed.servers", target.target_id, entry)

    addresses = [site.target_address(number) for number in range(TARGETS)]
    async with crashing_targets(addresses, list_run) as targets:
        await anyio.sleep(1.5)
        yield targets


# Guards against: requests with a part that crashes targets go on to targets, new ones
# and retries, and crash one after the other, until sound requests find none.
async def test_prompt_part_that_crashes_targets_is_soon_sent_to_none(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path, NODES) as (site, tasks), targets_of(site) as targets:
        sound: list[int] = []
        for number in range(ROUNDS):
            await send_round(site, number, sound)
            await anyio.sleep(ROUND_PAUSE_S)
        crashes = sorted(at for target in targets for at in target.crashes)
        bound = crashes[min(4, len(crashes) - 1)] + COUNTED_AFTER_S
        harmful = [at for target in targets for at in target.harmful]
        assert sum(at > bound for at in harmful) <= MOST_COUNTED
        assert sound[-NODES * 4 :] == [200] * NODES * 4
        # A node that starts learns from its peers before it serves.
        await site.kill(2)
        await site.start(2, tasks)
        count = len(harmful)
        assert await send(site, 2, "c2", harmful=True) == 503
        assert sum(len(target.harmful) for target in targets) == count


# Guards against: when all nodes are killed at once, the next ones learn from the
# beginning which part crashes targets, and more targets are lost (review/9).
async def test_harmful_part_is_still_refused_after_all_nodes_were_killed(
    tmp_path: Path,
) -> None:
    async with fleet(tmp_path, NODES) as (site, tasks), targets_of(site) as targets:
        await send_until_quarantined(site)
        nodes = list(site.processes)
        for node in nodes:
            await site.kill(node)
        for node in nodes:
            await site.start(node, tasks)
        count = sum(len(target.harmful) for target in targets)
        for node in nodes:
            assert await send(site, node, f"f{node}", harmful=True) == 503
        assert sum(len(target.harmful) for target in targets) == count


# Guards against: a part that sound requests share is refused, because requests with
# another part crash targets.
async def test_part_shared_with_sound_requests_is_not_refused(tmp_path: Path) -> None:
    async with fleet(tmp_path, NODES) as (site, _), targets_of(site):
        # All targets may end in the first round and be left out for a second: whoever
        # ends together is no evidence, and there are no other crashes until then.
        await send_until_quarantined(site)
        for node in site.processes:
            assert await send(site, node, f"d{node}", harmful=False) == 200
            assert await send(site, node, f"e{node}", harmful=True) == 503
            events = site.events(node, "suspect_quarantined")
            assert [each["suspect"] for each in events] == [HARMFUL_PART]
