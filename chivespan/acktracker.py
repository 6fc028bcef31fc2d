"""Tracks which receivers of numbered reports acknowledge them in time.

Reports that arrive late look like reports that were sent late; only an
acknowledgement shows how long the way takes.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from chivespan.clock import Clock

# At one report in 30 ms these are more than a timeout's worth.
MAX_UNACKED = 100


@dataclass(slots=True)
class _Receiver:
    """One receiver of reports.

    :ivar has_acked: whether it has ever acknowledged one; earlier releases don't.
    :ivar unacked: sequence and time of the reports that it has not acknowledged.
    """

    has_acked: bool = False
    unacked: deque[tuple[int, timedelta]] = field(
        default_factory=lambda: deque[tuple[int, timedelta]](maxlen=MAX_UNACKED)
    )


class AckTracker:
    """The unacknowledged reports of each receiver.

    :param timeout: time within which a report must be acknowledged.
    """

    def __init__(self, clock: Clock, timeout: timedelta) -> None:
        self._clock = clock
        self._timeout = timeout
        self._receivers: dict[str, _Receiver] = {}

    def record_sent(self, receiver: str, sequence: int) -> None:
        """Record that a report was sent to a receiver."""
        sent = self._receivers.setdefault(receiver, _Receiver()).unacked
        sent.append((sequence, self._clock.monotonic()))

    def record_ack(self, receiver: str, sequence: int) -> None:
        """Record that a receiver has all reports up to a sequence."""
        known = self._receivers.setdefault(receiver, _Receiver())
        known.has_acked = True
        while known.unacked and known.unacked[0][0] <= sequence:
            known.unacked.popleft()

    def forget(self, receiver: str) -> None:
        """Forget a receiver that has left."""
        self._receivers.pop(receiver, None)

    def is_late(self, receiver: str, expected_since: timedelta) -> bool:
        """Return whether a receiver has not acknowledged a report in time.

        :param expected_since: reports sent before then may remain unacknowledged.
        """
        known = self._receivers.get(receiver)
        if known is None or not known.has_acked:
            return False
        due = self._clock.monotonic() - self._timeout
        return any(expected_since <= sent <= due for _, sent in known.unacked)
