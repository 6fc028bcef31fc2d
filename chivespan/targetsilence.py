"""Detects targets whose streams have stopped sending data.

The events of a stream arrive every few milliseconds, so a started stream without
further data shows that its target has failed, long before the callers time out. Nodes
report the silent targets that they detect to each other.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from datetime import timedelta

from chivespan.clock import Clock

SILENCE_TIMEOUT = timedelta(milliseconds=300)


class StreamWatch:
    """One stream in progress at a target.

    :ivar has_data: whether data has arrived on the stream.
    """

    def __init__(self, silence: "SilenceDetector", target_id: str) -> None:
        self._silence = silence
        self._target_id = target_id
        self.has_data = False

    def record_data(self) -> None:
        """Record that data arrived on the stream."""
        self._silence.record_data(self._target_id)
        if not self.has_data:
            self.has_data = True
            self._silence.add_streams(self._target_id, 1)


class SilenceDetector:
    """Tracks silent targets, from this node's streams and its peers' reports."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_data: dict[str, timedelta] = {}
        self._active_streams: dict[str, int] = defaultdict(int)
        self._reported: dict[str, frozenset[str]] = {}

    @contextmanager
    def watch_stream(self, target_id: str) -> Iterator[StreamWatch]:
        """Watch one stream for the duration of the block."""
        watch = StreamWatch(self, target_id)
        try:
            yield watch
        finally:
            if watch.has_data:
                self.add_streams(target_id, -1)

    def local_silent(self) -> list[str]:
        """Return the targets whose streams to this node have fallen silent."""
        now = self._clock.monotonic()
        return sorted(
            target_id
            for target_id, count in self._active_streams.items()
            if count > 0 and now - self._last_data[target_id] > SILENCE_TIMEOUT
        )

    def all_silent(self) -> frozenset[str]:
        """Return the targets that are silent for this node or a peer."""
        return frozenset(self.local_silent()).union(*self._reported.values())

    def update_peer(self, peer: str, target_ids: Iterable[str]) -> None:
        """Replace the silent targets that a peer reported."""
        self._reported[peer] = frozenset(target_ids)

    def remove_peer(self, peer: str) -> None:
        """Drop the silent targets that a peer reported."""
        self._reported.pop(peer, None)

    def record_data(self, target_id: str) -> None:
        """Record that a target sent data."""
        self._last_data[target_id] = self._clock.monotonic()

    def add_streams(self, target_id: str, change: int) -> None:
        """Change the number of streams with data at a target."""
        self._active_streams[target_id] += change
        if not self._active_streams[target_id]:
            del self._active_streams[target_id]
