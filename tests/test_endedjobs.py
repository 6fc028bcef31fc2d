"""No item of an ended job is started for long, whoever committed the end (review/6).

The store turns the owner of a partition away and serves the other nodes. Another node
commits the end of a job, which the owner can't read.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import pytest

from chivespan.batchchanges import EndJob
from chivespan.batchowner import TAKEOVER_DELAY, BatchOwner
from chivespan.batchrequesthandler import BatchRequestHandler
from chivespan.clock import MILLISECOND, NO_WAIT, ManualClock
from chivespan.errors import ChivespanError
from chivespan.ledgerage import CHECK_INTERVAL, LedgerAgeLimit
from chivespan.ledgerstore import LedgerStore
from chivespan.nodemessages import BatchQuestion, BatchVerb
from tests.fakestore import FakeStore
from tests.fleet import HOST
from tests.test_batchowner import CANCEL_TIME, PARTITION, OwnerHarness
from tests.test_ledgerstore import job, running

pytestmark = pytest.mark.anyio
STEP = 50 * MILLISECOND
# Time that an item may take from its owner to a target.
DELIVERY_TIME = timedelta(milliseconds=500)
PLAY_TIME = timedelta(seconds=16)
JOB_ID = "j"


def end_question() -> BatchQuestion:
    return BatchQuestion(
        question=1,
        verb=BatchVerb.end,
        partition=1,
        job_id=JOB_ID,
        route="",
        host=HOST,
        item_id="",
        start=0,
        wait_ms=0,
        patience_ms=0,
        body=b"",
    )


def handler_of(
    harness: OwnerHarness, owner: BatchOwner, ledger: LedgerStore
) -> BatchRequestHandler:
    return BatchRequestHandler(
        ledger,
        harness.routing,
        harness.clock,
        1000,
        owner.end_requested,
        owner.stop_runs_of_ended_jobs,
    )


async def test_old_ledger_starts_no_items_while_others_reach_the_store() -> None:
    harness = OwnerHarness()
    await harness.accept(1)
    harness.others_reach_store = True
    harness.store.unavailable = True
    harness.clock.advance(timedelta(seconds=1))
    assert harness.waiting() == ["j-0"]
    harness.clock.advance(timedelta(seconds=1))
    assert harness.waiting() == []
    harness.store.unavailable = False
    await harness.owner.load()
    assert harness.waiting() == ["j-0"]


# Guards against: batch work stops with the store, though no job can end meanwhile.
async def test_old_ledger_starts_items_while_the_store_serves_nobody() -> None:
    harness = OwnerHarness()
    await harness.accept(1)
    harness.clock.advance(timedelta(seconds=60))
    assert harness.waiting() == ["j-0"]


# Guards against: an owner goes on where it stood when its machine was suspended, for
# which the monotonic clock stood still.
async def test_time_of_a_suspension_makes_the_ledger_old() -> None:
    harness = OwnerHarness()
    await harness.accept(1)
    harness.others_reach_store = True
    harness.clock.suspend(timedelta(seconds=5))
    assert harness.waiting() == []
    await harness.owner.load()
    assert harness.waiting() == ["j-0"]


# Guards against: the ledger is read so rarely that a short time limit stops all items.
@pytest.mark.parametrize("limit_s", [1.0, 1.5, 3.0, 10.0])
async def test_ledger_is_read_well_before_it_is_too_old(limit_s: float) -> None:
    ledger = LedgerStore(FakeStore(), PARTITION, clock := ManualClock(), 1000)
    limit = LedgerAgeLimit(1, ledger, timedelta(seconds=limit_s), lambda: True)
    oldest = max(limit.max_age_before_read, CHECK_INTERVAL) + CHECK_INTERVAL / 4
    await ledger.refresh(NO_WAIT)
    clock.advance(oldest)
    assert limit.allows_start()


# Guards against: a node that takes a partition over again starts items from the ledger
# that a read of its earlier ownership left, which ended after the release.
async def test_partition_that_is_taken_again_is_read_again() -> None:
    harness = OwnerHarness()
    await harness.accept(1)
    harness.owner.release()
    await harness.owner.load()
    other = LedgerStore(harness.store, PARTITION, harness.clock, 2_000_000)
    async with running(other):
        await other.commit(EndJob(JOB_ID, harness.clock.now()))
    harness.owner.take_over()
    harness.clock.advance(TAKEOVER_DELAY)
    await harness.owner.load()
    assert harness.waiting() == []


# Guards against: an owner that has failed to end a job goes on to start its items,
# though the node that asked it commits the end in its place.
async def test_failed_end_holds_the_items_back_until_the_ledger_tells() -> None:
    harness = OwnerHarness()
    await harness.accept(2)
    harness.others_reach_store = True
    handler = handler_of(harness, harness.owner, harness.ledger)
    harness.clock.advance(timedelta(seconds=1))
    harness.store.unavailable = True
    with pytest.raises(ChivespanError, match="down"):
        await handler.answer(end_question())
    assert harness.waiting() == []
    harness.store.unavailable = False
    await harness.owner.load()
    assert harness.waiting() == [], "the asking node may commit the end after this read"
    harness.clock.advance(timedelta(seconds=2))
    await harness.owner.load()
    assert harness.waiting() == ["j-0", "j-1"], "nobody has committed the end"


@dataclass(frozen=True)
class Plan:
    """What happens around the end of a job; times from the beginning.

    :param turned_away: spans in which the store turns the owner away.
    :param suspended: span in which the owner's machine is suspended.
    :param asked: when the owner is asked to end the job; None if the link is cut.
    :param committed: when another node commits the end.
    """

    turned_away: list[tuple[timedelta, timedelta]]
    suspended: tuple[timedelta, timedelta]
    asked: timedelta | None
    committed: timedelta


def drawn_plan(random: Random) -> Plan:
    def seconds(low: float, high: float) -> timedelta:
        return timedelta(seconds=random.uniform(low, high))

    first = seconds(0, 2)
    gap = first + seconds(0.5, 4)
    spans = [(first, gap), (gap + seconds(0.2, 1), gap + seconds(1, 8))]
    committed = first + seconds(0, 3)
    asked = committed - seconds(0, 1.2) if random.random() < 0.5 else None
    frozen = seconds(0, 6) if random.random() < 0.3 else timedelta(minutes=1)
    return Plan(spans, (frozen, frozen + seconds(0.5, 5)), asked, committed)


@dataclass
class Play:
    """An owner and another node that commits the end of a job, on one store.

    :ivar starts: when items were started.
    """

    plan: Plan
    harness: OwnerHarness = field(default_factory=OwnerHarness)
    starts: list[timedelta] = field(default_factory=list)
    _is_asked: bool = False
    _last_load: timedelta = NO_WAIT

    @asynccontextmanager
    async def prepared(self) -> AsyncIterator[LedgerStore]:
        """Accept a job; yield the ledger of the other node."""
        harness = self.harness
        shared = harness.store
        harness.store = FakeStore(logs=shared.logs)
        harness.ledger._store = harness.store
        await harness.accept_job(job(JOB_ID, items=1))
        harness.others_reach_store = True
        other = LedgerStore(shared, PARTITION, harness.clock, 2_000_000)
        async with running(other):
            yield other

    async def run(self) -> None:
        async with self.prepared() as other:
            began = self.harness.clock.boottime()
            last_load = NO_WAIT
            is_asked = is_committed = False
            while (now := self.harness.clock.boottime() - began) < timedelta(
                seconds=16
            ):
                if not is_committed and now >= self.plan.committed:
                    await other.commit(EndJob(JOB_ID, self.harness.clock.now()))
                    is_committed = True
                if self.plan.suspended[0] <= now < self.plan.suspended[1]:
                    self.harness.clock.suspend(STEP)
                    continue
                self.harness.store.unavailable = self._is_turned_away(now)
                if self.plan.asked is not None and now >= self.plan.asked > NO_WAIT:
                    if not is_asked:
                        await self._ask_owner()
                    is_asked = True
                if now - last_load >= CHECK_INTERVAL:
                    last_load = now
                    await self._load()
                if self.harness.waiting():
                    self.starts.append(now)
                self.harness.clock.advance(STEP)

    async def _ask_owner(self) -> None:
        harness = self.harness
        handler = handler_of(harness, harness.owner, harness.ledger)
        async with running(harness.ledger):
            try:
                await handler.answer(end_question())
            except ChivespanError:
                return

    async def _load(self) -> None:
        try:
            await self.harness.owner.load()
        except ChivespanError:
            return

    def _is_turned_away(self, now: timedelta) -> bool:
        return any(start <= now < end for start, end in self.plan.turned_away)


# Guards against: any order of lost store, lost link, suspension and end in which items
# of the job are started for longer than its caller was promised.
@pytest.mark.parametrize("seed", range(60))
async def test_items_of_an_ended_job_are_not_started_for_long(seed: int) -> None:
    play = Play(drawn_plan(Random(seed)))
    await play.run()
    late = play.plan.committed + CANCEL_TIME - DELIVERY_TIME
    assert play.starts
    assert [at for at in play.starts if at > late] == []
