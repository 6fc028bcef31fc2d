"""Bounds how old the ledger may be from which the owner of a partition starts items.

The store may turn the owner away while it serves other nodes, which then accept the end
of a job in its place. The owner keeps its partition for a while after that.
"""

from collections.abc import Callable
from datetime import timedelta

from chivespan.clock import MILLISECOND, NO_WAIT
from chivespan.ledgerstore import LedgerStore
from chivespan.logs import logger

# How often the owner checks the age of its ledger.
CHECK_INTERVAL = timedelta(milliseconds=500)
# The rest of the time limit is for an item's way to its target.
MAX_AGE_SHARE = 2 / 3
READ_TIME = timedelta(milliseconds=500)
MAX_AGE_BEFORE_READ = timedelta(seconds=1)

_log = logger("batch")


class LedgerAgeLimit:
    """When the ledger of a partition must be read again, and is too old to start items.

    While the store serves no node at all, no job can end and any age will do.

    :param cancel_time: time limit, from the acknowledged end of a job, within which the
        last of its items may reach a target.
    :param others_reach_store: returns whether the store serves another node.
    :ivar is_exceeded: whether the ledger was too old at the last check.
    """

    def __init__(
        self,
        partition: int,
        store: LedgerStore,
        cancel_time: timedelta,
        others_reach_store: Callable[[], bool],
    ) -> None:
        self._partition = partition
        self._store = store
        self._max_age = cancel_time * MAX_AGE_SHARE
        self._others_reach_store = others_reach_store
        self.is_exceeded = False

    @property
    def max_age_before_read(self) -> timedelta:
        """Age from which the ledger of open jobs is read again."""
        latest = self._max_age - CHECK_INTERVAL - READ_TIME
        return max(NO_WAIT, min(MAX_AGE_BEFORE_READ, latest))

    def allows_start(self) -> bool:
        """Return whether items may be started from the ledger as it is now."""
        is_old = self._store.age > self._max_age
        self._set_exceeded(is_old and self._others_reach_store())
        return not self.is_exceeded

    def reset(self) -> None:
        """Forget the last check, as another node owns the partition now."""
        self.is_exceeded = False

    def _set_exceeded(self, is_exceeded: bool) -> None:
        if is_exceeded == self.is_exceeded:
            return
        self.is_exceeded = is_exceeded
        _log.notice(
            "ledger_stale" if is_exceeded else "ledger_current",
            partition=self._partition,
            age_ms=self._store.age // MILLISECOND,
            ledger_end=self._store.ledger.end,
        )
