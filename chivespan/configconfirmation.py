"""Tracks until when the configuration in force is known to be the newest.

A read of the store confirms it, and so does the message of a node with the same or a
lower version, as of the time of that node's own last confirmation. Nodes that can't
reach the store therefore can't confirm it to each other.
"""

from datetime import timedelta
from random import Random

import anyio

from chivespan.clock import MILLISECOND, Clock
from chivespan.fleetlinks import FleetLinks
from chivespan.nodemessages import FleetAnswer, FleetQuery
from chivespan.routingstate import RoutingState

# Age of what has never been confirmed; longer than any process runs.
NEVER_CONFIRMED = timedelta(days=36_500)
_NEVER_CONFIRMED_MS = NEVER_CONFIRMED // MILLISECOND
# Of the longest age allowed; leaves time for several queries.
QUERY_AGE_SHARE = 0.5
QUERY_INTERVAL_SHARE = 0.1
# Some peers may not reach the store either.
PEERS_PER_QUERY = 3


class ConfigConfirmation:
    """When a node's configuration was last confirmed to be the newest."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed: timedelta | None = None

    @property
    def age(self) -> timedelta:
        """Time since the last confirmation; ``NEVER_CONFIRMED`` before the first."""
        if self._confirmed is None:
            return NEVER_CONFIRMED
        return self._clock.monotonic() - self._confirmed

    @property
    def age_ms(self) -> int:
        """The age as it is told to peers."""
        return self.age // MILLISECOND

    def record(self, confirmed: timedelta) -> None:
        """Record that the configuration was the newest at a monotonic time."""
        confirmed = min(confirmed, self._clock.monotonic())
        if self._confirmed is None or confirmed > self._confirmed:
            self._confirmed = confirmed

    def record_answer(self, answer: FleetAnswer, version: int, is_feed: bool) -> None:
        """Record what a peer's message says of the configuration in force.

        The feed of a relay of an earlier release, which doesn't tell the age, confirms
        it as well, since the relay has just read the store.

        :param version: version in force, after the message has been applied.
        """
        if answer.config_version > version:
            return
        age_ms = answer.config_age_ms
        if age_ms >= 0 or is_feed:
            age = max(0, min(age_ms, _NEVER_CONFIRMED_MS)) * MILLISECOND
            self.record(self._clock.monotonic() - age)


class ConfirmationQueries:
    """Asks peers for a confirmation before the last one is too old.

    :param longest_age: age from which requests would be refused.
    """

    def __init__(
        self,
        links: FleetLinks,
        routing: RoutingState,
        confirmation: ConfigConfirmation,
        longest_age: timedelta,
    ) -> None:
        self._links = links
        self._routing = routing
        self._confirmation = confirmation
        self._longest_age = longest_age
        self._random = Random()

    async def run(self) -> None:
        """Ask while it is needed; never returns."""
        while True:
            interval = self._longest_age * QUERY_INTERVAL_SHARE
            await anyio.sleep(interval.total_seconds())
            if self._confirmation.age >= self._longest_age * QUERY_AGE_SHARE:
                self._ask()

    def _ask(self) -> None:
        peers = list(self._links.peers.values())
        for peer in self._random.sample(peers, min(PEERS_PER_QUERY, len(peers))):
            peer.send(FleetQuery(config_version=self._routing.version))
