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
LARGE_FLEET_SILENCE = timedelta(seconds=2.5)
SMALL_FLEET_INTERVAL = timedelta(milliseconds=450)
LARGE_FLEET_INTERVAL = timedelta(milliseconds=1100)
# A node bears longer silence at once, but sends more rarely only after this, when
# its peers know of the larger fleet as well.
SLOW_DOWN_AFTER = timedelta(seconds=5)


class LinkPace:
    """Intervals of heartbeats, and how long silence is borne."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._nodes = 0
        self._many_peers_since: timedelta | None = None

    def note_fleet(self, nodes: int, peers: int) -> None:
        """Note how many nodes are listed, and with how many there is a link."""
        self._nodes = nodes
        if peers <= SMALL_FLEET:
            self._many_peers_since = None
        elif self._many_peers_since is None:
            self._many_peers_since = self._clock.monotonic()

    def silence(self) -> timedelta:
        """Return for how long a link may bring nothing before it is left."""
        small = self._nodes <= SMALL_FLEET
        return SMALL_FLEET_SILENCE if small else LARGE_FLEET_SILENCE

    def interval(self, _remote: Hello) -> timedelta:
        """Return the longest time between two frames that this node sends."""
        since = self._many_peers_since
        if since is None or self._clock.monotonic() - since < SLOW_DOWN_AFTER:
            return SMALL_FLEET_INTERVAL
        return LARGE_FLEET_INTERVAL
