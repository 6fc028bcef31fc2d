"""Passes what a relay has read from the store on to the nodes of its data centre.

In a large fleet, one read by each relay replaces one by each node. A node that hasn't
been fed for some time reads the store itself, so the loss of a relay delays it only.
"""

from collections.abc import Callable
from datetime import timedelta

import anyio

from chivespan.clock import NO_WAIT, Clock
from chivespan.codec import encode_message
from chivespan.fleetlinks import FleetLinks, Peer
from chivespan.nodemessages import FleetAnswer


class StoreFeed:
    """Sends feeds as a relay, and tracks the feeds received otherwise.

    :param is_relay: returns whether this node is the relay of its data centre.
    :param lifetime: time after a feed in which the store need not be read.
    """

    def __init__(
        self,
        links: FleetLinks,
        is_relay: Callable[[], bool],
        clock: Clock,
        lifetime: timedelta,
    ) -> None:
        self._links = links
        self._is_relay = is_relay
        self._clock = clock
        self._lifetime = lifetime
        self._last_feed: timedelta | None = None

    def send(self, feed: FleetAnswer) -> None:
        """Send a feed to all nodes of this data centre, if this node is their relay."""
        links = self._links
        if not (links.uses_gateways and links.uses_relay and self._is_relay()):
            return
        frame = encode_message(feed)
        for peer in links.peers_in(links.own.data_centre):
            peer.send_frame(frame)

    def record_if_feed(self, peer: Peer, answer: FleetAnswer) -> bool:
        """Record that a feed has arrived; return whether an answer is one."""
        if not (answer.is_feed and self._links.is_local(peer)):
            return False
        self._last_feed = self._clock.monotonic()
        return True

    @property
    def is_fresh(self) -> bool:
        """Whether this node is fed and need not read the store itself."""
        return self._time_left() > NO_WAIT

    async def wait_until_stale(self) -> None:
        """Wait until this node must read the store itself.

        Returns at once at a relay, and at a node that isn't fed.
        """
        while True:
            left = self._time_left()
            if left <= NO_WAIT:
                return
            await anyio.sleep(left.total_seconds())

    def _time_left(self) -> timedelta:
        if self._last_feed is None or self._is_relay():
            return NO_WAIT
        return self._last_feed + self._lifetime - self._clock.monotonic()
