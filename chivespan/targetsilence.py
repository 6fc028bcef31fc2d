"""Targets that have stopped sending, as seen by all nodes that have streams there.

The events of a stream come every few milliseconds, so one stream that has begun and
says nothing more tells of a target that is dark, long before its callers give up.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from datetime import timedelta

from chivespan.clock import Clock

SILENCE_TIMEOUT = timedelta(milliseconds=300)


class StreamWatch:
    """One stream in progress at a target."""

    def __init__(self, silence: "SilenceDetector", target_id: str) -> None:
        self._silence = silence
        self._target_id = target_id
        self.has_data = False

    def record_data(self) -> None:
        """Note that bytes came."""
        self._silence.record_data(self._target_id)
        if not self.has_data:
            self.has_data = True
            self._silence.add_streams(self._target_id, 1)


class SilenceDetector:
    """Which targets have fallen silent, by this node's streams and peers' reports."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard: dict[str, timedelta] = {}
        self._flowing: dict[str, int] = defaultdict(int)
        self._told: dict[str, frozenset[str]] = {}

    @contextmanager
    def watch_stream(self, target_id: str) -> Iterator[StreamWatch]:
        """Watch one stream for the time of the block."""
        watch = StreamWatch(self, target_id)
        try:
            yield watch
        finally:
            if watch.has_data:
                self.add_streams(target_id, -1)

    def local_silent(self) -> list[str]:
        """Return the targets whose streams here have fallen silent."""
        now = self._clock.monotonic()
        return sorted(
            target_id
            for target_id, count in self._flowing.items()
            if count > 0 and now - self._heard[target_id] > SILENCE_TIMEOUT
        )

    def all_silent(self) -> frozenset[str]:
        """Return the targets that fell silent here or at a peer."""
        return frozenset(self.local_silent()).union(*self._told.values())

    def update_peer(self, peer: str, target_ids: Iterable[str]) -> None:
        """Replace what a peer says."""
        self._told[peer] = frozenset(target_ids)

    def remove_peer(self, peer: str) -> None:
        """Drop what a peer that is gone said."""
        self._told.pop(peer, None)

    def record_data(self, target_id: str) -> None:
        """Note that a target sent bytes."""
        self._heard[target_id] = self._clock.monotonic()

    def add_streams(self, target_id: str, change: int) -> None:
        """Count a stream that begins to flow, or ends."""
        self._flowing[target_id] += change
        if not self._flowing[target_id]:
            del self._flowing[target_id]
