"""Chooses when refused callers are told to retry, so that they find free slots.

Each caller gets the earliest bucket that has fewer promised returns than slots that
become free in it. What other nodes have promised but not reported yet is estimated from
what this node has promised in that time: callers choose nodes at random, so the others
refuse about as many in proportion.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from itertools import islice
from random import Random

from chivespan.clock import Clock
from chivespan.promisedreturns import BUCKET, HORIZON, KnownReturns, PromisedReturns

MIN_RETRY_AFTER = timedelta(milliseconds=100)
MAX_RETRY_AFTER = HORIZON
# Weight, in returns, of the assumption that each node refuses as many callers as this
# one. It keeps the estimate stable while few returns are reported.
PRIOR_RETURNS = 16.0
# Its multiples modulo 1 are spread evenly over [0, 1).
GOLDEN_RATIO = 0.6180339887498949


@dataclass(frozen=True, slots=True)
class ExpectedRoom:
    """Capacity that is expected for callers who return.

    :param wait: time until there is any.
    :param per_s: callers per second that get a slot from then on.
    :param nodes: number of nodes that refuse callers, including this one.
    """

    wait: timedelta
    per_s: float
    nodes: int = 1

    @property
    def per_bucket(self) -> float:
        """Callers that get a slot in one bucket."""
        return self.per_s * (BUCKET / timedelta(seconds=1))


class ReturnSchedule:
    """Gives each refused caller a time to return, and counts it."""

    def __init__(self, returns: PromisedReturns, clock: Clock, random: Random) -> None:
        self._returns = returns
        self._clock = clock
        self._random = random
        # Differs between nodes, so that they round fractions of callers differently.
        self._phase = random.random()

    def next_return(
        self, service: str, room: ExpectedRoom, is_above: bool = False
    ) -> timedelta:
        """Return the time after which a refused caller should retry.

        :param is_above: whether its customer is above its fair share, and leaves the
            earliest bucket with capacity to others.
        """
        now = self._clock.monotonic()
        last = (now + MAX_RETRY_AFTER) // BUCKET - 1
        expected = now + max(room.wait, MIN_RETRY_AFTER)
        if expected >= (last + 1) * BUCKET:
            expected = last * BUCKET
        first = min(-(-expected // BUCKET), last)
        buckets = range(first, last + 1)
        known = self._returns.known(service)
        free = self._free_buckets(known, room, buckets)
        bucket = next(islice(free, int(is_above), None), None)
        if bucket is None:
            bucket = last if is_above else self._least_used(known, room, buckets)
        self._returns.add(service, bucket)
        earliest = max(bucket * BUCKET, expected)
        rest = (bucket + 1) * BUCKET - earliest
        return earliest + rest * self._random.random() - now

    def _free_buckets(
        self, known: KnownReturns, room: ExpectedRoom, buckets: range
    ) -> Iterator[int]:
        """Yield the buckets in which one more caller is expected to get a slot."""
        others = self._others_per_own(known, room.nodes)
        for bucket in buckets:
            reported = known.others[bucket] + known.own[bucket]
            unreported = others * known.unconfirmed[bucket]
            # Rounds a fraction of a caller up in the same fraction of the buckets.
            threshold = (self._phase + bucket * GOLDEN_RATIO) % 1
            if reported + unreported + (1 + others) * threshold < room.per_bucket:
                yield bucket

    def _least_used(
        self, known: KnownReturns, room: ExpectedRoom, buckets: range
    ) -> int:
        """Return the bucket with the fewest known returns, or the last if all are full.

        This is for callers beyond this node's part of the room: other nodes may refuse
        fewer callers than expected. They are spread, as the last bucket alone has too
        little room for all.
        """
        shuffled = self._random.sample(buckets, len(buckets))
        fewest = min(shuffled, key=lambda each: known.own[each] + known.others[each])
        used = known.own[fewest] + known.others[fewest]
        return fewest if used + 1 <= room.per_bucket else buckets[-1]

    def _others_per_own(self, known: KnownReturns, nodes: int) -> float:
        """Return how many callers the others refuse for each one refused here."""
        equal = float(nodes - 1)
        if not equal or not self._returns.hears_others:
            return equal
        own = known.own.total() - known.unconfirmed.total()
        others = known.others.total()
        return (PRIOR_RETURNS * equal + others) / (PRIOR_RETURNS + own)
