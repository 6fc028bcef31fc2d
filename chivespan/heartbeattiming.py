"""How often the links of a node say that they are alive, by the size of its fleet.

In a small fleet a lost node is noticed within a second. In a large one heartbeats would
be most of what nodes do, so that they are rarer there, and silence is borne for longer.
"""

from datetime import timedelta

from chivespan.clock import Clock
from chivespan.messages import Hello

# Nodes of a fleet whose links are all checked often.
SMALL_FLEET = 24
SMALL_FLEET_SILENCE = timedelta(seconds=1)
SMALL_FLEET_INTERVAL = timedelta(milliseconds=450)
# In a large fleet, of links within a data centre and between data centres.
LOCAL_SILENCE = timedelta(seconds=2.5)
LOCAL_INTERVAL = timedelta(milliseconds=1100)
REMOTE_SILENCE = timedelta(seconds=5)
REMOTE_INTERVAL = timedelta(milliseconds=2200)
# A node bears longer silence at once, but sends more rarely only after this, when
# its peers have read of the larger fleet as well.
SLOW_DOWN_AFTER = timedelta(seconds=1.5)


class HeartbeatTiming:
    """Intervals of heartbeats, and how long silence is borne.

    :param data_centre: of this node.
    """

    def __init__(self, data_centre: str, clock: Clock) -> None:
        self._data_centre = data_centre
        self._clock = clock
        self._node_count = 0
        self._large_since: timedelta | None = None

    def set_fleet_size(self, nodes: int) -> None:
        """Note how many other nodes are known."""
        self._node_count = nodes
        if nodes <= SMALL_FLEET:
            self._large_since = None
        elif self._large_since is None:
            self._large_since = self._clock.monotonic()

    def silence_timeout(self, remote: Hello) -> timedelta:
        """Return for how long a link may bring nothing before it is left."""
        if self._node_count <= SMALL_FLEET:
            return SMALL_FLEET_SILENCE
        return LOCAL_SILENCE if self._is_local(remote) else REMOTE_SILENCE

    def heartbeat_interval(self, remote: Hello) -> timedelta:
        """Return the longest time between two frames that this node sends."""
        since = self._large_since
        if since is None or self._clock.monotonic() - since < SLOW_DOWN_AFTER:
            return SMALL_FLEET_INTERVAL
        return LOCAL_INTERVAL if self._is_local(remote) else REMOTE_INTERVAL

    def _is_local(self, remote: Hello) -> bool:
        return remote.data_centre == self._data_centre
