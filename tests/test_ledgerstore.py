"""The ledger of batch jobs: accepted once, one position a result, truth about doubt."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import UTC, datetime, timedelta

import anyio
import pytest

from chivespan.batchchanges import AcceptJob, EndJob, ForgetJob, ListResult
from chivespan.batchrecords import BatchItem
from chivespan.clock import NO_WAIT, SystemClock
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.keyedstore import Partition
from chivespan.ledgerstore import LedgerStore
from tests.fakestore import FakeStore

pytestmark = pytest.mark.anyio
PARTITION = Partition("keyed.batch", 1)
SOON = timedelta(milliseconds=250)
SUBMITTED = datetime(2026, 12, 4, tzinfo=UTC)


def job(job_id: str, items: int = 2, limit: int = 0, size: int = 3) -> AcceptJob:
    return AcceptJob(
        job_id=job_id,
        route="r",
        host="h",
        items=tuple(
            BatchItem(
                item_id=f"{job_id}-{number}",
                path="/b/1",
                headers=[],
                body=b"x" * size,
                tokens=100,
            )
            for number in range(items)
        ),
        submitted=SUBMITTED,
        tokens_limit=limit,
        max_record_bytes=1000,
    )


def result(job_id: str, number: int, text: str = "t") -> ListResult:
    return ListResult(job_id, f"{job_id}-{number}", True, text, 1000)


@asynccontextmanager
async def writing(*ledgers: LedgerStore) -> AsyncIterator[None]:
    async with anyio.create_task_group() as tasks:
        for ledger in ledgers:
            tasks.start_soon(ledger.run)
        yield
        tasks.cancel_scope.cancel()


def ledger_on(store: FakeStore) -> LedgerStore:
    return LedgerStore(store, PARTITION, SystemClock(), 2_000_000)


async def test_two_writers_accept_a_job_once_and_agree_on_positions() -> None:
    store = FakeStore()
    one, two = ledger_on(store), ledger_on(store)
    async with writing(one, two):
        await one.commit(job("a"))
        await two.commit(job("a"))
        await two.commit(result("a", 1, "from two"))
        await one.commit(result("a", 0, "from one"))
        await one.commit(result("a", 1, "again"))
        await two.refresh(NO_WAIT)
    for ledger in (one.ledger, two.ledger):
        assert [each.text for each in ledger.jobs["a"].results] == [
            "from two",
            "from one",
        ]
    keys = [record.key for record in store.logs[PARTITION].records]
    assert len(keys) == len(set(keys)), "a key was written twice"


async def test_changes_that_wait_together_share_an_append() -> None:
    store = FakeStore()
    ledger = ledger_on(store)
    async with writing(ledger):
        await ledger.commit(job("a", items=5))
        before = store.appends
        async with anyio.create_task_group() as tasks:
            for number in range(5):
                tasks.start_soon(ledger.commit, result("a", number))
    assert store.appends - before <= 2
    positions = [each.item_id for each in ledger.ledger.jobs["a"].results]
    assert sorted(positions) == [f"a-{number}" for number in range(5)]


async def test_lost_answer_is_found_out_and_nothing_stands_twice() -> None:
    store = FakeStore()
    ledger = ledger_on(store)
    async with writing(ledger):
        store.lost_replies = 1
        await ledger.commit(job("a"))
        store.lost_replies = 1
        await ledger.commit(result("a", 0))
    assert len(store.logs[PARTITION].records) == 3
    assert len(ledger.ledger.jobs["a"].results) == 1


async def test_an_append_in_doubt_is_never_called_not_done() -> None:
    """The append can still take effect while the log ends where it was sent."""
    store = FakeStore()
    ledger = ledger_on(store)
    async with writing(ledger):
        await ledger.refresh(NO_WAIT)
        store.delayed_appends = 100
        with pytest.raises(ChivespanError) as told:
            await ledger.commit(job("a"), SOON)
        assert told.value.kind is ErrorKind.ACCEPTANCE_UNKNOWN
        store.delayed_appends = 0
        store.apply_delayed()
        await ledger.refresh(NO_WAIT)
    assert "a" in ledger.ledger.jobs


async def test_a_refused_append_after_one_in_doubt_leaves_the_doubt() -> None:
    store = FakeStore()
    ledger = ledger_on(store)
    async with writing(ledger):
        await ledger.refresh(NO_WAIT)
        store.delayed_appends = 1
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_go_down_after_one_append, store)
            with pytest.raises(ChivespanError) as told:
                await ledger.commit(job("a"), SOON)
    assert told.value.kind is ErrorKind.ACCEPTANCE_UNKNOWN


async def _go_down_after_one_append(store: FakeStore) -> None:
    while not store.appends:
        await anyio.sleep(0.001)
    store.unavailable = True


async def test_outage_refuses_truly_and_keeps_results_for_later() -> None:
    store = FakeStore()
    ledger = ledger_on(store)
    async with writing(ledger):
        await ledger.commit(job("a"))
        store.unavailable = True
        with pytest.raises(ChivespanError) as told:
            await ledger.commit(job("b"), SOON)
        assert told.value.kind is ErrorKind.LOG_UNAVAILABLE
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ledger.commit, result("a", 0))
            await anyio.sleep(0.1)
            store.unavailable = False
    assert "b" not in ledger.ledger.jobs
    assert len(ledger.ledger.jobs["a"].results) == 1


async def test_dropped_history_is_made_up_for_from_the_newest_records() -> None:
    store = FakeStore(page_size=2)
    writer, reader = ledger_on(store), ledger_on(store)
    async with writing(writer, reader):
        await writer.commit(job("a", items=3))
        await reader.refresh(NO_WAIT)
        await writer.commit(result("a", 2))
        store.compact(PARTITION)
        await writer.commit(result("a", 0))
        await reader.refresh(NO_WAIT)
        await reader.commit(result("a", 1))
        await writer.refresh(NO_WAIT)
    expected = ["a-2", "a-0", "a-1"]
    for ledger in (writer.ledger, reader.ledger):
        assert [each.item_id for each in ledger.jobs["a"].results] == expected


async def test_quota_counts_jobs_that_wait_for_the_same_append() -> None:
    store = FakeStore()
    ledger = ledger_on(store)
    outcomes: list[str] = []

    async def submit(name: str) -> None:
        try:
            await ledger.commit(job(name, items=2, limit=500))
            outcomes.append("accepted")
        except ChivespanError as error:
            outcomes.append(error.kind.value)

    async with writing(ledger):
        async with anyio.create_task_group() as tasks:
            for name in ("a", "b", "c"):
                tasks.start_soon(submit, name)
        assert sorted(outcomes) == ["accepted", "accepted", "owner_limit"]
        await ledger.commit(result("a", 0, ""))
        accepted = [name for name in ("a", "b", "c") if name in ledger.ledger.jobs]
        await ledger.commit(EndJob(accepted[-1], SUBMITTED))
        await ledger.commit(job("d", items=2, limit=500))


async def test_ended_job_lists_nothing_more_and_a_past_one_is_dropped() -> None:
    store = FakeStore()
    ledger = ledger_on(store)
    async with writing(ledger):
        await ledger.commit(job("a"))
        await ledger.commit(EndJob("a", SUBMITTED))
        await ledger.commit(EndJob("a", SUBMITTED))
        await ledger.commit(result("a", 0))
        assert not ledger.ledger.jobs["a"].results
        with pytest.raises(ChivespanError) as told:
            await ledger.commit(EndJob("b", SUBMITTED))
        assert told.value.kind is ErrorKind.NOT_FOUND
        await ledger.commit(ForgetJob(ledger.ledger.jobs["a"]))
    assert not ledger.ledger.jobs
    assert not store.kept(PARTITION)


async def test_a_job_or_result_too_large_for_the_store_holds_up_no_other() -> None:
    store = FakeStore()
    ledger = LedgerStore(store, PARTITION, SystemClock(), 5000)
    async with writing(ledger):
        with pytest.raises(ChivespanError) as told:
            await ledger.commit(job("a", items=4, size=2000))
        assert told.value.kind is ErrorKind.BODY_TOO_LARGE
        await ledger.commit(job("b"))
        with pytest.raises(ChivespanError):
            await ledger.commit(result("b", 0, "t" * 6000))
        await ledger.commit(result("b", 1, "t" * 3000))
        fresh = ledger_on(store)
        await fresh.refresh(NO_WAIT)
    assert [each.text for each in fresh.ledger.jobs["b"].results] == ["t" * 3000]
    sizes = [len(record.value) for record in store.kept(PARTITION)]
    assert max(sizes) <= 1000


async def test_bodies_are_cut_into_records_that_the_store_takes() -> None:
    store = FakeStore()
    ledger = ledger_on(store)
    async with writing(ledger):
        await ledger.commit(job("a", items=4, size=400))
        fresh = ledger_on(store)
        await fresh.refresh(NO_WAIT)
    assert list(fresh.ledger.jobs["a"].items) == [f"a-{number}" for number in range(4)]
    assert len(store.kept(PARTITION)) > 2


async def test_a_job_sent_twice_is_accepted_only_once_it_is_written() -> None:
    """The second sending waits in the same append as the first; spsoft trouble-3."""
    store = FakeStore()
    ledger = ledger_on(store)
    outcomes: list[str] = []

    async def submit() -> None:
        try:
            await ledger.commit(job("a"), SOON)
            outcomes.append("accepted")
        except ChivespanError as error:
            outcomes.append(error.kind.value)

    async with writing(ledger):
        await ledger.refresh(NO_WAIT)
        store.unavailable = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(submit)
            tasks.start_soon(submit)
    assert outcomes == ["log_unavailable", "log_unavailable"]


async def test_a_result_told_twice_settles_only_once_it_is_written() -> None:
    store = FakeStore()
    ledger = ledger_on(store)
    settled: list[int] = []

    async def tell(number: int) -> None:
        await ledger.commit(result("a", 0))
        settled.append(number)

    async with writing(ledger):
        await ledger.commit(job("a"))
        store.unavailable = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(tell, 1)
            tasks.start_soon(tell, 2)
            await anyio.sleep(0.2)
            assert settled == []
            store.unavailable = False
    assert sorted(settled) == [1, 2]
