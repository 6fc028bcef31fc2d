"""Counts in load reports: those of this node, those of its peers, and their sums.

A node keeps the counts of each reporter, which is a peer or a sum over several nodes,
until the reporter replaces them or is lost.
"""

from collections.abc import Iterable, Sequence
from dataclasses import replace

from chivespan.loadtable import LoadTable, sum_loads
from chivespan.nodemessages import (
    DataCentreReport,
    LoadReport,
    SummedReport,
    TargetRun,
)
from chivespan.quotareports import QuotaReports
from chivespan.recentsends import sum_sends
from chivespan.reportwatch import ReportWatch
from chivespan.sumnames import WHOLE_FLEET
from chivespan.targetset import TargetSet
from chivespan.targetsilence import SilenceDetector


class ReportedCounts:
    """Fills reports with what this node counts, and keeps what its peers count."""

    def __init__(
        self,
        load_table: LoadTable,
        silence: SilenceDetector,
        targets: TargetSet,
        quotas: QuotaReports,
        watch: ReportWatch,
    ) -> None:
        self._load_table = load_table
        self._silence = silence
        self._targets = targets
        self._quotas = quotas
        self._watch = watch

    def own_report(self, status: LoadReport, sequence: int) -> LoadReport:
        """Return this node's status with its counts."""
        self._targets.returns.record_sent(sequence)
        return replace(
            status,
            sequence=sequence,
            silent=self._silence.local_silent(),
            loads=self._load_table.own_loads(),
            leaving_targets=self._targets.leaving_runs,
            recent_sends=self._targets.recent_sends.own_sends(),
            customer_usage=self._quotas.own_levels(),
            received=self._watch.received_reports(),
        )

    def have_loads_changed(self, sent: LoadReport | None) -> bool:
        """Return whether this node's requests in progress differ from its report."""
        return self._load_table.own_loads() != (sent.loads if sent else [])

    def has_other_news(self, sent: LoadReport | None) -> bool:
        """Return whether other counts or what is known of targets differ from it."""
        leaving = sent.leaving_targets if sent else []
        sends = sent.recent_sends if sent else []
        usage = sent.customer_usage if sent else []
        return (
            self._targets.leaving_runs != leaving
            or self._targets.recent_sends.own_sends() != sends
            or self._quotas.own_levels() != usage
        )

    def apply_node(self, vm: str, report: LoadReport) -> None:
        """Replace the counts of a peer."""
        self._load_table.report(vm, report.loads)
        self._targets.recent_sends.report(vm, report.recent_sends)
        self._targets.returns.apply_node(vm, report.promised_returns)
        self._quotas.apply(vm, report.customer_usage, [])
        self._watch.record_report(vm, report)
        self._silence.update_peer(vm, report.silent)

    def apply_sum(
        self, name: str, report: DataCentreReport, own: LoadReport | None
    ) -> None:
        """Replace the counts of a sum.

        :param own: this node's own report that the sum includes.
        """
        own_loads, own_sends = (own.loads, own.recent_sends) if own else ([], [])
        self._load_table.report(name, report.loads, own_loads)
        self._targets.recent_sends.report(name, report.recent_sends, own_sends)
        own_sequence = own.sequence if own else None
        self._targets.returns.apply_sum(name, report.promised_returns, own_sequence)
        own_usage = own.customer_usage if own else []
        # A sum over the whole fleet covers this node as well.
        others = max(0, report.nodes - (report.data_centre == WHOLE_FLEET))
        self._quotas.apply(name, report.customer_usage, own_usage, others)
        self._watch.record_sum(name, report)
        self._silence.update_peer(name, report.silent)

    def record_leaving(self, runs: Iterable[TargetRun], source: str) -> None:
        """Record the targets that a reporter knows to have announced their end."""
        for run in runs:
            self._targets.record_leaving(run, source)

    def remove(self, reporter: str) -> None:
        """Drop the counts and silent targets of one reporter: a node or a sum."""
        self._load_table.remove_peer(reporter)
        self._targets.recent_sends.remove_peer(reporter)
        self._targets.returns.remove(reporter)
        self._quotas.remove(reporter)
        self._watch.forget(reporter)
        self._silence.remove_peer(reporter)

    def data_centre_sum(
        self, data_centre: str, reports: Sequence[LoadReport]
    ) -> DataCentreReport:
        """Return the sum over this node and the reports of others."""
        silent = set(self._silence.local_silent()).union(
            *(report.silent for report in reports)
        )
        loads = [report.loads for report in reports]
        sends = [report.recent_sends for report in reports]
        usage = [report.customer_usage for report in reports]
        return DataCentreReport(
            data_centre=data_centre,
            summed=[],
            silent=sorted(silent),
            loads=sum_loads([self._load_table.own_loads(), *loads]),
            leaving_targets=self._targets.known_leaving_runs,
            recent_sends=sum_sends([self._targets.recent_sends.own_sends(), *sends]),
            customer_usage=self._quotas.sum_with_own(usage),
            nodes=self._watch.local_count(),
        )

    def fleet_sum(self, summed: list[SummedReport]) -> DataCentreReport:
        """Return the sum over all nodes, as this node knows it.

        :param summed: the reports of other nodes of its data centre in it.
        """
        return DataCentreReport(
            data_centre=WHOLE_FLEET,
            summed=summed,
            silent=sorted(self._silence.all_silent()),
            loads=self._load_table.totals(),
            leaving_targets=self._targets.known_leaving_runs,
            recent_sends=self._targets.recent_sends.totals(),
            customer_usage=self._quotas.totals(),
            nodes=self._watch.fleet_count(),
        )

    def lost_sum(self, data_centre: str) -> DataCentreReport:
        """Return the sum of a data centre that can't be reached."""
        return DataCentreReport(
            data_centre=data_centre,
            summed=[],
            silent=[],
            loads=[],
            nodes=self._watch.lost_count(),
        )


def with_counts_of(previous: LoadReport, status: LoadReport) -> LoadReport:
    """Return a status without counts with those of its sender's previous report."""
    return replace(
        status,
        sequence=previous.sequence,
        silent=previous.silent,
        loads=previous.loads,
        recent_sends=previous.recent_sends,
        customer_usage=previous.customer_usage,
        leaving_targets=previous.leaving_targets,
    )


def without_changes(report: DataCentreReport) -> DataCentreReport:
    """Return a sum without what it told of changes, whose ages are outdated."""
    return replace(
        report,
        prompt_parts=[],
        target_limits=[],
        target_speeds=[],
        promised_returns=[],
    )
