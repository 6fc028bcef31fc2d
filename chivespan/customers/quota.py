"""Admits the requests of customers within their quotas, over all nodes together."""

from collections.abc import Callable
from datetime import timedelta
from functools import partial
from random import Random

from chivespan.clock import Clock
from chivespan.customers.customer import Customer
from chivespan.customers.dampedgate import DampedGate
from chivespan.customers.quotausage import QuotaUsage, level_at_rate
from chivespan.customers.retryschedule import MAX_RETRY_AFTER, RetrySchedule
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.logs import logger

# Share of the slack by which levels may exceed the burst. It keeps errors of the
# levels from refusing requests that are within the quota.
USED_SLACK = 0.25
# For this time after its start, a node admits no large bursts. The nodes of a fleet
# that were all killed don't know which bursts they admitted just before.
CAUTIOUS_TIME = timedelta(seconds=5)
# Burst in that time, in seconds of the customer's rate.
CAUTIOUS_BURST_S = 0.25
# Longer than reports take.
DAMPING_TIME = timedelta(seconds=0.3)
# Requests. The room of low rates changes by a large part with each request.
MIN_DAMPING_ROOM = 3.0

_log = logger("quota")


class Admission:
    """A request that was admitted.

    :param refund: takes it out of the count; None if it was not counted.
    """

    __slots__ = ("_refund",)

    def __init__(self, refund: Callable[[], None] | None = None) -> None:
        self._refund = refund

    def refund(self) -> None:
        """Take the request out of the count, since it has not run and never will."""
        refund, self._refund = self._refund, None
        if refund is not None:
            refund()


# Of requests without a quota.
UNCOUNTED = Admission()


class QuotaLimiter:
    """Decides whether a customer's request may be sent now.

    :param share: returns the part of each quota that is used by the nodes in touch.
    :param slack: requests by which a quota may be exceeded.
    """

    def __init__(
        self,
        usage: QuotaUsage,
        share: Callable[[], float],
        slack: float,
        clock: Clock,
        random: Random,
    ) -> None:
        self._usage = usage
        self._share = share
        self._slack = slack
        self._clock = clock
        self._random = random
        self._cautious_until = clock.monotonic() + CAUTIOUS_TIME
        self._gate = DampedGate(clock, random)
        self._retry_schedule = RetrySchedule(clock, random)

    def admit(self, customer: Customer | None, request_id: str = "") -> Admission:
        """Admit and count a request.

        :param request_id: id for the log line of a refusal.
        :raises ChivespanError: ``quota_exceeded`` if the quota is used up.
        """
        if customer is None or not customer.has_quota:
            return UNCOUNTED
        share = self._share()
        level = self._usage.level(customer)
        zone = share * damping_room(customer)
        limit = share * self._limit(customer) + zone
        reserve = self._usage.reserve(customer, limit)
        room = limit - reserve.requests - level
        zone *= 1 - reserve.part
        if not self._gate.admits(customer.name, room / zone if zone else 0.0):
            self._log_refusal(customer, request_id, level, share, reserve.requests)
            raise self._refusal(customer, max(0.0, zone - room), share)
        self._usage.record(customer)
        return Admission(partial(self._usage.refund, customer))

    def _limit(self, customer: Customer) -> float:
        """Return the fleet's level up to which requests are admitted."""
        burst = min(customer.burst, customer.rate_per_s * self._longest_burst_s())
        return burst + level_at_rate(customer) + self._slack * USED_SLACK

    def _longest_burst_s(self) -> float:
        """Return the largest burst, in seconds of the customer's rate.

        It grows slowly. If all nodes used their bursts at the same moment, they would
        admit too much before they hear of each other.
        """
        since = self._clock.monotonic() - self._cautious_until
        return CAUTIOUS_BURST_S + max(0.0, since.total_seconds())

    def _refusal(
        self, customer: Customer, missing: float, share: float
    ) -> ChivespanError:
        """Return the error for a refused caller.

        :param missing: by how much the level must fall before there is room.
        """
        rate = customer.rate_per_s * share
        retry_after = self._retry_schedule.next_retry_after(
            customer.name,
            _time_to_drain(missing, rate),
            rate * self._usage.own_share(customer),
        )
        reason = f"the quota of {customer.rate_per_s:g} requests per second is used up"
        return ChivespanError(ErrorKind.QUOTA_EXCEEDED, reason, retry_after=retry_after)

    def _log_refusal(
        self,
        customer: Customer,
        request_id: str,
        level: float,
        share: float,
        reserved: float,
    ) -> None:
        write = partial(
            self._write_refusal, customer, request_id, level, share, reserved
        )
        self._retry_schedule.log(customer.name, write)

    def _write_refusal(
        self,
        customer: Customer,
        request_id: str,
        level: float,
        share: float,
        reserved: float,
        not_logged: int,
    ) -> None:
        _log.info(
            "quota_exceeded",
            request=request_id,
            customer=customer.name,
            rate_per_s=customer.rate_per_s,
            burst=customer.burst,
            level=round(level, 1),
            share=round(share, 3),
            reserved=round(reserved, 1),
            oldest_report_ms=round(
                self._usage.report_age(customer) / timedelta(milliseconds=1)
            ),
            not_logged=not_logged,
        )


def damping_room(customer: Customer) -> float:
    """Return the room below which ever fewer requests are admitted."""
    by_rate = customer.rate_per_s * DAMPING_TIME.total_seconds()
    return max(MIN_DAMPING_ROOM, by_rate)


def _time_to_drain(level: float, per_s: float) -> timedelta:
    """Return the time in which a level drains, at most the longest time to return."""
    longest_s = MAX_RETRY_AFTER.total_seconds()
    return timedelta(seconds=min(longest_s, level / max(per_s, level / longest_s)))
