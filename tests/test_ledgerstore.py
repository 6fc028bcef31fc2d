"""The ledger accepts a job once, orders its results and reports unknown outcomes."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import UTC, datetime, timedelta

import anyio
import pytest

from chivespan.batchchanges import AcceptJob, DeleteJob, EndJob, WriteResult
from chivespan.batchrecords import BatchItem
from chivespan.clock import NO_WAIT, SystemClock
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.keyedstore import Partition
from chivespan.ledgerstore import LedgerStore
from tests.fakestore import FakeStore

pytestmark = pytest.mark.anyio
PARTITION = Partition("keyed.batch", 1)
COMMIT_TIMEOUT = timedelta(milliseconds=250)
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


def result(job_id: str, number: int, text: str = "t") -> WriteResult:
    item_id = f"{job_id}-{number}"
    return WriteResult(job_id, item_id, True, text, 1000, written=SUBMITTED)


@asynccontextmanager
async def running(*ledgers: LedgerStore) -> AsyncIterator[None]:
    async with anyio.create_task_group() as tasks:
        for ledger in ledgers:
            tasks.start_soon(ledger.run)
        yield
        tasks.cancel_scope.cancel()


def new_ledger(store: FakeStore) -> LedgerStore:
    return LedgerStore(store, PARTITION, SystemClock(), 2_000_000)


async def test_two_writers_accept_a_job_once_and_agree_on_positions() -> None:
    store = FakeStore()
    one, two = new_ledger(store), new_ledger(store)
    async with running(one, two):
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
    assert len(keys) == len(set(keys)), "duplicate key in the log"


async def test_pending_changes_share_an_append() -> None:
    store = FakeStore()
    ledger = new_ledger(store)
    async with running(ledger):
        await ledger.commit(job("a", items=5))
        before = store.appends
        async with anyio.create_task_group() as tasks:
            for number in range(5):
                tasks.start_soon(ledger.commit, result("a", number))
    assert store.appends - before <= 2
    positions = [each.item_id for each in ledger.ledger.jobs["a"].results]
    assert sorted(positions) == [f"a-{number}" for number in range(5)]


async def test_lost_reply_is_resolved_without_duplicates() -> None:
    store = FakeStore()
    ledger = new_ledger(store)
    async with running(ledger):
        store.lost_replies = 1
        await ledger.commit(job("a"))
        store.lost_replies = 1
        await ledger.commit(result("a", 0))
    assert len(store.logs[PARTITION].records) == 3
    assert len(ledger.ledger.jobs["a"].results) == 1


async def test_unconfirmed_append_is_reported_as_acceptance_unknown() -> None:
    """An unconfirmed append can take effect while the log ends at its expected end."""
    store = FakeStore()
    ledger = new_ledger(store)
    async with running(ledger):
        await ledger.refresh(NO_WAIT)
        store.delayed_appends = 100
        with pytest.raises(ChivespanError) as raised:
            await ledger.commit(job("a"), COMMIT_TIMEOUT)
        assert raised.value.kind is ErrorKind.ACCEPTANCE_UNKNOWN
        store.delayed_appends = 0
        store.apply_delayed()
        await ledger.refresh(NO_WAIT)
    assert "a" in ledger.ledger.jobs


async def test_failed_append_after_an_unconfirmed_one_stays_unknown() -> None:
    store = FakeStore()
    ledger = new_ledger(store)
    async with running(ledger):
        await ledger.refresh(NO_WAIT)
        store.delayed_appends = 1
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_fail_after_one_append, store)
            with pytest.raises(ChivespanError) as raised:
                await ledger.commit(job("a"), COMMIT_TIMEOUT)
    assert raised.value.kind is ErrorKind.ACCEPTANCE_UNKNOWN


async def _fail_after_one_append(store: FakeStore) -> None:
    while not store.appends:
        await anyio.sleep(0.001)
    store.unavailable = True


async def test_outage_refuses_jobs_and_commits_results_later() -> None:
    store = FakeStore()
    ledger = new_ledger(store)
    async with running(ledger):
        await ledger.commit(job("a"))
        store.unavailable = True
        with pytest.raises(ChivespanError) as raised:
            await ledger.commit(job("b"), COMMIT_TIMEOUT)
        assert raised.value.kind is ErrorKind.LOG_UNAVAILABLE
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ledger.commit, result("a", 0))
            await anyio.sleep(0.1)
            store.unavailable = False
    assert "b" not in ledger.ledger.jobs
    assert len(ledger.ledger.jobs["a"].results) == 1


async def test_reader_behind_retention_reloads_the_newest_records() -> None:
    store = FakeStore(page_size=2)
    writer, reader = new_ledger(store), new_ledger(store)
    async with running(writer, reader):
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


async def test_quota_counts_jobs_staged_for_the_same_append() -> None:
    store = FakeStore()
    ledger = new_ledger(store)
    outcomes: list[str] = []

    async def submit(name: str) -> None:
        try:
            await ledger.commit(job(name, items=2, limit=500))
            outcomes.append("accepted")
        except ChivespanError as error:
            outcomes.append(error.kind.value)

    async with running(ledger):
        async with anyio.create_task_group() as tasks:
            for name in ("a", "b", "c"):
                tasks.start_soon(submit, name)
        assert sorted(outcomes) == ["accepted", "accepted", "owner_limit"]
        await ledger.commit(result("a", 0, ""))
        accepted = [name for name in ("a", "b", "c") if name in ledger.ledger.jobs]
        await ledger.commit(EndJob(accepted[-1], SUBMITTED))
        await ledger.commit(job("d", items=2, limit=500))


async def test_ended_job_ignores_results_and_can_be_forgotten() -> None:
    store = FakeStore()
    ledger = new_ledger(store)
    async with running(ledger):
        await ledger.commit(job("a"))
        await ledger.commit(EndJob("a", SUBMITTED))
        await ledger.commit(EndJob("a", SUBMITTED))
        await ledger.commit(result("a", 0))
        assert not ledger.ledger.jobs["a"].results
        with pytest.raises(ChivespanError) as raised:
            await ledger.commit(EndJob("b", SUBMITTED))
        assert raised.value.kind is ErrorKind.NOT_FOUND
        await ledger.commit(DeleteJob(ledger.ledger.jobs["a"]))
    assert not ledger.ledger.jobs
    assert not store.newest_records(PARTITION)


async def test_oversized_change_does_not_block_others() -> None:
    store = FakeStore()
    ledger = LedgerStore(store, PARTITION, SystemClock(), 5000)
    async with running(ledger):
        with pytest.raises(ChivespanError) as raised:
            await ledger.commit(job("a", items=4, size=2000))
        assert raised.value.kind is ErrorKind.BODY_TOO_LARGE
        await ledger.commit(job("b"))
        with pytest.raises(ChivespanError):
            await ledger.commit(result("b", 0, "t" * 6000))
        await ledger.commit(result("b", 1, "t" * 3000))
        reloaded = new_ledger(store)
        await reloaded.refresh(NO_WAIT)
    assert [each.text for each in reloaded.ledger.jobs["b"].results] == ["t" * 3000]
    sizes = [len(record.value) for record in store.newest_records(PARTITION)]
    assert max(sizes) <= 1000


async def test_bodies_are_split_into_records_of_the_maximum_size() -> None:
    store = FakeStore()
    ledger = new_ledger(store)
    async with running(ledger):
        await ledger.commit(job("a", items=4, size=400))
        reloaded = new_ledger(store)
        await reloaded.refresh(NO_WAIT)
    assert list(reloaded.ledger.jobs["a"].items) == [
        f"a-{number}" for number in range(4)
    ]
    assert len(store.newest_records(PARTITION)) > 2


async def test_concurrent_submissions_are_accepted_only_after_the_commit() -> None:
    """A duplicate must wait for the append of the first one (spsoft trouble-3)."""
    store = FakeStore()
    ledger = new_ledger(store)
    outcomes: list[str] = []

    async def submit() -> None:
        try:
            await ledger.commit(job("a"), COMMIT_TIMEOUT)
            outcomes.append("accepted")
        except ChivespanError as error:
            outcomes.append(error.kind.value)

    async with running(ledger):
        await ledger.refresh(NO_WAIT)
        store.unavailable = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(submit)
            tasks.start_soon(submit)
    assert outcomes == ["log_unavailable", "log_unavailable"]


async def test_duplicate_result_settles_only_after_the_commit() -> None:
    store = FakeStore()
    ledger = new_ledger(store)
    settled: list[int] = []

    async def commit_result(number: int) -> None:
        await ledger.commit(result("a", 0))
        settled.append(number)

    async with running(ledger):
        await ledger.commit(job("a"))
        store.unavailable = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(commit_result, 1)
            tasks.start_soon(commit_result, 2)
            await anyio.sleep(0.2)
            assert settled == []
            store.unavailable = False
    assert sorted(settled) == [1, 2]
