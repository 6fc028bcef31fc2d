"""Weights by which running items yield, so that nearly complete ones yield last."""

from dataclasses import dataclass

# An item of this weight still yields within about 0.3 s on average where one of weight
# 1 takes a window of 80 ms: the first event of an online request is due by then.
LOWEST_WEIGHT = 0.3
# The mean over the run of an item that is in time is then 1.
HIGHEST_WEIGHT = 2.0 - LOWEST_WEIGHT


@dataclass(frozen=True, slots=True)
class ItemProgress:
    """How far a running item is.

    :param events: number of events received so far.
    :param expected_events: number that it is expected to have in all; 0 if unknown.
    :param is_late: whether it can't be done by its due time any more.

    >>> ItemProgress(events=100, expected_events=200).weight
    1.0
    """

    events: int = 0
    expected_events: int = 0
    is_late: bool = False

    @property
    def weight(self) -> float:
        """How likely the item is to yield, relative to one of unknown size."""
        if self.is_late:
            return HIGHEST_WEIGHT
        if self.expected_events <= 0:
            return 1.0
        return LOWEST_WEIGHT + (HIGHEST_WEIGHT - LOWEST_WEIGHT) * self._share_left

    @property
    def _share_left(self) -> float:
        """Share of the expected events that are left.

        An item that is longer than expected is assumed to have as many events left as
        it is over, up to a share of a half. Long items thus don't hold their slots to
        the end.
        """
        share = abs(1.0 - self.events / self.expected_events)
        return share if self.events < self.expected_events else min(0.5, share)


UNKNOWN_PROGRESS = ItemProgress()


def yield_rate(needed: int, running: int, weight: float) -> float:
    """Return how many times an item is expected to yield within a yield window.

    Weights of mean 1 don't change the expected number of items that yield. The more of
    the items have to yield, the less the weight counts; it doesn't if all have to.
    Above 1, the item yields sooner than at the end of the window.

    :param needed: how many of the target's slots online requests need; above zero.
    :param running: number of items that run at the target.

    >>> yield_rate(needed=1, running=4, weight=1.0)
    0.25
    >>> yield_rate(needed=4, running=4, weight=0.3)
    1.0
    """
    share = needed / max(1, running)
    return share * (1.0 + (weight - 1.0) * max(0.0, 1.0 - share))
