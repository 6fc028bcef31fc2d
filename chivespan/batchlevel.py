"""Limits the batch grants of a slice and of each of its targets.

A batch level that yields also revokes running batch grants when its limits fall.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from chivespan.policies import Policies
from chivespan.registry import Registry

CUT_FACTOR = 0.5
RAISE_INTERVAL = timedelta(milliseconds=250)
MISS_RATE_SMOOTHING = 0.05
MAX_MISS_RATE = 0.05
SEVERE_MISS_RATIO = 1.5
SLOTS_PER_REQUEST_OVER_LIMIT = 4


@dataclass(frozen=True, slots=True)
class SliceCounts:
    """Current slot counts of a slice.

    :param total: slots that may be used.
    :param online: slots that online requests hold.
    :param queued_online: online requests in the queue.
    """

    total: int
    online: int
    queued_online: int


@dataclass(frozen=True, slots=True)
class TargetCounts:
    """Current slot counts of one target."""

    name: str
    slots: int
    batch: int


@dataclass(frozen=True, slots=True)
class OnlineSample:
    """Latency of one online request at a target.

    :param granted_at: monotonic time of its grant.
    :param bound_ratio: the largest ratio of a measured latency to its bound; above 1 is
        too slow.
    """

    target: str
    granted_at: timedelta
    bound_ratio: float


class BatchLevel(Protocol):
    """Determines how much batch may run; there is one for each model of a slice."""

    @property
    def yields(self) -> bool:
        """Whether running batch grants over the limits are revoked."""
        ...

    @property
    def reduces_during_prefill(self) -> bool:
        """Whether a target's batch limit is lowered while it prefills a new prompt."""
        ...

    @property
    def queued_in_targets(self) -> int:
        """Batch grants per target beyond its slots, queued inside the engine."""
        ...

    def slice_limit(self, counts: SliceCounts, now: timedelta) -> int:
        """Return how many batch grants the whole slice may have."""
        ...

    def target_limit(self, counts: TargetCounts, now: timedelta) -> int:
        """Return how many batch grants one target may have."""
        ...

    def record(self, sample: OnlineSample, batch: int, now: timedelta) -> None:
        """Record the latency of an online request and the target's batch grants."""
        ...


BATCH_LEVELS: Registry[Callable[[Policies], BatchLevel]] = Registry("batch level")


class _StaticLevel:
    """Base of levels that don't depend on measured latencies."""

    yields = True
    reduces_during_prefill = False
    queued_in_targets = 0

    def __init__(self, policies: Policies) -> None:
        self._policies = policies

    def record(self, sample: OnlineSample, batch: int, now: timedelta) -> None:
        """Ignore the sample."""


@BATCH_LEVELS.register("none")
class NoBatch(_StaticLevel):
    """Runs no batch."""

    def slice_limit(self, counts: SliceCounts, now: timedelta) -> int:
        """Allow nothing."""
        return 0

    def target_limit(self, counts: TargetCounts, now: timedelta) -> int:
        """Allow nothing."""
        return 0


@BATCH_LEVELS.register("unlimited")
class UnlimitedBatch(_StaticLevel):
    """Treats batch like online: it fills all slots and the engines' queues."""

    yields = False
    queued_in_targets = 8

    def slice_limit(self, counts: SliceCounts, now: timedelta) -> int:
        """Allow twice the slots."""
        return 2 * counts.total

    def target_limit(self, counts: TargetCounts, now: timedelta) -> int:
        """Allow all slots plus the engine's queue."""
        return counts.slots + self.queued_in_targets


@BATCH_LEVELS.register("fixed")
class FixedSplit(_StaticLevel):
    """Gives batch a fixed number of slots of each target and never revokes them."""

    yields = False

    def slice_limit(self, counts: SliceCounts, now: timedelta) -> int:
        """Allow all slots; the target limits apply."""
        return counts.total

    def target_limit(self, counts: TargetCounts, now: timedelta) -> int:
        """Allow the fixed number of slots."""
        return min(self._policies.fixed_batch_slots, counts.slots)


@BATCH_LEVELS.register("idle")
class IdleSlots(_StaticLevel):
    """Gives batch all idle slots and revokes them as soon as online requests queue."""

    def slice_limit(self, counts: SliceCounts, now: timedelta) -> int:
        """Allow the slots that online requests don't need."""
        return counts.total - counts.online - counts.queued_online

    def target_limit(self, counts: TargetCounts, now: timedelta) -> int:
        """Allow all slots."""
        return counts.slots


@dataclass(frozen=True, slots=True)
class _Demand:
    at: timedelta
    slots: int


class PeakDemand:
    """Peak of online demand: rises at once, falls after a cooldown.

    Without the cooldown, slots granted to batch between two requests of a burst would
    be revoked before the batch item had finished its prefill.
    """

    def __init__(self, cooldown: timedelta) -> None:
        self._cooldown = cooldown
        self._peaks: deque[_Demand] = deque()

    def update(self, slots: int, now: timedelta) -> int:
        """Record the current demand and return the maximum within the cooldown."""
        while self._peaks and self._peaks[-1].slots <= slots:
            self._peaks.pop()
        self._peaks.append(_Demand(now, slots))
        while len(self._peaks) > 1 and self._peaks[0].at <= now - self._cooldown:
            self._peaks.popleft()
        return self._peaks[0].slots


@dataclass(slots=True)
class _TargetState:
    level: float = math.inf
    miss_rate: float = 0.0
    cut_at: timedelta = timedelta(0)
    raised_at: timedelta = timedelta(0)


@BATCH_LEVELS.register("steered")
@dataclass(slots=True)
class AdaptiveBatchLevel:
    """Gives batch the idle slots minus headroom for bursts, adapted to online latency.

    When the online requests of a target miss their latency bounds, its level is cut by
    a factor at once; while they meet them, it rises by one slot at a time.
    """

    policies: Policies
    yields: bool = True
    reduces_during_prefill: bool = True
    queued_in_targets: int = 0
    _peak_demand: PeakDemand = field(init=False)
    _levels: dict[str, _TargetState] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._peak_demand = PeakDemand(self.policies.headroom_cooldown)

    def slice_limit(self, counts: SliceCounts, now: timedelta) -> int:
        """Allow the slots that online requests have not needed within the cooldown.

        A slice close to its demand limit reserves additional slots: with less batch,
        the engines' steps are shorter, so online requests finish faster and the queue
        stays short.
        """
        demand = counts.online + counts.queued_online
        over = max(0.0, demand - self.policies.demand_limit * counts.total)
        reserve = math.ceil(over * SLOTS_PER_REQUEST_OVER_LIMIT)
        if demand:
            reserve += self.policies.slice_reserve
        peak = self._peak_demand.update(demand, now)
        return counts.total - max(peak, demand + reserve)

    def target_limit(self, counts: TargetCounts, now: timedelta) -> int:
        """Allow the target's level, which is raised at most once per interval."""
        state = self._levels.setdefault(counts.name, _TargetState())
        due = now - max(state.cut_at, state.raised_at) >= RAISE_INTERVAL
        if due and counts.batch >= int(min(state.level, counts.slots)):
            state.level = min(counts.slots, state.level + 1)
            state.raised_at = now
        return int(min(state.level, counts.slots))

    def record(self, sample: OnlineSample, batch: int, now: timedelta) -> None:
        """Cut the level if too many recent requests missed their bounds.

        A single severe miss is enough. Requests granted before the last cut don't
        count.
        """
        state = self._levels.setdefault(sample.target, _TargetState())
        if sample.granted_at < state.cut_at:
            return
        missed = float(sample.bound_ratio > 1.0)
        state.miss_rate += (missed - state.miss_rate) * MISS_RATE_SMOOTHING
        severe = sample.bound_ratio > SEVERE_MISS_RATIO
        if batch > 0 and (severe or state.miss_rate > MAX_MISS_RATE):
            state.level = batch * CUT_FACTOR
            state.miss_rate = 0.0
            state.cut_at = now
