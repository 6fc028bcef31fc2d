"""Jobs whose paths are given to an online route, as whole processes."""

import json
from pathlib import Path
from typing import Any

import pytest

from standins.platformtarget import TargetOptions, TargetStandIn
from tests.fleet import BATCH_PREFIX, STREAM_PREFIX, batch_route, config, fleet, route

pytestmark = pytest.mark.anyio

ITEMS = 12
JOB = "j"
PATH = f"{BATCH_PREFIX}3/{JOB}"


def submission() -> bytes:
    rows: list[dict[str, Any]] = [
        {
            "id": f"{JOB}-{number}",
            "path": f"{BATCH_PREFIX}3/{number}",
            "headers": {"X-Chivespan-Model": "m"},
            "body": "q83vEjRWeJA=",
            "tokens": 100,
        }
        for number in range(ITEMS)
    ]
    return json.dumps({"items": rows}).encode()


# Guards against: a job whose 202 is seconds old is run as a request when it comes again
# and its path has become an online route's; its items are given up (review case 12).
async def test_job_goes_on_when_an_online_route_gets_its_paths(tmp_path: Path) -> None:
    target = TargetStandIn(TargetOptions("i-1", events=20, gap_ms=20))
    headers = {"X-Chivespan-Request-Id": JOB}
    async with fleet(tmp_path, 2, target) as (site, _):
        for node in (1, 2):
            answer = await site.call(node, "POST", PATH, headers, submission())
            assert answer.status == 202
        routes = route("r-stream", STREAM_PREFIX), batch_route()
        site.publish(config(2, *routes, route("r-new", f"{BATCH_PREFIX}3/")))
        for node in (1, 2):
            await site.wait_version(node, 2)
            answer = await site.call(node, "POST", PATH, headers, submission())
            assert (answer.status, answer.body) == (202, b"")
            online = {"X-Chivespan-Request-Id": f"r-{node}"}
            for body in (b"x", submission()):
                answer = await site.call(node, "POST", PATH, online, body)
                assert answer.status == 200
                online = {"X-Chivespan-Request-Id": f"s-{node}"}
        results = await site.results(1, JOB, ITEMS)
        assert {each["state"] for each in results} == {"completed"}
