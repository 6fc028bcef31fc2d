"""The targets that this node may send requests to, as far as it knows.

Entries come from the store, or from a peer while the store can't be reached. A target
whose entry lapsed while the store was away gets a while to renew it.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from chivespan.clock import Clock
from chivespan.logs import logger
from chivespan.nodemessages import TargetEntry

RENEWAL_TIME = timedelta(seconds=2)
# Entries lapse only when the store is away for longer than this.
SHORT_GAP = timedelta(seconds=2.5)
REMEMBER_GONE = timedelta(seconds=60)

_log = logger("targets")


@dataclass(frozen=True, slots=True)
class _Gone:
    """The last entry of a target that is gone."""

    entry: TargetEntry
    since: timedelta


def entry_version(entry: TargetEntry) -> tuple[int, int]:
    """Return how new an entry is among all entries of its id."""
    return (entry.started_ms, entry.sequence)


class TargetSet:
    """All targets by id, with what the newest entries say."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[str, TargetEntry] = {}
        # Worked out anew when the entries have changed.
        self._usable: dict[str, list[TargetEntry]] = {}
        self._gone: dict[str, _Gone] = {}
        self._replaced: timedelta | None = None
        self._lapses_count_from = timedelta(0)

    @property
    def is_loaded(self) -> bool:
        """Whether the entries have been read at all."""
        return self._replaced is not None

    @property
    def entries(self) -> tuple[TargetEntry, ...]:
        """All entries, also of targets that are draining."""
        return tuple(self._entries.values())

    def find(self, target_id: str) -> TargetEntry | None:
        """Return the entry of a target that may be sent to."""
        entry = self._entries.get(target_id)
        return None if entry is None or entry.draining else entry

    def usable(self, service: str) -> Sequence[TargetEntry]:
        """Return the targets of a service that take new requests."""
        known = self._usable.get(service)
        if known is None:
            known = self._usable[service] = [
                entry
                for entry in self._entries.values()
                if entry.service == service and not entry.draining
            ]
        return known

    def replace(self, entries: Iterable[TargetEntry]) -> None:
        """Take in all entries that the store has now."""
        now = self._clock.monotonic()
        if self._replaced is not None and now - self._replaced > SHORT_GAP:
            self._lapses_count_from = now + RENEWAL_TIME
        self._replaced = now
        listed = {entry.target_id: entry for entry in entries}
        for entry in listed.values():
            self._take(entry, now)
        if now >= self._lapses_count_from:
            self._drop_missing(listed.keys(), now)
        self._usable.clear()

    def _take(self, entry: TargetEntry, now: timedelta) -> None:
        if self._is_old(entry, now):
            return
        known = self._entries.get(entry.target_id)
        self._entries[entry.target_id] = entry
        self._gone.pop(entry.target_id, None)
        if known is None or known.draining != entry.draining:
            _log.info(
                "target_seen",
                target=entry.target_id,
                service=entry.service,
                address=entry.address,
                draining=entry.draining,
                sequence=entry.sequence,
            )

    def _is_old(self, entry: TargetEntry, now: timedelta) -> bool:
        known = self._entries.get(entry.target_id)
        if known is not None:
            return entry_version(entry) < entry_version(known)
        gone = self._gone.get(entry.target_id)
        if gone is None or now - gone.since >= REMEMBER_GONE:
            return False
        return entry_version(entry) <= entry_version(gone.entry)

    def _drop_missing(self, listed: Iterable[str], now: timedelta) -> None:
        self._gone = {
            target_id: gone
            for target_id, gone in self._gone.items()
            if now - gone.since < REMEMBER_GONE
        }
        for target_id in self._entries.keys() - set(listed):
            entry = self._entries.pop(target_id)
            self._gone[target_id] = _Gone(entry, now)
            _log.info("target_gone", target=target_id, sequence=entry.sequence)
