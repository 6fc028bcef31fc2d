"""Detects targets that have stopped sending data, or that don't answer at all.

The events of a stream arrive every few milliseconds, so a started stream without
further data shows that its target has failed, long before the callers time out. A
target that hangs, or whose VM is cut off, doesn't begin to answer or accepts no
connections. Nodes report the silent targets that they detect to each other; otherwise,
each of them would have to lose requests of its own to find out.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta

from chivespan.clock import Clock

SILENCE_TIMEOUT = timedelta(milliseconds=300)
# A target that didn't answer isn't used for this long after its request has ended.
# Healthy targets may pause for about a second.
SUSPENSION = timedelta(milliseconds=1500)
# A node without an answer from more targets is itself more likely to be the cause.
MAX_UNANSWERING = 4
# In a series, after which this node no longer reports the target. One that only this
# node can't reach would otherwise be left out by all nodes for as long as it tries. If
# the target doesn't answer at all, others find out as well.
MAX_REPORTED_SUSPENSIONS = 2
# Suspensions with a longer time between them don't belong to the same series.
SERIES_GAP = timedelta(seconds=30)


@dataclass(frozen=True, slots=True)
class _Suspension:
    """A target that isn't used because it didn't answer.

    :ivar until: monotonic time at which it ends.
    :ivar number: its number in a series without an answer between them, from 1.
    """

    until: timedelta
    number: int = 1

    def next(self, now: timedelta) -> "_Suspension":
        """Return the suspension after another request without an answer."""
        until = now + SUSPENSION
        if now < self.until:
            return _Suspension(until, self.number)
        is_series = now - self.until < SERIES_GAP
        return _Suspension(until, self.number + 1 if is_series else 1)


class RequestWatch:
    """One request in progress at a target.

    :param answer_due: monotonic time by which its response is to begin; None if that
        isn't known.
    :ivar has_data: whether data of a stream has arrived.
    """

    def __init__(
        self, silence: "SilenceDetector", target_id: str, answer_due: timedelta | None
    ) -> None:
        self._silence = silence
        self._target_id = target_id
        self.answer_due = answer_due
        self.has_data = False

    def record_answer(self) -> None:
        """Record an answer that isn't a stream, such as a refusal."""
        self.end()

    def end(self) -> None:
        """Wait for no answer any more, without a conclusion on the target."""
        self._silence.end_wait(self._target_id, self)

    def record_data(self) -> None:
        """Record that data arrived on the stream."""
        self._silence.record_data(self._target_id)
        if not self.has_data:
            self.has_data = True
            self._silence.end_wait(self._target_id, self)
            self._silence.add_streams(self._target_id, 1)


class SilenceDetector:
    """Tracks silent targets, from this node's requests and its peers' reports."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_data: dict[str, timedelta] = {}
        self._active_streams: dict[str, int] = defaultdict(int)
        # Requests whose responses have not begun, and when they were sent.
        self._awaited: dict[str, dict[RequestWatch, timedelta]] = {}
        self._suspensions: dict[str, _Suspension] = {}
        self._reported: dict[str, frozenset[str]] = {}

    @contextmanager
    def watch_request(
        self, target_id: str, answer_due: timedelta | None = None
    ) -> Iterator[RequestWatch]:
        """Watch one request for the duration of the block.

        :param answer_due: monotonic time by which its response is to begin.
        """
        watch = RequestWatch(self, target_id, answer_due)
        if answer_due is not None:
            sent = self._clock.monotonic()
            self._awaited.setdefault(target_id, {})[watch] = sent
        try:
            yield watch
        finally:
            if watch.has_data:
                self.add_streams(target_id, -1)
            else:
                self._end_unanswered(target_id, watch)

    def local_silent(self) -> list[str]:
        """Return the targets to report to other nodes as silent, sorted by id."""
        return sorted(self.own_silent() - self._unreported())

    def own_silent(self) -> frozenset[str]:
        """Return the targets that are silent for this node."""
        now = self._clock.monotonic()
        paused = {
            target_id
            for target_id, count in self._active_streams.items()
            if count > 0 and now - self._last_data[target_id] > SILENCE_TIMEOUT
        }
        return frozenset(paused.union(self._unanswering(now)))

    def all_silent(self) -> frozenset[str]:
        """Return the targets that are silent for this node or a peer."""
        return self.own_silent().union(*self._reported.values())

    def update_peer(self, peer: str, target_ids: Iterable[str]) -> None:
        """Replace the silent targets that a peer reported."""
        self._reported[peer] = frozenset(target_ids)

    def remove_peer(self, peer: str) -> None:
        """Drop the silent targets that a peer reported."""
        self._reported.pop(peer, None)

    def record_data(self, target_id: str) -> None:
        """Record that a target sent data."""
        self._last_data[target_id] = self._clock.monotonic()
        self._suspensions.pop(target_id, None)

    def record_unreachable(self, target_id: str) -> None:
        """Record that a target accepted no connection."""
        self._suspend(target_id, self._clock.monotonic())

    def add_streams(self, target_id: str, change: int) -> None:
        """Change the number of streams with data at a target."""
        self._active_streams[target_id] += change
        if not self._active_streams[target_id]:
            del self._active_streams[target_id]

    def end_wait(self, target_id: str, watch: RequestWatch) -> None:
        """Record that a response has begun, or that nobody waits for it any more."""
        awaited = self._awaited.get(target_id, {})
        awaited.pop(watch, None)
        if not awaited:
            self._awaited.pop(target_id, None)

    def _end_unanswered(self, target_id: str, watch: RequestWatch) -> None:
        """Suspend the target of a request that ends without the answer that was due."""
        sent = self._awaited.get(target_id, {}).get(watch)
        now = self._clock.monotonic()
        if sent is not None and self._is_overdue(target_id, watch, sent, now):
            self._suspend(target_id, now)
        self.end_wait(target_id, watch)

    def _suspend(self, target_id: str, now: timedelta) -> None:
        """Suspend a target, and forget series of suspensions that are over."""
        known = self._suspensions.get(target_id)
        suspension = known.next(now) if known else _Suspension(now + SUSPENSION)
        self._suspensions = {
            name: each
            for name, each in self._suspensions.items()
            if now - each.until < SERIES_GAP
        }
        self._suspensions[target_id] = suspension

    def _unreported(self) -> set[str]:
        """Return the targets that this node has reported too often in a series."""
        return {
            target_id
            for target_id, suspension in self._suspensions.items()
            if suspension.number > MAX_REPORTED_SUSPENSIONS
        }

    def _unanswering(self, now: timedelta) -> set[str]:
        """Return the targets without answers; none if this node may be the cause."""
        if not self._awaited and not self._suspensions:
            return set()
        overdue = {
            target_id
            for target_id, awaited in self._awaited.items()
            for watch, sent in awaited.items()
            if self._is_overdue(target_id, watch, sent, now)
        }
        suspended = {
            target_id
            for target_id, suspension in self._suspensions.items()
            if now < suspension.until
        }
        unanswering = overdue | suspended
        return unanswering if len(unanswering) <= MAX_UNANSWERING else set()

    def _is_overdue(
        self, target_id: str, watch: RequestWatch, sent: timedelta, now: timedelta
    ) -> bool:
        """Return whether an answer is overdue, and the target sent nothing else."""
        if watch.answer_due is None or now < watch.answer_due:
            return False
        last_data = self._last_data.get(target_id)
        return last_data is None or last_data <= sent
