"""Keeps batch items at a target within what online requests leave of its rate limit.

An item that was started counts only once its node has sent it and reported that. Until
then the owner of its partition paces its own starts.
"""

from chivespan.clock import Clock
from chivespan.nodemessages import TargetEntry
from chivespan.targetbuckets import TargetBuckets
from chivespan.targetpick import TargetPicker


class ItemPacer:
    """Paces the items that this node starts at targets with a rate limit."""

    def __init__(self, picker: TargetPicker, clock: Clock) -> None:
        self._picker = picker
        self._clock = clock
        self._buckets = TargetBuckets(clock)

    def room(self, entry: TargetEntry) -> int | None:
        """Return how many items may be started now; None if there is no limit."""
        room = self._picker.limiter.room_for_items(entry)
        if room is None:
            return None
        rate = self._picker.limiter.rate(entry)
        has_token = self._buckets.bucket(entry, rate).has_token(self._clock.monotonic())
        return int(has_token and room > 0)

    def record_start(self, entry: TargetEntry) -> None:
        """Record that an item is started at a target."""
        rate = self._picker.limiter.rate(entry)
        if rate:
            self._buckets.bucket(entry, rate).take(self._clock.monotonic())

    def forget_unlimited(self) -> None:
        """Forget the targets that have no limit any more; called periodically."""
        self._buckets.retain(self._picker.limits.in_force)
