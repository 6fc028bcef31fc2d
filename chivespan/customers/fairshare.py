"""Decides whose requests are refused first when targets have too few free slots.

Callers choose nodes at random, so a node's own recent requests are a sample of the
fleet's, and each node decides by that sample alone. A customer's fair share is max-min:
what it asks for, up to a level that is the same for all customers in proportion to
their weights. The level is chosen such that the shares add up to nearly all that is
admitted.

A request of a customer above its share may wait for a slot only a fraction of the usual
time. It is therefore refused while queues are still short enough to admit the others,
and admitted as always when a slot is free. Since refusals lower what the customer has
had, its fraction grows back until it has its share. A customer that has recently been
served far less often than all customers together may wait the usual time as well.

A sample is small: its count differs from the expected one by chance. A customer counts
as above its share only if the lower bound of its expected count is above it. The bound
lies one standard deviation below the count and is less than 1 for counts up to 2, and
no share counts as less than 1, so one or two recent requests never put a customer
above. Beyond that, the fraction falls with the excess, so an error by chance costs
little.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import accumulate
from math import exp, inf, log, sqrt

from chivespan.clock import Clock
from chivespan.customers.customer import Customer

# Mean age of what is counted. A longer one makes larger samples, but refuses a customer
# for longer because of what it had while slots were free.
MEMORY = timedelta(seconds=10)
# Mean age of the requests by which scarcity is measured; bursts last for seconds.
SCARCITY_MEMORY = timedelta(seconds=2)
# The level costs a pass over all counted customers.
RENEWAL_INTERVAL = timedelta(milliseconds=250)
# Customers with lower counts are dropped: those idle for three times the memory.
MIN_COUNT = 0.05
MAX_CUSTOMERS = 2048
# Customers that ask for more than their share are admitted up to it. If the shares were
# all that is admitted, there would always be a node that lets these customers fill the
# queues, and the others would be refused as often.
ASSIGNED_SHARE = 0.9
# The square root of a Poisson count has a standard deviation of a half.
DEVIATION_OF_ROOT = 0.5
DEVIATIONS = 1.0
# In requests. Smaller fair shares count as this many.
MIN_FAIR_REQUESTS = 1.0
# Each customer is to be served at least a quarter as often as all together. The rest is
# a margin for what is refused after the decision here.
MIN_SERVED_SHARE = 0.35
MIN_FRACTION = 0.1
# At 1.4 times its share, the most urgent customer may wait for half of the usual time.
STEEPNESS = 2.0
# Less urgent priorities count as this one; otherwise a customer's fraction would fall
# to the minimum at the slightest excess.
MAX_PRIORITY = 4


@dataclass(frozen=True, slots=True)
class WaitShare:
    """How long a request may wait for a slot, by its customer's share.

    :param fraction: fraction of the usual longest wait; 1.0 unless the customer is
        above its share.
    :param is_below: whether the customer has had less than its share by more than
        chance.
    """

    fraction: float = 1.0
    is_below: bool = False

    @property
    def is_above(self) -> bool:
        """Whether the customer is above its share."""
        return self.fraction < 1.0


USUAL_WAIT = WaitShare()


@dataclass(slots=True)
class DecayingUse:
    """Decaying counts of requests."""

    asked: float = 0.0
    admitted: float = 0.0

    @property
    def served(self) -> float:
        """The share of the requests that was admitted; 1 if there are too few."""
        return min(1.0, self.admitted / self.asked) if self.asked >= 1 else 1.0

    def add_admitted(self, change: int) -> None:
        """Change the count of admitted requests."""
        self.admitted = max(0.0, self.admitted + change)

    def decay(self, kept: float) -> None:
        """Reduce the counts to a share of theirs."""
        self.asked *= kept
        self.admitted *= kept


@dataclass(slots=True)
class CustomerUse(DecayingUse):
    """Decaying counts of a customer's requests.

    :ivar recent: counts that decay faster, by which scarcity is measured.
    """

    weight: float = 1.0
    recent: DecayingUse = field(default_factory=DecayingUse)


class FairShares:
    """Recent requests for targets that all serve the same requests, by customer."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._uses: dict[str, CustomerUse] = {}
        self._recent = DecayingUse()
        self._renewed = clock.monotonic()
        self._served = 1.0
        self._level = inf

    def __len__(self) -> int:
        """Return the number of customers that are counted."""
        return len(self._uses)

    def record_asked(self, customer: Customer) -> None:
        """Count a request that has arrived, whether or not it is admitted."""
        self._renew()
        use = self._uses.get(customer.name)
        if use is None:
            if len(self._uses) >= MAX_CUSTOMERS:
                self._drop_smallest()
            use = self._uses[customer.name] = CustomerUse()
        use.weight = customer.rate_per_s if customer.has_quota else 1.0
        for counts in (use, use.recent, self._recent):
            counts.asked += 1

    def record_admitted(self, customer: Customer) -> None:
        """Count a request for which a target was found."""
        self._count_admitted(customer, 1)

    def refund(self, customer: Customer) -> None:
        """Count a request as not admitted after all, since its targets refused it."""
        self._count_admitted(customer, -1)

    def wait_share(self, customer: Customer, priority: int) -> WaitShare:
        """Return how long a request may wait for a slot.

        :param priority: its priority; 0 is the most urgent.
        """
        self._renew()
        use = self._uses.get(customer.name)
        if use is None or self._level == inf:
            return USUAL_WAIT
        fair = self._level * use.weight
        excess = lower_bound(use.admitted) / max(fair, MIN_FAIR_REQUESTS)
        is_neglected = use.recent.served < MIN_SERVED_SHARE * self._served
        if excess > 1 and not is_neglected:
            return WaitShare(_fraction(excess, priority))
        return WaitShare(is_below=upper_bound(use.admitted) < fair)

    def _count_admitted(self, customer: Customer, change: int) -> None:
        self._recent.add_admitted(change)
        use = self._uses.get(customer.name)
        if use is not None:
            use.add_admitted(change)
            use.recent.add_admitted(change)

    def _renew(self) -> None:
        """Let the counts decay and determine the level of fair shares anew."""
        now = self._clock.monotonic()
        elapsed = now - self._renewed
        if elapsed < RENEWAL_INTERVAL:
            return
        self._renewed = now
        kept, recent_kept = exp(-elapsed / MEMORY), exp(-elapsed / SCARCITY_MEMORY)
        self._recent.decay(recent_kept)
        for use in self._uses.values():
            use.decay(kept)
            use.recent.decay(recent_kept)
        self._uses = {
            name: use for name, use in self._uses.items() if use.asked >= MIN_COUNT
        }
        self._served = self._recent.served
        self._level = fair_level(self._uses.values(), self._served)

    def _drop_smallest(self) -> None:
        """Drop the half of the customers with the lowest counts."""
        by_size = sorted(self._uses.items(), key=lambda item: -item[1].asked)
        self._uses = dict(by_size[: MAX_CUSTOMERS // 2])


def fair_level(uses: Collection[CustomerUse], served: float) -> float:
    """Return the fair share per weight, if a part of all requests can be admitted.

    :returns: infinity if all can.

    >>> round(fair_level([CustomerUse(asked=2), CustomerUse(asked=18)], 0.5), 1)
    7.0
    """
    if served >= 1:
        return inf
    room = ASSIGNED_SHARE * served * sum(use.asked for use in uses)
    descending = sorted(uses, key=lambda use: use.asked / use.weight, reverse=True)
    weights = list(accumulate(use.weight for use in descending))
    for use, weight in zip(reversed(descending), reversed(weights), strict=True):
        level = max(0.0, room) / weight
        if use.asked > level * use.weight:
            return level
        room -= use.asked
    return inf


def lower_bound(count: float) -> float:
    """Return the lower bound of a count's expected value.

    >>> [round(lower_bound(count), 2) for count in (0, 1, 2, 4, 100)]
    [0.0, 0.25, 0.84, 2.25, 90.25]
    """
    return max(0.0, sqrt(count) - DEVIATIONS * DEVIATION_OF_ROOT) ** 2


def upper_bound(count: float) -> float:
    """Return the upper bound of a count's expected value.

    >>> [round(upper_bound(count), 2) for count in (0, 4, 100)]
    [0.25, 6.25, 110.25]
    """
    return (sqrt(count) + DEVIATIONS * DEVIATION_OF_ROOT) ** 2


def _fraction(excess: float, priority: int) -> float:
    """Return the fraction of the usual longest wait for a customer above its share."""
    exponent = STEEPNESS * (1 + min(max(priority, 0), MAX_PRIORITY))
    return max(MIN_FRACTION, exp(-exponent * log(excess)))
