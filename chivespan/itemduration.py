"""Estimates the remaining run time of batch items from completed runs."""

from datetime import timedelta

SMOOTHING_FACTOR = 0.1
# Startup and queueing dominate the duration of a run with fewer events.
MIN_RUN_EVENTS = 20
INITIAL_EVENTS_PER_ITEM = 200.0
# After fewer completed items, the events per item are mostly the initial value.
MIN_FINISHED_ITEMS = 10
INITIAL_EVENT_TIME = timedelta(milliseconds=20)


class ItemDurationEstimator:
    """Moving averages of the events per item and the time per event of a partition.

    >>> estimator = ItemDurationEstimator()
    >>> estimator.remaining(150)
    datetime.timedelta(seconds=1)
    """

    def __init__(self) -> None:
        self._events_per_item = INITIAL_EVENTS_PER_ITEM
        self._event_time = INITIAL_EVENT_TIME
        self._finished = 0

    @property
    def expected_events(self) -> int:
        """Number of events that an item usually has; 0 until enough have completed."""
        known = self._finished >= MIN_FINISHED_ITEMS
        return max(1, round(self._events_per_item)) if known else 0

    def remaining(self, events: int) -> timedelta:
        """Return the expected remaining run time of an item.

        :param events: number of events that the item has produced so far.
        """
        return self._event_time * max(1.0, self._events_per_item - events)

    def record_run(self, events: int, took: timedelta) -> None:
        """Update the time per event from a run, unless the run was too short.

        :param events: number of events that the run produced.
        """
        if events >= MIN_RUN_EVENTS:
            self._event_time += (took / events - self._event_time) * SMOOTHING_FACTOR

    def record_finished(self, events: int) -> None:
        """Update the events per item from a completed item.

        :param events: total number of events of the item.
        """
        self._finished += 1
        self._events_per_item += (events - self._events_per_item) * SMOOTHING_FACTOR
