"""Policies that choose a request's target by grant counts, reports and prefix hints.

Load reports lag and cache events have gaps, so by default a prefix hint is only a
small bonus or a tie-breaker next to the exact counts.
"""

import random
from collections import OrderedDict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from chivespan.messages import GrantRequest, WorkClass
from chivespan.registry import Registry
from chivespan.targetstate import TargetState

PREFIXES_PER_TARGET = 48
PREFIX_HIT_REQUESTS = 3


class PrefixHints:
    """Bounded LRU record of the prompt prefixes that each target processed recently."""

    def __init__(self) -> None:
        self._prefixes: dict[str, OrderedDict[int, None]] = {}

    def record(self, prefix_hash: int, target: str) -> None:
        """Record that a target has, or will soon have, a prefix in its cache."""
        if prefix_hash == 0:
            return
        prefixes = self._prefixes.setdefault(target, OrderedDict())
        prefixes[prefix_hash] = None
        prefixes.move_to_end(prefix_hash)
        if len(prefixes) > PREFIXES_PER_TARGET:
            prefixes.popitem(last=False)

    def forget(self, prefix_hash: int, target: str) -> None:
        """Record that a target evicted a prefix from its cache."""
        self._prefixes.get(target, OrderedDict()).pop(prefix_hash, None)

    def retain_targets(self, names: Collection[str]) -> None:
        """Drop the hints for all targets except those named."""
        for removed in self._prefixes.keys() - names:
            del self._prefixes[removed]

    def points_to(self, prefix_hash: int, target: str) -> bool:
        """Return whether a target probably has a prefix in its cache."""
        return prefix_hash in self._prefixes.get(target, ())


@dataclass(frozen=True, slots=True)
class ChoiceView:
    """A request, its eligible targets, and the prefix hints."""

    request: GrantRequest
    targets: Sequence[TargetState]
    hints: PrefixHints

    def hinted(self, target: TargetState) -> bool:
        """Return whether a target probably has the request's prefix in its cache."""
        return self.hints.points_to(self.request.prefix_hash, target.name)


TargetChoice: TypeAlias = Callable[[ChoiceView], TargetState]
TARGET_CHOICES: Registry[TargetChoice] = Registry("target choice")


@TARGET_CHOICES.register("counts")
def by_counts(view: ChoiceView) -> TargetState:
    """Choose the least loaded target by counts; hints and reported load break ties.

    For online requests only online work counts, since batch can be preempted. Batch
    avoids targets with online work.
    """
    if view.request.work_class is WorkClass.batch:
        return _for_batch(view)
    return min(
        view.targets,
        key=lambda target: (
            target.utilization(WorkClass.online),
            -target.free,
            not view.hinted(target),
            target.reported_load,
        ),
    )


@TARGET_CHOICES.register("heads_near_counts")
def by_counts_with_prefix_bonus(view: ChoiceView) -> TargetState:
    """Choose by counts, but accept a few more online requests for a cached prefix.

    A cached prefix saves a whole step, while each additional request lengthens a step
    only by a small fraction. Batch is placed by counts.
    """
    if view.request.work_class is WorkClass.batch:
        return _for_batch(view)
    return min(
        view.targets,
        key=lambda target: (
            _online_load_with_prefill(view, target),
            -target.free,
            target.reported_load,
        ),
    )


def _online_load_with_prefill(view: ChoiceView, target: TargetState) -> float:
    prefill_cost = 0 if view.hinted(target) else PREFIX_HIT_REQUESTS
    requests = target.counts[WorkClass.online] + prefill_cost
    return requests / max(1, target.runner.slots)


def _for_batch(view: ChoiceView) -> TargetState:
    return min(
        view.targets,
        key=lambda target: (
            target.used / max(1, target.runner.slots),
            target.utilization(WorkClass.online),
            not view.hinted(target),
            target.reported_load,
        ),
    )


@TARGET_CHOICES.register("reported")
def by_reported_load(view: ChoiceView) -> TargetState:
    """Choose by the engines' lagging reports alone; a baseline for comparison."""
    return min(view.targets, key=lambda target: target.reported_load)


@TARGET_CHOICES.register("hints_first")
def by_hints(view: ChoiceView) -> TargetState:
    """Prefer prefix hints over counts; a baseline for comparison."""
    return min(view.targets, key=lambda target: (not view.hinted(target), -target.free))


@TARGET_CHOICES.register("random")
def by_random(view: ChoiceView) -> TargetState:
    """Choose a random target; a baseline for comparison."""
    return random.choice(view.targets)
