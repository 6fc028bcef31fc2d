"""Which nodes' reports reach this node, for the share of quotas that it may use.

Reports are sent on changes only, so silence alone tells nothing. While any usage of
quotas is known, nodes therefore repeat their reports, and relays their sums: who isn't
heard for three of these intervals counts as not heard. The same goes for who doesn't
acknowledge what this node sends: a relay by sums that include its reports, a relay of
another data centre and a node that reports directly by naming what they received.
"""

from collections.abc import Callable, Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, replace
from datetime import timedelta

from chivespan.acktracker import AckTracker
from chivespan.clock import Clock
from chivespan.customers.heard import HOLD_TIME, HeardNodes, Hearing
from chivespan.fleetlinks import FleetLinks, Peer
from chivespan.nodemessages import (
    DataCentreReport,
    LoadReport,
    NodeValue,
    SummedReport,
)
from chivespan.quotareports import QuotaReports
from chivespan.sumnames import WHOLE_FLEET, sum_name

REPEAT_INTERVAL = timedelta(milliseconds=200)
SILENCE_TIMEOUT = 3 * REPEAT_INTERVAL
# Number of nodes in the sum of a data centre that can't be reached.
UNREACHABLE = -1


@dataclass(frozen=True, slots=True)
class _Sum:
    """The latest sum of one data centre, or of the whole fleet.

    :ivar nodes: nodes that it covers; 0 if it was sent by an earlier release.
    :ivar names: nodes whose reports it names.
    :ivar sequence: its number at the relay that sent it; 0 if it has none.
    """

    data_centre: str
    nodes: int
    names: AbstractSet[str]
    sequence: int
    received: timedelta


class ReportWatch:
    """Tracks the reports that arrive, and tells which nodes are heard.

    :param remote_nodes: returns the live nodes that have no link to this one.
    :param is_needed: returns whether any customer is known; without customers nothing
        is repeated and sums don't say how many nodes they cover.
    """

    def __init__(
        self,
        links: FleetLinks,
        heard: HeardNodes,
        quotas: QuotaReports,
        clock: Clock,
        remote_nodes: Callable[[], Iterable[NodeValue]],
        is_needed: Callable[[], bool],
    ) -> None:
        self._links = links
        self._heard = heard
        self._quotas = quotas
        self._clock = clock
        self._remote_nodes = remote_nodes
        self._is_needed = is_needed
        self._reported: dict[str, timedelta] = {}
        self._sums: dict[str, _Sum] = {}
        self._answers = AckTracker(clock, SILENCE_TIMEOUT)
        self._sum_sequence = 0
        self._own_reported = self._sums_repeated = clock.monotonic()
        self._usage_since: timedelta | None = None

    @property
    def is_needed(self) -> bool:
        """Whether any customer is known."""
        return self._is_needed()

    @property
    def is_report_due(self) -> bool:
        """Whether this node has to repeat its report."""
        return self._is_due(self._own_reported)

    def take_sums_due(self) -> bool:
        """Return whether a relay has to repeat its sums; true once per interval."""
        if not self._is_due(self._sums_repeated):
            return False
        self._sums_repeated = self._clock.monotonic()
        return True

    def local_count(self) -> int:
        """Return how many nodes of this data centre the sum of its relay covers."""
        return 1 + len(self._local_heard()) if self._is_needed() else 0

    def fleet_count(self) -> int:
        """Return how many nodes the sum over the whole fleet covers."""
        if not self._is_needed():
            return 0
        return self.local_count() + sum(map(self._covered, self._current_centres()))

    def lost_count(self) -> int:
        """Return what the sum of a data centre that can't be reached says instead."""
        return UNREACHABLE if self._is_needed() else 0

    def received_reports(self) -> list[SummedReport]:
        """Return the reports to acknowledge to nodes that report directly."""
        if self._links.uses_relay or not self._is_needed():
            return []
        peers = self._links.peers
        return [
            SummedReport(vm=vm, sequence=peers[vm].report.sequence)
            for vm in sorted(self._reported.keys() & peers.keys())
        ]

    def record_sent(self, sequence: int, receivers: Iterable[Peer]) -> None:
        """Record that this node sends a report with counts.

        A relay answers with its sums.
        """
        self._own_reported = self._clock.monotonic()
        if not self._is_needed():
            return
        uses_relay = self._links.uses_relay
        for peer in receivers:
            answered_by = sum_name(WHOLE_FLEET) if uses_relay else peer.node.vm
            self._answers.record_sent(answered_by, sequence)

    def numbered(self, report: DataCentreReport, relay: NodeValue) -> DataCentreReport:
        """Return a sum as it is sent to another relay, which is to acknowledge it."""
        if not self._is_needed():
            return report
        reporter = sum_name(relay.data_centre)
        self._sum_sequence += 1
        self._answers.record_sent(reporter, self._sum_sequence)
        latest = self._sums.get(reporter)
        received = []
        if latest is not None and latest.sequence:
            received = [SummedReport(vm=relay.vm, sequence=latest.sequence)]
        return replace(report, sequence=self._sum_sequence, received=received)

    def record_report(self, vm: str, report: LoadReport) -> None:
        """Record a report of a node of this data centre."""
        self._reported[vm] = self._clock.monotonic()
        self._record_answers(vm, report.received)

    def record_sum(self, reporter: str, report: DataCentreReport) -> None:
        """Record a sum, which acknowledges the own report that it includes."""
        if report.nodes == UNREACHABLE:
            self.forget(reporter)
            return
        self._record_answers(reporter, [*report.summed, *report.received])
        self._sums[reporter] = _Sum(
            report.data_centre,
            report.nodes,
            frozenset(part.vm for part in report.summed),
            report.sequence,
            self._clock.monotonic(),
        )

    def passed_on(self, report: DataCentreReport) -> DataCentreReport:
        """Return a sum for nodes that get it from this relay only.

        They don't see whether it arrives late. If it does, they don't count the nodes
        that it covers, nor their levels.
        """
        latest = self._sums.get(sum_name(report.data_centre))
        if not self._is_needed() or (latest is not None and self._is_current(latest)):
            return report
        return replace(report, nodes=UNREACHABLE, customer_usage=[])

    def forget(self, reporter: str) -> None:
        """Forget a node or a sum that no longer counts."""
        self._reported.pop(reporter, None)
        self._sums.pop(reporter, None)
        self._answers.forget(reporter)

    def update(self, sums_locally: bool) -> None:
        """Tell which nodes are heard; called periodically.

        :param sums_locally: whether this node adds up reports itself, and doesn't
            depend on a relay.
        """
        if not self._is_needed():
            return
        if not self._quotas.is_any_known:
            self._usage_since = None
        elif self._usage_since is None:
            self._usage_since = self._clock.monotonic()
        self._quotas.expect_reports(self._usage_since)
        self._heard.update(self._hear_directly() if sums_locally else self._hear_sum())
        self._quotas.set_nodes(self._heard.known)
        self._drop_outdated_levels()

    def _drop_outdated_levels(self) -> None:
        """Drop the levels of nodes that no longer count as heard.

        Their share of the quota is left to them, so their levels must not use up the
        share of this node as well.
        """
        if self._usage_since is None:
            return
        limit = self._clock.monotonic() - (SILENCE_TIMEOUT + HOLD_TIME)
        received = dict(self._reported)
        received |= {name: each.received for name, each in self._sums.items()}
        for name, at in received.items():
            if max(at, self._usage_since) < limit:
                self._quotas.stop_counting(name)

    def _hear_directly(self) -> Hearing:
        centres = {each.data_centre for each in self._current_centres()}
        nodes = [*self._remote_nodes()]
        nodes += [peer.node for peer in self._links.peers.values()]
        names = {node.vm for node in nodes if node.data_centre in centres}
        return self._hearing(self.fleet_count(), names | self._local_heard())

    def _hear_sum(self) -> Hearing:
        """Return what this node hears through its relay, which is nothing or all."""
        whole = self._sums.get(sum_name(WHOLE_FLEET))
        if whole is None or not self._is_current(whole):
            return self._hearing(1, set())
        names = {node.vm for node in self._remote_nodes()}
        names |= self._links.peers.keys() | whole.names
        missing = self._links.own.vm not in whole.names
        return self._hearing(self._covered(whole) + missing, names)

    def _hearing(self, count: int, names: AbstractSet[str]) -> Hearing:
        peers = self._links.peers
        leaving = {vm for vm, peer in peers.items() if peer.report.leaving}
        listed = {node.vm for node in self._links.nodes}
        return Hearing(count, names, listed, leaving, peers.keys() - leaving)

    def _local_heard(self) -> set[str]:
        """Return the other nodes of this data centre whose reports arrive."""
        reporting = self._links.peers_in(self._links.own.data_centre)
        vms = (peer.node.vm for peer in reporting if peer.report.sequence)
        return {
            vm
            for vm in vms
            if self._is_recent(self._reported.get(vm)) and self._answers_in_time(vm)
        }

    def _current_centres(self) -> list[_Sum]:
        """Return the sums of other data centres that aren't outdated."""
        own = self._links.own.data_centre
        return [
            each
            for each in self._sums.values()
            if each.data_centre not in (WHOLE_FLEET, own) and self._is_current(each)
        ]

    def _is_current(self, one: _Sum) -> bool:
        """Return whether a sum isn't outdated; earlier releases don't repeat theirs."""
        if not one.nodes:
            return True
        is_recent = self._is_recent(one.received)
        return is_recent and self._answers_in_time(sum_name(one.data_centre))

    def _covered(self, one: _Sum) -> int:
        """Return how many nodes a sum covers; all known ones if it doesn't say."""
        if one.nodes:
            return one.nodes
        known = {node.vm: node for node in [*self._links.nodes, *self._remote_nodes()]}
        centre = one.data_centre
        return sum(node.data_centre == centre or not centre for node in known.values())

    def _is_recent(self, at: timedelta | None) -> bool:
        """Return whether something that is repeated while usage is known isn't late."""
        if at is None:
            return False
        if self._usage_since is None:
            return True
        expected_since = max(at, self._usage_since)
        return self._clock.monotonic() - expected_since < SILENCE_TIMEOUT

    def _answers_in_time(self, reporter: str) -> bool:
        since = self._usage_since
        return since is None or not self._answers.is_late(reporter, since)

    def _record_answers(self, reporter: str, parts: Iterable[SummedReport]) -> None:
        for part in parts:
            if part.vm == self._links.own.vm:
                self._answers.record_ack(reporter, part.sequence)

    def _is_due(self, last: timedelta) -> bool:
        if self._usage_since is None:
            return False
        return self._clock.monotonic() - last >= REPEAT_INTERVAL
