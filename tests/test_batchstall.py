"""Load pattern: bursts of online requests that take every slot, batch in between.

In a burst each run of an item is cut after an event or two. Whatever an owner learns
from these runs, the items go on as soon as the burst is over.
"""

from dataclasses import replace
from datetime import timedelta

import pytest

from chivespan.batchschedule import NodeRoom, TargetRoom, must_hurry, place_items
from chivespan.itempace import ItemPace
from chivespan.nodemessages import ItemState
from tests.factories import target_entry
from tests.test_batchowner import Site, status
from tests.test_ledgerstore import SUBMITTED

SLOTS = 8
TARGETS = 5
# Requests in progress in a burst: all slots, and some that queue.
BURST = SLOTS + 2
CUT_AFTER = timedelta(seconds=1.6)
NODES = [NodeRoom("n1", "a", 0)]


async def accepted(items: int) -> Site:
    """Return an owner that has just accepted a job."""
    site = Site()
    site.clock.advance(SUBMITTED - site.clock.now())
    await site.accept(items)
    return site


def valley() -> list[TargetRoom]:
    """Return targets that are nearly idle, soon after a burst that took all of them."""
    return [
        TargetRoom(target_entry(f"t{n}", service="svc"), SLOTS, 1, 0, online_peak=BURST)
        for n in range(TARGETS)
    ]


def test_runs_that_are_cut_at_once_say_nothing_of_how_long_items_take() -> None:
    """Items that ran 3 s were taken for 40 s, so all counted as too late (issue 17)."""
    pace = ItemPace()
    for _ in range(50):
        pace.ran(144, timedelta(seconds=3))
    usual = pace.remaining(0)
    for _ in range(100):
        pace.ran(2, CUT_AFTER)
    assert pace.remaining(0) <= usual * 1.5


@pytest.mark.anyio
async def test_items_start_again_in_the_valley_behind_a_burst() -> None:
    """No item of 1,500 was started for 24 s, until online requests ended (issue 17)."""
    site = await accepted(30)
    for cuts in range(1, 6):
        site.start("n1")
        site.clock.advance(CUT_AFTER / 2)
        for number in range(30):
            told = status(ItemState.paused, events=cuts)
            site.owner.take_status("n1", replace(told, item_id=f"j-{number}"))
        site.clock.advance(timedelta(milliseconds=50))
    waiting = list(site.owner.waiting())
    assert len(waiting) == 30
    placed = list(place_items(waiting, valley(), NODES, site.clock.now()))
    assert len(placed) >= TARGETS * (SLOTS - 2)


@pytest.mark.anyio
async def test_items_past_their_time_are_run_in_the_valley_too() -> None:
    """Items that all were too late waited for as long as bursts came (issue 17)."""
    site = await accepted(30)
    site.clock.advance(timedelta(seconds=20))
    waiting = list(site.owner.waiting())
    assert all(item.will_be_late for item in waiting)
    assert must_hurry(waiting, valley(), site.clock.now())
    assert list(place_items(waiting, valley(), NODES, site.clock.now()))


def burst() -> list[TargetRoom]:
    """Return targets in a burst: nearly all slots taken, a few free for a moment."""
    online = [8, 9, 6, 8, 10]
    return [
        TargetRoom(target_entry(f"t{n}", service="svc"), SLOTS, taken, 0, BURST)
        for n, taken in enumerate(online)
    ]


@pytest.mark.anyio
async def test_no_item_starts_at_a_slot_that_is_free_for_a_moment_of_a_burst() -> None:
    """In bursts 200 runs a second began, and 19 in 20 were cut at once (issue 17)."""
    site = await accepted(30)
    site.clock.advance(timedelta(seconds=10))
    waiting = list(site.owner.waiting())
    assert not list(place_items(waiting, burst(), NODES, site.clock.now()))
