"""Policies that choose the target of an online request from the counts of all nodes.

Free slots in this data centre are preferred over free slots in other ones. The target
is drawn at random, weighted by its free slots: many nodes decide from counts that are
slightly stale, and would otherwise all choose the same target. When more requests are
expected to arrive than slots are free until the counts are renewed, the rest of them is
spread over all targets by their queues of online requests, since batch work there is
preempted. Once the queues of all targets together make a new request late, it is
refused, so that its caller can retry while others are served in time. Where targets
differ in speed, a slot is weighted by the speed of its target.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import TypeAlias

import msgspec

from chivespan.nodemessages import TargetEntry
from chivespan.registry import Registry

# If a smaller share of the local slots is free, other data centres are used as well.
LOCAL_SPARE_SHARE = 0.15
# Arrivals vary, and a target that gets too many at once keeps them waiting.
ARRIVALS_MARGIN = 5.0
# Exponent of the free slots in the draw of a target. With stale counts, a higher one
# would send the requests of all nodes to the same few targets.
EXPONENT_OF_EXACT_COUNTS = 2
EXPONENT_OF_STALE_COUNTS = 1


class Candidate(msgspec.Struct, frozen=True):
    """A target that a request may be sent to.

    A msgspec struct because many instances are created for each request.

    :param slots: slots of the target that may be used now.
    :param is_local: whether the target is in this data centre.
    :param speed: speed of the target relative to the median of its service.
    """

    entry: TargetEntry
    slots: int
    online: int
    batch: int
    is_local: bool
    speed: float = 1.0

    @property
    def free(self) -> int:
        """The number of free slots; negative if requests are queued.

        Batch items first use the slots that the target's health withholds: it is to get
        online requests beside them, which show sooner whether it is well.
        """
        withheld = self.entry.slots - self.slots
        return self.slots - self.online - max(0, self.batch - withheld)

    @property
    def capacity(self) -> float:
        """The slots of usual speed that serve as many requests as this target."""
        return self.slots * self.speed

    @property
    def summary(self) -> str:
        """The id, online and batch requests, slots and unusual speed, for log lines."""
        speed = "" if self.speed == 1 else f"x{self.speed:.2f}"
        return f"{self.entry.target_id}:{self.online}+{self.batch}/{self.slots}{speed}"

    def wait(self, service_time: timedelta) -> timedelta:
        """Return the expected time until a request that is sent now gets a slot.

        :param service_time: that of a target of usual speed.
        """
        ahead = max(0, self.online + 1 - self.slots)
        return service_time * (ahead / self.capacity)


@dataclass(frozen=True, slots=True)
class ChoiceInput:
    """Input of a target choice policy.

    :param longest_wait: longest wait for a slot after which a request is still on time.
    :param service_time: mean time for which a request uses a slot of usual speed.
    :param staleness: mean time until a request of another node is counted here.
    """

    candidates: Sequence[Candidate]
    longest_wait: timedelta
    service_time: timedelta
    staleness: timedelta
    random: Random

    def expected_arrivals(
        self, candidates: Sequence[Candidate], margin: float = ARRIVALS_MARGIN
    ) -> float:
        """Return how many requests for these targets may not be counted yet.

        By Little's law, as many arrive in a service time as are in progress.
        """
        running = sum(min(each.online, each.slots) * each.speed for each in candidates)
        return margin * running * (self.staleness / self.service_time)

    def is_overloaded(self) -> bool:
        """Return whether the queues make one more request late, wherever it is sent."""
        capacity = sum(each.slots * each.speed for each in self.candidates)
        queued = 1 + sum(each.online - each.slots for each in self.candidates)
        if not capacity:
            return True
        return self.service_time * (queued / capacity) > self.longest_wait


TargetChoice: TypeAlias = Callable[[ChoiceInput], Candidate | None]
TARGET_CHOICES: Registry[TargetChoice] = Registry("target choice")


@TARGET_CHOICES.register("shared_counts")
def choose_by_shared_counts(choice: ChoiceInput) -> Candidate | None:
    """Return a target by the request counts of all nodes; None to refuse."""
    if choice.is_overloaded():
        return None
    candidates = _prefer_local(choice)
    free_slots = [max(0, each.free) for each in candidates]
    free = sum(free_slots)
    arrivals = choice.expected_arrivals(candidates)
    beyond_free = max(0.0, arrivals - free)
    if choice.random.uniform(0, free + beyond_free) < free:
        exponent = EXPONENT_OF_STALE_COUNTS if arrivals else EXPONENT_OF_EXACT_COUNTS
        weights = [
            slots**exponent * each.speed
            for slots, each in zip(free_slots, candidates, strict=True)
        ]
        return _draw(candidates, choice.random, weights)
    extra = beyond_free / sum(each.speed for each in candidates)
    weights = [
        max(0.0, each.slots - each.online + extra * each.speed) for each in candidates
    ]
    return _draw(candidates, choice.random, weights) or _shortest_queue(choice)


def _prefer_local(choice: ChoiceInput) -> Sequence[Candidate]:
    """Return the local targets if enough local slots are free, otherwise all.

    The last free slots are likely to be taken by requests that aren't counted yet.
    """
    local = [each for each in choice.candidates if each.is_local]
    slots = sum(each.slots for each in local)
    free = sum(max(0, each.free) for each in local)
    needed = max(slots * LOCAL_SPARE_SHARE, choice.expected_arrivals(local))
    return local if free and free >= needed else choice.candidates


def _draw(
    candidates: Sequence[Candidate], random: Random, weights: Sequence[float]
) -> Candidate | None:
    """Return a random candidate by weight; None if all weights are zero."""
    return random.choices(candidates, weights)[0] if any(weights) else None


def _shortest_queue(choice: ChoiceInput) -> Candidate | None:
    """Return the target with the shortest queue, if a request there is on time."""
    on_time = [
        each
        for each in choice.candidates
        if each.wait(choice.service_time) <= choice.longest_wait
    ]
    return _highest_scored(on_time, choice.random, _room)


def _room(candidate: Candidate) -> float:
    """Return the free slots of a target, or what is queued there as a negative number.

    A queue counts less where it is served faster.
    """
    room = candidate.slots - candidate.online
    return room * candidate.speed if room > 0 else room / candidate.speed


@TARGET_CHOICES.register("least_in_progress")
def choose_least_in_progress(choice: ChoiceInput) -> Candidate | None:
    """Return the target with the fewest requests in progress; never refuse."""
    candidates = choice.candidates
    return _highest_scored(
        candidates, choice.random, lambda candidate: -candidate.online - candidate.batch
    )


def _highest_scored(
    candidates: Sequence[Candidate], random: Random, score: Callable[[Candidate], float]
) -> Candidate | None:
    """Return a random candidate among those with the highest score."""
    if not candidates:
        return None
    best = max(score(candidate) for candidate in candidates)
    return random.choice([each for each in candidates if score(each) == best])
