"""Restores the evidence on suspects when a node starts, and keeps the store up to date.

All nodes could be killed at once, and what they have learnt at the cost of many targets
would be lost with them. Each node reads the evidence once; of all nodes, which exchange
their evidence, only one writes it.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

import anyio

from chivespan.clock import MILLISECOND, Clock
from chivespan.errors import ChivespanError
from chivespan.evidencestore import EvidenceStore, evidence_key
from chivespan.logs import logger
from chivespan.nodemessages import PartEvidence
from chivespan.quarantine import Quarantine

RETRY_INTERVAL = timedelta(milliseconds=500)
# Evidence also ends with time, without any change.
RECHECK_INTERVAL = timedelta(seconds=30)
# A quarantine that was prolonged by less isn't written again.
MIN_PROLONGED = timedelta(minutes=1)
# Suspects in a line of the log.
MAX_LOGGED = 20
SOURCE = "store"

_log = logger("quarantine")


@dataclass(frozen=True, slots=True)
class _Written:
    """What the store has of one suspect.

    :param crashes: run and request of each crash.
    :param quarantined_until: on the monotonic clock; None for no quarantine.
    """

    crashes: frozenset[tuple[str, int, str]]
    quarantined_until: timedelta | None

    def covers(self, other: "_Written") -> bool:
        """Return whether the store needn't be told of a later state."""
        before, after = self.quarantined_until, other.quarantined_until
        if self.crashes != other.crashes or before is None or after is None:
            return self == other
        return abs(after - before) < MIN_PROLONGED


class EvidenceWriter:
    """Restores evidence at startup, and writes it while this node is the writer.

    :param is_writer: returns whether this node is to write for the fleet.
    """

    def __init__(
        self,
        store: EvidenceStore,
        quarantine: Quarantine,
        clock: Clock,
        is_writer: Callable[[], bool],
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._clock = clock
        self._is_writer = is_writer
        self._was_writer = False
        self._is_loaded = False
        self._written: dict[str, _Written] = {}
        self._seen_version = 0
        self._checked = clock.monotonic()
        self._due = anyio.Event()
        self._is_failing = False

    def update(self) -> None:
        """Start to write if there is reason to; called periodically."""
        is_writer = self._is_writer()
        if is_writer and not self._was_writer:
            # Another node has written until now.
            self._is_loaded = False
            self._due.set()
        self._was_writer = is_writer
        if is_writer and self._has_changed():
            self._due.set()

    async def run(self) -> None:
        """Restore the evidence, then write changes until cancelled."""
        self._due.set()
        while True:
            await self._due.wait()
            self._due = anyio.Event()
            try:
                await self._synchronize()
            except ChivespanError as error:
                self._record_failure(error)
                await anyio.sleep(RETRY_INTERVAL.total_seconds())
                self._due.set()
            else:
                self._is_failing = False

    async def _synchronize(self) -> None:
        """Load the evidence if that is due, and write what the store lacks."""
        if not self._is_loaded:
            await self._load()
        if self._is_writer():
            await self._write()

    async def _load(self) -> None:
        evidence = await self._store.load()
        self._quarantine.merge(evidence, SOURCE)
        self._written = {
            evidence_key(each.part): self._state(each) for each in evidence
        }
        self._is_loaded = True
        suspects = [each.part for each in evidence]
        _log.info("evidence_loaded", suspects=suspects[:MAX_LOGGED], all=len(suspects))

    async def _write(self) -> None:
        self._seen_version = self._quarantine.version
        self._checked = self._clock.monotonic()
        current = {evidence_key(each.part): each for each in self._lasting()}
        states = {key: self._state(entry) for key, entry in current.items()}
        changed = [key for key, state in states.items() if not self._has(key, state)]
        dropped = self._written.keys() - current.keys()
        if not changed and not dropped:
            return
        await self._store.write([current[key] for key in changed], sorted(dropped))
        self._written = dict(states)
        suspects = [current[key].part for key in changed]
        _log.info(
            "evidence_written",
            suspects=suspects[:MAX_LOGGED],
            all=len(suspects),
            dropped=len(dropped),
        )

    def _lasting(self) -> list[PartEvidence]:
        """Return the evidence to keep, without suspects that were all cleared."""
        return [each for each in self._quarantine.lasting_evidence if each.crashes]

    def _has(self, key: str, state: _Written) -> bool:
        written = self._written.get(key)
        return written is not None and written.covers(state)

    def _state(self, entry: PartEvidence) -> _Written:
        crashes = frozenset(
            (crash.run.target_id, crash.run.started_ms, crash.request_id)
            for crash in entry.crashes
        )
        if not entry.quarantine_ms:
            return _Written(crashes, None)
        left = entry.quarantine_ms * MILLISECOND
        return _Written(crashes, self._clock.monotonic() + left)

    def _has_changed(self) -> bool:
        if self._quarantine.version != self._seen_version:
            return True
        is_old = self._clock.monotonic() - self._checked >= RECHECK_INTERVAL
        return is_old and bool(self._written)

    def _record_failure(self, error: ChivespanError) -> None:
        if not self._is_failing:
            self._is_failing = True
            _log.warning("evidence_not_kept", reason=error.message)
