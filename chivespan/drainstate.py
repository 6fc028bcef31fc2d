"""That an entry leaves, as its heartbeats tell the dispatcher of its VM.

The dispatcher then names it to callers no more, while other entries of the VM serve on.
"""

from chivespan.messages import Hello
from chivespan.peerlink import IDLE_HEARTBEAT, LEAVING_HEARTBEAT


class DrainState:
    """Whether an entry was told to leave, and how its dispatcher hears of it."""

    def __init__(self) -> None:
        self._is_draining = False

    @property
    def is_draining(self) -> bool:
        """Whether the entry leaves."""
        return self._is_draining

    def start_draining(self) -> None:
        """Leave from now on."""
        self._is_draining = True

    def heartbeat_frame(self, _remote: Hello) -> bytes:
        """Return the heartbeat frame for the entry's links."""
        return LEAVING_HEARTBEAT if self._is_draining else IDLE_HEARTBEAT
