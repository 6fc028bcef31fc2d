"""The suspicions that a node keeps: bounded for each kind, and weighed together."""

from collections.abc import Iterator
from datetime import timedelta
from typing import TypeAlias

from chivespan.clock import NO_WAIT
from chivespan.suspects import is_request
from chivespan.suspicion import ExplainedRuns, Run, Suspicion

MAX_PARTS = 64
# Nearly each request at a target that ends is another suspect.
MAX_REQUESTS = 256
# Differences of this size come from the way of a report to a node.
REPORT_DELAY = timedelta(seconds=1)

# Whether a suspect is in quarantine, its ended runs, and the time of its last crash.
Rank: TypeAlias = tuple[bool, int, timedelta]
LEAST_RANK: Rank = (False, 0, NO_WAIT)


class Suspicions:
    """All suspicions of a node, by suspect."""

    def __init__(self) -> None:
        self._by_suspect: dict[str, Suspicion] = {}

    def __iter__(self) -> Iterator[str]:
        return iter(self._by_suspect)

    def __getitem__(self, suspect: str) -> Suspicion:
        return self._by_suspect[suspect]

    def get(self, suspect: str) -> Suspicion | None:
        """Return the suspicion of a suspect, if there is one."""
        return self._by_suspect.get(suspect)

    def items(self) -> list[tuple[str, Suspicion]]:
        """Return all suspects with their suspicions."""
        return list(self._by_suspect.items())

    def get_or_add(self, suspect: str, rank: Rank = LEAST_RANK) -> Suspicion | None:
        """Return the entry of a suspect, new if needed; None if others matter more.

        :param rank: rank of a new entry.
        """
        suspicion = self._by_suspect.get(suspect)
        if suspicion is None and self._make_room(suspect, rank):
            suspicion = self._by_suspect[suspect] = Suspicion(is_request(suspect))
        return suspicion

    def forget(self, suspect: str) -> None:
        """Drop the suspicion of a suspect."""
        del self._by_suspect[suspect]

    def note_sufficient_evidence(self, now: timedelta) -> None:
        """Note since when the evidence against each suspect suffices.

        Of several suspects, those that explain the most crashes come first.
        """
        explained = ExplainedRuns(
            by_parts=self._runs_that_met(requests=False),
            by_requests=self._runs_that_met(requests=True),
        )
        open_cases = [
            suspicion
            for suspicion in self._by_suspect.values()
            if suspicion.quarantined_until is None
        ]
        most = max(
            (each.separate_crashes(explained.by_parts) for each in open_cases),
            default=0,
        )
        for suspicion in open_cases:
            suspicion.note_sufficient(now, explained, most)

    def _runs_that_met(self, requests: bool) -> set[Run]:
        """Return the ended runs that met requests, or parts, in quarantine."""
        return {
            crash.run
            for suspicion in self._by_suspect.values()
            if suspicion.quarantined_until is not None
            and suspicion.is_request is requests
            for crash in suspicion.crashes
        }

    def _make_room(self, suspect: str, rank: Rank) -> bool:
        """Forget the least suspect of the same kind if there are too many.

        :returns: False if a new entry of the given rank would be the least.
        """
        kind = is_request(suspect)
        alike = [each for each in self._by_suspect if is_request(each) is kind]
        if len(alike) < (MAX_REQUESTS if kind else MAX_PARTS):
            return True
        least = min(alike, key=lambda each: (self._rank(each), each))
        if (self._rank(least), least) >= (_rounded(rank), suspect):
            return False
        self.forget(least)
        return True

    def _rank(self, suspect: str) -> Rank:
        """Return the sort key by which entries are kept when there are too many."""
        suspicion = self._by_suspect[suspect]
        in_quarantine = suspicion.quarantined_until is not None
        newest = suspicion.newest_crash
        return _rounded((in_quarantine, suspicion.crashed_runs, newest))


def _rounded(rank: Rank) -> Rank:
    """Return a rank that nodes agree on though reports take time."""
    in_quarantine, runs, newest = rank
    return (in_quarantine, runs, newest // REPORT_DELAY * REPORT_DELAY)
