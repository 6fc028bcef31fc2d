"""Usage of owners, merged from the reports of all counting processes.

Every process reports running totals under its incarnation id. Merging keeps the maximum
per incarnation and is therefore idempotent and commutative: reports may be lost,
duplicated or reordered. Usage counted after a process's last report is lost when the
process ends.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from chivespan.messages import UsageCount, UsageReport, WorkClass


@dataclass(frozen=True, slots=True)
class UsageKey:
    """Key of a usage count."""

    owner: str
    service: str
    work_class: WorkClass


MAX_ROWS = 50_000
_COUNTS = ("requests", "tokens", "slot_ms", "refusals")


def key_of(count: UsageCount) -> UsageKey:
    """Return the key of a usage count."""
    return UsageKey(count.owner, count.service, count.work_class)


def summed(counts: Iterable[UsageCount]) -> dict[UsageKey, UsageCount]:
    """Return the sum of the counts for each key."""
    totals: dict[UsageKey, UsageCount] = {}
    for count in counts:
        key = key_of(count)
        totals[key] = _sum(totals[key], count) if key in totals else count
    return totals


class UsageLedger:
    """Latest totals of every known incarnation.

    >>> count = UsageCount(
    ...     owner="o", service="s", work_class=WorkClass.online, requests=3
    ... )
    >>> ledger = UsageLedger()
    >>> report = UsageReport(vm="10.0.0.1", incarnation="a", counts=[count])
    >>> ledger.merge(report), ledger.merge(report)
    (None, None)
    >>> [total.requests for total in ledger.totals()]
    [3]
    """

    def __init__(self) -> None:
        self._by_incarnation: dict[str, dict[UsageKey, UsageCount]] = {}
        self._evicted_rows = 0

    @property
    def evicted_rows(self) -> int:
        """Number of rows that were evicted to bound memory."""
        return self._evicted_rows

    def merge(self, report: UsageReport) -> None:
        """Merge the running totals of one process."""
        totals = self._by_incarnation.pop(report.incarnation, {})
        self._by_incarnation[report.incarnation] = totals
        for count in report.counts:
            key = key_of(count)
            totals[key] = _maximum(totals[key], count) if key in totals else count
        self._evict_oldest()

    def totals(self) -> list[UsageCount]:
        """Return the sum over all incarnations."""
        counts = (
            count
            for by_key in self._by_incarnation.values()
            for count in by_key.values()
        )
        return list(summed(counts).values())

    def reports(self, vm: str) -> list[UsageReport]:
        """Return all totals as reports, to initialize a process that has just started.

        :param vm: IP address of the sender's VM.
        """
        return [
            UsageReport(vm=vm, incarnation=incarnation, counts=list(by_key.values()))
            for incarnation, by_key in self._by_incarnation.items()
        ]

    def _evict_oldest(self) -> None:
        """Evict the least recently reported incarnations above ``MAX_ROWS`` rows."""
        while len(self._by_incarnation) > 1:
            if sum(map(len, self._by_incarnation.values())) <= MAX_ROWS:
                return
            oldest = next(iter(self._by_incarnation))
            self._evicted_rows += len(self._by_incarnation.pop(oldest))


def _sum(first: UsageCount, second: UsageCount) -> UsageCount:
    return _with_values(
        first, [getattr(first, n) + getattr(second, n) for n in _COUNTS]
    )


def _maximum(first: UsageCount, second: UsageCount) -> UsageCount:
    return _with_values(
        first, [max(getattr(first, n), getattr(second, n)) for n in _COUNTS]
    )


def _with_values(template: UsageCount, values: list[int]) -> UsageCount:
    requests, tokens, slot_ms, refusals = values
    return UsageCount(
        owner=template.owner,
        service=template.service,
        work_class=template.work_class,
        requests=requests,
        tokens=tokens,
        slot_ms=slot_ms,
        refusals=refusals,
    )
