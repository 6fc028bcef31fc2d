"""Keeps the batch grants of a slice within its batch level, separately per model."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from chivespan.batchlevel import (
    BATCH_LEVELS,
    BatchLevel,
    OnlineSample,
    SliceCounts,
    TargetCounts,
)
from chivespan.granttable import GrantTable, LiveGrant
from chivespan.messages import WorkClass
from chivespan.policies import Policies
from chivespan.targetstate import TargetState


@dataclass(slots=True)
class ModelGroup:
    """The targets of one model, which share a batch level.

    :param limit: batch grants that the group may have now.
    """

    level: BatchLevel
    targets: list[TargetState] = field(default_factory=list)
    limit: int = 0

    @property
    def batch(self) -> int:
        """Slots that batch holds, including revoked ones that are not yet released."""
        return sum(target.counts[WorkClass.batch] for target in self.targets)

    @property
    def unrevoked_batch(self) -> int:
        """Batch grants that have not been revoked."""
        return sum(target.unrevoked_batch for target in self.targets)

    def update(self, queued_online: int, now: timedelta) -> None:
        """Recompute the limit from the current counts."""
        counts = SliceCounts(
            total=sum(target.usable_slots for target in self.targets),
            online=sum(target.counts[WorkClass.online] for target in self.targets),
            queued_online=queued_online,
        )
        self.limit = max(0, self.level.slice_limit(counts, now))


class BatchControl:
    """Applies the batch levels of one slice."""

    def __init__(self, policies: Policies) -> None:
        self._policies = policies
        self._groups: dict[str, ModelGroup] = {}

    @property
    def yields(self) -> bool:
        """Whether running batch grants are revoked for online requests."""
        return any(group.level.yields for group in self._groups.values())

    def regroup(self, targets: Iterable[TargetState]) -> None:
        """Replace the targets of all groups."""
        for group in self._groups.values():
            group.targets = []
        for target in targets:
            self._group(target.runner.model).targets.append(target)
        self._groups = {
            model: group for model, group in self._groups.items() if group.targets
        }

    def update(self, queued_models: Sequence[str], now: timedelta) -> None:
        """Recompute all limits.

        :param queued_models: model of each queued online request.
        """
        for model, group in self._groups.items():
            group.update(queued_models.count(model), now)

    def batch_capacity(self, target: TargetState, now: timedelta) -> int:
        """Return how many more batch grants a target may have."""
        group = self._groups[target.runner.model]
        engine_queue = group.level.queued_in_targets
        batch = target.counts[WorkClass.batch]
        return min(
            group.limit - group.batch,
            self._target_limit(group, target, now) - batch,
            target.free + engine_queue,
        )

    def online_capacity(self, target: TargetState) -> int:
        """Return how many more online grants a target may have."""
        engine_queue = self._groups[target.runner.model].level.queued_in_targets
        if engine_queue == 0 and self._policies.grant_on_revoke:
            return target.free + target.revoking
        if engine_queue == 0:
            return target.free
        return target.usable_slots + engine_queue - target.counts[WorkClass.online]

    def excess(self, grants: GrantTable, now: timedelta) -> Iterator[LiveGrant]:
        """Yield the batch grants that exceed a limit, the youngest first.

        Revoking the youngest costs least, since resuming an item prefills its prompt
        and all its tokens again.
        """
        for group in self._groups.values():
            if not group.level.yields or group.unrevoked_batch == 0:
                continue
            cuts = self._cuts(group, now)
            if cuts or group.unrevoked_batch > group.limit:
                yield from _excess_of(group, grants.unrevoked_batch(), cuts)

    def record(self, target: TargetState, sample: OnlineSample, now: timedelta) -> None:
        """Record the latency of an online request."""
        level = self._groups[target.runner.model].level
        level.record(sample, target.counts[WorkClass.batch], now)

    def _group(self, model: str) -> ModelGroup:
        if model not in self._groups:
            level = BATCH_LEVELS[self._policies.batch_level](self._policies)
            self._groups[model] = ModelGroup(level)
        return self._groups[model]

    def _cuts(self, group: ModelGroup, now: timedelta) -> dict[str, int]:
        """Return how many batch grants each target has above its own limit."""
        over = {
            target.name: target.unrevoked_batch - self._target_limit(group, target, now)
            for target in group.targets
        }
        return {name: cut for name, cut in over.items() if cut > 0}

    def _target_limit(
        self, group: ModelGroup, target: TargetState, now: timedelta
    ) -> int:
        counts = TargetCounts(
            target.name,
            target.usable_slots,
            target.counts[WorkClass.batch],
        )
        limit = group.level.target_limit(counts, now)
        if not group.level.reduces_during_prefill or now >= target.prefill_until:
            return limit
        idle = target.usable_slots - target.counts[WorkClass.online]
        prefill_reserve = int(target.usable_slots * self._policies.prefill_reserve)
        return min(limit, max(0, idle - prefill_reserve))


def _excess_of(
    group: ModelGroup, unrevoked: Sequence[LiveGrant], cuts: dict[str, int]
) -> Iterator[LiveGrant]:
    over = group.unrevoked_batch - group.limit
    if over <= 0 and not cuts:
        return
    targets = {target.name: target for target in group.targets}
    for grant in unrevoked:
        if cuts.get(grant.target, 0) > 0:
            cuts[grant.target] -= 1
            over -= 1
            yield grant
    by_online_share = [grant for grant in unrevoked if not grant.revoked]
    by_online_share.sort(
        key=lambda grant: (
            targets[grant.target].utilization(WorkClass.online)
            if grant.target in targets
            else 0
        )
    )
    for grant in by_online_share:
        if over <= 0:
            return
        if grant.target in targets:
            over -= 1
            yield grant
