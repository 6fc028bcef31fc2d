"""Scheduling of batch items under various load patterns."""

from dataclasses import replace
from datetime import UTC, datetime, timedelta

from chivespan.batchcapacity import TargetCapacity, below_peaks, fixed_items
from chivespan.batchschedule import (
    NodeLoad,
    WaitingItem,
    has_capacity,
    is_behind_schedule,
    place_items,
)
from tests.factories import target_entry

RUN = timedelta(seconds=5)
START = datetime(2026, 12, 4, tzinfo=UTC)


def target(
    target_id: str, online: int, batch: int = 0, data_centre: str = "a"
) -> TargetCapacity:
    return TargetCapacity(
        target_entry(target_id, data_centre=data_centre), 8, online, batch
    )


def item(job_id: str, order: int, due_s: float, holder: str = "") -> WaitingItem:
    return WaitingItem(
        partition=0,
        job_id=job_id,
        item_id=f"{job_id}-{order}",
        host="h",
        service="s",
        due=START + timedelta(seconds=due_s),
        order=order,
        holder=holder,
    )


def test_free_slots_are_filled_except_one_reserved_per_target() -> None:
    targets = [target("t1", online=3), target("t2", online=0)]
    nodes = [NodeLoad("n1", "a", 0), NodeLoad("n2", "a", 0)]
    items = [item("j", order, 18) for order in range(30)]
    placed = list(place_items(items, targets, nodes, START))
    assert [target.available for target in targets] == [0, 0]
    assert len(placed) == 4 + 7
    assert {node.items for node in nodes} <= {5, 6}


def test_no_item_starts_in_a_burst_of_online_requests() -> None:
    targets = [target("t1", online=7), target("t2", online=9), target("t3", 4, batch=3)]
    nodes = [NodeLoad("n1", "a", 0)]
    assert not list(place_items([item("j", 0, 18)], targets, nodes, START))


def test_jobs_run_earliest_deadline_first() -> None:
    items = [item("late", order, 30) for order in range(20)]
    items += [item("soon", order, 5) for order in range(7)]
    nodes = [NodeLoad("n1", "a", 0)]
    placed = list(place_items(items, [target("t1", 0)], nodes, START))
    assert [each.item.item_id for each in placed] == [f"soon-{n}" for n in range(7)]


def quiet_targets() -> list[TargetCapacity]:
    """Return six targets between two bursts that took up to 5.5 slots each."""
    return [replace(target(f"t{n}", online=1), online_peak=5.5) for n in range(6)]


def test_items_on_schedule_leave_the_slots_of_the_next_burst_free() -> None:
    targets = quiet_targets()
    items = [replace(item("j", n, 18), remaining=RUN) for n in range(20)]
    placed = list(place_items(items, targets, [NodeLoad("n1", "a", 0)], START))
    assert [target.batch for target in targets] == [2] * 6
    assert len(placed) == 12


def test_large_backlog_fills_all_slots_between_bursts() -> None:
    targets = quiet_targets()
    items = [replace(item("j", n, 18), remaining=RUN) for n in range(60)]
    list(place_items(items, targets, [NodeLoad("n1", "a", 0)], START))
    assert [target.available for target in targets] == [0] * 6


def test_job_due_soon_fills_all_slots_between_bursts() -> None:
    targets = quiet_targets()
    items = [replace(item("j", n, 7), remaining=RUN) for n in range(20)]
    placed = list(place_items(items, targets, [NodeLoad("n1", "a", 0)], START))
    assert len(placed) == 20


def test_yielded_item_resumes_on_the_node_that_holds_its_events() -> None:
    targets = [target("far", 0, data_centre="b"), target("near", 5, data_centre="a")]
    nodes = [NodeLoad("n1", "a", 9), NodeLoad("n2", "b", 0)]
    (placed,) = place_items([item("j", 0, 5, holder="n1")], targets, nodes, START)
    assert (placed.vm, placed.entry.target_id) == ("n1", "near")


def test_item_whose_holder_is_gone_starts_in_its_targets_data_centre() -> None:
    targets = [target("t1", 0, data_centre="b")]
    nodes = [NodeLoad("n1", "a", 0), NodeLoad("n2", "b", 3)]
    (placed,) = place_items([item("j", 0, 5, holder="n9")], targets, nodes, START)
    assert placed.vm == "n2"


def test_fixed_items_policy_starts_a_fixed_number() -> None:
    targets = [target("t1", online=8)]
    nodes = [NodeLoad("n1", "a", 0)]
    items = [item("j", order, 18) for order in range(30)]
    assert len(list(place_items(items, targets, nodes, START, fixed_items))) == 6


def test_late_backlog_does_not_delay_jobs_that_can_meet_their_deadline() -> None:
    late = [replace(item("old", order, 1), will_be_late=True) for order in range(20)]
    fresh = [item("new", order, 18) for order in range(3)]
    nodes = [NodeLoad("n1", "a", 0)]
    placed = list(place_items(late + fresh, [target("t1", online=4)], nodes, START))
    assert [each.item.job_id for each in placed] == ["new"] * 3


def test_faster_one_of_targets_with_equal_capacity_is_preferred() -> None:
    targets = [target("t1", 3), replace(target("t2", 3), speed=2.4), target("t3", 2)]
    nodes = [NodeLoad("n1", "a", 0)]
    placed = place_items([item("j", n, 18) for n in range(3)], targets, nodes, START)
    assert [each.entry.target_id for each in placed] == ["t3", "t2", "t1"]


# Guards against: items start late at fast targets, or start at slow targets as if they
# would be done in time there (targets that differ in speed).
def test_backlog_is_compared_with_the_speed_of_the_targets() -> None:
    items = [replace(item("j", n, 18), remaining=RUN) for n in range(40)]
    for speed, behind in ((2.0, False), (1.0, True)):
        targets = [replace(each, speed=speed) for each in quiet_targets()]
        assert is_behind_schedule(items, targets, START) is behind


def test_item_runs_longer_at_a_slower_target() -> None:
    slow = replace(target("t1", 0), speed=0.5)
    assert slow.run_time(RUN) == 2 * RUN


# Guards against: items take the slots of online requests while those that the rates of
# limited targets leave are unused.
def test_items_start_at_limited_targets_first() -> None:
    limited = replace(target("t1", online=1), rate_room=2)
    targets = [limited, target("t2", online=0)]
    nodes = [NodeLoad("n1", "a", 0)]
    placed = place_items([item("j", n, 18) for n in range(3)], targets, nodes, START)
    assert [each.entry.target_id for each in placed] == ["t1", "t1", "t2"]


# Guards against: no item runs while online requests fill all targets without a limit.
def test_items_start_at_limited_targets_in_a_burst() -> None:
    limited = replace(target("t1", online=1), rate_room=1)
    targets = [limited, target("t2", online=9), target("t3", online=8)]
    nodes = [NodeLoad("n1", "a", 0)]
    items = [item("j", n, 18) for n in range(3)]
    assert has_capacity(targets, below_peaks)
    placed = list(place_items(items, targets, nodes, START))
    assert [each.entry.target_id for each in placed] == ["t1"]


def test_no_item_starts_at_a_limited_target_without_room() -> None:
    targets = [replace(target("t1", online=0), rate_room=0)]
    nodes = [NodeLoad("n1", "a", 0)]
    assert not has_capacity(targets, below_peaks)
    assert not list(place_items([item("j", 0, 18)], targets, nodes, START))


# Guards against: 166 slots were idle for the 4 s of a trough while items waited (steps
# of 3.8 s low and 2.8 s high).
def test_items_that_end_before_the_next_rise_use_all_slots() -> None:
    targets = quiet_targets()
    short = [replace(item("short", n, 18), remaining=RUN / 2) for n in range(9)]
    long = [replace(item("long", n, 17), remaining=RUN) for n in range(20)]
    rises = {"s": timedelta(seconds=3.8)}
    placements = place_items(
        short + long, targets, [NodeLoad("n1", "a", 0)], START, rises=rises
    )
    started = [each.item.job_id for each in placements]
    assert (started.count("long"), started.count("short")) == (12, 9)
    assert all(target.available >= 0 for target in targets)


# Guards against: fast targets stay idle in a trough in which only they can end items.
def test_items_that_end_in_time_only_at_fast_targets_start_there() -> None:
    targets = quiet_targets()
    targets[2] = replace(targets[2], speed=1.7)
    backlog = [replace(item("j", n, 18), remaining=RUN) for n in range(3)]
    rises = {"s": timedelta(seconds=3.8)}
    nodes = [NodeLoad("n1", "a", 0)]
    placed = list(place_items(backlog, targets, nodes, START, rises=rises))
    assert {each.entry.target_id for each in placed} == {targets[2].entry.target_id}


# Guards against: items take the slot that is reserved on each target.
def test_reserved_slots_stay_free_before_a_rise() -> None:
    targets = quiet_targets()
    short = [replace(item("j", n, 18), remaining=RUN / 5) for n in range(60)]
    rises = {"s": timedelta(seconds=3.8)}
    list(place_items(short, targets, [NodeLoad("n1", "a", 0)], START, rises=rises))
    assert [target.available for target in targets] == [0] * 6


# Guards against: items start just to be cut, or those at limited targets wait as well.
def test_no_item_starts_just_before_a_rise() -> None:
    limited = replace(target("t9", online=1), rate_room=1)
    backlog = [replace(item("j", n, 7), remaining=RUN) for n in range(60)]
    nodes = [NodeLoad("n1", "a", 0)]
    rises = {"s": timedelta(seconds=0.2)}
    targets = [*quiet_targets(), limited]
    placed = list(place_items(backlog, targets, nodes, START, rises=rises))
    assert [each.entry.target_id for each in placed] == ["t9"]
    other = {"other": timedelta(seconds=0.2)}
    assert len(list(place_items(backlog, targets, nodes, START, rises=other))) > 30
