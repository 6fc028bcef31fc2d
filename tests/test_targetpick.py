"""Where online requests go, for the load patterns that the tests name."""

from collections import Counter
from contextlib import ExitStack
from datetime import timedelta

from chivespan.clock import ManualClock
from chivespan.loadboard import LoadBoard
from chivespan.nodemessages import TargetEntry, TargetLoad
from chivespan.targetpick import TARGET_CHOICES, TargetPicker
from chivespan.targetset import TargetSet
from chivespan.targetsilence import SILENCE, TargetSilence
from tests.factories import target_entry

OBJECTIVE = timedelta(milliseconds=300)
SERVICE_TIME = timedelta(milliseconds=700)


def entry(target_id: str, data_centre: str = "near") -> TargetEntry:
    return target_entry(target_id, data_centre=data_centre)


def picker(
    *entries: TargetEntry, loads: dict[str, tuple[int, int]]
) -> tuple[TargetPicker, LoadBoard]:
    clock = ManualClock()
    targets = TargetSet(clock)
    targets.replace(entries)
    board = LoadBoard(clock)
    board.report(
        "peer",
        [
            TargetLoad(target_id=name, online=online, batch=batch)
            for name, (online, batch) in loads.items()
        ],
    )
    choose = TARGET_CHOICES["shared_counts"]
    silence = TargetSilence(clock)
    return TargetPicker(targets, board, "near", clock, silence, choose), board


def picked(chooser: TargetPicker) -> str | None:
    found = chooser.pick("s", OBJECTIVE)
    return None if found is None else found.entry.target_id


def test_free_slot_of_this_data_centre_goes_first() -> None:
    entries = (entry("far", "far"), entry("busy"), entry("idle"))
    chooser, _ = picker(*entries, loads={"busy": (5, 2), "idle": (2, 1)})
    counts = Counter(picked(chooser) for _ in range(400))
    assert counts["far"] == 0
    assert counts["idle"] > 10 * counts["busy"]


def test_last_free_slots_here_are_left_to_what_is_on_its_way() -> None:
    entries = (entry("far", "far"), entry("here"))
    chooser, _ = picker(*entries, loads={"here": (5, 2)})
    counts = Counter(picked(chooser) for _ in range(400))
    assert counts["far"] > 10 * counts["here"]


def test_burst_at_many_nodes_does_not_meet_at_the_freest_target() -> None:
    """Thirty nodes decide on the same counts before any hears of another's choice."""
    entries = [entry(f"t{number}") for number in range(15)]
    loads = {f"t{number}": (4 if number else 3, 1) for number in range(15)}
    chooser, _ = picker(*entries, loads=loads)
    worst = [
        max(Counter(picked(chooser) for _ in range(30)).values()) for _ in range(50)
    ]
    assert sum(worst) / len(worst) < 6


def test_free_slot_elsewhere_goes_before_a_queue_here() -> None:
    chooser, _ = picker(entry("far", "far"), entry("full"), loads={"full": (8, 0)})
    assert picked(chooser) == "far"


def test_full_targets_take_it_where_batch_will_make_room() -> None:
    loads = {"online": (8, 0), "batch": (3, 5)}
    chooser, _ = picker(entry("online"), entry("batch"), loads=loads)
    assert picked(chooser) == "batch"


def test_burst_over_all_slots_is_refused_before_everybody_is_late() -> None:
    """Arrivals stay above what the slots serve; those taken must be on time."""
    entries = [entry(f"t{number}") for number in range(4)]
    chooser, board = picker(*entries, loads={})
    taken = 0
    with ExitStack() as held:
        while taken < 100 and (name := picked(chooser)) is not None:
            held.enter_context(board.hold_online(name))
            taken += 1
    waiting = taken - 4 * 8
    assert 4 <= waiting <= 4 * 3
    longest_wait = SERVICE_TIME * (waiting / 4 / 8)
    assert longest_wait < OBJECTIVE


def test_refused_callers_come_back_spread_over_time() -> None:
    chooser, _ = picker(entry("t"), loads={"t": (16, 0)})
    times = {chooser.return_after("s") for _ in range(20)}
    assert len(times) > 10
    assert max(times) <= min(times) * 1.45


def test_target_that_fails_is_left_out() -> None:
    chooser, _ = picker(entry("bad"), entry("good"), loads={"good": (8, 0)})
    for _ in range(3):
        chooser.failed("bad")
    assert picked(chooser) == "good"


def test_baseline_of_least_requests_never_refuses() -> None:
    chooser, board = picker(entry("t"), entry("u"), loads={"t": (90, 0), "u": (91, 0)})
    baseline = TargetPicker(
        chooser._targets,
        board,
        "near",
        ManualClock(),
        TargetSilence(ManualClock()),
        TARGET_CHOICES["least_in_progress"],
    )
    assert picked(baseline) == "t"


def test_target_whose_streams_fall_silent_is_passed_over_by_all_nodes() -> None:
    clock = ManualClock()
    here, there = TargetSilence(clock), TargetSilence(clock)
    with here.watching("dark") as stream, here.watching("queued"):
        assert here.all() == frozenset()
        stream.heard()
        clock.advance(SILENCE * 1.1)
        assert here.all() == {"dark"}
        there.told("peer", here.own())
        assert there.all() == {"dark"}
        stream.heard()
        assert here.own() == []
    clock.advance(SILENCE * 2)
    assert here.own() == []
    there.forget("peer")
    assert there.all() == frozenset()


def test_target_that_takes_no_connection_is_left_out_at_once() -> None:
    chooser, _ = picker(entry("bad"), entry("good"), loads={"good": (8, 0)})
    chooser.unreachable("bad")
    assert picked(chooser) == "good"


def test_long_batch_items_say_nothing_of_how_long_online_requests_wait() -> None:
    chooser, _ = picker(entry("t"), loads={"t": (9, 0)})
    for _ in range(100):
        chooser.succeeded("t")
    assert picked(chooser) == "t"
    for _ in range(100):
        chooser.note_service_time(timedelta(seconds=5))
    assert picked(chooser) is None
