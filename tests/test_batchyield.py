"""Load pattern: one online request at a target that batch items fill up.

All nodes see the counts of the target for a while as they were before the first yields.
"""

from datetime import timedelta
from random import Random

from chivespan.batchyield import YIELD_WINDOW, YieldRule
from chivespan.clock import ManualClock
from chivespan.loadboard import LoadBoard
from chivespan.nodemessages import TargetLoad
from chivespan.targetpick import TARGET_CHOICES, TargetPicker
from chivespan.targetset import TargetSet
from chivespan.targetsilence import TargetSilence
from tests.factories import target_entry

SLOTS = 7
EVENT_GAP = timedelta(milliseconds=20)
ROUNDS = 400


class Site:
    """One target that is filled, and others with some free slots."""

    def __init__(self, online: int, free_elsewhere: int) -> None:
        self.clock = ManualClock()
        self.board = LoadBoard(self.clock)
        targets = TargetSet(self.clock)
        entries = [target_entry(f"t{n}", service="svc", slots=SLOTS) for n in range(5)]
        targets.replace(entries)
        self.target = entries[0]
        loads = [TargetLoad(target_id="t0", online=online, batch=4)]
        loads += [
            TargetLoad(target_id=f"t{n}", online=SLOTS - free_elsewhere, batch=0)
            for n in range(1, 5)
        ]
        self.board.report("all", loads)
        picker = TargetPicker(
            targets,
            self.board,
            "a",
            self.clock,
            TargetSilence(self.clock),
            TARGET_CHOICES["shared_counts"],
        )
        self.rule = YieldRule(picker, self.board, self.clock, Random(1))

    def yields(self, time: timedelta) -> float:
        """Return how many of the four items yield within a time, on average."""
        events = time // EVENT_GAP
        total = 0
        for _ in range(ROUNDS):
            total += sum(
                any(self.rule.must_yield(self.target, EVENT_GAP) for _ in range(events))
                for _ in range(4)
            )
        return total / ROUNDS


def test_one_queued_request_has_about_one_item_yield() -> None:
    """For one request nearly all four items of a target were cut (issue 17)."""
    site = Site(online=4, free_elsewhere=2)
    assert 0.5 <= site.yields(YIELD_WINDOW) <= 1.5


def test_no_item_yields_where_nobody_waits_and_others_have_room() -> None:
    """Each of 190 running items was cut once a second between bursts (issue 17)."""
    assert Site(online=3, free_elsewhere=2).yields(10 * YIELD_WINDOW) == 0


def test_an_item_makes_room_ahead_where_hardly_a_slot_is_free() -> None:
    site = Site(online=3, free_elsewhere=0)
    assert 0.5 <= site.yields(YIELD_WINDOW) <= 1.5


def test_all_items_yield_to_as_many_requests() -> None:
    site = Site(online=7, free_elsewhere=0)
    assert site.yields(3 * YIELD_WINDOW) >= 3.5
