"""Draining state of an entry, sent to the dispatcher of its VM in heartbeats.

The dispatcher stops listing a draining entry to callers, while the other entries of the
VM continue to serve.
"""

from chivespan.linkmessages import Hello
from chivespan.peerlink import IDLE_HEARTBEAT, LEAVING_HEARTBEAT


class DrainState:
    """Whether an entry is draining, and the heartbeat that reports it."""

    def __init__(self) -> None:
        self._is_draining = False

    @property
    def is_draining(self) -> bool:
        """Whether draining has started."""
        return self._is_draining

    def start_draining(self) -> None:
        """Report the entry as leaving in all later heartbeats."""
        self._is_draining = True

    def heartbeat_frame(self, _remote: Hello) -> bytes:
        """Return the encoded heartbeat for a link of the entry."""
        return LEAVING_HEARTBEAT if self._is_draining else IDLE_HEARTBEAT
