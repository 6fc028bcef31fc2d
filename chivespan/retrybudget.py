"""When to retry: a share of successes, so that a sick target causes no storm."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from chivespan.registry import Registry


class RetryBudget(Protocol):
    """Bounds the retries of one process."""

    def record_success(self) -> None:
        """Count a request that went well."""
        ...

    def try_spend(self) -> bool:
        """Take one retry, or return False when there is none left."""
        ...


RETRY_BUDGETS: Registry[Callable[[], RetryBudget]] = Registry("retry budget")


@RETRY_BUDGETS.register("share")
@dataclass(slots=True)
class ShareBudget:
    """Allows retries up to a share of successes, with a small store to start from.

    :param share: retries earned by one success.
    :param capacity: most retries that can be saved up, and what there is at the start.

    >>> budget = ShareBudget(share=0.5, capacity=1)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.record_success(); budget.record_success()
    >>> budget.try_spend()
    True
    """

    share: float = 0.1
    capacity: float = 20.0
    _saved: float = -1.0

    def __post_init__(self) -> None:
        self._saved = self.capacity

    def record_success(self) -> None:
        """Earn a share of a retry."""
        self._saved = min(self.capacity, self._saved + self.share)

    def try_spend(self) -> bool:
        """Take one retry if a whole one is saved."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


@RETRY_BUDGETS.register("none")
class NoRetries:
    """Never retries."""

    def record_success(self) -> None:
        """Nothing is earned."""

    def try_spend(self) -> bool:
        """Nothing can be spent."""
        return False


@RETRY_BUDGETS.register("unlimited")
class UnlimitedRetries:
    """Retries each time; for comparison."""

    def record_success(self) -> None:
        """Nothing needs earning."""

    def try_spend(self) -> bool:
        """There is always one more."""
        return True
