"""Retry budgets, which keep a failing target from causing a retry storm."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from chivespan.registry import Registry


class RetryBudget(Protocol):
    """Limits the retries of one process."""

    def record_success(self) -> None:
        """Record a request that succeeded."""
        ...

    def try_spend(self) -> bool:
        """Take one retry from the budget; return False if none is left."""
        ...


RETRY_BUDGETS: Registry[Callable[[], RetryBudget]] = Registry("retry budget")


@RETRY_BUDGETS.register("share")
@dataclass(slots=True)
class ShareBudget:
    """Allows retries up to a share of the successes, starting from a full budget.

    :param share: retries added by one success.
    :param capacity: most retries that the budget can hold, and its initial value.

    >>> budget = ShareBudget(share=0.5, capacity=1)
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.record_success(); budget.record_success()
    >>> budget.try_spend()
    True
    """

    share: float = 0.1
    capacity: float = 20.0
    _balance: float = -1.0

    def __post_init__(self) -> None:
        self._balance = self.capacity

    def record_success(self) -> None:
        """Add a share of a retry to the budget."""
        self._balance = min(self.capacity, self._balance + self.share)

    def try_spend(self) -> bool:
        """Take one retry if the budget holds a whole one."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


@RETRY_BUDGETS.register("none")
class NoRetries:
    """Allows no retries."""

    def record_success(self) -> None:
        """Do nothing; successes add no retries."""

    def try_spend(self) -> bool:
        """Return False."""
        return False


@RETRY_BUDGETS.register("unlimited")
class UnlimitedRetries:
    """Allows every retry; a baseline for benchmarks."""

    def record_success(self) -> None:
        """Do nothing; retries need no budget."""

    def try_spend(self) -> bool:
        """Return True."""
        return True
