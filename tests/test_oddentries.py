"""Node processes that read odd entries of another writer among those of the targets."""

from pathlib import Path

import anyio
import pytest

from standins.platformtarget import TargetOptions, TargetStandIn
from tests.fleet import ONCE_PREFIX, fleet

pytestmark = pytest.mark.anyio

DEPTH = 200_000
ENTRY = (
    '{"service":"svc","address":"%s","zone":"dc-1","version":"v1","slots":%s,'
    '"state":"ready","coldLeftMs":0,"seq":1,"more":%s}'
)
ODD_ENTRIES = {
    "nested": ENTRY % ("10.0.0.1:80", "8", "[" * DEPTH + "]" * DEPTH),
    "large": ENTRY % ("10.0.0.1:80", "1" + "0" * 30, "1"),
    "port": ENTRY % ("10.0.0.1:99999", "8", "1"),
}


# Guards against: one odd entry ends the node that reads the list, again and again, or
# keeps it from following the list.
async def test_node_follows_the_list_beside_odd_entries(tmp_path: Path) -> None:
    one = TargetStandIn(TargetOptions(target_id="i-1"))
    async with fleet(tmp_path, 1, one) as (site, _):
        for name, entry in ODD_ENTRIES.items():
            site.store.put("keyed.servers", name, entry.encode())
        await anyio.sleep(2)
        answer = await site.call(
            1, "POST", f"{ONCE_PREFIX}x", {"X-Chivespan-Request-Id": "a"}
        )
        assert answer.status == 200
        site.list_target(0, "draining")
        await anyio.sleep(2)
        answer = await site.call(
            1, "POST", f"{ONCE_PREFIX}x", {"X-Chivespan-Request-Id": "b"}
        )
        assert answer.status == 503
        assert site.processes[1].returncode is None
        assert len(site.events(1, "target_unreadable")) == len(ODD_ENTRIES)
