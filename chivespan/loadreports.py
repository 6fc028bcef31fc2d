"""Tells other nodes what this one has in progress, and takes in what they tell.

The few nodes of a small data centre tell each other of each change at once. In a large
one they tell the relay, one of them, which sends all of them the sum: what each node
sends and takes then doesn't grow with the nodes. The relay of each data centre also
sends its sum to the other relays, which pass it on: little goes between data centres.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from datetime import timedelta

import anyio

from chivespan.codec import encode_message
from chivespan.fleetlinks import NO_REPORT, FleetLinks, FleetListener, Peer
from chivespan.linkplan import bandwidth_rank
from chivespan.loadboard import LoadBoard, summed
from chivespan.logs import logger
from chivespan.nodemessages import (
    DataCentreReport,
    FleetReport,
    LoadReport,
    SummedReport,
    TargetLoad,
)
from chivespan.targetsilence import TargetSilence

CHANGE_INTERVAL = timedelta(milliseconds=30)
RELAY_INTERVAL = timedelta(milliseconds=60)
# Among many nodes, which all take each sum.
LARGE_RELAY_INTERVAL = timedelta(milliseconds=100)
# At which a node that only reports to a relay looks whether it stands otherwise.
LOOK_INTERVAL = timedelta(milliseconds=150)
REPEAT_INTERVAL = timedelta(seconds=1)
# Nodes of a data centre that tell each other directly, this one not counted.
DIRECT_PEERS = 6
# Own reports that a sum on its way may still hold.
REMEMBERED_REPORTS = 100

_log = logger("reports")


class LoadReports(FleetListener):
    """Sends and takes reports.

    :param describe: gives how this node stands now, without its counts.
    """

    def __init__(
        self,
        links: FleetLinks,
        board: LoadBoard,
        describe: Callable[[], LoadReport],
        silence: TargetSilence,
    ) -> None:
        self._links = links
        self._board = board
        self._describe = describe
        self._silence = silence
        self._near: list[Peer] = []
        self._told: OrderedDict[int, list[TargetLoad]] = OrderedDict()
        self._sequence = 0
        self._relay: str | None = None
        self._standing = NO_REPORT
        self._silent: list[str] = []
        self._sum_sent: dict[str, DataCentreReport] = {}
        self._to_pass_on: dict[str, DataCentreReport] = {}
        links.add_listener(self)

    def peer_joined(self, peer: Peer) -> None:
        """Tell a new peer at once."""
        if self._links.is_local(peer):
            self._near.append(peer)
        self.links_changed(peer)

    def links_changed(self, peer: Peer) -> None:
        """Tell a peer again how this node stands."""
        peer.send(self.own_standing())
        self._repeat_all()

    def peer_left(self, peer: Peer) -> None:
        """Forget what a lost peer had in progress."""
        vm = peer.node.vm
        if peer in self._near:
            self._near.remove(peer)
        self._board.forget(vm)
        self._silence.forget(vm)
        centre = peer.node.data_centre
        if vm == self._relay or not any(self._links.peers_in(centre)):
            self._forget_sum(centre)
        self._repeat_all()

    async def handle_message(self, peer: Peer, message: object) -> None:
        """Take in a report, and pass sums on where this node is the relay."""
        if isinstance(message, LoadReport):
            self._take_report(peer, message)
        elif isinstance(message, DataCentreReport):
            self._take_sum(message)
            self._pass_on(message)
        elif isinstance(message, FleetReport):
            for report in message.reports:
                self._take_sum(report)

    @property
    def is_relay(self) -> bool:
        """Whether this node passes on what data centres tell each other."""
        return self._relay == self._links.own.vm

    def own_standing(self) -> LoadReport:
        """Return how this node stands, without what it has in progress."""
        return self._describe()

    def far_relays(self) -> Iterable[Peer]:
        """Yield the node of each other data centre that passes sums on there."""
        centres = {peer.node.data_centre for peer in self._links.peers.values()}
        for centre in centres - {self._links.own.data_centre}:
            peers = {peer.node.vm: peer for peer in self._links.peers_in(centre)}
            yield peers[_relay_among({vm: peers[vm].report for vm in peers})]

    def send_now(self) -> None:
        """Tell all peers at once how this node stands."""
        self._standing = self.own_standing()
        self._send(self._links.peers.values(), self._standing)
        self._report_loads()

    async def run(self) -> None:
        """Report changes for ever."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_changes)
            tasks.start_soon(self._relay_sums)

    async def _report_changes(self) -> None:
        while True:
            with anyio.move_on_after(REPEAT_INTERVAL.total_seconds()):
                await self._board.wait_own_changed()
            self._report_loads()
            await anyio.sleep(CHANGE_INTERVAL.total_seconds())

    async def _relay_sums(self) -> None:
        while True:
            await anyio.sleep(self._interval.total_seconds())
            self._tell_of_changes()
            if self.is_relay:
                self._send_sums()

    def _take_report(self, peer: Peer, report: LoadReport) -> None:
        """Take what a peer tells of itself; without a number, it tells no counts."""
        if report.sequence == 0:
            kept = peer.report
            report = replace(
                report, sequence=kept.sequence, silent=kept.silent, loads=kept.loads
            )
        elif self._counts_by_itself:
            self._forget_sum(self._links.own.data_centre)
            self._board.report(peer.node.vm, report.loads)
            self._silence.told(peer.node.vm, report.silent)
        is_new_width = report.link_mbps != peer.report.link_mbps
        peer.report = report
        if is_new_width:
            self._choose_relay(self.own_standing())

    def _take_sum(self, report: DataCentreReport) -> None:
        """Take what is in progress in a data centre, but for what this node has."""
        centre = _sums_of(report.data_centre)
        own_part: Sequence[TargetLoad] = ()
        if report.data_centre == self._links.own.data_centre:
            if self._counts_by_itself:
                return
            for peer in self._near:
                self._board.forget(peer.node.vm)
                self._silence.forget(peer.node.vm)
            own_part = self._own_part(report)
        self._board.report(centre, report.loads, own_part)
        self._silence.told(centre, report.silent)

    def _own_part(self, report: DataCentreReport) -> list[TargetLoad]:
        """Return what a sum holds of this node's own counts."""
        own = self._links.own.vm
        for part in report.summed:
            if part.vm == own:
                return self._told.get(part.sequence, [])
        return []

    def _pass_on(self, report: DataCentreReport) -> None:
        """Send another data centre's sum on; among many nodes, at the next tick."""
        if self._is_direct:
            self._send(self._near, FleetReport(reports=[report]))
        else:
            self._to_pass_on[report.data_centre] = report

    def _report_loads(self) -> None:
        """Tell those who sum it up what this node has in progress."""
        self._sequence += 1
        report = replace(
            self._describe(),
            sequence=self._sequence,
            silent=self._silence.own(),
            loads=self._board.own_loads(),
        )
        if self._relay is None:
            self._choose_relay(report)
        self._silent = report.silent
        self._told[self._sequence] = report.loads
        if len(self._told) > REMEMBERED_REPORTS:
            self._told.popitem(last=False)
        self._send(self._listeners(), report)

    def _listeners(self) -> list[Peer]:
        """Return the peers that count this node's loads by themselves."""
        if self._is_direct:
            return self._near
        return [peer for peer in self._near if peer.node.vm == self._relay]

    def _tell_of_changes(self) -> None:
        """Tell peers how this node stands, or which targets are silent, if changed."""
        silent = self._silence.own()
        if self._describe() != self._standing:
            self.send_now()
        elif silent != self._silent:
            _log.info("silent_targets", targets=silent, before=self._silent)
            self._report_loads()

    def _send_sums(self) -> None:
        """Send this data centre's sum to all that don't have it."""
        own_sum = self._own_sum()
        to_far = replace(own_sum, summed=[])
        for relay in self.far_relays():
            if self._sum_sent.get(relay.node.vm) != to_far:
                self._sum_sent[relay.node.vm] = to_far
                relay.send(to_far)
        if self._is_direct:
            return
        news = list(self._to_pass_on.values())
        self._to_pass_on.clear()
        if self._sum_sent.get(own_sum.data_centre) != own_sum:
            self._sum_sent[own_sum.data_centre] = own_sum
            news.append(own_sum)
        if news:
            self._send(self._near, FleetReport(reports=news))

    def _own_sum(self) -> DataCentreReport:
        near = [peer for peer in self._near if peer.report.sequence]
        loads = [peer.report.loads for peer in near]
        silent = set(self._silence.own()).union(*(peer.report.silent for peer in near))
        return DataCentreReport(
            data_centre=self._links.own.data_centre,
            summed=[
                SummedReport(vm=peer.node.vm, sequence=peer.report.sequence)
                for peer in near
            ],
            silent=sorted(silent),
            loads=summed([self._board.own_loads(), *loads]),
        )

    def _repeat_all(self) -> None:
        """Send all that others count on again, as peers have changed."""
        self._sum_sent.clear()
        self._choose_relay(self.own_standing())
        self._report_loads()

    def _choose_relay(self, own_report: LoadReport) -> None:
        candidates = {peer.node.vm: peer.report for peer in self._near}
        candidates[self._links.own.vm] = own_report
        relay = _relay_among(candidates)
        if relay != self._relay:
            _log.info("relay_chosen", relay=relay, before=self._relay)
            self._relay = relay
            self._sum_sent.clear()

    def _forget_sum(self, data_centre: str) -> None:
        self._board.forget(_sums_of(data_centre))
        self._silence.forget(_sums_of(data_centre))

    @property
    def _is_direct(self) -> bool:
        """Whether nodes of this data centre tell each other without a relay."""
        return len(self._near) <= DIRECT_PEERS

    @property
    def _counts_by_itself(self) -> bool:
        """Whether this node adds up the reports of its data centre's nodes."""
        return self._is_direct or self.is_relay

    @property
    def _interval(self) -> timedelta:
        """How often this node looks whether there is news to tell."""
        if self._is_direct:
            return RELAY_INTERVAL
        return LARGE_RELAY_INTERVAL if self.is_relay else LOOK_INTERVAL

    def _send(self, peers: Iterable[Peer], message: object) -> None:
        frame = encode_message(message)
        for peer in peers:
            peer.send_frame(frame)


def _relay_among(reports: dict[str, LoadReport]) -> str:
    """Return the node with the widest link, of several the lowest IP number."""
    return min(reports, key=lambda vm: bandwidth_rank(reports[vm].link_mbps, vm))


def _sums_of(data_centre: str) -> str:
    """Return under which name the board keeps a data centre's sums."""
    return f"sums of {data_centre}"
