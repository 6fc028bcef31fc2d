"""Changes in load reports: crash evidence, limits, speeds and promised returns."""

from dataclasses import replace

from chivespan.nodemessages import DataCentreReport, LoadReport, TargetSpeed
from chivespan.quarantine import Quarantine
from chivespan.sentchanges import NOTHING_SENT, SentChanges
from chivespan.sumnames import WHOLE_FLEET
from chivespan.targetset import TargetSet
from chivespan.targetspeeds import TargetSpeeds


class _OwnSpeeds:
    """The speeds for this node's own reports, as ``SentChanges`` uses them.

    A new receiver is sent all speeds. After that, only this node's own changes are
    sent, as receivers get those of other nodes from their reports or from sums. Speeds
    change often, and reports with those of all nodes would grow with the fleet.
    """

    def __init__(self, speeds: TargetSpeeds) -> None:
        self._speeds = speeds

    @property
    def version(self) -> int:
        return self._speeds.version

    @property
    def own_version(self) -> int:
        return self._speeds.own_version

    def changes_since(self, version: int) -> list[TargetSpeed]:
        return self._speeds.changes_since(version, own_only=version != NOTHING_SENT)


class ReportedChanges:
    """Fills reports with the changes that a receiver doesn't have, and applies them."""

    def __init__(self, quarantine: Quarantine, targets: TargetSet) -> None:
        self._quarantine = quarantine
        self._targets = targets
        self._sent_evidence = SentChanges(quarantine)
        self._sent_limits = SentChanges(targets.limits)
        self._sent_speeds = SentChanges(targets.speeds)
        self._sent_own_speeds = SentChanges(_OwnSpeeds(targets.speeds))
        self._sent_returns = SentChanges(targets.returns.own_changes)
        self._sent_centre_returns = SentChanges(targets.returns.centre_changes)
        self._sent_fleet_returns = SentChanges(targets.returns.fleet_changes)

    def has_own_for(self, receiver: str) -> bool:
        """Return whether this node has found changes that a receiver doesn't have."""
        return (
            self._sent_evidence.has_own_for(receiver)
            or self._sent_limits.has_own_for(receiver)
            or self._sent_returns.has_own_for(receiver)
            or self._sent_own_speeds.has_own_for(receiver)
        )

    def with_own(self, report: LoadReport, receiver: str) -> LoadReport:
        """Return a report with the changes for a receiver of this node's own."""
        return replace(
            report,
            prompt_parts=self._sent_evidence.own_for(receiver),
            target_limits=self._sent_limits.own_for(receiver),
            promised_returns=self._sent_returns.own_for(receiver),
            target_speeds=self._sent_own_speeds.own_for(receiver),
        )

    def with_all(self, report: DataCentreReport, receiver: str) -> DataCentreReport:
        """Return a sum with all changes for a receiver; itself if there are none."""
        evidence = self._sent_evidence.all_for(receiver)
        limits = self._sent_limits.all_for(receiver)
        speeds = self._sent_speeds.all_for(receiver)
        is_whole_fleet = report.data_centre == WHOLE_FLEET
        sent = self._sent_fleet_returns if is_whole_fleet else self._sent_centre_returns
        returns = sent.all_for(receiver)
        if not (evidence or limits or speeds or returns):
            return report
        return replace(
            report,
            prompt_parts=evidence,
            target_limits=limits,
            target_speeds=speeds,
            promised_returns=returns,
        )

    def merge(self, report: LoadReport | DataCentreReport, source: str) -> None:
        """Apply the changes of a report, except promised returns.

        Those belong to one reporter, and ``ReportedCounts`` applies them.

        :param source: where it came from, for the log.
        """
        self._quarantine.merge(report.prompt_parts, source)
        self._targets.limits.merge(report.target_limits, source)
        self._targets.speeds.merge(report.target_speeds)

    def forget(self) -> None:
        """Have everything sent again, since some receivers are new."""
        self._sent_evidence.forget()
        self._sent_limits.forget()
        self._sent_speeds.forget()
        self._sent_returns.forget()
        self._sent_centre_returns.forget()
        self._sent_fleet_returns.forget()
        self._sent_own_speeds.forget()
