"""What a seed decides: which faults come when, to whom, and for how long."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from random import Random

FIRST_FAULT_S = 1.0
LONGEST_GAP_S = 1.6
LONGEST_FAULT_S = 4.0
# Chance that a fault is followed at once by another of its kind.
SERIES_CHANCE = 0.25


@dataclass(frozen=True, slots=True)
class Step:
    """One fault.

    :param at_s: seconds from the start of traffic.
    :param kind: name in ``FAULTS``.
    :param subject: number that picks the node or target.
    :param for_s: how long it lasts.
    """

    at_s: float
    kind: str
    subject: int
    for_s: float


def plan(random: Random, kinds: Sequence[str], length_s: float) -> Iterator[Step]:
    """Yield the faults of one run; they may overlap.

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
            random.uniform(0.3, LONGEST_FAULT_S),
        )
        at_s += random.uniform(0.0, LONGEST_GAP_S)
        if random.random() >= SERIES_CHANCE:
            kind = random.choice(kinds)
