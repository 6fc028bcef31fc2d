"""Usable targets as their entries are added, changed, expired and renewed."""

from dataclasses import replace
from datetime import timedelta

from chivespan.clock import ManualClock
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
