"""The set of targets that this node may send requests to.

Entries come from the store, or from a peer while the store is unavailable. A target
whose entry expired during an outage of the store gets a grace period to renew it. A
run that has announced its end in a response gets no new requests, whatever is listed.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from chivespan.clock import Clock
from chivespan.logs import logger
from chivespan.nodemessages import TargetEntry, TargetRun
from chivespan.promisedreturns import PromisedReturns
from chivespan.ratelimits import RateLimits
from chivespan.recentsends import RecentSends
from chivespan.targetdepartures import TargetDepartures
from chivespan.targetspeeds import TargetSpeeds

# Time after an outage of the store in which targets may renew expired entries.
RENEWAL_GRACE = timedelta(seconds=2)
# Entries expire only if the store is unavailable for longer than this.
MAX_POLL_GAP = timedelta(seconds=2.5)
# For this long, stale entries of a removed target are rejected.
TOMBSTONE_LIFETIME = timedelta(seconds=60)

_log = logger("targets")


@dataclass(frozen=True, slots=True)
class _Tombstone:
    """The last entry of a removed target, and when it was removed."""

    entry: TargetEntry
    since: timedelta


def entry_version(entry: TargetEntry) -> tuple[int, int]:
    """Return the sort key that orders the entries of one target by age."""
    return (entry.started_ms, entry.sequence)


class TargetSet:
    """All targets by id, each with its newest entry.

    :ivar limits: the rate limits that targets have stated.
    :ivar recent_sends: requests that all nodes have sent to targets with a limit.
    :ivar speeds: how fast targets are, compared with others of their service.
    :ivar returns: refused callers that all nodes have told when to retry.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.limits = RateLimits(clock)
        self.recent_sends = RecentSends(clock)
        self.speeds = TargetSpeeds(clock)
        self.returns = PromisedReturns(clock)
        self._entries: dict[str, TargetEntry] = {}
        # Cache by service, cleared when the entries change.
        self._usable: dict[str, list[TargetEntry]] = {}
        self._tombstones: dict[str, _Tombstone] = {}
        self._departures = TargetDepartures(clock)
        self._last_replaced: timedelta | None = None
        self._removals_from = timedelta(0)

    @property
    def is_loaded(self) -> bool:
        """Whether the entries have been read at least once."""
        return self._last_replaced is not None

    @property
    def entries(self) -> tuple[TargetEntry, ...]:
        """All entries; that of a run that announced its end counts as draining."""
        return tuple(
            entry if self._accepts_requests(entry) else replace(entry, draining=True)
            for entry in self._entries.values()
        )

    @property
    def leaving_runs(self) -> list[TargetRun]:
        """Runs that announced their end to this node and are still listed as ready."""
        return self._still_listed(self._departures.observed_here)

    @property
    def known_leaving_runs(self) -> list[TargetRun]:
        """Runs that announced their end to any node and are still listed as ready."""
        return self._still_listed(self._departures.all_runs)

    def find(self, target_id: str) -> TargetEntry | None:
        """Return the entry of a target; None if it is unknown or draining."""
        entry = self._entries.get(target_id)
        return entry if entry is not None and self._accepts_requests(entry) else None

    def usable(self, service: str) -> Sequence[TargetEntry]:
        """Return the targets of a service that accept new requests."""
        known = self._usable.get(service)
        if known is None:
            known = self._usable[service] = [
                entry
                for entry in self._entries.values()
                if entry.service == service and self._accepts_requests(entry)
            ]
        return known

    def record_leaving(
        self, run: TargetRun, source: str, observed_here: bool = False
    ) -> None:
        """Record that a run of a target has announced its end.

        :param source: where the announcement was received, for the log.
        :param observed_here: whether it was in a response to this node.
        """
        if self._departures.record(run, source, observed_here):
            self._usable.clear()

    def replace(self, entries: Iterable[TargetEntry]) -> None:
        """Replace the entries by those that the store has now.

        Targets missing from the store are removed, except during the grace period after
        an outage of the store. Entries older than the known ones are ignored.
        """
        now = self._clock.monotonic()
        if self._last_replaced is not None and now - self._last_replaced > MAX_POLL_GAP:
            self._removals_from = now + RENEWAL_GRACE
        self._last_replaced = now
        listed = {entry.target_id: entry for entry in entries}
        for entry in listed.values():
            self._apply(entry, now)
        if now >= self._removals_from:
            self._drop_missing(listed.keys(), now)
        self._departures.remove_outdated(self._entries.keys())
        self.limits.remove_outdated(self._entries.keys())
        self.speeds.remove_outdated()
        self._usable.clear()

    def _accepts_requests(self, entry: TargetEntry) -> bool:
        return not entry.draining and not self._departures.includes(entry)

    def _still_listed(self, runs: Iterator[TargetRun]) -> list[TargetRun]:
        """Return the given runs that are listed as ready, ordered by target."""
        return sorted(
            (run for run in runs if self._is_listed_as_ready(run)),
            key=lambda run: run.target_id,
        )

    def _is_listed_as_ready(self, run: TargetRun) -> bool:
        entry = self._entries.get(run.target_id)
        if entry is None or entry.draining:
            return False
        return entry.started_ms <= run.started_ms

    def _apply(self, entry: TargetEntry, now: timedelta) -> None:
        if self._is_stale(entry, now):
            return
        known = self._entries.get(entry.target_id)
        self._entries[entry.target_id] = entry
        self._tombstones.pop(entry.target_id, None)
        if known is None or known.draining != entry.draining:
            _log.info(
                "target_seen",
                target=entry.target_id,
                service=entry.service,
                address=entry.address,
                draining=entry.draining,
                sequence=entry.sequence,
            )

    def _is_stale(self, entry: TargetEntry, now: timedelta) -> bool:
        known = self._entries.get(entry.target_id)
        if known is not None:
            return entry_version(entry) < entry_version(known)
        tombstone = self._tombstones.get(entry.target_id)
        if tombstone is None or now - tombstone.since >= TOMBSTONE_LIFETIME:
            return False
        return entry_version(entry) <= entry_version(tombstone.entry)

    def _drop_missing(self, listed: Iterable[str], now: timedelta) -> None:
        self._tombstones = {
            target_id: tombstone
            for target_id, tombstone in self._tombstones.items()
            if now - tombstone.since < TOMBSTONE_LIFETIME
        }
        for target_id in self._entries.keys() - set(listed):
            entry = self._entries.pop(target_id)
            self._tombstones[target_id] = _Tombstone(entry, now)
            _log.info("target_gone", target=target_id, sequence=entry.sequence)
