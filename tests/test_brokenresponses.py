"""Responses of targets that belong to another request, break off or don't continue."""

import pytest

from chivespan.nodemessages import ItemState
from tests.rawtargets import (
    CHUNKED,
    LAST_CHUNK,
    RawTarget,
    chunk,
    events,
    head,
    raw_site,
    target,
)

pytestmark = pytest.mark.anyio

WHOLE = events(1, 2, 3)
ONCE = {"kind": "non_idempotent", "resumable": False}
EMPTY = "Content-Length: 0"
NOT_RUN = "X-Chivespan-Not-Executed: 1"


def whole(*numbers: int) -> RawTarget:
    return target(head("200 OK", CHUNKED), chunk(events(*numbers)), LAST_CHUNK)


def refusal(status: str, request_id: str | None) -> RawTarget:
    stated = [] if status.startswith("421") else [NOT_RUN]
    return target(head(status, EMPTY, *stated, request_id=request_id))


# Guards against: an earlier request's refusal, sent once more, has a caller told "not
# run", or has the request run at a second target.
@pytest.mark.parametrize("status", ["503 full", "429 many", "421 other", "400 bad"])
@pytest.mark.parametrize(
    ("request_id", "believed"), [("earlier", False), ("r", True), (None, True)]
)
async def test_refusal_of_another_request_is_not_believed(
    status: str, request_id: str | None, believed: bool
) -> None:
    refusing, other = refusal(status, request_id), whole(1, 2, 3)
    async with raw_site(refusing, other, **ONCE) as site:
        answer = await site.ask()
        assert answer.status == (200 if believed else 502)
        assert len(other.requests) == believed
    async with raw_site(refusal(status, request_id)) as site:
        expected = ItemState.not_run if believed else ItemState.broken
        assert (await site.run_item()).state is expected
