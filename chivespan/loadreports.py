"""Exchanges the counts of requests in progress between nodes.

In a small data centre, every node reports its changes directly to all others. In a
large one, nodes report to one of them, the relay, which sends the sum over the whole
fleet to all, so that the traffic of a node doesn't grow with the number of nodes. The
relay of each data centre also sends the sum of its own nodes to the relays of the other
data centres; this keeps traffic between data centres low. Reports are sent on changes
only: links are reliable, and everything is sent again when one is replaced.
"""

from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta

import anyio

from chivespan.codec import encode_message
from chivespan.fleetlinks import NO_REPORT, FleetLinks, FleetListener, Peer
from chivespan.linkplan import relay_among
from chivespan.loadtable import LoadTable
from chivespan.logs import logger
from chivespan.nodemessages import (
    DataCentreReport,
    FleetReport,
    LoadReport,
    SummedReport,
)
from chivespan.quarantine import Quarantine
from chivespan.quotareports import QuotaReports
from chivespan.relaytiming import RelayTiming
from chivespan.reportedchanges import ReportedChanges
from chivespan.reportedcounts import ReportedCounts, with_counts_of, without_changes
from chivespan.reportwatch import ReportWatch
from chivespan.sentreports import SentReports
from chivespan.sumnames import WHOLE_FLEET, sum_name
from chivespan.targetset import TargetSet
from chivespan.targetsilence import SilenceDetector

CHANGE_INTERVAL = timedelta(milliseconds=30)
RELAY_INTERVAL = timedelta(milliseconds=60)
# Interval at which a node that isn't a relay checks its own status for changes.
STATUS_CHECK_INTERVAL = timedelta(milliseconds=150)
# Name of the nodes to which this node reports its own counts.
REPORT_RECEIVERS = "report receivers"

_log = logger("reports")


class LoadReports(FleetListener):
    """Sends this node's load reports and applies those of its peers.

    :param describe: returns this node's current status, without its counts.
    """

    def __init__(
        self,
        links: FleetLinks,
        load_table: LoadTable,
        describe: Callable[[], LoadReport],
        silence: SilenceDetector,
        targets: TargetSet,
        quarantine: Quarantine,
        quotas: QuotaReports,
        watch: ReportWatch,
    ) -> None:
        self._links = links
        self._load_table = load_table
        self._describe = describe
        self._silence = silence
        self._quotas = quotas
        self._watch = watch
        self._counts = ReportedCounts(load_table, silence, targets, quotas, watch)
        self._relay_timing = RelayTiming(targets, load_table)
        self._local_peers: list[Peer] = []
        self._sent_reports = SentReports(links.own.vm)
        self._relay: str | None = None
        self._sent_status = NO_REPORT
        self._reports_directly = True
        self._sent_silent: list[str] = []
        self._changes = ReportedChanges(quarantine, targets)
        self._sent_sums: dict[str, DataCentreReport] = {}
        # The latest sum of each other data centre, for when this node becomes a relay.
        self._received_sums: dict[str, DataCentreReport] = {}
        links.add_listener(self)

    def peer_joined(self, peer: Peer) -> None:
        """Send this node's status and counts to a new peer at once."""
        if self._links.is_local(peer):
            self._local_peers.append(peer)
            self._pass_on_known_sums(peer)
        self.links_changed(peer)

    def links_changed(self, peer: Peer) -> None:
        """Send this node's status and counts again after a link was replaced."""
        peer.send(self.own_status())
        self._report_again()

    def peer_left(self, peer: Peer) -> None:
        """Drop the counts of a peer that has left."""
        vm = peer.node.vm
        if peer in self._local_peers:
            self._local_peers.remove(peer)
        self._counts.remove(vm)
        centre = peer.node.data_centre
        if vm == self._relay:
            self._forget_sum(centre)
        elif self._is_lost(centre):
            self._forget_sum(centre)
            if self.is_relay:
                self._pass_on(self._counts.lost_sum(centre))
        if not self._links.peers:
            self._forget_sum(WHOLE_FLEET)
        self._report_again()

    async def handle_message(self, peer: Peer, message: object) -> None:
        """Apply a report, and pass sums of other data centres on to local peers."""
        if isinstance(message, LoadReport):
            self._apply_report(peer, message)
        elif isinstance(message, DataCentreReport):
            self._changes.merge(message, message.data_centre)
            self._received_sums[message.data_centre] = without_changes(message)
            self._apply_sum(message)
            self._pass_on(self._watch.passed_on(message))
        elif isinstance(message, FleetReport):
            for report in message.reports:
                self._changes.merge(report, peer.node.vm)
                self._apply_sum(report)

    @property
    def is_relay(self) -> bool:
        """Whether this node is the relay of its data centre."""
        return self._relay == self._links.own.vm

    @property
    def staleness(self) -> timedelta:
        """Mean time until a request of another node is counted at this node.

        Two relays add half of their interval each.
        """
        if not self._links.peers:
            return timedelta(0)
        if self._is_direct:
            return CHANGE_INTERVAL
        return CHANGE_INTERVAL + self._relay_timing.interval

    def own_status(self) -> LoadReport:
        """Return this node's current status, without its counts."""
        return self._describe()

    def remote_relays(self) -> Iterable[Peer]:
        """Yield the relay of each other data centre."""
        centres = {peer.node.data_centre for peer in self._links.peers.values()}
        for centre in centres - {self._links.own.data_centre}:
            peers = {peer.node.vm: peer for peer in self._links.peers_in(centre)}
            yield peers[relay_among({vm: peers[vm].report.link_mbps for vm in peers})]

    def send_now(self) -> None:
        """Send this node's status to all peers at once."""
        self._sent_status = self.own_status()
        self._send(self._links.peers.values(), self._sent_status)
        self._report_loads()

    async def run(self) -> None:
        """Report changes until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_changes)
            tasks.start_soon(self._relay_sums)

    async def _report_changes(self) -> None:
        while True:
            # Counts may have changed during the last pause.
            if not self._counts.have_loads_changed(self._sent_reports.last):
                await self._load_table.wait_own_changed()
            self._report_loads()
            await anyio.sleep(CHANGE_INTERVAL.total_seconds())

    async def _relay_sums(self) -> None:
        while True:
            await anyio.sleep(self._interval.total_seconds())
            self._watch.update(self._sums_locally)
            self._report_status_changes()
            if self.is_relay:
                self._send_sums()

    def _apply_report(self, peer: Peer, report: LoadReport) -> None:
        """Apply a peer's report about itself.

        A report with sequence 0 carries the status only, no counts.
        """
        if report.sequence == 0:
            report = with_counts_of(peer.report, report)
        elif self._sums_locally:
            self._forget_sum(WHOLE_FLEET)
            self._counts.apply_node(peer.node.vm, report)
        self._counts.record_leaving(report.leaving_targets, peer.node.vm)
        self._changes.merge(report, peer.node.vm)
        bandwidth_changed = report.link_mbps != peer.report.link_mbps
        peer.report = report
        if bandwidth_changed:
            self._choose_relay(self.own_status())

    def _apply_sum(self, report: DataCentreReport) -> None:
        """Apply the sum of another data centre or of the whole fleet."""
        is_whole_fleet = report.data_centre == WHOLE_FLEET
        name = sum_name(report.data_centre)
        self._counts.record_leaving(report.leaving_targets, name)
        if is_whole_fleet == self._sums_locally:
            return
        if is_whole_fleet:
            self._forget_counts_of_nodes()
        self._counts.apply_sum(name, report, self._sent_reports.included_in(report))

    def _forget_counts_of_nodes(self) -> None:
        """Drop the counts that the sum over the whole fleet includes."""
        for peer in self._local_peers:
            self._counts.remove(peer.node.vm)
        for centre in {node.data_centre for node in self._links.nodes} - {""}:
            self._counts.remove(sum_name(centre))

    def _is_lost(self, centre: str) -> bool:
        """Return whether this node is a gateway without a link to a data centre.

        Other nodes know the sums of other data centres from their relay only.
        """
        is_remote = centre != self._links.own.data_centre
        has_links = any(self._links.peers_in(centre))
        return is_remote and self._links.is_gateway and not has_links

    def _pass_on(self, report: DataCentreReport) -> None:
        """Pass another data centre's sum on to local peers.

        In a large data centre, the next sum over the whole fleet includes it.
        """
        if self._is_direct:
            self._send(self._local_peers, FleetReport(reports=[report]))

    def _pass_on_known_sums(self, peer: Peer) -> None:
        """Send a new local peer the sums that it hears from its relay only."""
        if self._is_direct and self.is_relay and self._watch.is_needed:
            current = map(self._watch.passed_on, self._received_sums.values())
            peer.send(FleetReport(reports=[*current]))

    def _report_loads(self) -> None:
        """Send this node's counts to the peers that sum them up."""
        sequence = self._sent_reports.next_sequence
        report = self._counts.own_report(self._describe(), sequence)
        if self._relay is None:
            self._choose_relay(report)
        self._sent_silent = report.silent
        self._sent_reports.record(report)
        receivers = self._report_receivers()
        self._watch.record_sent(report.sequence, receivers)
        self._send(receivers, self._changes.with_own(report, REPORT_RECEIVERS))

    def _report_receivers(self) -> list[Peer]:
        """Return the peers to which this node reports its counts directly."""
        if self._is_direct:
            return self._local_peers
        return [peer for peer in self._local_peers if peer.node.vm == self._relay]

    def _report_status_changes(self) -> None:
        """Report this node's status, or what it observed of targets and customers.

        Everything is reported again when the number of nodes in this data centre has
        changed who sums up the counts.
        """
        silent = self._silence.local_silent()
        if self._is_direct != self._reports_directly:
            self._reports_directly = self._is_direct
            self._report_again()
        elif self._describe() != self._sent_status:
            self.send_now()
        elif silent != self._sent_silent:
            _log.info("silent_targets", targets=silent, before=self._sent_silent)
            self._report_loads()
        elif self._has_other_news() or self._watch.is_report_due:
            self._report_loads()

    def _has_other_news(self) -> bool:
        """Return whether what loads and silence don't cover has changed."""
        return self._counts.has_other_news(
            self._sent_reports.last
        ) or self._changes.has_own_for(REPORT_RECEIVERS)

    def _send_sums(self) -> None:
        """Send the sums to all peers that don't have them yet."""
        if self._watch.take_sums_due():
            self._sent_sums.clear()
        centre_sum = self._data_centre_sum()
        for relay in self.remote_relays():
            vm = relay.node.vm
            report = self._changes.with_all(centre_sum, vm)
            if report is not centre_sum or self._sent_sums.get(vm) != centre_sum:
                self._sent_sums[vm] = centre_sum
                relay.send(self._watch.numbered(report, relay.node))
        if self._is_direct:
            return
        fleet_sum = self._fleet_sum()
        report = self._changes.with_all(fleet_sum, WHOLE_FLEET)
        if report is not fleet_sum or self._sent_sums.get(WHOLE_FLEET) != fleet_sum:
            self._sent_sums[WHOLE_FLEET] = fleet_sum
            self._send(self._local_peers, FleetReport(reports=[report]))

    def _data_centre_sum(self) -> DataCentreReport:
        """Return the sum over the nodes of this data centre."""
        reports = [peer.report for peer in self._reporting_peers()]
        return self._counts.data_centre_sum(self._links.own.data_centre, reports)

    def _fleet_sum(self) -> DataCentreReport:
        """Return the sum over all nodes, as this node knows it."""
        return self._counts.fleet_sum(
            [
                SummedReport(vm=peer.node.vm, sequence=peer.report.sequence)
                for peer in self._reporting_peers()
            ]
        )

    def _reporting_peers(self) -> Iterator[Peer]:
        """Yield the nodes of this data centre that have reported their counts."""
        return (peer for peer in self._local_peers if peer.report.sequence)

    def _report_again(self) -> None:
        """Choose the relay and send this node's counts again after peers changed."""
        self._forget_what_was_sent()
        self._choose_relay(self.own_status())
        self._report_loads()

    def _choose_relay(self, own_report: LoadReport) -> None:
        candidates = {peer.node.vm: peer.report.link_mbps for peer in self._local_peers}
        candidates[self._links.own.vm] = own_report.link_mbps
        relay = relay_among(candidates)
        if relay != self._relay:
            _log.info("relay_chosen", relay=relay, before=self._relay)
            self._relay = relay
            self._forget_what_was_sent()
            if self.is_relay:
                self._start_relaying()

    def _forget_what_was_sent(self) -> None:
        """Have everything sent again, since some receivers are new."""
        self._sent_sums.clear()
        self._changes.forget()

    def _start_relaying(self) -> None:
        """Count by the sums of the data centres in place of that of another relay."""
        self._quotas.take_over_from(sum_name(WHOLE_FLEET))
        self._forget_sum(WHOLE_FLEET)
        for report in self._received_sums.values():
            self._apply_sum(report)

    def _forget_sum(self, data_centre: str) -> None:
        self._received_sums.pop(data_centre, None)
        self._counts.remove(sum_name(data_centre))

    @property
    def _is_direct(self) -> bool:
        """Whether the nodes of this data centre report directly to each other."""
        return not self._links.uses_relay

    @property
    def _sums_locally(self) -> bool:
        """Whether this node adds up the reports of its data centre's nodes itself."""
        return self._is_direct or self.is_relay

    @property
    def _interval(self) -> timedelta:
        """How often this node checks for changes to report."""
        if self._is_direct:
            return RELAY_INTERVAL
        return self._relay_timing.interval if self.is_relay else STATUS_CHECK_INTERVAL

    def _send(self, peers: Iterable[Peer], message: object) -> None:
        frame = encode_message(message)
        for peer in peers:
            peer.send_frame(frame)
