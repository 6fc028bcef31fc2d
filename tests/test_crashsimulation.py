"""Users' rules on parts and requests that crash targets, in a simulated fleet."""

from functools import cache
from typing import TypeAlias

import pytest

from tests.crashsimulation import (
    DECISIVE_CRASH,
    HARMFUL_PART,
    HARMFUL_REQUEST,
    HARMFUL_START_S,
    VERDICT_S,
    CrashSimulation,
)

MAX_LATE_SENDS = 3
LEAST_SERVED_SHARE = 0.5
DURATION_S = 20.0

# Nodes, targets, data centres and the seeds of the reduced set and of the others.
SMALL, MIDDLE, LARGE, LARGEST = (10, 9, 2), (76, 45, 3), (195, 37, 3), (390, 75, 4)
FAST = [(*SMALL, seed) for seed in range(1, 11)] + [(*LARGE, seed) for seed in (1, 2)]
SLOW = [
    *((*SMALL, seed) for seed in range(11, 31)),
    # Days on which the first crashes come close to each other.
    *((*SMALL, seed) for seed in (84, 218, 221, 315, 316)),
    *((*MIDDLE, seed) for seed in range(1, 6)),
    *((*LARGE, seed) for seed in range(3, 6)),
    *((*LARGEST, seed) for seed in range(1, 6)),
]
Fleet: TypeAlias = tuple[int, int, int, int]
in_fleets = pytest.mark.parametrize(
    "fleet",
    [*FAST, *(pytest.param(fleet, marks=pytest.mark.slow) for fleet in SLOW)],
    ids="{0[0]}-nodes-seed-{0[3]}".format,
)


of_each_kind = pytest.mark.parametrize("harmful", [HARMFUL_PART, HARMFUL_REQUEST])


@cache
def played(fleet: Fleet, harmful: str = HARMFUL_PART) -> CrashSimulation:
    """The day of a fleet."""
    simulation = CrashSimulation(*fleet, harmful)
    simulation.run(DURATION_S)
    return simulation


# Guards against: the verdict comes so early in all days that the rules aren't tested.
def test_some_days_have_a_decisive_crash() -> None:
    crashes = [len(played(fleet).harmful_crashes) for fleet in FAST]
    assert sum(each >= DECISIVE_CRASH for each in crashes) >= 3


# Guards against: requests with a harmful part, or one request, go on to crash targets.
@of_each_kind
@in_fleets
def test_few_harmful_requests_are_sent_after_the_decisive_crash(
    fleet: Fleet, harmful: str
) -> None:
    simulation = played(fleet, harmful)
    decisive = simulation.decisive_crash
    for decisive_s in simulation.harmful_crashes[decisive - 1 : decisive]:
        late = [at for at in simulation.harmful_sends if at > decisive_s + VERDICT_S]
        assert len(late) <= MAX_LATE_SENDS


# Guards against: some nodes don't learn what is harmful.
@of_each_kind
@in_fleets
def test_all_nodes_refuse_what_is_harmful_soon_after_the_decisive_crash(
    fleet: Fleet, harmful: str
) -> None:
    assert played(fleet, harmful).nodes_without_verdict == 0


# Guards against: sound requests, and their parts, that met crashes by chance are
# refused.
@of_each_kind
@in_fleets
def test_nothing_sound_is_ever_quarantined(fleet: Fleet, harmful: str) -> None:
    assert played(fleet, harmful).wrongly_quarantined == set()


# Guards against: sound requests beside harmful ones are refused, or find no slot.
@of_each_kind
@in_fleets
def test_sound_requests_of_the_class_are_served_as_before(
    fleet: Fleet, harmful: str
) -> None:
    simulation = played(fleet, harmful)
    start = simulation.harmful_crashes[: simulation.decisive_crash][-1] + 2 * VERDICT_S
    before = simulation.served_share(0, HARMFUL_START_S)
    assert simulation.served_share(start, DURATION_S) >= LEAST_SERVED_SHARE * before
