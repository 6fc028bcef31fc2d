"""Items and requests that can't be sent as they are, and targets that are sound."""

import pytest

from chivespan.nodemessages import ItemState
from tests.fleet import HOST
from tests.rawtargets import (
    CHUNKED,
    LAST_CHUNK,
    REQUEST_ID,
    chunk,
    events,
    head,
    raw_site,
    target,
)

pytestmark = pytest.mark.anyio

ANSWER = head("200 OK", CHUNKED) + chunk(events(1, 2)) + LAST_CHUNK


def values(request: bytes, name: str) -> list[str]:
    """Return the values of a header in a request as it arrived."""
    lines = (line.partition(":") for line in request.decode().split("\r\n"))
    return [value.strip() for found, _, value in lines if found.lower() == name]


# Guards against: an accepted item made from a recorded online request is never sent,
# as it has two hosts, or its text lacks its first events (review case 14, LOST).
@pytest.mark.parametrize(
    ("name", "value", "expected"),
    [
        ("Host", HOST, [HOST]),
        ("hOST", "other.example", [HOST]),
        ("X-Chivespan-Request-Id", "of-the-online-request", [REQUEST_ID]),
        ("Last-Event-Id", "12", []),
        ("X-Chivespan-Expect-Instance", "other", ["i-1"]),
        ("Content-Length", "999", ["1"]),
        ("X-Chivespan-Deadline-Ms", "1", ["30000"]),
    ],
)
async def test_headers_that_the_node_sets_replace_those_of_an_item(
    name: str, value: str, expected: list[str]
) -> None:
    async with raw_site(target(ANSWER)) as site:
        ended = await site.run_item(headers={name: value, "X-Chivespan-Model": "m"})
        assert (ended.state, ended.text) == (ItemState.done, ["e1", "e2"])
        (request,) = site.targets[0].requests
        assert values(request, name.lower()) == expected
        assert values(request, "x-chivespan-model") == ["m"]
