"""Estimated end of an overload, for regular bursts and for one long overload."""

from datetime import timedelta

from chivespan.clock import ManualClock
from chivespan.overload import OverloadEpisodes

STEP = timedelta(milliseconds=100)


def refuse_for(episodes: OverloadEpisodes, clock: ManualClock, steps: int) -> None:
    for _ in range(steps):
        episodes.record_refusal()
        clock.advance(STEP)


def test_regular_two_second_bursts_are_expected_to_last_two_seconds() -> None:
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


def test_long_overload_is_expected_to_last_half_its_age_longer() -> None:
    clock = ManualClock()
    episodes = OverloadEpisodes(clock)
    refuse_for(episodes, clock, 100)
    assert episodes.expected_remaining() == timedelta(seconds=5)


def test_expected_time_is_zero_without_a_refusal() -> None:
    assert OverloadEpisodes(ManualClock()).expected_remaining() == timedelta(0)
