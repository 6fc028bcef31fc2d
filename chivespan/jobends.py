"""Tracks requested ends of jobs that the ledger may not show yet."""

from datetime import timedelta

from chivespan.clock import Clock
from chivespan.ledgerstore import LedgerStore
from chivespan.logs import logger

# A caller's request may be handled by another node for so long after it failed here.
RETRY_TIME = timedelta(seconds=1.5)

_log = logger("batch")


class RequestedEnds:
    """The jobs of a partition that may have ended without this node's knowledge.

    A node that fails to commit an end leaves it to others that reach the store. The
    job counts as ended until a later read of the ledger tells.
    """

    def __init__(self, store: LedgerStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._requested: dict[str, timedelta] = {}

    def record(self, job_id: str) -> None:
        """Record that the end of a job was requested, or that committing it failed."""
        self.forget_settled()
        if job_id not in self._requested:
            _log.info("job_end_requested", job=job_id)
        self._requested[job_id] = self._clock.boottime()

    def may_have_ended(self, job_id: str) -> bool:
        """Return whether a job may have ended since the ledger was read."""
        return job_id in self._requested

    def forget_settled(self) -> None:
        """Forget the ends of which the ledger tells by now whether they came about."""
        self._requested = {
            job_id: at
            for job_id, at in self._requested.items()
            if not self._store.is_current_as_of(at + RETRY_TIME)
        }

    def clear(self) -> None:
        """Forget all ends, as another node owns the partition now."""
        self._requested.clear()
