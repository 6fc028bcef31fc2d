"""Tells other nodes what this one has in progress, and takes in what they tell.

Nodes of a data centre tell each other of each change at once. One of them, the relay,
sends the sums of all to the relay of every other data centre, which passes them on to
its neighbours: so little goes between data centres, and it hardly grows with the nodes.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace
from datetime import timedelta

import anyio

from chivespan.clock import Clock
from chivespan.codec import encode_message
from chivespan.fleetlinks import NO_REPORT, FleetLinks, FleetListener, Peer
from chivespan.loadboard import LoadBoard, summed
from chivespan.logs import logger
from chivespan.nodemessages import DataCentreReport, LoadReport, TargetLoad
from chivespan.targetsilence import TargetSilence

NEAR_INTERVAL = timedelta(milliseconds=30)
FAR_INTERVAL = timedelta(milliseconds=60)

_log = logger("reports")


class LoadReports(FleetListener):
    """Sends and takes reports.

    :param describe: gives what this node tells of itself now, with its counts.
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
        self._far_sent: dict[str, list[TargetLoad]] = {}
        self._standing = NO_REPORT
        links.add_listener(self)

    def peer_joined(self, peer: Peer) -> None:
        """Tell a new peer at once."""
        report = self._describe()
        near = self._links.is_near(peer)
        peer.send(report if near else _without_loads(report))
        self._far_sent.clear()

    def peer_left(self, peer: Peer) -> None:
        """Forget what a lost peer had in progress."""
        self._board.forget(peer.node.vm)
        self._silence.forget(peer.node.vm)
        self._far_sent.clear()
        centre = peer.node.data_centre
        if not any(self._peers_in(centre)):
            self._board.forget(_sums_of(centre))

    async def take(self, peer: Peer, message: object) -> None:
        """Take in a report, and pass sums on where this node is the relay."""
        if isinstance(message, LoadReport):
            peer.report = message
            if self._links.is_near(peer):
                self._board.report(peer.node.vm, message.loads)
            self._silence.told(peer.node.vm, message.silent)
        elif isinstance(message, DataCentreReport):
            self._board.report(_sums_of(message.data_centre), message.loads)
            if not self._links.is_near(peer):
                self._send(self._near_peers(), message)

    def send_now(self) -> None:
        """Tell all peers at once, as something other than a count has changed."""
        report = self._describe()
        self._send(self._near_peers(), report)
        self._send(self._far_peers(), _without_loads(report))

    async def run(self) -> None:
        """Report changes for ever."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_near)
            tasks.start_soon(self._report_far)

    async def _report_near(self) -> None:
        while True:
            with anyio.move_on_after(1):
                await self._board.wait_own_changed()
            self._send(self._near_peers(), self._describe())
            await anyio.sleep(NEAR_INTERVAL.total_seconds())

    async def _report_far(self) -> None:
        while True:
            await anyio.sleep(FAR_INTERVAL.total_seconds())
            self._tell_of_standing()
            if self._is_relay():
                self._send_sums()

    def _tell_of_standing(self) -> None:
        """Tell all peers at once how this node stands when that has changed."""
        standing = _without_loads(self._describe())
        if standing == self._standing:
            return
        if standing.silent != self._standing.silent:
            _log.info(
                "silent_targets",
                targets=standing.silent,
                before=self._standing.silent,
            )
        self._standing = standing
        self.send_now()

    def _send_sums(self) -> None:
        """Send this data centre's sums to the relays that don't have them."""
        own = self._links.own
        near = [peer.report.loads for peer in self._near_peers()]
        loads = summed([self._board.own_loads(), *near])
        for relay in self._far_relays():
            if self._far_sent.get(relay.node.vm) != loads:
                self._far_sent[relay.node.vm] = loads
                relay.send(DataCentreReport(data_centre=own.data_centre, loads=loads))

    def _is_relay(self) -> bool:
        own = self._links.own.vm
        return all(own < peer.node.vm for peer in self._near_peers())

    def _far_relays(self) -> Iterable[Peer]:
        """Yield the node of each other data centre that passes sums on there."""
        centres = {peer.node.data_centre for peer in self._links.peers.values()}
        for centre in centres - {self._links.own.data_centre}:
            yield min(self._peers_in(centre), key=lambda peer: peer.node.vm)

    def _near_peers(self) -> list[Peer]:
        return list(self._peers_in(self._links.own.data_centre))

    def _far_peers(self) -> list[Peer]:
        peers = self._links.peers.values()
        return [peer for peer in peers if not self._links.is_near(peer)]

    def _peers_in(self, data_centre: str) -> Iterable[Peer]:
        for peer in self._links.peers.values():
            if peer.node.data_centre == data_centre:
                yield peer

    def _send(self, peers: Iterable[Peer], message: object) -> None:
        frame = encode_message(message)
        for peer in peers:
            peer.send_frame(frame)


def _without_loads(report: LoadReport) -> LoadReport:
    """Return what nodes of other data centres are told; they get sums besides."""
    return replace(report, loads=[])


def _sums_of(data_centre: str) -> str:
    """Return under which name the board keeps another data centre's sums."""
    return f"sums of {data_centre}"
