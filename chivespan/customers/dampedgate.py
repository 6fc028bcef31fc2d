"""Admits a share of the requests of customers that send more than their quota.

Nodes hear late of what others admit. If each admitted all requests while it sees room,
and none otherwise, all nodes would do the same at the same time, and what they admit
would swing by many times the room. Each node therefore admits requests with a
probability that follows the room. Customers within their quotas always have room.
"""

from dataclasses import dataclass
from datetime import timedelta
from math import expm1
from random import Random

from chivespan.clock import Clock

# Time constant of the moving average of the admission probability.
MEAN_TIME = timedelta(seconds=0.5)
# Lowest moving average. A gate that has been shut for long, as after a quota was
# lowered, opens within a few requests from this.
MIN_MEAN = 0.05
# Entries without effect are removed once this many are kept.
MIN_KEPT = 64
# A gate whose moving average has risen to this is removed.
OPEN = 0.99


@dataclass(slots=True)
class _Gate:
    """The probability with which a customer's requests have lately been admitted.

    :ivar mean: moving average of the probability.
    :ivar updated: monotonic time of its last update.
    """

    mean: float
    updated: timedelta

    def update(self, now: timedelta, probability: float) -> None:
        """Move the moving average towards a probability."""
        weight = -expm1((self.updated - now) / MEAN_TIME)
        mean = self.mean + (probability - self.mean) * weight
        self.mean = max(mean, MIN_MEAN)
        self.updated = now


class DampedGate:
    """Decides which requests are admitted by the room that is left."""

    def __init__(self, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._gates: dict[str, _Gate] = {}
        self._max_kept = MIN_KEPT

    def admits(self, customer: str, room: float) -> bool:
        """Return whether a request is admitted.

        :param room: the room that is left as a share of that at which as many requests
            are to be admitted as drain.
        """
        gate = self._gates.get(customer)
        if gate is None and room >= 1:
            return True
        now = self._clock.monotonic()
        if gate is None:
            self._drop_open()
            gate = self._gates[customer] = _Gate(1.0, now)
        # With more room than at equilibrium, opens faster than proportionally.
        probability = min(1.0, max(0.0, gate.mean * room * max(1.0, room) ** 2))
        gate.update(now, probability)
        if gate.mean >= OPEN and room >= 1:
            del self._gates[customer]
        return self._random.random() < probability

    def _drop_open(self) -> None:
        """Drop gates that have not been used for long, once many have gathered."""
        if len(self._gates) < self._max_kept:
            return
        old = self._clock.monotonic() - 10 * MEAN_TIME
        for name, gate in list(self._gates.items()):
            if gate.updated < old:
                del self._gates[name]
        self._max_kept = max(MIN_KEPT, 2 * len(self._gates))
