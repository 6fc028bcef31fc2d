"""This node's own latest reports, which sums that arrive later may include."""

from collections import OrderedDict

from chivespan.nodemessages import DataCentreReport, LoadReport

# Own reports kept because a sum that includes them may still arrive.
MAX_KEPT_REPORTS = 100


class SentReports:
    """The reports with counts that this node has sent, by their sequence.

    :param own: the IP number of this node.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._sequence = 0
        self._reports: OrderedDict[int, LoadReport] = OrderedDict()

    @property
    def next_sequence(self) -> int:
        """The sequence of the next report."""
        return self._sequence + 1

    @property
    def last(self) -> LoadReport | None:
        """The latest report; None before the first."""
        return self._reports.get(self._sequence)

    def record(self, report: LoadReport) -> None:
        """Keep a report that is sent."""
        self._sequence = report.sequence
        self._reports[report.sequence] = report
        if len(self._reports) > MAX_KEPT_REPORTS:
            self._reports.popitem(last=False)

    def included_in(self, report: DataCentreReport) -> LoadReport | None:
        """Return this node's own report that is included in a sum."""
        for part in report.summed:
            if part.vm == self._own:
                return self._reports.get(part.sequence)
        return None
