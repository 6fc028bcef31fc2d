"""The users' rule on rate limits of targets, in simulated fleets of all sizes."""

import pytest

from tests.limitsimulation import LimitSimulation

DURATION_S = 20.0
OVERLOAD = 3.0
LEAST_USED_SHARE = 0.7

# Nodes, targets and limit of each target in requests per second.
FLEETS = [
    (10, 9, 2.7),
    (10, 9, 0.5),
    (10, 4, 50.0),
    (76, 12, 0.5),
    (76, 12, 3.0),
    (195, 20, 1.0),
    (195, 10, 20.0),
    (390, 30, 0.5),
    (390, 30, 2.0),
    (390, 8, 50.0),
]
in_fleets = pytest.mark.parametrize("fleet", FLEETS, ids=str)


def played(
    fleet: tuple[int, int, float],
    load: float = OVERLOAD,
    seed: int = 1,
    held_up_s: tuple[float, float] = (0.0, 0.0),
) -> LimitSimulation:
    nodes, targets, rate_per_s = fleet
    simulation = LimitSimulation(nodes, targets, rate_per_s, load, seed, held_up_s)
    simulation.run(DURATION_S)
    return simulation


# Guards against: nodes that each keep a target's limit send it more than that together.
@pytest.mark.parametrize("load", [1.0, OVERLOAD])
@in_fleets
def test_no_target_gets_more_than_the_rule_allows(
    fleet: tuple[int, int, float], load: float
) -> None:
    assert played(fleet, load, seed=2).largest_excess <= 0


# Guards against: while a relay is held up, its nodes take the others' sends for ended.
@in_fleets
def test_rule_holds_while_reports_are_held_up(fleet: tuple[int, int, float]) -> None:
    assert played(fleet, held_up_s=(8.0, 11.0)).largest_excess <= 0


# Guards against: the limits are kept because most of what targets accept isn't used.
@in_fleets
def test_most_of_what_targets_accept_is_used_under_overload(
    fleet: tuple[int, int, float],
) -> None:
    _, targets, rate_per_s = fleet
    accepted = targets * rate_per_s * DURATION_S
    assert played(fleet).sent >= LEAST_USED_SHARE * accepted
