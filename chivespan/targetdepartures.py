"""Runs of targets that have announced their end in a response.

A target announces its end to its callers before the store lists it as draining, and
some targets never report it to the store. An announcement holds for the rest of the
run, whatever the store still lists; only a later run of the target ends it.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass
from datetime import timedelta

from chivespan.clock import Clock
from chivespan.logs import logger
from chivespan.nodemessages import TargetEntry, TargetRun

# An announcement is kept for this long after the target's entry is last seen, because a
# stale list may contain the entry again.
KEPT_WITHOUT_ENTRY = timedelta(seconds=60)

_log = logger("targets")


@dataclass(slots=True)
class _Departure:
    """An announced end of a run.

    :ivar observed_here: whether this node received the announcement itself.
    :ivar last_listed: when the target's entry was last seen, or the announcement made.
    """

    run: TargetRun
    observed_here: bool
    last_listed: timedelta


class TargetDepartures:
    """The announced ends of runs, by target id."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._departures: dict[str, _Departure] = {}

    @property
    def all_runs(self) -> Iterator[TargetRun]:
        """All runs known to have announced their end."""
        for departure in self._departures.values():
            yield departure.run

    @property
    def observed_here(self) -> Iterator[TargetRun]:
        """The runs whose announcement this node received itself."""
        for departure in self._departures.values():
            if departure.observed_here:
                yield departure.run

    def record(self, run: TargetRun, source: str, observed_here: bool) -> bool:
        """Record that a run announced its end; return whether that is new.

        :param source: where the announcement was received, for the log.
        """
        known = self._departures.get(run.target_id)
        if known is not None and known.run.started_ms >= run.started_ms:
            return False
        now = self._clock.monotonic()
        self._departures[run.target_id] = _Departure(run, observed_here, now)
        _log.info(
            "target_leaving",
            target=run.target_id,
            started_ms=run.started_ms,
            source=source,
        )
        return True

    def includes(self, entry: TargetEntry) -> bool:
        """Return whether the run that an entry describes has announced its end."""
        departure = self._departures.get(entry.target_id)
        return departure is not None and departure.run.started_ms >= entry.started_ms

    def remove_outdated(self, listed: Collection[str]) -> None:
        """Forget announcements whose targets have not been listed for a long time.

        :param listed: ids of the targets that are listed now.
        """
        now = self._clock.monotonic()
        for target_id, departure in list(self._departures.items()):
            if target_id in listed:
                departure.last_listed = now
            elif now - departure.last_listed >= KEPT_WITHOUT_ENTRY:
                del self._departures[target_id]
