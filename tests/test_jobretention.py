"""Accepted jobs stay readable while they are open, and for a while after that."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta

import anyio
import pytest

from chivespan.batchchanges import DeleteJob, EndJob, WriteResult
from chivespan.batchledger import Ledger, job_key, result_key
from chivespan.batchowner import RETENTION_MARGIN
from chivespan.batchrecords import BatchResult
from chivespan.codec import decode, encode
from chivespan.keyedstore import KeyedRecord
from chivespan.ledgerstore import LedgerStore, Staged
from tests.test_batchowner import PARTITION, OwnerHarness
from tests.test_ledgerstore import job

pytestmark = pytest.mark.anyio

JOB_STATUS = timedelta(seconds=120)
RETENTION = JOB_STATUS + RETENTION_MARGIN
SECOND = timedelta(seconds=1)


@dataclass
class Partition:
    """A job with one item, and the owner of its partition."""

    harness: OwnerHarness

    @property
    def is_readable(self) -> bool:
        return "j" in self.harness.ledger.ledger.jobs

    async def wait(self, time: timedelta) -> None:
        """Let time pass; the owner deletes what is expired."""
        self.harness.clock.advance(time)
        await self.harness.owner.delete_expired_jobs()

    async def finish(self) -> None:
        written = self.harness.clock.now()
        change = WriteResult("j", "j-0", True, "t", 1000, written)
        await self.harness.ledger.commit(change)


@asynccontextmanager
async def partition() -> AsyncIterator[Partition]:
    harness = OwnerHarness()
    change = job("j", items=1)
    harness.clock.advance(change.submitted - harness.clock.now())
    await harness.accept_job(change)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.ledger.run)
        yield Partition(harness)
        tasks.cancel_scope.cancel()


# Guards against: a job that is still open is deleted by its age, and all nodes answer
# (review case 3, LOST).
async def test_open_job_is_kept_however_old_it_is() -> None:
    async with partition() as one:
        for _ in range(10):
            await one.wait(RETENTION)
            assert one.is_readable
            assert one.harness.waiting() == ["j-0"]


# Guards against: a job that closes late is deleted before its caller has read the end.
async def test_job_is_kept_for_a_while_after_its_last_result() -> None:
    async with partition() as one:
        await one.wait(3 * RETENTION)
        await one.finish()
        await one.wait(JOB_STATUS)
        assert one.is_readable
        await one.wait(RETENTION_MARGIN + SECOND)
        assert not one.is_readable


async def test_ended_job_is_kept_for_a_while_after_its_end() -> None:
    async with partition() as one:
        await one.wait(3 * RETENTION)
        await one.harness.ledger.commit(EndJob("j", one.harness.clock.now()))
        await one.wait(JOB_STATUS)
        assert one.is_readable
        await one.wait(RETENTION_MARGIN + SECOND)
        assert not one.is_readable


# Guards against: jobs that are kept for good, as each new owner counts from its start.
async def test_owner_that_did_not_see_a_job_close_deletes_it_in_time() -> None:
    async with partition() as one:
        await one.finish()
        await one.wait(RETENTION + SECOND)
    clock = one.harness.clock
    later = LedgerStore(one.harness.store, PARTITION, clock, 2_000_000)
    await later.refresh(SECOND)
    assert later.ledger.jobs == {}


# Guards against: a delete that was decided on by an old state of the ledger.
async def test_delete_of_an_open_job_has_no_records() -> None:
    async with partition() as one:
        ledger = one.harness.ledger.ledger
        assert not DeleteJob(ledger.jobs["j"]).records(ledger, Staged())


async def test_result_of_an_earlier_release_counts_from_the_submission() -> None:
    async with partition() as one:
        ledger = one.harness.ledger.ledger
        result = BatchResult(item_id="j-0", done=True, text="t")
        fields = {"item_id": "j-0", "done": True, "text": "t"}
        assert decode(encode(fields), BatchResult) == result
        ledger.apply(KeyedRecord(result_key("j", 0), b"." + encode(fields)))
        await one.wait(RETENTION + SECOND)
        assert not one.is_readable


def test_deleted_job_leaves_nothing_in_the_ledger() -> None:
    ledger = Ledger()
    for record in job("j").records(ledger, Staged()):
        ledger.apply(record)
    keys = list(ledger.jobs["j"].keys())
    assert keys[-1] == job_key("j")
    for key in keys:
        ledger.apply(KeyedRecord(key, b""))
    assert ledger.jobs == {}
    assert ledger._partial == {}
