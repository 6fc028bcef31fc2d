"""Bounds how old the ledger may be from which the owner of a partition starts items.

The store may turn the owner away while it serves other nodes, which then accept the end
of a job in its place. The owner keeps its partition for a while after that.
"""

from collections.abc import Callable
from datetime import timedelta

from chivespan.ledgerstore import LedgerStore

# How often the owner checks the age of its ledger.
CHECK_INTERVAL = timedelta(milliseconds=500)
# The rest of the time limit is for an item's way to its target.
MAX_AGE_SHARE = 2 / 3
READ_TIME = timedelta(milliseconds=500)
MAX_AGE_BEFORE_READ = timedelta(seconds=1)


class LedgerAgeLimit:
    """When a ledger is to be read again, and when it is too old to start items.

    While the store serves no node at all, no job can end and any age will do.

    :param cancel_time: time limit, from the acknowledged end of a job, within which the
        last of its items may reach a target.
    :param others_reach_store: returns whether the store serves another node.
    """

    def __init__(
        self, cancel_time: timedelta, others_reach_store: Callable[[], bool]
    ) -> None:
        self._max_age = cancel_time * MAX_AGE_SHARE
        self._others_reach_store = others_reach_store

    @property
    def max_age_before_read(self) -> timedelta:
        """Age from which the ledger of open jobs is read again."""
        latest = self._max_age - CHECK_INTERVAL - READ_TIME
        return max(timedelta(0), min(MAX_AGE_BEFORE_READ, latest))

    def allows_start(self, store: LedgerStore) -> bool:
        """Return whether items may be started from a ledger as it is now."""
        return store.age <= self._max_age or not self._others_reach_store()
