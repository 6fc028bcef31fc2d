"""Snapshots of folds, from which a reader can start after the log dropped old records.

A snapshot contains the offset of the last record it covers. A new reader chooses the
newest snapshot whose next record is still in the log and replays the stream from that
record. The position of the snapshot itself is irrelevant, so a snapshot by a slow or
paused writer can't revert any state. The snapshots of a stream are kept in a separate
stream, so that finding one doesn't require reading old records.
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
    """Interface of the folds of all streams."""

    @property
    def offset(self) -> int:
        """Offset of the last record applied, -1 if none."""
        ...

    @property
    def digest(self) -> str:
        """Hash of the serialized state."""
        ...

    def apply(self, record: LogRecord) -> object:
        """Apply the next record of the stream."""
        ...

    def snapshot(self) -> bytes:
        """Return the serialized state."""
        ...


F = TypeVar("F", bound=Fold)


def digest_of(state: bytes) -> str:
    """Return the hash of a fold's serialized state."""
    return xxhash.xxh3_128_hexdigest(state)


def snapshots_stream(stream: str) -> str:
    """Return the name of the stream that holds a stream's snapshots."""
    return f"{stream}.snapshots"


@dataclass(frozen=True, slots=True)
class _SnapshotKey:
    """Identifies the parts of one snapshot."""

    writer: str
    as_of: int
    digest: str


@dataclass(slots=True)
class _Parts:
    """Parts received of one snapshot."""

    received: dict[int, bytes] = field(default_factory=dict)

    def add(self, snapshot: Snapshot) -> bytes | None:
        """Add a part; return the state if it is complete and its digest matches."""
        self.received[snapshot.part] = snapshot.state
        if len(self.received) < snapshot.parts:
            return None
        state = b"".join(self.received[part] for part in range(snapshot.parts))
        return state if digest_of(state) == snapshot.digest else None


class SnapshotStore:
    """Reads and writes the snapshots of one stream."""

    def __init__(self, log: LogService, stream: str, writer: str) -> None:
        self._log = log
        self._stream = stream
        self._writer = writer
        self._sequence = 0

    async def write(self, fold: Fold, written_at: datetime) -> int:
        """Append a snapshot of a fold; return the offset of the last record it covers.

        :raises ChivespanError: ``log_unavailable``.
        """
        state, as_of = fold.snapshot(), fold.offset
        await self.write_state(state, as_of, written_at)
        return as_of

    async def write_state(self, state: bytes, as_of: int, written_at: datetime) -> None:
        """Append a serialized state as of an offset, in one or more parts.

        If a part is lost, readers ignore the incomplete snapshot.

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
        """Return the newest complete snapshot from which the log can be replayed.

        :raises ChivespanError: ``log_unavailable``.
        """
        name = snapshots_stream(self._stream)
        min_as_of = (await self._log.bounds(self._stream)).oldest - 1
        bounds = await self._log.bounds(name)
        newest, newest_as_of = None, -1
        parts: dict[_SnapshotKey, _Parts] = {}
        end = bounds.end
        while end > bounds.oldest and newest is None:
            start = max(bounds.oldest, end - PAGE_RECORDS)
            page = await self._log.read(name, start, end - start, NO_WAIT)
            for record in page.records:
                key, snapshot = _open_snapshot(record)
                state = parts.setdefault(key, _Parts()).add(snapshot)
                if state and snapshot.as_of >= max(min_as_of, newest_as_of):
                    newest, newest_as_of = state, snapshot.as_of
            end = start
        return newest

    async def load(self, new: Callable[[], F], restore: Callable[[bytes], F]) -> F:
        """Return a fold from the newest snapshot, or an empty one without a snapshot.

        The caller replays the stream into it from ``offset + 1`` on.

        :param new: creates an empty fold.
        :param restore: creates a fold from a snapshot.
        :raises ChivespanError: ``log_unavailable``; ``log_expired`` if the log has
            dropped records that no snapshot covers.
        """
        state = await self.newest_state()
        if state is not None:
            return restore(state)
        oldest = (await self._log.bounds(self._stream)).oldest
        if oldest > 0:
            reason = f"{self._stream} starts at {oldest} and no snapshot covers the gap"
            raise ChivespanError(ErrorKind.LOG_EXPIRED, reason)
        return new()


def _open_snapshot(record: LogRecord) -> tuple[_SnapshotKey, Snapshot]:
    envelope = decode_envelope(record.payload)
    snapshot = open_envelope(envelope)
    if not isinstance(snapshot, Snapshot):
        reason = f"record {record.offset} of the snapshot stream is not a snapshot"
        raise ChivespanError(ErrorKind.PROTOCOL, reason)
    return _SnapshotKey(envelope.writer, snapshot.as_of, snapshot.digest), snapshot


async def replay(log: LogService, stream: str, fold: Fold, end: int) -> None:
    """Apply the stream's records up to, but excluding, offset ``end``.

    :raises ChivespanError: ``log_unavailable``; ``log_expired``.
    """
    while fold.offset + 1 < end:
        start = fold.offset + 1
        page = await log.read(stream, start, min(512, end - start), NO_WAIT)
        for record in page.records:
            fold.apply(record)
