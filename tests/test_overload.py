"""When refused callers should come back, for bursts that follow a pattern."""

from datetime import timedelta

from chivespan.clock import ManualClock
from chivespan.overload import OverloadEpisodes

STEP = timedelta(milliseconds=100)


def refuse_for(episodes: OverloadEpisodes, clock: ManualClock, steps: int) -> None:
    for _ in range(steps):
        episodes.record_refusal()
        clock.advance(STEP)


def test_bursts_of_two_seconds_send_callers_behind_their_end() -> None:
    clock = ManualClock()
    episodes = OverloadEpisodes(clock)
    for _ in range(30):
        refuse_for(episodes, clock, 20)
        clock.advance(timedelta(seconds=4))
    episodes.record_refusal()
    assert timedelta(seconds=1.7) < episodes.expected_remaining() < timedelta(seconds=2)
    refuse_for(episodes, clock, 10)
    left = episodes.expected_remaining()
    assert timedelta(seconds=0.7) < left < timedelta(seconds=1.1)


def test_overload_that_goes_on_is_expected_to_last_in_proportion() -> None:
    clock = ManualClock()
    episodes = OverloadEpisodes(clock)
    refuse_for(episodes, clock, 100)
    assert episodes.expected_remaining() == timedelta(seconds=5)


def test_without_a_refusal_nothing_is_expected() -> None:
    assert OverloadEpisodes(ManualClock()).expected_remaining() == timedelta(0)
