"""Snapshots of folds, which let a reader start after the log dropped old records.

A snapshot names the offset it is as of. A newcomer takes the newest whose next record
is still in the log and replays from there, never from the snapshot's own place; so a
snapshot by a slow or paused writer can't move anything backwards. Snapshots of a stream
stand in a stream of their own, so that finding one needs no reading of old records.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Protocol, TypeVar

import xxhash

from chivespan.clock import NO_WAIT
from chivespan.envelope import decode_envelope, encode_record, open_envelope
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.platformservices import LogRecord, LogService
from chivespan.records import RecordId, Snapshot

PART_BYTES = 512 * 1024
PAGE_RECORDS = 32


class Fold(Protocol):
    """What a fold of any stream offers."""

    @property
    def offset(self) -> int:
        """Offset of the last record applied, -1 for none."""
        ...

    @property
    def digest(self) -> str:
        """Hash of the whole state."""
        ...

    def apply(self, record: LogRecord) -> object:
        """Apply the next record."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...


F = TypeVar("F", bound=Fold)


def digest_of(state: bytes) -> str:
    """Return the hash of a fold's whole state."""
    return xxhash.xxh3_128_hexdigest(state)


def snapshots_stream(stream: str) -> str:
    """Return the name of the stream that holds a stream's snapshots."""
    return f"{stream}.snapshots"


@dataclass(frozen=True, slots=True)
class _SnapshotId:
    writer: str
    as_of: int
    digest: str


@dataclass(slots=True)
class _Parts:
    found: dict[int, bytes] = field(default_factory=dict)

    def add(self, snapshot: Snapshot) -> bytes | None:
        """Return the whole state when this part was the last one missing."""
        self.found[snapshot.part] = snapshot.state
        if len(self.found) < snapshot.parts:
            return None
        state = b"".join(self.found[part] for part in range(snapshot.parts))
        return state if digest_of(state) == snapshot.digest else None


class SnapshotStore:
    """Reads and writes the snapshots of one stream."""

    def __init__(self, log: LogService, stream: str, writer: str) -> None:
        self._log = log
        self._stream = stream
        self._writer = writer
        self._sequence = 0

    async def write(self, fold: Fold, written_at: datetime) -> int:
        """Append a snapshot of a fold; return the offset that it is as of.

        :raises ChivespanError: ``log_unavailable``.
        """
        state, as_of = fold.snapshot(), fold.offset
        await self.write_state(state, as_of, written_at)
        return as_of

    async def write_state(self, state: bytes, as_of: int, written_at: datetime) -> None:
        """Append a whole state as of an offset.

        A part that was lost leaves a snapshot that readers pass over.

        :raises ChivespanError: ``log_unavailable``.
        """
        digest = digest_of(state)
        parts = max(1, -(-len(state) // PART_BYTES))
        for part in range(parts):
            self._sequence += 1
            record = Snapshot(
                as_of=as_of,
                digest=digest,
                part=part,
                parts=parts,
                state=state[part * PART_BYTES : (part + 1) * PART_BYTES],
            )
            record_id = RecordId(writer=self._writer, sequence=self._sequence)
            payload = encode_record(record, record_id, written_at)
            await self._log.append(snapshots_stream(self._stream), [payload])

    async def newest_state(self) -> bytes | None:
        """Return the newest whole snapshot that can be replayed from.

        :raises ChivespanError: ``log_unavailable``.
        """
        name = snapshots_stream(self._stream)
        needed = (await self._log.bounds(self._stream)).oldest - 1
        bounds = await self._log.bounds(name)
        best, best_as_of = None, -1
        parts: dict[_SnapshotId, _Parts] = {}
        end = bounds.end
        while end > bounds.oldest and best is None:
            start = max(bounds.oldest, end - PAGE_RECORDS)
            page = await self._log.read(name, start, end - start, NO_WAIT)
            for record in page.records:
                snapshot_id, snapshot = _open(record)
                state = parts.setdefault(snapshot_id, _Parts()).add(snapshot)
                if state and snapshot.as_of >= max(needed, best_as_of):
                    best, best_as_of = state, snapshot.as_of
            end = start
        return best

    async def load(self, new: Callable[[], F], restore: Callable[[bytes], F]) -> F:
        """Return a fold to replay the stream into from ``offset + 1`` on.

        :param new: makes an empty fold.
        :param restore: makes a fold from a snapshot.
        :raises ChivespanError: ``log_unavailable``; ``log_expired`` when the log has
            dropped records and no snapshot covers them.
        """
        state = await self.newest_state()
        if state is not None:
            return restore(state)
        oldest = (await self._log.bounds(self._stream)).oldest
        if oldest > 0:
            reason = f"{self._stream} starts at {oldest} and no snapshot covers that"
            raise ChivespanError(ErrorKind.LOG_EXPIRED, reason)
        return new()


def _open(record: LogRecord) -> tuple[_SnapshotId, Snapshot]:
    envelope = decode_envelope(record.payload)
    snapshot = open_envelope(envelope)
    if not isinstance(snapshot, Snapshot):
        reason = f"record {record.offset} among the snapshots is none"
        raise ChivespanError(ErrorKind.PROTOCOL, reason)
    return _SnapshotId(envelope.writer, snapshot.as_of, snapshot.digest), snapshot


async def replay(log: LogService, stream: str, fold: Fold, end: int) -> None:
    """Apply the stream's records up to, not with, offset ``end``.

    :raises ChivespanError: ``log_unavailable``; ``log_expired``.
    """
    while fold.offset + 1 < end:
        start = fold.offset + 1
        page = await log.read(stream, start, min(512, end - start), NO_WAIT)
        for record in page.records:
            fold.apply(record)
