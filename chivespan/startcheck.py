"""Lets a starting node compare the store's answers with what its peers know.

The store may give old answers for a while. A node that was just restarted would then
use routes and targets again that its peers know to be withdrawn.
"""

from datetime import timedelta

import anyio

from chivespan.clock import Clock
from chivespan.fleetlinks import NO_REPORT, FleetLinks
from chivespan.logs import logger
from chivespan.routingstate import NO_VERSION, RoutingState

# A node without peers, or whose peers don't answer, starts after this time.
PEER_REPORT_TIMEOUT = timedelta(milliseconds=300)
POLL_INTERVAL_S = 0.01

_log = logger("fleet")


class StartCheck:
    """Tells when a node that has just started may use the store's answers."""

    def __init__(self, links: FleetLinks, routing: RoutingState, clock: Clock) -> None:
        self._links = links
        self._routing = routing
        self._clock = clock
        self._started = clock.monotonic()
        self._is_over = False

    async def wait(self) -> None:
        """Wait until a peer has reported, and has sent its newer routing table.

        Returns at once after the start.
        """
        while not self._is_over:
            if self._is_compared:
                self._is_over = True
            elif self._clock.monotonic() - self._started >= PEER_REPORT_TIMEOUT:
                self._is_over = True
                _log.warning("peers_not_heard", peers=len(self._links.peers))
            else:
                await anyio.sleep(POLL_INTERVAL_S)

    @property
    def _is_compared(self) -> bool:
        """Whether this node knows no older routing table than its peers."""
        if self._routing.version != NO_VERSION:
            return True
        reports = [peer.report for peer in self._links.peers.values()]
        reported = [each for each in reports if each is not NO_REPORT]
        known = [each for each in reported if each.config_version != NO_VERSION]
        return bool(reported) and not known
