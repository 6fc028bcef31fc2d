"""Measures how fast a target produces the events of one response."""

from datetime import timedelta

# A response with fewer events is too short for a reliable mean.
MIN_EVENTS = 10
# If more of the time passed without reading, it depends on the reader, not the target.
MAX_UNREAD_SHARE = 0.1


class EventTiming:
    """The time per event of one response, from its first event to its last."""

    def __init__(self) -> None:
        self._first: timedelta | None = None
        self._last = timedelta(0)
        self._first_events = 0
        self._events = 0
        self._unread = timedelta(0)
        self._was_interrupted = False

    @property
    def event_time(self) -> timedelta | None:
        """The mean time between two events; None if the response doesn't show it.

        Events that arrived in the first read count as one, since it isn't known when
        each of them was produced.
        """
        if self._first is None or self._was_interrupted:
            return None
        intervals = self._events - self._first_events
        took = self._last - self._first
        if intervals < MIN_EVENTS - 1 or self._unread > took * MAX_UNREAD_SHARE:
            return None
        return took / intervals or None

    def record(self, now: timedelta, events: int) -> None:
        """Record that whole events have been read.

        :param now: the monotonic time.
        :param events: number of events read so far, from any starting point.
        """
        if self._first is None:
            self._first, self._first_events = now, events
        self._last, self._events = now, events

    def record_unread(self, until: timedelta) -> None:
        """Record that the response was not read after its last events.

        :param until: monotonic time at which reading went on.
        """
        self._unread += until - self._last

    def record_interruption(self) -> None:
        """Record that the target paused, so that the mean time isn't used."""
        self._was_interrupted = True
