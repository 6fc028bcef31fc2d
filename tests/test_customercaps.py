"""The cap on waiting tokens holds for each customer and route separately."""

from dataclasses import replace

import anyio
import pytest

from chivespan.batchchanges import AcceptJob, EndJob, waiting_tokens
from chivespan.batchledger import Ledger
from chivespan.clock import NO_WAIT
from chivespan.codec import decode, encode
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.keyedstore import KeyedRecord
from chivespan.ledgerstore import LedgerStore, Staged
from tests.fakestore import FakeStore
from tests.test_ledgerstore import SUBMITTED, job, new_ledger, result, running

pytestmark = pytest.mark.anyio

# Each job has two items of 100 tokens.
CAP = 300


def job_of(customer: str, job_id: str, route: str = "r") -> AcceptJob:
    change = job(job_id, limit=CAP)
    return replace(change, customer=customer, route=route)


def earlier_record(record: KeyedRecord) -> KeyedRecord:
    """Return a record as an earlier release writes it, which names no customer."""
    if record.key.startswith("job/"):
        head = decode(record.value, dict)
        del head["customer"]
        return replace(record, value=encode(head))
    return record


async def is_accepted(ledger: LedgerStore, change: AcceptJob) -> bool:
    try:
        await ledger.commit(change)
    except ChivespanError as error:
        if error.kind is not ErrorKind.OWNER_LIMIT:
            raise
        return False
    return True


# Guards against: one customer's backlog keeps another's jobs, or those of callers
# without a customer, from being accepted.
async def test_each_customer_has_the_whole_cap() -> None:
    ledger = new_ledger(FakeStore())
    async with running(ledger):
        for customer in ("a", "b", ""):
            assert await is_accepted(ledger, job_of(customer, f"{customer}-1"))
            assert not await is_accepted(ledger, job_of(customer, f"{customer}-2"))
        assert await is_accepted(ledger, job_of("a", "a-3", route="other"))
        assert not await is_accepted(ledger, job_of("a", "a-4", route="other"))


# Guards against: a customer stays at its cap after its items have finished or its job
# was ended, or the room goes to another customer.
async def test_finished_and_ended_items_make_room_for_their_customer() -> None:
    ledger = new_ledger(FakeStore())
    async with running(ledger):
        for customer in ("a", "b"):
            assert await is_accepted(ledger, job_of(customer, f"{customer}1"))
        await ledger.commit(result("a1", 0))
        assert await is_accepted(ledger, job_of("a", "a2"))
        assert not await is_accepted(ledger, job_of("b", "b2"))
        await ledger.commit(EndJob("b1", SUBMITTED))
        assert await is_accepted(ledger, job_of("b", "b2"))
        assert not await is_accepted(ledger, job_of("a", "a3"))


# Guards against: submissions that share an append are counted against one another's
# customers, or not at all.
async def test_cap_counts_the_submissions_of_the_same_append() -> None:
    store = FakeStore()
    ledger = new_ledger(store)
    accepted: set[str] = set()

    async def submit(change: AcceptJob) -> None:
        if await is_accepted(ledger, change):
            accepted.add(change.job_id)

    changes = [
        job_of("a", "a1"),
        job_of("a", "a2"),
        job_of("b", "b1"),
        job_of("", "n1"),
        job_of("", "n2"),
        job_of("a", "a3", route="other"),
    ]
    await ledger.refresh(NO_WAIT)
    async with running(ledger), anyio.create_task_group() as submissions:
        for change in changes:
            submissions.start_soon(submit, change)
    assert accepted == {"a1", "b1", "n1", "a3"}
    assert store.appends == 1


# Guards against: a name and a route that read the same when joined share a cap.
def test_caps_are_kept_apart_by_customer_and_by_route() -> None:
    staged, ledger = Staged(), Ledger()
    for customer, route in (("a", "br"), ("ab", "r"), ("", "abr")):
        change = job_of(customer, f"{customer}-{route}", route)
        assert change.records(ledger, staged)
    assert len(staged.tokens) == 3


# Guards against: after an upgrade, the jobs of an earlier release can't be read, or
# count against the cap of a customer.
def test_job_of_an_earlier_release_has_no_customer() -> None:
    ledger = Ledger()
    for record in job("old").records(ledger, Staged()):
        ledger.apply(earlier_record(record))
    assert ledger.jobs["old"].head.customer == ""
    assert waiting_tokens(ledger, "r") == 200
    assert waiting_tokens(ledger, "r", "a") == 0
    assert job_of("a", "new").records(ledger, Staged())
    with pytest.raises(ChivespanError) as refused:
        job_of("", "new").records(ledger, Staged())
    assert refused.value.kind is ErrorKind.OWNER_LIMIT


# Guards against: a stored job loses its customer, so it counts against the cap of jobs
# without one and its targets don't get the name.
def test_head_of_a_job_holds_its_customer() -> None:
    ledger = Ledger()
    for record in job_of("kaje80", "j").records(ledger, Staged()):
        ledger.apply(record)
    assert ledger.jobs["j"].head.customer == "kaje80"


# Guards against: when a route gets another name, its accepted items no longer count, so
# that twice its cap is accepted (issue 54, the cause of case 12).
def test_cap_holds_for_a_renamed_route() -> None:
    staged, ledger = Staged(), Ledger()
    first, second, elsewhere = (
        replace(job(job_id, limit=CAP), route=route, path_prefix=prefix)
        for job_id, route, prefix in (
            ("a", "r", "/b/"),
            ("b", "new", "/b/"),
            ("c", "new", "/c/"),
        )
    )
    for record in first.records(ledger, staged):
        ledger.apply(record)
    with pytest.raises(ChivespanError) as refused:
        second.records(ledger, Staged())
    assert refused.value.kind is ErrorKind.OWNER_LIMIT
    assert elsewhere.records(ledger, Staged())
