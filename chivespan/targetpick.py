"""Which target an online request goes to, or that it is refused.

Free slots of this data centre come first, then free slots elsewhere. Among them one is
drawn, the freer the likelier: many nodes decide on counts that are some time old, and
would all meet at the freest. When no slot is free, a request may wait at the target
with the shortest queue of online requests: batch there makes room. A request that would
be late by then is refused, so that it can come back while others are served in time.
"""

from collections.abc import Callable, Container, Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import TypeAlias

import msgspec

from chivespan.clock import Clock
from chivespan.loadtable import LoadTable
from chivespan.nodemessages import TargetEntry
from chivespan.overload import OverloadEpisodes
from chivespan.registry import Registry
from chivespan.targethealth import HealthState, TargetHealth
from chivespan.targetset import TargetSet
from chivespan.targetsilence import SilenceDetector

# Share of the objective that a request may wait; the rest is for its first event.
WAIT_SHARE_OF_OBJECTIVE = 0.75
# With less of the slots of this data centre free, others are used as well.
NEAR_SPARE_SHARE = 0.15
RETURN_SPREAD = 0.4
FIRST_SERVICE_TIME = timedelta(milliseconds=700)
SERVICE_TIME_SMOOTHING = 0.05
SHORTEST_RETURN = timedelta(milliseconds=100)
LONGEST_RETURN = timedelta(seconds=2)
NO_TARGET_RETURN = timedelta(milliseconds=500)


class Candidate(msgspec.Struct, frozen=True):
    """One target that a request may go to; many are made for each request.

    :param slots: how many of its slots may be used now.
    """

    entry: TargetEntry
    slots: int
    online: int
    batch: int
    is_local: bool

    @property
    def free(self) -> int:
        """Slots that nothing uses."""
        return self.slots - self.online - self.batch

    @property
    def summary(self) -> str:
        """What uses it, for log lines: id, online and batch requests, slots."""
        return f"{self.entry.target_id}:{self.online}+{self.batch}/{self.slots}"

    def wait(self, service_time: timedelta) -> timedelta:
        """Return how long a request that is sent now waits for a slot."""
        ahead = max(0, self.online + 1 - self.slots)
        return service_time * (ahead / self.slots)


@dataclass(frozen=True, slots=True)
class Choice:
    """What a choice of a target goes by.

    :param longest_wait: a request that waits longer will be late.
    :param service_time: how long a target's slot is taken by a request.
    """

    candidates: Sequence[Candidate]
    longest_wait: timedelta
    service_time: timedelta
    random: Random


TargetChoice: TypeAlias = Callable[[Choice], Candidate | None]
TARGET_CHOICES: Registry[TargetChoice] = Registry("target choice")


@TARGET_CHOICES.register("shared_counts")
def choose_by_shared_counts(choice: Choice) -> Candidate | None:
    """Return the best target by what all nodes have in progress; None to refuse."""
    free = [candidate for candidate in choice.candidates if candidate.free > 0]
    if free:
        return _drawn_by_free_slots(_near_if_enough(choice, free), choice.random)
    short = [
        candidate
        for candidate in choice.candidates
        if candidate.wait(choice.service_time) <= choice.longest_wait
    ]
    return _most(short, choice.random, lambda each: each.slots - each.online)


def _near_if_enough(choice: Choice, free: list[Candidate]) -> list[Candidate]:
    """Return the free targets here while a fair part of the slots here is free.

    The last ones are likely to be taken by requests that aren't in the counts yet.
    """
    near = [candidate for candidate in free if candidate.is_local]
    slots = sum(
        candidate.slots for candidate in choice.candidates if candidate.is_local
    )
    spare = sum(candidate.free for candidate in near)
    return near if near and spare >= slots * NEAR_SPARE_SHARE else free


def _drawn_by_free_slots(candidates: Sequence[Candidate], random: Random) -> Candidate:
    """Return one of the candidates, drawn by the squares of their free slots."""
    weights = [candidate.free**2 for candidate in candidates]
    return random.choices(candidates, weights)[0]


@TARGET_CHOICES.register("least_in_progress")
def choose_least_in_progress(choice: Choice) -> Candidate | None:
    """Return the target with the fewest requests; never refuses."""
    candidates = choice.candidates
    return _most(candidates, choice.random, lambda each: -each.online - each.batch)


def _most(
    candidates: Sequence[Candidate], random: Random, score: Callable[[Candidate], int]
) -> Candidate | None:
    """Return one of the candidates with the highest score."""
    if not candidates:
        return None
    best = max(score(candidate) for candidate in candidates)
    return random.choice([each for each in candidates if score(each) == best])


class TargetPicker:
    """Picks targets for this node's online requests.

    :param choose: the policy that decides.
    """

    def __init__(
        self,
        targets: TargetSet,
        load_table: LoadTable,
        data_centre: str,
        clock: Clock,
        silence: SilenceDetector,
        choose: TargetChoice,
    ) -> None:
        self._targets = targets
        self._load_table = load_table
        self._data_centre = data_centre
        self._clock = clock
        self._silence = silence
        self._overload = OverloadEpisodes(clock)
        self._choose = choose
        self._random = Random()
        self._health: dict[str, TargetHealth] = {}
        self._service_time = FIRST_SERVICE_TIME

    def pick(
        self, service: str, objective: timedelta, excluded: Container[str] = ()
    ) -> Candidate | None:
        """Return the target for one request; None to refuse it.

        :param objective: time within which the first event should be there.
        :param excluded: ids of targets that have had it already.
        """
        candidates = [
            candidate
            for candidate in self.candidates(service)
            if candidate.entry.target_id not in excluded
        ]
        choice = Choice(
            candidates,
            objective * WAIT_SHARE_OF_OBJECTIVE,
            self._service_time,
            self._random,
        )
        return self._choose(choice)

    def candidates(self, service: str) -> list[Candidate]:
        """Return all targets of a service that may be given work."""
        now = self._clock.monotonic()
        healthy = list(self._healthy(service, now))
        silent = self._silence.all_silent()
        if not silent:
            return healthy
        # When all seem silent, it is more likely this node that was held up.
        return [
            candidate
            for candidate in healthy
            if candidate.entry.target_id not in silent
        ] or healthy

    def suggest_retry_after(self, service: str) -> timedelta:
        """Return when a refused request has a chance, spread over callers.

        That is when the queues of now are served and the overload is likely over.
        """
        self._overload.record_refusal()
        candidates = self.candidates(service)
        slots = sum(candidate.slots for candidate in candidates)
        if not slots:
            return NO_TARGET_RETURN * self._random.uniform(1, 1 + RETURN_SPREAD)
        waiting = sum(max(0, -candidate.free) for candidate in candidates)
        wait = self._service_time * ((waiting + 1) / slots)
        wait = max(wait, self._overload.expected_remaining(), SHORTEST_RETURN)
        wait = min(wait, LONGEST_RETURN)
        return wait * self._random.uniform(1, 1 + RETURN_SPREAD)

    def record_success(self, target_id: str) -> None:
        """Note a whole answer of a target."""
        self._health_of(target_id).record_success()

    def record_service_time(self, took: timedelta) -> None:
        """Note how long an online request took its slot, without its wait for it."""
        change = (took - self._service_time) * SERVICE_TIME_SMOOTHING
        self._service_time += change

    def record_failure(self, target_id: str) -> bool:
        """Note a failure of a target; return whether it is left out from now on."""
        health = self._health_of(target_id)
        was_left_out = health.state is HealthState.EJECTED
        health.record_failure(self._clock.monotonic())
        return health.state is HealthState.EJECTED and not was_left_out

    def record_unreachable(self, target_id: str) -> None:
        """Note that a target took no connection."""
        self._health_of(target_id).record_unreachable(self._clock.monotonic())

    def _healthy(self, service: str, now: timedelta) -> Iterator[Candidate]:
        """Yield the targets that have slots to use."""
        load_table = self._load_table
        for entry in self._targets.usable(service):
            target_id = entry.target_id
            health = self._health.get(target_id)
            slots = entry.slots if health is None else health.slots(entry.slots, now)
            if slots > 0:
                yield Candidate(
                    entry,
                    slots,
                    load_table.online(target_id),
                    load_table.batch(target_id),
                    entry.data_centre == self._data_centre,
                )

    def _health_of(self, target_id: str) -> TargetHealth:
        return self._health.setdefault(target_id, TargetHealth())
