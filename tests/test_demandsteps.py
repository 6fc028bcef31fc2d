"""Load pattern: online demand in steps, low for 3.8 s and high for 2.8 s."""

from collections import Counter
from collections.abc import Callable, Iterator
from datetime import timedelta
from heapq import heappop, heappush
from random import Random

import pytest

from chivespan.clock import ManualClock
from chivespan.demandsteps import (
    DETECTION_INTERVAL,
    RISE_MARGIN,
    WINDOW,
    DemandSteps,
)
from chivespan.nodemessages import TargetLoad
from tests.test_batchprogress import SERVICE, Scheduler, TargetHistory

TICK = timedelta(milliseconds=50)
LOW_S, HIGH_S = 3.8, 2.8
PERIOD_S = LOW_S + HIGH_S
SEEDS = range(4)

Demand = Callable[[float], float]


class StepsHarness:
    """A service whose requests arrive at random and use a slot for about 0.7 s."""

    def __init__(self, seed: int = 0) -> None:
        self.clock = ManualClock()
        self.steps = DemandSteps("svc", self.clock)
        self._random = Random(seed)
        self._ends: list[float] = []
        self._next = 0.0

    @property
    def now(self) -> float:
        return self.clock.monotonic().total_seconds()

    def play(self, demand: Demand, until: float) -> Iterator[float]:
        """Yield the time after each sample.

        :param demand: returns the slots in use on average at a time.
        """
        while self.now < until:
            while self._next <= self.now:
                used_s = self._random.uniform(0.4, 1.0)
                heappush(self._ends, self._next + used_s)
                rate = max(0.1, demand(self._next) / 0.7)
                self._next += self._random.expovariate(rate)
            while self._ends and self._ends[0] <= self.now:
                heappop(self._ends)
            self.steps.record_sample(len(self._ends))
            yield self.now
            self.clock.advance(TICK)

    def periods(self, demand: Demand, until: float) -> set[timedelta | None]:
        """Return the periods that were known meanwhile."""
        return {self.steps.period for _ in self.play(demand, until)}


def in_steps(
    mean: float, low_s: float = LOW_S, high_s: float = HIGH_S, start: float = 0.0
) -> Demand:
    """Return demand that is low and high in turns, low at the start."""
    period = low_s + high_s

    def demand(at: float) -> float:
        return mean * (0.38 if (at - start) % period < low_s else 1.84)

    return demand


def is_about(period: timedelta | None, seconds: float) -> bool:
    error = timedelta(seconds=0.2)
    return period is not None and abs(period - timedelta(seconds=seconds)) <= error


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("mean", [90, 1000])
def test_steps_are_known_after_three_periods_and_rises_are_predicted(
    mean: float, seed: int
) -> None:
    harness = StepsHarness(seed)
    demand = in_steps(mean)
    start = 3 * PERIOD_S + DETECTION_INTERVAL.total_seconds()
    assert harness.periods(demand, 2 * PERIOD_S) == {None}
    for _ in harness.play(demand, start + PERIOD_S):
        pass
    known = 0
    errors: list[float] = []
    for now in harness.play(demand, start + 6 * PERIOD_S):
        known += is_about(harness.steps.period, PERIOD_S)
        until_rise = LOW_S - now % PERIOD_S
        predicted = harness.steps.time_to_rise
        if predicted is not None and until_rise > 0:
            errors.append(predicted.total_seconds() - until_rise)
    assert known > 0.95 * 5 * PERIOD_S / TICK.total_seconds()
    # Demand falls slowly at first: the last requests of a peak still use their slots.
    assert len(errors) > 0.7 * 5 * LOW_S / TICK.total_seconds()
    assert max(errors) <= RISE_MARGIN.total_seconds()
    # No item starts just before a predicted rise, so a trough would be left unused.
    assert min(errors) >= -RISE_MARGIN.total_seconds()


# Guards against: items start in a slot that a peak takes, as it begins or while it
# lasts, since the rise after it is far away.
@pytest.mark.parametrize("seed", SEEDS)
def test_no_rise_is_awaited_during_a_peak(seed: int) -> None:
    harness = StepsHarness(seed)
    demand = in_steps(90)
    for now in harness.play(demand, 10 * PERIOD_S):
        phase = now % PERIOD_S
        if LOW_S < phase < PERIOD_S:
            predicted = harness.steps.time_to_rise
            assert predicted is None or predicted < RISE_MARGIN, phase


# Guards against: items rely on a trough that doesn't come any more, or doesn't last.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("level", [34.0, 90.0, 166.0])
def test_end_of_the_steps_is_noticed_within_two_periods(
    level: float, seed: int
) -> None:
    harness = StepsHarness(seed)
    end = 5 * PERIOD_S
    assert len(harness.periods(in_steps(90), end)) > 1
    harness.periods(lambda _: level, end + 2 * PERIOD_S)
    assert harness.periods(lambda _: level, end + 10 * PERIOD_S) == {None}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("low_s", "high_s"), [(2.0, 1.5), (5.0, 4.5)])
def test_change_of_the_period_is_noticed(
    low_s: float, high_s: float, seed: int
) -> None:
    harness = StepsHarness(seed)
    start = 5 * PERIOD_S
    changed = in_steps(90, low_s, high_s, start)
    new_period = low_s + high_s
    harness.periods(in_steps(90), start)
    harness.periods(changed, start + 2 * PERIOD_S)
    later = harness.periods(changed, start + 3 * new_period + PERIOD_S)
    assert not any(is_about(period, PERIOD_S) for period in later)
    later = harness.periods(changed, start + 40)
    later = harness.periods(changed, start + 60)
    assert all(is_about(period, new_period) for period in later)


# Guards against: noise is taken for steps, and items are cut at rises that were not
# foreseen, on deployments that have none.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("mean", [0.5, 3, 10, 40, 200, 600])
def test_steady_demand_has_no_steps(mean: float, seed: int) -> None:
    assert StepsHarness(seed).periods(lambda _: mean, 90) == {None}


# Guards against: part of a slow change is taken for a rise or a fall.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("mean", [10, 200])
@pytest.mark.parametrize("change", [-0.02, 0.02, 0.1])
def test_slow_drift_is_not_taken_for_steps(
    change: float, mean: float, seed: int
) -> None:
    def demand(at: float) -> float:
        return mean * max(0.1, 1 + change * at)

    assert StepsHarness(seed).periods(demand, 60) == {None}


# Guards against: a process that was held up relies on samples from before.
def test_steps_are_learnt_anew_after_a_pause() -> None:
    harness = StepsHarness()
    assert len(harness.periods(in_steps(90), 5 * PERIOD_S)) > 1
    harness.clock.advance(timedelta(seconds=2))
    assert harness.periods(in_steps(90), harness.now + 2 * PERIOD_S) == {None}


class DemandNode(Scheduler):
    """The owner of a partition, at whose targets online demand is in steps."""

    def __init__(self) -> None:
        super().__init__([TargetHistory() for _ in range(12)])
        self.demand = self._targets

    def play(self, services: set[str], time: timedelta) -> None:
        """Sample the demand for some time while items of services are open."""
        for _ in range(time // TICK):
            at = self.clock.monotonic().total_seconds()
            online = 2 if at % PERIOD_S < LOW_S else 6
            loads = [
                TargetLoad(target_id=f"t{n}", online=online, batch=0) for n in range(12)
            ]
            self.load_table.report("all", loads)
            self._targets.capacities(services, Counter())
            self.clock.advance(TICK)


# Guards against: the steps are learnt anew for each job, or a node without work samples
# the demand for ever.
def test_owner_samples_demand_between_jobs_but_not_for_ever() -> None:
    node = DemandNode()
    period = timedelta(seconds=PERIOD_S)
    node.play({SERVICE}, 2 * period)
    node.play(set(), 2 * period + timedelta(seconds=1))
    rise = node.demand.rises()[SERVICE]
    assert abs(rise - timedelta(seconds=LOW_S - 1)) <= RISE_MARGIN
    node.play(set(), WINDOW)
    assert not node.demand.rises()
    assert not node.demand._demand.due()
