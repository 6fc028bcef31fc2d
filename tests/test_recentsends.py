"""Counts of requests that all nodes have recently sent to targets with a limit."""

from datetime import timedelta

import pytest

from chivespan.clock import ManualClock
from chivespan.nodemessages import TargetSends
from chivespan.recentsends import DECAY_TIME, RecentSends
from chivespan.sendlimiter import full_room

SECOND = timedelta(seconds=1)


def count(value: float, target_id: str = "t") -> TargetSends:
    return TargetSends(target_id=target_id, count=value)


def test_own_requests_decay() -> None:
    clock = ManualClock()
    sends = RecentSends(clock)
    sends.record("t")
    sends.record("t")
    assert sends.total("t") == pytest.approx(2.0)
    clock.advance(DECAY_TIME)
    assert sends.total("t") == pytest.approx(2 * 0.368, abs=0.01)
    clock.advance(20 * DECAY_TIME)
    assert sends.own_sends() == []


# Guards against: this node's requests count twice, by itself and in a relay's sum.
def test_own_part_of_a_sum_is_counted_once() -> None:
    sends = RecentSends(ManualClock())
    sends.record("t")
    reported = sends.own_sends()
    sends.report("sum", [count(3.0)], reported)
    assert sends.total("t") == pytest.approx(3.0)


def test_counts_of_a_peer_that_left_are_dropped() -> None:
    sends = RecentSends(ManualClock())
    sends.report("peer", [count(3.0)])
    sends.remove_peer("peer")
    assert sends.total("t") == 0
    assert sends.totals() == []


# Guards against: while reports are held up, a node takes the others' sends for ended.
def test_reported_counts_stay_until_the_next_report() -> None:
    clock = ManualClock()
    sends = RecentSends(clock)
    sends.report("peer", [count(3.0)])
    clock.advance(3 * SECOND)
    assert sends.total("t") == 3.0
    assert sends.report_age("t") == 3 * SECOND
    assert sends.report_age("other") == timedelta(0)


# Guards against: a low limit is exceeded since a request counts for a while only.
@pytest.mark.parametrize("per_s", [0.1, 0.5, 2.7, 10.0, 50.0])
def test_requests_sent_whenever_there_is_room_come_at_the_limit(per_s: float) -> None:
    clock = ManualClock()
    sends = RecentSends(clock)
    sent = 0
    seconds = 40 / per_s
    step = timedelta(seconds=min(0.01, 0.1 / per_s))
    while clock.monotonic() < timedelta(seconds=seconds):
        if sends.total("t") < full_room(per_s):
            sends.record("t")
            sent += 1
        clock.advance(step)
    burst = full_room(per_s) + 1
    assert seconds * per_s * 0.9 <= sent <= seconds * per_s * 1.05 + burst
