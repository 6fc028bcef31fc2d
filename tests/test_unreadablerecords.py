"""Records of the ledger that a node can't read, and ids that would make such ones."""

from types import SimpleNamespace
from typing import Any, cast

import anyio
import logbook
import pytest

from chivespan.batchfront import BatchFrontend
from chivespan.batchledger import MAX_UNREADABLE, Ledger, result_key
from chivespan.batchrequesthandler import BatchRequestHandler
from chivespan.callerrequest import CallerRequest, Responder
from chivespan.clock import NO_WAIT, SystemClock
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.keyedstore import KeyedRecord
from chivespan.ledgerstore import LedgerStore
from chivespan.nodemessages import BatchQuestion, BatchVerb
from chivespan.nodemetrics import NodeMetrics
from chivespan.platform.documents import decode_config
from chivespan.routes import Route, example_route
from chivespan.routingstate import RoutingState
from tests.fakestore import FakeStore
from tests.test_ledgerstore import PARTITION, job, new_ledger, result, running

pytestmark = pytest.mark.anyio

UNREADABLE = {
    "id with a slash": KeyedRecord("items/a/b/0", b".x"),
    "head of an id with a slash": KeyedRecord("job/a/b", b"x"),
    "garbage": KeyedRecord("job/bad", b"\xff\xff"),
    "items that are none": KeyedRecord("items/bad/x", b"."),
    "negative position": KeyedRecord("result/a/-1/0", b".x"),
    "no numbers": KeyedRecord("result/a", b".x"),
    "endless number": KeyedRecord("items/bad/" + "9" * 90, b".x"),
    "end that is none": KeyedRecord("end/bad", b"x"),
    "delete of an id with a slash": KeyedRecord("items/a/b/0", b""),
}


async def put(store: FakeStore, *records: KeyedRecord) -> None:
    await store.append(PARTITION, records)


async def page(ledger: LedgerStore, job_id: str) -> bytes:
    """Read a job from its start."""
    routing = RoutingState(decode_config)
    handler = BatchRequestHandler(
        ledger, routing, SystemClock(), 1000, lambda _: None, lambda: None
    )
    question = BatchQuestion(
        question=1,
        verb=BatchVerb.page,
        partition=1,
        host="h",
        route="",
        job_id=job_id,
        item_id="",
        start=0,
        wait_ms=0,
        body=b"",
        patience_ms=1000,
    )
    return await handler.answer(question)


# Guards against: one record that can't be read stops its partition for good: its jobs
# answer 500, and no new ones are accepted (report of the review, issue 37).
@pytest.mark.parametrize("case", UNREADABLE)
async def test_unreadable_record_costs_no_other_one(case: str) -> None:
    store, log = FakeStore(), logbook.TestHandler()
    before, after = new_ledger(store), new_ledger(store)
    async with running(before, after):
        await before.commit(job("a"))
        await put(store, UNREADABLE[case])
        with log.applicationbound(), anyio.fail_after(5):
            await before.commit(result("a", 0))
            await before.commit(job("c"))
            await after.commit(result("a", 1))
        keys = [r.kwargs["key"] for r in log.records if r.msg == "record_unreadable"]
        assert set(keys) == {UNREADABLE[case].key}
        assert len(await page(after, "a")) > 0
    for ledger in (before, after):
        await ledger.refresh(NO_WAIT)
        assert list(ledger.ledger.jobs) == ["a", "c"]
        assert not ledger.ledger.jobs["a"].is_open


# Guards against: a job of which a record can't be read is said not to exist.
async def test_job_that_may_exist_is_not_denied() -> None:
    store = FakeStore()
    ledger = new_ledger(store)
    async with running(ledger):
        await put(store, KeyedRecord("job/bad", b"\xff"))
        with pytest.raises(ChivespanError) as unsure:
            await page(ledger, "bad")
        with pytest.raises(ChivespanError) as certain:
            await page(ledger, "none")
        assert unsure.value.kind is ErrorKind.NOT_READY
        assert certain.value.kind is ErrorKind.NOT_FOUND
        await ledger.commit(job("bad"))
        assert await page(ledger, "bad")
    assert not ledger.ledger.may_have("bad")


# Guards against: a result that can't be read leaves the job half changed, with a key
# too many for the result that is written at its position.
async def test_unreadable_result_is_replaced_at_its_position() -> None:
    store = FakeStore()
    ledger = new_ledger(store)
    async with running(ledger):
        await ledger.commit(job("a", items=1))
        await put(store, KeyedRecord(result_key("a", 0), b".\xff"))
        await ledger.commit(result("a", 0))
    (found,) = ledger.ledger.jobs.values()
    assert [each.text for each in found.results] == ["t"]
    keys = list(found.keys())
    assert keys.count(result_key("a", 0)) == 1
    assert result_key("a", 1) not in keys


def test_unreadable_records_take_bounded_memory() -> None:
    ledger = Ledger()
    for number in range(MAX_UNREADABLE + 10):
        with pytest.raises(ChivespanError):
            ledger.apply(KeyedRecord(f"job/{number}", b"\xff"))
    assert len(ledger._unreadable) <= MAX_UNREADABLE


# Guards against: a record of a kind that a later release adds counts as unreadable.
def test_record_of_an_unknown_kind_is_ignored() -> None:
    ledger = Ledger()
    ledger.apply(KeyedRecord("later/a/b/c", b"x"))
    assert ledger._partial == {}


# Guards against: the id of a job holds a slash, and its records can't be read.
@pytest.mark.parametrize("job_id", ["a/b", "a?b", "a b", "\u00e9", "", "x" * 101])
async def test_id_that_makes_no_key_is_refused_at_once(job_id: str) -> None:
    asked: list[Any] = []
    owners = cast(Any, SimpleNamespace(ask=asked.append))
    front = BatchFrontend(owners, SystemClock(), NodeMetrics())
    request = cast(CallerRequest, SimpleNamespace(request_id=job_id))
    route: Route = example_route()
    with pytest.raises(ChivespanError) as refused:
        await front.submit(request, route, cast(Responder, None))
    assert refused.value.kind is ErrorKind.BAD_REQUEST
    assert asked == []
