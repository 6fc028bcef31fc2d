"""Which batch items start, and where, for the load patterns that the tests name."""

from dataclasses import replace
from datetime import UTC, datetime, timedelta

from chivespan.batchschedule import (
    NodeRoom,
    TargetRoom,
    WaitingItem,
    fixed_items,
    place_items,
)
from tests.factories import target_entry

RUN = timedelta(seconds=5)
START = datetime(2026, 12, 4, tzinfo=UTC)


def room(target_id: str, online: int, batch: int = 0, centre: str = "a") -> TargetRoom:
    return TargetRoom(target_entry(target_id, data_centre=centre), 8, online, batch)


def item(job_id: str, order: int, due_s: float, holder: str = "") -> WaitingItem:
    return WaitingItem(
        partition=0,
        job_id=job_id,
        item_id=f"{job_id}-{order}",
        service="s",
        due=START + timedelta(seconds=due_s),
        order=order,
        holder=holder,
    )


def test_valley_is_filled_but_for_the_slot_of_the_next_online_request() -> None:
    targets = [room("t1", online=3), room("t2", online=0)]
    nodes = [NodeRoom("n1", "a", 0), NodeRoom("n2", "a", 0)]
    items = [item("j", order, 18) for order in range(30)]
    placed = list(place_items(items, targets, nodes, START))
    assert [target.spare for target in targets] == [0, 0]
    assert len(placed) == 4 + 7
    assert {node.items for node in nodes} <= {5, 6}


def test_burst_of_online_requests_starts_no_item() -> None:
    targets = [room("t1", online=7), room("t2", online=9), room("t3", 4, batch=3)]
    nodes = [NodeRoom("n1", "a", 0)]
    assert not list(place_items([item("j", 0, 18)], targets, nodes, START))


def test_burst_of_jobs_runs_in_the_order_in_which_they_are_due() -> None:
    items = [item("late", order, 30) for order in range(20)]
    items += [item("soon", order, 5) for order in range(7)]
    nodes = [NodeRoom("n1", "a", 0)]
    placed = list(place_items(items, [room("t1", 0)], nodes, START))
    assert [each.item.item_id for each in placed] == [f"soon-{n}" for n in range(7)]


def quiet_targets() -> list[TargetRoom]:
    """Six targets between two bursts, of which each took up to 5.5 slots."""
    return [replace(room(f"t{n}", online=1), online_peak=5.5) for n in range(6)]


def test_items_with_time_left_leave_the_slots_of_the_next_burst() -> None:
    targets = quiet_targets()
    items = [replace(item("j", n, 18), remaining=RUN) for n in range(20)]
    placed = list(place_items(items, targets, [NodeRoom("n1", "a", 0)], START))
    assert [target.batch for target in targets] == [2] * 6
    assert len(placed) == 12


def test_an_evening_of_jobs_fills_the_valley_between_bursts() -> None:
    targets = quiet_targets()
    items = [replace(item("j", n, 18), remaining=RUN) for n in range(60)]
    list(place_items(items, targets, [NodeRoom("n1", "a", 0)], START))
    assert [target.spare for target in targets] == [0] * 6


def test_a_job_that_is_due_soon_fills_the_valley_between_bursts() -> None:
    targets = quiet_targets()
    items = [replace(item("j", n, 7), remaining=RUN) for n in range(20)]
    placed = list(place_items(items, targets, [NodeRoom("n1", "a", 0)], START))
    assert len(placed) == 20


def test_yielded_item_goes_on_at_the_node_that_holds_its_events() -> None:
    targets = [room("far", 0, centre="b"), room("near", 5, centre="a")]
    nodes = [NodeRoom("n1", "a", 9), NodeRoom("n2", "b", 0)]
    (placed,) = place_items([item("j", 0, 5, holder="n1")], targets, nodes, START)
    assert (placed.vm, placed.entry.target_id) == ("n1", "near")


def test_item_whose_holder_is_gone_starts_near_its_target() -> None:
    targets = [room("t1", 0, centre="b")]
    nodes = [NodeRoom("n1", "a", 0), NodeRoom("n2", "b", 3)]
    (placed,) = place_items([item("j", 0, 5, holder="n9")], targets, nodes, START)
    assert placed.vm == "n2"


def test_fixed_number_of_items_is_there_for_comparison() -> None:
    targets = [room("t1", online=8)]
    nodes = [NodeRoom("n1", "a", 0)]
    items = [item("j", order, 18) for order in range(30)]
    assert len(list(place_items(items, targets, nodes, START, fixed_items))) == 6


def test_backlog_past_its_time_holds_up_no_job_that_can_still_be_done() -> None:
    late = [replace(item("old", order, 1), will_be_late=True) for order in range(20)]
    fresh = [item("new", order, 18) for order in range(3)]
    nodes = [NodeRoom("n1", "a", 0)]
    placed = list(place_items(late + fresh, [room("t1", online=4)], nodes, START))
    assert [each.item.job_id for each in placed] == ["new"] * 3
