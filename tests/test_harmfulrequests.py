"""Node processes before targets that a certain request crashes, whatever its id."""

from pathlib import Path

import anyio
import httpcore
import pytest

from tests.fleet import ONCE_PREFIX, STREAM_PREFIX, Fleet, fleet
from tests.test_harmfulprompts import targets_of

pytestmark = pytest.mark.anyio

NODES = 3
SOUND_EACH_S = 0.04
HARMFUL_EACH_S = 0.35
TRAFFIC_S = 10.0
# The users' rule counts requests from so long after the third crash.
COUNTED_AFTER_S = 3.0
DECISIVE_CRASH = 3
MOST_COUNTED = 3


async def send(site: Fleet, node: int, name: str, path: str) -> int:
    """Return the status of the answer; 0 if it ended early, as a target did."""
    headers = {
        "X-Chivespan-Request-Id": name,
        "X-Chivespan-Deadline-Ms": "3000",
        "X-Chivespan-Prompt-Prefix": "5a:200,6b:50,7c:9",
    }
    try:
        return (await site.call(node, "POST", path, headers)).status
    except (httpcore.RemoteProtocolError, httpcore.ReadError):
        return 0


async def send_each(
    site: Fleet, path: str, interval_s: float, statuses: list[int]
) -> None:
    """Send requests with one path to the nodes in turn for a while."""

    async def send_one(number: int) -> None:
        node = number % NODES + 1
        statuses.append(await send(site, node, f"{path}-{number}", path))

    async with anyio.create_task_group() as tasks:
        for number in range(int(TRAFFIC_S / interval_s)):
            tasks.start_soon(send_one, number)
            await anyio.sleep(interval_s)


# Guards against: a request that crashes its target goes to one target after the other,
# as it comes again with other ids, though sound requests share all parts of its prompt.
@pytest.mark.parametrize("prefix", [STREAM_PREFIX, ONCE_PREFIX])
async def test_request_that_crashes_targets_is_soon_sent_to_none(
    tmp_path: Path, prefix: str
) -> None:
    async with fleet(tmp_path, NODES) as (site, tasks), targets_of(site) as targets:
        sound: list[int] = []
        harmful_path = f"{prefix}bad0"
        async with anyio.create_task_group() as traffic:
            traffic.start_soon(
                send_each, site, f"{STREAM_PREFIX}x", SOUND_EACH_S, sound
            )
            traffic.start_soon(send_each, site, harmful_path, HARMFUL_EACH_S, [])
        crashes = sorted(at for target in targets for at in target.crashes)
        assert len(crashes) >= DECISIVE_CRASH
        bound = crashes[DECISIVE_CRASH - 1] + COUNTED_AFTER_S
        harmful = [at for target in targets for at in target.harmful]
        assert sum(at > bound for at in harmful) <= MOST_COUNTED
        assert set(sound[len(sound) // 2 :]) == {200}
        # A node that starts learns from its peers before it serves.
        await site.kill(2)
        await site.start(2, tasks)
        assert await send(site, 2, "again", harmful_path) == 503
        assert sum(len(target.harmful) for target in targets) == len(harmful)
