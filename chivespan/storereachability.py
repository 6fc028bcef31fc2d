"""Tracks whether this node reaches the store, from the outcomes of its calls."""

from datetime import timedelta

from chivespan.clock import Clock
from chivespan.errors import ChivespanError
from chivespan.logs import logger

FAILURE_GRACE = timedelta(seconds=1.2)

_log = logger("fleet")


class StoreReachability:
    """Whether the store serves this node.

    A call counts from its beginning: the store may answer one that it accepted long
    ago, and turn away all later ones.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._was_reached = False
        self._failing_since: timedelta | None = None

    @property
    def is_reached(self) -> bool:
        """Whether the store is reachable, ignoring failures within a grace period."""
        if self._failing_since is None:
            return self._was_reached
        failing = self._clock.monotonic() - self._failing_since
        return self._was_reached and failing < FAILURE_GRACE

    @property
    def is_failing(self) -> bool:
        """Whether no call that began after the first failure has succeeded yet."""
        return self._failing_since is not None

    def record_success(self, began: timedelta) -> None:
        """Record that a call has succeeded.

        :param began: when it was sent, on the monotonic clock.
        """
        failing_since = self._failing_since
        if failing_since is not None and began < failing_since:
            return
        if not self._was_reached or failing_since is not None:
            _log.notice("store_reached")
        self._was_reached = True
        self._failing_since = None

    def record_failure(self, what: str, error: ChivespanError) -> None:
        """Record that a call has failed.

        :param what: what was to be read, for the log.
        """
        if self._failing_since is None:
            self._failing_since = self._clock.monotonic()
            _log.warning("store_lost", reading=what, reason=error.message)
