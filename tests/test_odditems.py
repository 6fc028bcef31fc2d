"""Items and requests that can't be sent as they are, and targets that are sound."""

import pytest

from chivespan.nodemessages import ItemState
from tests.fleet import HOST, SERVICE
from tests.rawtargets import (
    CHUNKED,
    LAST_CHUNK,
    REQUEST_ID,
    RawSite,
    chunk,
    events,
    head,
    raw_site,
    target,
)

pytestmark = pytest.mark.anyio

ANSWER = head("200 OK", CHUNKED) + chunk(events(1, 2)) + LAST_CHUNK
# More than the failures after which a target is left out.
ATTEMPTS = 5
# Each alone makes the bytes of a request mean something else.
UNSENDABLE_HEADERS = {
    "line break": {"A": "b\r\nC: d"},
    "NUL": {"A": "b\0"},
    "no name": {"": "b"},
    "space in a name": {"A B": "c"},
    "space around Host": {" Host": "c"},
}
UNSENDABLE_PATHS = ["/a b", "/a\0", "/\u00e4", "/a\r\nB: c"]


def values(request: bytes, name: str) -> list[str]:
    """Return the values of a header in a request as it arrived."""
    lines = (line.partition(":") for line in request.decode().split("\r\n"))
    return [value.strip() for found, _, value in lines if found.lower() == name]


def assert_sound(site: RawSite) -> None:
    """Check that all slots of the first target may be used, and nothing is suspected."""
    (candidate,) = site.picker.candidates(SERVICE)
    assert candidate.slots == candidate.entry.slots
    assert not site.silence.all_silent()
    assert not site.quarantine.suspects


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


# Guards against: an item that can't be sent counts as a failure of each target that it
# was meant for, which are then left out for everybody's requests (review case 14).
@pytest.mark.parametrize("headers", UNSENDABLE_HEADERS.values(), ids=UNSENDABLE_HEADERS)
async def test_unsendable_item_says_nothing_of_its_targets(
    headers: dict[str, str],
) -> None:
    async with raw_site(target(ANSWER)) as site:
        for _ in range(ATTEMPTS):
            ended = await site.run_item_once(headers=headers)
            assert (ended.state, ended.failed_attempts) == (ItemState.not_run, [])
        assert not site.targets[0].requests
        assert_sound(site)
        assert (await site.ask()).status == 200


@pytest.mark.parametrize("path", UNSENDABLE_PATHS)
async def test_item_with_an_unsendable_path_says_nothing_of_its_targets(
    path: str,
) -> None:
    async with raw_site(target(ANSWER)) as site:
        for _ in range(ATTEMPTS):
            ended = await site.run_item_once(path=path)
            assert ended.state is ItemState.not_run
        assert not site.targets[0].requests
        assert_sound(site)


# Guards against: one caller's online requests, which can't be sent or which a target
# takes for another's, count as failures of the targets.
@pytest.mark.parametrize("line", [f"Host: {HOST}", "X-Chivespan-Request-Id: other"])
async def test_online_request_with_two_hosts_or_ids_is_refused(line: str) -> None:
    async with raw_site(target(ANSWER)) as site:
        for _ in range(ATTEMPTS):
            assert (await site.ask(line)).status == 400
        assert not site.targets[0].requests
        assert_sound(site)


# Guards against: the same, for a path that the HTTP server lets pass.
@pytest.mark.parametrize("path", [b"/s/\xc3\xa4", b"/s/\x7f"])
async def test_online_request_with_an_unsendable_path_is_refused(path: bytes) -> None:
    async with raw_site(target(ANSWER)) as site:
        for _ in range(ATTEMPTS):
            request = site.request("Connection: close").replace(b"/s/1", path)
            assert (await site.exchange_bytes(request)).startswith(b"HTTP/1.1 400")
        assert not site.targets[0].requests
        assert_sound(site)
