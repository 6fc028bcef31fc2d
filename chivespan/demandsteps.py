"""Detects online demand that rises and falls in steps, and predicts its next rise.

Demand is the number of slots that online requests use. A period is known while the last
two periods correlate with the demand one period before.
Steady demand, slow drifts and the noise of random arrivals aren't steps.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from itertools import dropwhile, takewhile
from math import sqrt
from operator import mul
from statistics import fmean

from chivespan.clock import MILLISECOND, NO_WAIT, Clock
from chivespan.logs import logger

SAMPLE_INTERVAL = timedelta(milliseconds=100)
WINDOW = timedelta(seconds=30)
DETECTION_INTERVAL = timedelta(seconds=1)
MIN_PERIOD = timedelta(seconds=2)
MAX_PERIOD = timedelta(seconds=12)
MIN_CORRELATION = 0.7
MIN_PEAK_RATIO = 1.5
# After a longer gap between samples, the earlier ones are dropped: too much of a step
# is missing.
MAX_GAP = timedelta(seconds=1)
# The tolerance of a predicted rise, before and after it.
RISE_MARGIN = timedelta(milliseconds=300)
# The variance of random arrivals is their mean. Steps must exceed it clearly.
MIN_VARIANCE_RATIO = 4.0
# Every third sample suffices to find candidates for the period. Their correlation may
# be a little lower then.
COARSE_STEP = 3
COARSE_TOLERANCE = 0.15
# Multiples of a period correlate as well as the period itself.
MULTIPLE_TOLERANCE = 0.1
# Demand above this share of the step counts as high. Since an online request uses a
# slot for about 0.7 s, arrivals have risen about 0.2 s before demand is that high.
RISE_SHARE = 0.25
RISE_DELAY = timedelta(milliseconds=200)

# Largest error of a known period because of noise, as a number of samples.
PERIOD_TOLERANCE = 2

_MAX_SAMPLES = WINDOW // SAMPLE_INTERVAL
_MIN_LAG = MIN_PERIOD // SAMPLE_INTERVAL
_MAX_LAG = MAX_PERIOD // SAMPLE_INTERVAL
_MARGIN = RISE_MARGIN // SAMPLE_INTERVAL
_RISE_DELAY = RISE_DELAY // SAMPLE_INTERVAL

_log = logger("batch")


@dataclass(frozen=True, slots=True)
class Steps:
    """Steps of a known period. Times are numbers of samples.

    :ivar low: mean demand between the peaks.
    :ivar high: mean demand at the peaks.
    :ivar is_high: whether demand is high at each phase, for two periods in a row.
    """

    period: int
    low: float
    high: float
    is_high: tuple[bool, ...]

    @property
    def threshold(self) -> float:
        """Demand above which it counts as high."""
        return self.low + RISE_SHARE * (self.high - self.low)

    def time_to_rise(self, now: int, online: int) -> int | None:
        """Return the time until the next rise, as a number of samples.

        :param now: number of the current sample.
        :param online: current demand.
        :return: 0 if a rise is overdue by less than ``RISE_MARGIN``; None while demand
            is high, or a rise is overdue by more.
        """
        phase = now % self.period
        if online > self.threshold or True not in self.is_high:
            return None
        if not self.is_high[phase]:
            return self.is_high.index(True, phase) - phase
        is_slightly_overdue = not self.is_high[phase + self.period - _MARGIN]
        return 0 if is_slightly_overdue else None


class DemandSteps:
    """Samples of the online demand of one service, and the steps found in them.

    Samples are numbered by the monotonic time, in units of ``SAMPLE_INTERVAL``.
    """

    def __init__(self, service: str, clock: Clock) -> None:
        self._service = service
        self._clock = clock
        self._samples: deque[int] = deque(maxlen=_MAX_SAMPLES)
        self._latest = 0
        self._time = clock.monotonic() // SAMPLE_INTERVAL
        self._next_detection = NO_WAIT
        self._steps: Steps | None = None

    @property
    def period(self) -> timedelta | None:
        """The period of the steps; None if none is known."""
        return None if self._steps is None else self._steps.period * SAMPLE_INTERVAL

    @property
    def time_to_rise(self) -> timedelta | None:
        """Time until the next rise; None unless demand is low in known steps."""
        if self._steps is None:
            return None
        time = self._steps.time_to_rise(self._time, self._latest)
        if time is None:
            return None
        rise = (self._time + time) * SAMPLE_INTERVAL
        return max(NO_WAIT, rise - self._clock.monotonic())

    def record_sample(self, online: int) -> None:
        """Record the slots that online requests use now.

        Detects steps once in each ``DETECTION_INTERVAL``.
        """
        now = self._clock.monotonic()
        time = now // SAMPLE_INTERVAL
        if (time - self._time) * SAMPLE_INTERVAL > MAX_GAP:
            self._samples.clear()
        else:
            self._samples.extend([self._latest] * (time - self._time))
        self._time = time
        self._latest = online
        if now >= self._next_detection:
            self._next_detection = now + DETECTION_INTERVAL
            self._update(find_steps(self._samples, time, self._steps))

    def _update(self, steps: Steps | None) -> None:
        before, self._steps = self._steps, steps
        if _is_other_period(before, steps):
            _log.info(
                "demand_steps_changed",
                service=self._service,
                period_ms=steps and steps.period * SAMPLE_INTERVAL // MILLISECOND,
                low=steps and round(steps.low),
                high=steps and round(steps.high),
            )


def _is_other_period(before: Steps | None, steps: Steps | None) -> bool:
    if before is None or steps is None:
        return before is not steps
    return abs(steps.period - before.period) > PERIOD_TOLERANCE


class ServiceDemand:
    """The demand of services with open items, and for ``WINDOW`` after the last one."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._steps: dict[str, DemandSteps] = {}
        self._open: dict[str, timedelta] = {}
        self._sampled: dict[str, timedelta] = {}

    def rises(self) -> dict[str, timedelta]:
        """Return the time until the next rise of services with low demand in steps."""
        rises = ((name, steps.time_to_rise) for name, steps in self._steps.items())
        return {name: time for name, time in rises if time is not None}

    def record_open(self, services: Iterable[str]) -> None:
        """Record which services have open items; drop the others after ``WINDOW``."""
        now = self._clock.monotonic()
        self._open.update(dict.fromkeys(services, now))
        for service, last in list(self._open.items()):
            if now - last > WINDOW:
                for state in (self._open, self._steps, self._sampled):
                    state.pop(service, None)

    def due(self) -> list[str]:
        """Return the services that need a sample now."""
        now = self._clock.monotonic() // SAMPLE_INTERVAL
        return [
            service
            for service in self._open
            if now > self._sampled.get(service, -SAMPLE_INTERVAL) // SAMPLE_INTERVAL
        ]

    def record_sample(self, service: str, online: int) -> None:
        """Record the slots that online requests of a service use now."""
        if service not in self._steps:
            self._steps[service] = DemandSteps(service, self._clock)
        self._sampled[service] = self._clock.monotonic()
        self._steps[service].record_sample(online)


def find_steps(
    window: Iterable[int], time: int, before: Steps | None = None
) -> Steps | None:
    """Return the steps in samples of demand; None if there are none.

    :param window: number of slots in use in consecutive samples.
    :param time: number of the sample after the last one.
    :param before: the steps that were known before.
    """
    samples = list(window)
    if len(samples) < 3 * _MIN_LAG or not _exceeds_noise(samples):
        return None
    period = _period(samples, None if before is None else before.period)
    if period is None:
        return None
    earlier, later = samples[-2 * period : -period], samples[-period:]
    profile = [fmean(pair) for pair in zip(earlier, later, strict=True)]
    mean = fmean(profile)
    high = fmean(each for each in profile if each >= mean)
    low = fmean([each for each in profile if each < mean] or [high])
    if not _exceeds_noise(later) or high < MIN_PEAK_RATIO * low:
        return None
    threshold = low + RISE_SHARE * (high - low)
    is_high = [each > threshold for each in profile]
    # The profile begins at the phase of ``time``; it is shifted to begin at phase 0,
    # and earlier by the delay with which rises show in the demand.
    first = (_RISE_DELAY - time) % period
    by_phase = is_high[first:] + is_high[:first]
    return Steps(period, low, high, tuple(by_phase * 2))


class Correlations:
    """Correlations of samples with earlier ones of the same demand."""

    def __init__(self, samples: Sequence[int]) -> None:
        self._samples = samples
        self._squares: list[int] = list(map(mul, samples, samples))

    def at(self, lag: int) -> float:
        """Return the correlation of the last two periods with those one period before.

        If there are too few samples for two periods, all that have an earlier one are
        used. Deviations are taken from the common mean of both parts, so that a drift
        doesn't correlate.

        :param lag: the period, as a number of samples.
        """
        size = min(2 * lag, len(self._samples) - lag)
        later, earlier = slice(-size, None), slice(-size - lag, -lag)
        sum_later, sum_earlier = sum(self._samples[later]), sum(self._samples[earlier])
        mean = (sum_later + sum_earlier) / (2 * size)
        base = size * mean * mean
        power_later = sum(self._squares[later]) - 2 * mean * sum_later + base
        power_earlier = sum(self._squares[earlier]) - 2 * mean * sum_earlier + base
        power = power_later * power_earlier
        if power <= 0:
            return 0.0
        product: int = sum(map(mul, self._samples[later], self._samples[earlier]))
        return (product - mean * (sum_later + sum_earlier) + base) / sqrt(power)

    def best(self, lags: Iterable[int]) -> int | None:
        """Return the lag with the highest correlation, unless that is too low."""
        found = {lag: self.at(lag) for lag in lags}
        best = max(found, key=found.__getitem__, default=None)
        return None if best is None or found[best] < MIN_CORRELATION else best


def _period(samples: Sequence[int], known: int | None) -> int | None:
    """Return the period that explains the samples best; the shortest of its multiples.

    :param known: the period that was known before; it is kept while it explains them.
    :return: as a number of samples; None if no period explains them.
    """
    longest = _MAX_LAG if len(samples) == _MAX_SAMPLES else len(samples) // 3
    correlations = Correlations(samples)

    def best_near(lag: int) -> int | None:
        lowest = max(_MIN_LAG, lag - PERIOD_TOLERANCE)
        highest = min(_MAX_LAG, longest, lag + PERIOD_TOLERANCE)
        return correlations.best(range(lowest, highest + 1))

    found = best_near(known) if known else None
    if found is None and (near := _coarse_period(samples, longest)) is not None:
        found = best_near(near)
    return found


def _coarse_period(samples: Sequence[int], longest: int) -> int | None:
    """Return an approximate period, from every third sample; None if there is none.

    :return: as a number of samples.
    """
    coarse = samples[len(samples) % COARSE_STEP :: COARSE_STEP]
    correlations = Correlations(coarse)
    lags = range(_MIN_LAG // COARSE_STEP, min(_MAX_LAG, longest) // COARSE_STEP + 1)
    found = {lag: correlations.at(lag) for lag in lags}
    lowest = max(MIN_CORRELATION, max(found.values()) - MULTIPLE_TOLERANCE)
    lowest -= COARSE_TOLERANCE
    above = dropwhile(lambda lag: found[lag] < lowest, lags)
    candidates = takewhile(lambda lag: found[lag] >= lowest, above)
    best = max(candidates, key=found.__getitem__, default=None)
    return None if best is None else best * COARSE_STEP


def _exceeds_noise(samples: Sequence[int]) -> bool:
    """Return whether samples vary clearly more than those of random arrivals."""
    mean = sum(samples) / len(samples)
    squares: int = sum(map(mul, samples, samples))
    variance = squares / len(samples) - mean * mean
    return variance > MIN_VARIANCE_RATIO * mean
