"""Chooses the target for an online request, or refuses the request.

A policy chooses among the targets that are healthy and within their rate limits.
Requests of customers above their fair share are refused at shorter queues, those of
customers below it at longer ones. A target whose rate limit leaves this node no request
now is left out.
"""

from collections.abc import Callable, Container, Iterator, Mapping, Sequence
from datetime import timedelta
from functools import partial
from random import Random

import msgspec

from chivespan.clock import Clock
from chivespan.customers.fairshare import USUAL_WAIT, WaitShare
from chivespan.eventtiming import EventTiming
from chivespan.loadtable import LoadTable
from chivespan.nodemessages import TargetEntry, TargetRun
from chivespan.overload import OverloadEpisodes
from chivespan.ratelimits import StatedLimit
from chivespan.returnschedule import ExpectedRoom, ReturnSchedule
from chivespan.sendlimiter import SendLimiter
from chivespan.slotusage import SlotUsage
from chivespan.targetchoices import Candidate, ChoiceInput, TargetChoice
from chivespan.targethealth import HealthState, TargetHealth
from chivespan.targetset import TargetSet
from chivespan.targetsilence import SilenceDetector
from chivespan.targetspeeds import USUAL_SPEED

# Share of the objective that a request may wait on average. The rest is left for its
# first event, and because some queues are longer than the average.
WAIT_SHARE_OF_OBJECTIVE = 0.6
# Share of a service's targets that reports of other nodes leave in use. Several nodes
# whose own links have failed could otherwise exclude most of them.
MIN_SHARE_LEFT_BY_REPORTS = 0.5
# In multiples of the route's objective. A target with a free slot that sends nothing
# for so long isn't expected to answer.
HEAD_TIMEOUT_OBJECTIVES = 1.5
# Customers below their share would otherwise be refused like those that filled the
# queues. A longer wait makes more requests late.
WAIT_SHARE_BELOW_FAIR_SHARE = 0.72
RETRY_AFTER_SPREAD = 0.4
INITIAL_SERVICE_TIME = timedelta(milliseconds=700)
SERVICE_TIME_SMOOTHING = 0.05
# Share of the capacity that callers who return are expected to get in any case.
MIN_SHARE_FOR_RETURNS = 0.1
NO_TARGET_RETRY_AFTER = timedelta(milliseconds=500)
SECOND = timedelta(seconds=1)


def _share_of_objective(share: WaitShare) -> float:
    """Return the share of its objective that a request may wait on average."""
    if share.is_below:
        return WAIT_SHARE_BELOW_FAIR_SHARE
    return WAIT_SHARE_OF_OBJECTIVE * share.fraction


def _without(
    candidates: Sequence[Candidate], target_ids: Container[str]
) -> list[Candidate]:
    return [each for each in candidates if each.entry.target_id not in target_ids]


class TargetPicker:
    """Picks targets for this node's online requests.

    :param choose: the target choice policy.
    :param staleness: returns the mean time until a request of another node is counted.
    :param count_nodes: returns the number of nodes that callers send requests to.
    :ivar limits: the rate limits of targets.
    :ivar limiter: keeps what is sent within the rate limits of targets.
    """

    def __init__(
        self,
        targets: TargetSet,
        load_table: LoadTable,
        data_centre: str,
        clock: Clock,
        silence: SilenceDetector,
        choose: TargetChoice,
        staleness: Callable[[], timedelta],
        count_nodes: Callable[[], int] = lambda: 1,
    ) -> None:
        self._targets = targets
        self._load_table = load_table
        self._data_centre = data_centre
        self._clock = clock
        self._silence = silence
        self._overload = OverloadEpisodes(clock)
        self._choose = choose
        self._staleness = staleness
        self._count_nodes = count_nodes
        self._random = Random()
        self._slot_usage = SlotUsage(clock)
        self._returns = ReturnSchedule(targets.returns, clock, self._random)
        self.limits = targets.limits
        self.limiter = SendLimiter(self.limits, targets.recent_sends, self._random)
        self._health: dict[str, TargetHealth] = {}
        self._service_time = INITIAL_SERVICE_TIME

    def pick(
        self,
        service: str,
        objective: timedelta,
        excluded: Container[str] = (),
        share: WaitShare = USUAL_WAIT,
    ) -> Candidate | None:
        """Return the target for one request; None to refuse it.

        :param objective: time within which the first event is due.
        :param excluded: ids of targets that the request was already sent to.
        :param share: how long the request may wait by its customer's share.
        """
        candidates = [
            candidate
            for candidate in self.sendable(service)
            if candidate.entry.target_id not in excluded
        ]
        if not excluded:
            self._slot_usage.record(service, candidates)
        longest_wait = objective * _share_of_objective(share)
        while True:
            choice = ChoiceInput(
                candidates,
                longest_wait,
                self._service_time,
                self._staleness(),
                self._random,
            )
            chosen = self._choose(choice)
            if chosen is None or self._admits(chosen, choice):
                return chosen
            candidates.remove(chosen)

    def _admits(self, chosen: Candidate, choice: ChoiceInput) -> bool:
        """Return whether the rate limit of a chosen target allows the request."""
        if self.limiter.room(chosen.entry) is None:
            return True
        alike = sum(each.free > 0 for each in choice.candidates) or 1
        arrivals = choice.expected_arrivals(choice.candidates, margin=1)
        expected = arrivals / alike
        return self.limiter.admits(chosen.entry, expected, choice.staleness)

    def sendable(self, service: str) -> list[Candidate]:
        """Return the candidates, without those whose rate limits are used up.

        Of the others with a limit, only as many slots are counted as it fills, and as
        many of these are free as there is room for requests now.
        """
        candidates = self.candidates(service)
        if not self.limits.in_force:
            return candidates
        return [
            self._limited(candidate)
            for candidate in candidates
            if not self.limiter.is_used_up(candidate.entry)
        ]

    def online_slots(self, candidate: Candidate) -> int:
        """Return how many slots online requests may fill at a target.

        Of one with a rate limit, as many as its rate fills, by Little's law.
        """
        if self.limits.limit(candidate.entry) is None:
            return candidate.slots
        rate = self.limiter.rate(candidate.entry)
        service_time = self._service_time / candidate.speed
        filled = round(rate * service_time.total_seconds())
        return max(1, min(candidate.slots, filled))

    def _limited(self, candidate: Candidate) -> Candidate:
        """Return a candidate; one with a limit with the slots that its rate fills."""
        room = self.limiter.room(candidate.entry)
        if room is None:
            return candidate
        slots = self.online_slots(candidate)
        free = min(candidate.free, max(1, int(room)))
        return msgspec.structs.replace(
            candidate, slots=slots, online=slots - free, batch=0
        )

    def candidates(self, service: str) -> list[Candidate]:
        """Return the targets of a service that may be sent requests.

        Silent targets are left out unless all healthy targets seem silent. If too few
        would be left (``MIN_SHARE_LEFT_BY_REPORTS``), reports of other nodes are
        ignored.
        """
        now = self._clock.monotonic()
        healthy = list(self._healthy(service, now))
        silent = self._silence.all_silent()
        if not silent:
            return healthy
        left = _without(healthy, silent)
        if len(left) < len(healthy) * MIN_SHARE_LEFT_BY_REPORTS:
            left = _without(healthy, self._silence.own_silent())
        # If all targets seem silent, this node itself was probably delayed.
        return left or healthy

    def suggest_retry_after(
        self, service: str, share: WaitShare = USUAL_WAIT
    ) -> timedelta:
        """Return the delay after which a refused request should be retried.

        By then the current queues are served, the overload has probably ended, and
        fewer callers were told to return than there are slots for. Callers of customers
        above their share return after those of other customers.
        """
        self._overload.record_refusal()
        self._slot_usage.record_refusal(service)
        wait = self._expected_wait(service)
        if wait is None:
            spread = self._random.uniform(1, 1 + RETRY_AFTER_SPREAD)
            return NO_TARGET_RETRY_AFTER * spread
        room = ExpectedRoom(
            max(wait, self._overload.expected_remaining()),
            self._returns_per_s(service),
            self._count_nodes(),
        )
        return self._returns.next_return(service, room, share.is_above)

    def promised_returns(self, service: str) -> int:
        """Return how many refused callers are known to return within 2 s."""
        known = self._targets.returns.known(service)
        return known.own.total() + known.others.total()

    def _returns_per_s(self, service: str) -> float:
        """Return how many callers who return get a slot each second."""
        per_s = sum(map(self._served_per_s, self.candidates(service)))
        return per_s * max(MIN_SHARE_FOR_RETURNS, 1 - self._slot_usage.share(service))

    def _served_per_s(self, candidate: Candidate) -> float:
        """Return how many requests a target serves each second.

        Slots become free at the rate of the capacity by the service time (Little's
        law), but at no more than the target's rate limit.
        """
        by_slots = candidate.capacity * (SECOND / self._service_time)
        if self.limits.limit(candidate.entry) is None:
            return by_slots
        return min(by_slots, self.limiter.rate(candidate.entry))

    def _expected_wait(self, service: str) -> timedelta | None:
        """Return the time until a request gets a slot; None if there is no target."""
        queues = self.sendable(service)
        limited = self._wait_for_limits(service)
        capacity = sum(candidate.capacity for candidate in queues)
        if not capacity:
            return limited
        waiting = sum(max(0, -candidate.free) for candidate in queues)
        queued = self._service_time * ((waiting + 1) / capacity)
        return queued if limited is None else min(queued, limited)

    def _wait_for_limits(self, service: str) -> timedelta | None:
        """Return the mean time between requests that the limited targets accept."""
        rate = sum(self.limiter.rate(each.entry) for each in self.candidates(service))
        return SECOND / rate if rate else None

    def answer_due(self, candidate: Candidate, objective: timedelta) -> timedelta:
        """Return the monotonic time by which a target that works begins to answer.

        A request waits for its slot for at most about twice the mean, since the
        requests ahead may all have just begun.

        :param objective: time within which the first event is due.
        """
        wait = 2 * candidate.wait(self._service_time)
        return self._clock.monotonic() + wait + objective * HEAD_TIMEOUT_OBJECTIVES

    def record_success(self, target_id: str) -> None:
        """Record a complete response of a target."""
        self._health_of(target_id).record_success()

    def record_remote_success(self, target_id: str) -> None:
        """Record that a target completed an item that another node ran."""
        health = self._health.get(target_id)
        if health is not None:
            health.record_remote_success()

    def record_leaving(self, entry: TargetEntry) -> None:
        """Record that a target announced its end in a response to this node."""
        run = TargetRun(target_id=entry.target_id, started_ms=entry.started_ms)
        self._targets.record_leaving(run, "response", observed_here=True)

    def record_limit(self, entry: TargetEntry, stated: StatedLimit | None) -> None:
        """Record what a response to this node says of the target's rate limit."""
        if stated is not None:
            self._targets.limits.record(entry, stated)

    def record_service_time(
        self, took: timedelta, entry: TargetEntry | None = None
    ) -> None:
        """Record how long an online request used its slot, without its wait for it.

        :param entry: the request's target; None if its speed is the usual one.
        """
        if entry is not None:
            took *= self._speeds(entry.service).get(entry.target_id, USUAL_SPEED)
        change = (took - self._service_time) * SERVICE_TIME_SMOOTHING
        self._service_time += change

    def record_event_time(self, entry: TargetEntry | None, timing: EventTiming) -> None:
        """Record how fast a target produced the events of a complete response."""
        event_time = timing.event_time
        if entry is not None and event_time is not None:
            self._targets.speeds.record(entry, event_time)

    def record_failure(self, target_id: str) -> bool:
        """Record a failure of a target; return whether this ejected it."""
        health = self._health_of(target_id)
        was_ejected = health.state is HealthState.EJECTED
        health.record_failure(self._clock.monotonic())
        return health.state is HealthState.EJECTED and not was_ejected

    def record_unreachable(self, target_id: str) -> None:
        """Record that no connection to a target could be made."""
        self._health_of(target_id).record_unreachable(self._clock.monotonic())
        self._silence.record_unreachable(target_id)

    def _healthy(self, service: str, now: timedelta) -> Iterator[Candidate]:
        """Yield the targets of a service with usable slots."""
        load_table = self._load_table
        speeds = self._speeds(service)
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
                    speeds.get(target_id, USUAL_SPEED) if speeds else USUAL_SPEED,
                )

    def _speeds(self, service: str) -> Mapping[str, float]:
        """Return the speeds of a service's targets that aren't the usual one, by id."""
        entries = partial(self._targets.usable, service)
        return self._targets.speeds.of_service(service, entries)

    def _health_of(self, target_id: str) -> TargetHealth:
        return self._health.setdefault(target_id, TargetHealth())
