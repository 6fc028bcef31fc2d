"""Tells peers what this node has in progress, and takes in what they tell.

Nodes of the same data centre hear of each change at once, the others less often, since
bytes between data centres cost more than a slightly older count.
"""

from collections.abc import Callable
from datetime import timedelta

import anyio

from chivespan.clock import Clock
from chivespan.codec import encode_message
from chivespan.fleetlinks import FleetLinks, FleetListener, Peer
from chivespan.loadboard import LoadBoard
from chivespan.logs import logger
from chivespan.nodemessages import LoadReport
from chivespan.targetsilence import TargetSilence

NEAR_INTERVAL = timedelta(milliseconds=30)
FAR_INTERVAL = timedelta(milliseconds=250)

_log = logger("reports")


class LoadReports(FleetListener):
    """Sends and takes load reports.

    :param describe: gives the report to send now.
    """

    def __init__(
        self,
        links: FleetLinks,
        board: LoadBoard,
        clock: Clock,
        describe: Callable[[], LoadReport],
        silence: TargetSilence,
    ) -> None:
        self._links = links
        self._board = board
        self._clock = clock
        self._describe = describe
        self._silence = silence
        self._silent: list[str] = []
        links.add_listener(self)

    def peer_joined(self, peer: Peer) -> None:
        """Tell a new peer at once."""
        peer.send(self._describe())

    def peer_left(self, peer: Peer) -> None:
        """Forget what a lost peer had in progress."""
        self._board.forget(peer.node.vm)
        self._silence.forget(peer.node.vm)

    async def take(self, peer: Peer, message: object) -> None:
        """Take in a report."""
        if isinstance(message, LoadReport):
            peer.report = message
            self._board.report(peer.node.vm, message.loads)
            self._silence.told(peer.node.vm, message.silent)

    def send_now(self) -> None:
        """Tell all peers at once, as something other than a count has changed."""
        frame = encode_message(self._describe())
        for peer in list(self._links.peers.values()):
            peer.send_frame(frame)

    async def run(self) -> None:
        """Report changes for ever."""
        far_sent = self._clock.monotonic()
        far_stale = False
        while True:
            with anyio.move_on_after(FAR_INTERVAL.total_seconds()) as quiet:
                await self._board.wait_own_changed()
            changed = not quiet.cancelled_caught
            far_stale = far_stale or changed
            now = self._clock.monotonic()
            self._tell_of_silence()
            with_far = far_stale and now - far_sent >= FAR_INTERVAL
            if changed or with_far:
                self._send(with_far, with_near=changed)
            if with_far:
                far_sent, far_stale = now, False
            if changed:
                await anyio.sleep(NEAR_INTERVAL.total_seconds())
                self._send(with_far=False, with_near=True)

    def _tell_of_silence(self) -> None:
        """Tell all peers at once of targets that fall silent or speak again."""
        silent = self._silence.own()
        if silent != self._silent:
            _log.info("silent_targets", targets=silent, before=self._silent)
            self._silent = silent
            self.send_now()

    def _send(self, with_far: bool, with_near: bool) -> None:
        frame = encode_message(self._describe())
        for peer in list(self._links.peers.values()):
            if with_near if self._links.is_near(peer) else with_far:
                peer.send_frame(frame)
