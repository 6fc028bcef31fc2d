"""Heartbeat intervals and silence timeouts of links, by the size of the fleet.

A small fleet detects a lost node within a second. In a large one such heartbeats would
be most of the work of a node, so intervals and timeouts are longer there.
"""

from datetime import timedelta

from chivespan.clock import Clock
from chivespan.linkmessages import Hello

# Largest number of other nodes at which all links use the short interval and timeout.
SMALL_FLEET = 24
SMALL_FLEET_SILENCE = timedelta(seconds=1)
SMALL_FLEET_INTERVAL = timedelta(milliseconds=450)
# In a large fleet: links within a data centre (local) and between them (remote).
LOCAL_SILENCE = timedelta(seconds=2.5)
LOCAL_INTERVAL = timedelta(milliseconds=1100)
REMOTE_SILENCE = timedelta(seconds=5)
REMOTE_INTERVAL = timedelta(milliseconds=2200)
# When a fleet becomes large, a node raises its silence timeouts at once but its
# heartbeat intervals only after this delay, when its peers have raised theirs as well.
SLOW_DOWN_AFTER = timedelta(seconds=1.5)


class HeartbeatTiming:
    """Heartbeat intervals and silence timeouts of the links of one node.

    :param data_centre: the data centre of this node.
    """

    def __init__(self, data_centre: str, clock: Clock) -> None:
        self._data_centre = data_centre
        self._clock = clock
        self._node_count = 0
        self._large_since: timedelta | None = None

    def set_fleet_size(self, node_count: int) -> None:
        """Set how many other nodes are known."""
        self._node_count = node_count
        if node_count <= SMALL_FLEET:
            self._large_since = None
        elif self._large_since is None:
            self._large_since = self._clock.monotonic()

    def silence_timeout(self, remote: Hello) -> timedelta:
        """Return after how long without a frame a link is closed."""
        if self._node_count <= SMALL_FLEET:
            return SMALL_FLEET_SILENCE
        return LOCAL_SILENCE if self._is_local(remote) else REMOTE_SILENCE

    def heartbeat_interval(self, remote: Hello) -> timedelta:
        """Return the longest time between two frames sent by this node."""
        since = self._large_since
        if since is None or self._clock.monotonic() - since < SLOW_DOWN_AFTER:
            return SMALL_FLEET_INTERVAL
        return LOCAL_INTERVAL if self._is_local(remote) else REMOTE_INTERVAL

    def _is_local(self, remote: Hello) -> bool:
        return remote.data_centre == self._data_centre
