"""Usable targets as their entries are added, changed, expired and renewed."""

from dataclasses import replace
from datetime import timedelta

from chivespan.clock import ManualClock
from chivespan.nodemessages import TargetRun
from chivespan.targetdepartures import KEPT_WITHOUT_ENTRY
from chivespan.targetset import TargetSet
from tests.factories import target_entry

POLL = timedelta(milliseconds=700)
ONE = target_entry("i-1", sequence=5, started_ms=100)
TWO = replace(ONE, target_id="i-2")


def ids(targets: TargetSet) -> list[str]:
    return sorted(entry.target_id for entry in targets.usable("s"))


def test_target_missing_from_the_store_is_removed() -> None:
    clock = ManualClock()
    targets = TargetSet(clock)
    targets.replace([ONE, TWO])
    clock.advance(POLL)
    targets.replace([TWO])
    assert ids(targets) == ["i-2"]


def test_entries_expired_in_a_store_outage_have_two_seconds_to_renew() -> None:
    clock = ManualClock()
    targets = TargetSet(clock)
    targets.replace([ONE, TWO])
    clock.advance(timedelta(seconds=6))
    targets.replace([])
    assert ids(targets) == ["i-1", "i-2"]
    clock.advance(POLL)
    targets.replace([ONE])
    clock.advance(timedelta(seconds=2))
    targets.replace([ONE])
    assert ids(targets) == ["i-1"]


def test_stale_entry_neither_ends_a_drain_nor_restores_a_target() -> None:
    clock = ManualClock()
    targets = TargetSet(clock)
    targets.replace([replace(ONE, draining=True, sequence=6)])
    clock.advance(POLL)
    targets.replace([ONE])
    assert ids(targets) == []
    clock.advance(POLL)
    targets.replace([])
    clock.advance(POLL)
    targets.replace([ONE])
    assert ids(targets) == []
    clock.advance(POLL)
    targets.replace([replace(ONE, sequence=0, started_ms=200)])
    assert ids(targets) == ["i-1"]


def leave(targets: TargetSet, started_ms: int = ONE.started_ms) -> None:
    run = TargetRun(target_id=ONE.target_id, started_ms=started_ms)
    targets.record_leaving(run, "response", observed_here=True)


# Guards against: the store's ready entry, written before or renewed after the target
# announced its end, has requests sent to the target again.
def test_announced_end_holds_until_a_new_run_is_listed() -> None:
    clock = ManualClock()
    targets = TargetSet(clock)
    targets.replace([ONE, TWO])
    assert ids(targets) == ["i-1", "i-2"]
    leave(targets)
    for sequence in (5, 6, 7):
        clock.advance(POLL)
        targets.replace([replace(ONE, sequence=sequence), TWO])
        assert ids(targets) == ["i-2"]
        assert targets.find("i-1") is None
    clock.advance(POLL)
    targets.replace([replace(ONE, sequence=0, started_ms=200), TWO])
    assert ids(targets) == ["i-1", "i-2"]


# Guards against: a target that left is used again when an old list names it once more.
def test_announced_end_survives_the_removal_of_the_entry() -> None:
    clock = ManualClock()
    targets = TargetSet(clock)
    targets.replace([ONE, TWO])
    leave(targets)
    clock.advance(POLL)
    targets.replace([TWO])
    clock.advance(POLL)
    targets.replace([replace(ONE, sequence=9), TWO])
    assert ids(targets) == ["i-2"]


# Guards against: an announcement of the previous run takes the new run out of use.
def test_announcement_of_an_earlier_run_is_ignored() -> None:
    targets = TargetSet(ManualClock())
    targets.replace([replace(ONE, started_ms=200)])
    leave(targets, started_ms=100)
    assert ids(targets) == ["i-1"]
    assert targets.leaving_runs == []


# Guards against: a peer that can't reach the store gets the target as ready.
def test_entries_for_peers_list_an_announced_end_as_draining() -> None:
    targets = TargetSet(ManualClock())
    targets.replace([ONE])
    leave(targets)
    assert [entry.draining for entry in targets.entries] == [True]


def test_announcements_of_targets_that_are_long_gone_are_forgotten() -> None:
    clock = ManualClock()
    targets = TargetSet(clock)
    targets.replace([ONE])
    leave(targets)
    clock.advance(POLL)
    targets.replace([TWO])
    clock.advance(2 * KEPT_WITHOUT_ENTRY)
    targets.replace([TWO])
    assert not list(targets._departures.observed_here)
