"""Seeded schedule of faults: when each occurs, on which subject and for how long."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random

FIRST_FAULT_S = 1.0
MAX_GAP_S = 1.6
MAX_FAULT_S = 4.0
# Probability that the next fault is of the same kind as the one before it.
REPEAT_PROBABILITY = 0.25


@dataclass(frozen=True, slots=True)
class Step:
    """One scheduled fault.

    :param at_s: start in seconds after the start of the traffic.
    :param kind: name of the fault in ``FAULTS``.
    :param subject: number that selects the node or target.
    :param for_s: duration in seconds.
    """

    at_s: float
    kind: str
    subject: int
    for_s: float


def plan(random: Random, kinds: Sequence[str], length_s: float) -> Iterator[Step]:
    """Yield the faults of one run, ordered by start; they may overlap.

    >>> first = list(plan(Random(7), ["a", "b"], 10.0))
    >>> first == list(plan(Random(7), ["a", "b"], 10.0)), len(first) > 5
    (True, True)
    """
    at_s = FIRST_FAULT_S
    kind = random.choice(kinds)
    while at_s < length_s:
        yield Step(
            at_s,
            kind,
            random.randrange(1000),
            random.uniform(0.3, MAX_FAULT_S),
        )
        at_s += random.uniform(0.0, MAX_GAP_S)
        if random.random() >= REPEAT_PROBABILITY:
            kind = random.choice(kinds)
