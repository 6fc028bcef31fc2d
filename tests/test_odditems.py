"""Items and requests that can't be sent as they are, and targets that are sound."""

from dataclasses import replace
from datetime import timedelta
from typing import Any

import logbook
import pytest

from chivespan.batchrecords import BatchHeader
from chivespan.itemeligibility import ABANDON_MARGIN
from chivespan.ledgerstore import Staged
from chivespan.nodemessages import ItemState
from tests.batchcalls import BatchCalls, serving
from tests.fakestore import FakeStore
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
from tests.test_batchowner import OwnerHarness
from tests.test_customeritems import values
from tests.test_itemroutes import job

pytestmark = pytest.mark.anyio

ANSWER = head("200 OK", CHUNKED) + chunk(events(1, 2)) + LAST_CHUNK
REQUEST_ID_LINE = f"X-Chivespan-Request-Id: {REQUEST_ID}\r\n".encode()
ODD_ID_LINE = b"X-Chivespan-Request-Id: \xe4\r\n"
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


def assert_sound(site: RawSite) -> None:
    """Check that all slots of all targets may be used, and nothing is suspected."""
    candidates = site.picker.candidates(SERVICE)
    assert len(candidates) == len(site.targets)
    assert all(each.slots == each.entry.slots for each in candidates)
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


# Guards against: an id that a target returns unchanged, but which this node reads as
# another one, so that each answer to the request counts as a failure of its target.
async def test_online_request_with_an_id_beyond_ascii_is_refused() -> None:
    answer = ANSWER.replace(REQUEST_ID_LINE, ODD_ID_LINE)
    assert answer != ANSWER
    async with raw_site(target(answer)) as site:
        for _ in range(ATTEMPTS):
            request = site.request("Connection: close")
            odd = request.replace(REQUEST_ID_LINE, ODD_ID_LINE)
            assert (await site.exchange_bytes(odd)).startswith(b"HTTP/1.1 400")
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


# By item: the fields that are odd, and what the reason names.
REFUSED = [
    *(({"headers": headers}, "header") for headers in UNSENDABLE_HEADERS.values()),
    *(({"path": path}, "path") for path in UNSENDABLE_PATHS),
    ({"path": ""}, "path"),
    ({"path": "batch/1"}, "path"),
    ({"path": "http://other.example/1"}, "path"),
    ({"id": ""}, "id"),
    ({"id": " a"}, "id"),
    ({"id": "a\r\nb"}, "x-chivespan-request-id"),
]
SENT = [
    {"headers": {"Host": HOST, "HOST": "other.example"}},
    {"headers": {"Content-Length": "9", "Transfer-Encoding": "x", "Upgrade": "h2c"}},
    {"headers": {"A": "\u00e4 b\tc", "B": "c" * 40_000, "C": ""}},
    {"path": "/batch/1?a=b#c"},
    {"id": "a/b c"},
]


# Guards against: a 202 for a job with an item that can never be sent, which nobody then
# lists (review case 14, LOST).
@pytest.mark.parametrize(("fields", "named"), REFUSED)
async def test_job_with_an_unsendable_item_is_refused(
    fields: dict[str, Any], named: str
) -> None:
    calls = BatchCalls(FakeStore())
    async with serving(calls):
        with logbook.TestHandler() as logs:
            answer = await calls.submit(None, "j", 2, fields=fields)
        assert answer.status == 400
        reason = answer.page["error"]["message"]
        assert repr(fields.get("id", "j-1")) in reason
        assert named in reason
        (refused,) = [each for each in logs.records if each.msg == "job_refused"]
        assert refused.kwargs["reason"] == reason
        assert not calls.ledger.ledger.jobs
        assert (await calls.submit(None, "j", 2)).status == 202


@pytest.mark.parametrize("fields", SENT)
async def test_job_with_an_odd_item_that_can_be_sent_is_accepted(
    fields: dict[str, Any],
) -> None:
    calls = BatchCalls(FakeStore())
    async with serving(calls):
        assert (await calls.submit(None, "j", 2, fields=fields)).status == 202


async def owner_of_earlier_job() -> OwnerHarness:
    """Return the owner of a job of an earlier release, whose first item is odd."""
    change = job("/b/1", "/b/2", path_prefix="")
    odd = replace(change.items[0], headers=[BatchHeader(name="A", value="b\r\nC: d")])
    harness = OwnerHarness()
    harness.clock.advance(change.submitted - harness.clock.now())
    await harness.accept_unchecked(replace(change, items=(odd, change.items[1])))
    return harness


# Guards against: an item that an earlier release accepted is tried without end at all
# targets, or given up before its route allows it.
async def test_unsendable_item_of_an_earlier_job_waits_until_it_may_be_given_up() -> (
    None
):
    with logbook.TestHandler() as logs:
        harness = await owner_of_earlier_job()
        for _ in range(ATTEMPTS):
            assert harness.waiting() == ["j-1"]
            harness.owner.fail_abandoned_items()
        assert not harness.owner._finished
    lines = [each for each in logs.records if each.msg == "item_unsendable"]
    assert [each.kwargs["item"] for each in lines] == ["j-0"]
    harness.clock.advance(timedelta(seconds=60) + 2 * ABANDON_MARGIN)
    harness.owner.fail_abandoned_items()
    assert {each.item_id for each in harness.owner._finished} == {"j-0", "j-1"}


# Guards against: a job that an earlier release accepted is refused with 400 when it
# comes again.
async def test_repeat_of_an_earlier_job_with_an_odd_item_is_accepted() -> None:
    harness = await owner_of_earlier_job()
    (kept,) = harness.ledger.ledger.jobs.values()
    again = replace(job("/b/1"), items=tuple(kept.items.values()))
    assert again.records(harness.ledger.ledger, Staged()) == ()
