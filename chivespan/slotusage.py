"""Estimates the share of a service's slots that new requests use after an overload.

The estimate is the average share that online requests use while none is refused. The
remaining slots can serve refused callers who return.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from math import expm1

from chivespan.clock import Clock
from chivespan.overload import EPISODE_GAP
from chivespan.targetchoices import Candidate

SAMPLE_INTERVAL = timedelta(milliseconds=100)
# Covers one or two of the steps in which demand rises and falls.
AVERAGING_TIME = timedelta(seconds=10)
# Longest time for which one sample counts, since samples are taken at requests only.
MAX_SAMPLE_WEIGHT = timedelta(seconds=1)
INITIAL_SHARE = 0.5


@dataclass(slots=True)
class _Average:
    """Average share of the slots of one service in use.

    :ivar share: from 0 to 1.
    :ivar sampled: monotonic time of the last sample.
    :ivar refused: monotonic time of the last refusal; None before the first one.
    """

    share: float
    sampled: timedelta
    refused: timedelta | None = None


class SlotUsage:
    """Average shares of slots in use, by service, without times of refusals."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._averages: dict[str, _Average] = {}

    def share(self, service: str) -> float:
        """Return the share of a service's slots that new requests are likely to use."""
        average = self._averages.get(service)
        return INITIAL_SHARE if average is None else average.share

    def record_refusal(self, service: str) -> None:
        """Record that a request was refused."""
        self._find(service).refused = self._clock.monotonic()

    def record(self, service: str, candidates: Sequence[Candidate]) -> None:
        """Sample the requests in progress at the targets of a service.

        Samples within ``SAMPLE_INTERVAL`` of the last one, or within ``EPISODE_GAP`` of
        a refusal, are ignored.
        """
        now = self._clock.monotonic()
        average = self._find(service)
        passed = now - average.sampled
        if passed < SAMPLE_INTERVAL or not candidates:
            return
        average.sampled = now
        if average.refused is not None and now - average.refused <= EPISODE_GAP:
            return
        slots = sum(each.slots for each in candidates)
        used = sum(min(each.online, each.slots) for each in candidates)
        weight = -expm1(-min(passed, MAX_SAMPLE_WEIGHT) / AVERAGING_TIME)
        average.share += (used / slots - average.share) * weight

    def _find(self, service: str) -> _Average:
        now = self._clock.monotonic()
        return self._averages.setdefault(service, _Average(INITIAL_SHARE, now))
