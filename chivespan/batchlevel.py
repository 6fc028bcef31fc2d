"""How much batch a slice and each of its targets may carry now.

A level that yields also takes running batch back when it falls.
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
    """Slots of a slice now.

    :param total: slots that may be used.
    :param online: slots that online work holds.
    :param queued_online: online requests that wait.
    """

    total: int
    online: int
    queued_online: int


@dataclass(frozen=True, slots=True)
class TargetCounts:
    """Slots of one target now."""

    name: str
    slots: int
    batch: int


@dataclass(frozen=True, slots=True)
class OnlineSample:
    """What one online request measured at a target.

    :param granted_at: monotonic time of its grant.
    :param bound_ratio: the worst of its measures as a share of its bound; above 1 is too slow.
    """

    target: str
    granted_at: timedelta
    bound_ratio: float


class BatchLevel(Protocol):
    """Decides how much batch may run; one for a slice."""

    @property
    def yields(self) -> bool:
        """Whether running batch is taken back when it is over its limits."""
        ...

    @property
    def reduces_during_prefill(self) -> bool:
        """Whether a target is relieved of some batch while it reads a new prompt."""
        ...

    @property
    def queued_in_targets(self) -> int:
        """Batch grants beyond the slots of each target, left to the engine's queue."""
        ...

    def slice_limit(self, counts: SliceCounts, now: timedelta) -> int:
        """Return how many batch grants the whole slice may have."""
        ...

    def target_limit(self, counts: TargetCounts, now: timedelta) -> int:
        """Return how many batch grants one target may have."""
        ...

    def record(self, sample: OnlineSample, batch: int, now: timedelta) -> None:
        """Take in a measure of an online request, with the target's batch grants."""
        ...


BATCH_LEVELS: Registry[Callable[[Policies], BatchLevel]] = Registry("batch level")


class _StaticLevel:
    """A level that measures don't change; its subclasses say what it is."""

    yields = True
    reduces_during_prefill = False
    queued_in_targets = 0

    def __init__(self, policies: Policies) -> None:
        self._policies = policies

    def record(self, sample: OnlineSample, batch: int, now: timedelta) -> None:
        """Measures change nothing."""


@BATCH_LEVELS.register("none")
class NoBatch(_StaticLevel):
    """No batch at all."""

    def slice_limit(self, counts: SliceCounts, now: timedelta) -> int:
        """Allow nothing."""
        return 0

    def target_limit(self, counts: TargetCounts, now: timedelta) -> int:
        """Allow nothing."""
        return 0


@BATCH_LEVELS.register("unlimited")
class UnlimitedBatch(_StaticLevel):
    """Batch like online: it fills every slot and as much of the engines' queues."""

    yields = False
    queued_in_targets = 8

    def slice_limit(self, counts: SliceCounts, now: timedelta) -> int:
        """Allow more than there are slots."""
        return 2 * counts.total

    def target_limit(self, counts: TargetCounts, now: timedelta) -> int:
        """Allow all slots and a queue in the engine."""
        return counts.slots + self.queued_in_targets


@BATCH_LEVELS.register("fixed")
class FixedSplit(_StaticLevel):
    """A fixed number of slots of each target, never taken back."""

    yields = False

    def slice_limit(self, counts: SliceCounts, now: timedelta) -> int:
        """Leave it to the targets' limits."""
        return counts.total

    def target_limit(self, counts: TargetCounts, now: timedelta) -> int:
        """Allow the fixed number."""
        return min(self._policies.fixed_batch_slots, counts.slots)


@BATCH_LEVELS.register("idle")
class IdleSlots(_StaticLevel):
    """Every slot that online leaves idle, taken back as soon as online waits."""

    def slice_limit(self, counts: SliceCounts, now: timedelta) -> int:
        """Allow what online doesn't use."""
        return counts.total - counts.online - counts.queued_online

    def target_limit(self, counts: TargetCounts, now: timedelta) -> int:
        """Allow all slots."""
        return counts.slots


@dataclass(frozen=True, slots=True)
class _Demand:
    at: timedelta
    slots: int


class PeakDemand:
    """The most slots that online wanted lately: rises at once, falls after a cooldown.

    Slots given to batch between two requests of a burst would be taken back before the
    batch item had read its prompt again.
    """

    def __init__(self, cooldown: timedelta) -> None:
        self._cooldown = cooldown
        self._peaks: deque[_Demand] = deque()

    def update(self, slots: int, now: timedelta) -> int:
        """Take in the present demand, and return the most within the cooldown."""
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
    """Idle slots less the headroom for a burst, and less where online is slowed down.

    A target's level falls to a share at once when its online requests miss their
    bounds, and rises by one slot at a time while they keep them.
    """

    policies: Policies
    yields: bool = True
    reduces_during_prefill: bool = True
    queued_in_targets: int = 0
    _headroom: PeakDemand = field(init=False)
    _levels: dict[str, _TargetState] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._headroom = PeakDemand(self.policies.headroom_cooldown)

    def slice_limit(self, counts: SliceCounts, now: timedelta) -> int:
        """Allow what online has not wanted within the cooldown.

        A slice that nears its limits serves online faster without batch, as steps
        are shorter then, and so keeps its queue short.
        """
        wanted = counts.online + counts.queued_online
        over = max(0.0, wanted - self.policies.demand_limit * counts.total)
        reserve = math.ceil(over * SLOTS_PER_REQUEST_OVER_LIMIT)
        if wanted:
            reserve += self.policies.slice_reserve
        peak = self._headroom.update(wanted, now)
        return counts.total - max(peak, wanted + reserve)

    def target_limit(self, counts: TargetCounts, now: timedelta) -> int:
        """Allow the target's level, and raise that when it is time."""
        state = self._levels.setdefault(counts.name, _TargetState())
        due = now - max(state.cut_at, state.raised_at) >= RAISE_INTERVAL
        if due and counts.batch >= int(min(state.level, counts.slots)):
            state.level = min(counts.slots, state.level + 1)
            state.raised_at = now
        return int(min(state.level, counts.slots))

    def record(self, sample: OnlineSample, batch: int, now: timedelta) -> None:
        """Cut the level when too many of the latest requests missed their bound."""
        state = self._levels.setdefault(sample.target, _TargetState())
        if sample.granted_at < state.cut_at:
            return
        missed = float(sample.bound_ratio > 1.0)
        state.miss_rate += (missed - state.miss_rate) * MISS_RATE_SMOOTHING
        gross = sample.bound_ratio > SEVERE_MISS_RATIO
        if batch > 0 and (gross or state.miss_rate > MAX_MISS_RATE):
            state.level = batch * CUT_FACTOR
            state.miss_rate = 0.0
            state.cut_at = now
