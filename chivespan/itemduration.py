"""How long batch items take, as learnt from those that ran."""

from datetime import timedelta

SMOOTHING = 0.1
# Of a shorter run most of the time went into its start, or into its queue.
FEWEST_EVENTS = 20
FIRST_EVENTS = 200.0
FIRST_EVENT_TIME = timedelta(milliseconds=20)


class ItemDurationEstimator:
    """Smoothed length and speed of a partition's items.

    >>> pace = ItemPace()
    >>> pace.remaining(150)
    datetime.timedelta(seconds=1)
    """

    def __init__(self) -> None:
        self._events = FIRST_EVENTS
        self._event_time = FIRST_EVENT_TIME

    def remaining(self, events: int) -> timedelta:
        """Return how long an item with so many events is likely to run yet."""
        return self._event_time * max(1.0, self._events - events)

    def record_run(self, events: int, took: timedelta) -> None:
        """Note a run that made events; one that was cut at once says nothing."""
        if events >= FEWEST_EVENTS:
            self._event_time += (took / events - self._event_time) * SMOOTHING

    def record_finished(self, events: int) -> None:
        """Note an item that is done."""
        self._events += (events - self._events) * SMOOTHING
