"""The state of one partition of claims, derived by folding its stream.

A claim is the exclusive right to execute a keyed request. The first claim of a key in
log order wins. Its outcome is read from the log by offset; an unknown outcome can be
replaced by a known one, but never the other way round.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime

import xxhash

from chivespan.codec import decode, encode
from chivespan.envelope import OpenedRecord, RecordReader
from chivespan.platformservices import LogRecord
from chivespan.recordfold import RecordFold, RecordHandlers
from chivespan.records import (
    CarriedOutcome,
    Claim,
    ClaimEntry,
    ClaimOutcome,
    ClaimsExpire,
    ClaimsState,
)

CLAIM_PARTITIONS = 4


def claims_stream(partition: int) -> str:
    """Return the name of the stream that holds a partition's claims."""
    return f"claims.{partition}"


def claim_id(owner: str, key: str) -> bytes:
    """Return the hash that identifies a key of an owner."""
    return xxhash.xxh3_128_digest(f"{owner}\0{key}".encode())


def claim_partition(owner: str, key: str) -> int:
    """Return the partition that a key of an owner belongs to."""
    return int.from_bytes(claim_id(owner, key)[:4], "big") % CLAIM_PARTITIONS


@dataclass(slots=True)
class HeldClaim:
    """The winning claim of a key.

    :ivar offset: log offset of the claim.
    :ivar claimant: id of the claim attempt.
    :ivar outcome_offset: log offset of the recorded outcome, -1 for none.
    :ivar known: whether the recorded outcome is known.
    """

    offset: int
    written_at: datetime
    digest: str
    claimant: str
    outcome_offset: int = -1
    known: bool = False

    def matches(self, outcome: ClaimOutcome) -> bool:
        """Return whether an outcome belongs to this claim, not to an earlier one."""
        if outcome.claimant:
            return outcome.claimant == self.claimant
        return outcome.claim_offset == self.offset


_HANDLERS: RecordHandlers[None] = RecordHandlers()


class ClaimFold(RecordFold):
    """The winning claims of one partition, as of an offset in its stream."""

    def __init__(self) -> None:
        super().__init__()
        self._claims: dict[bytes, HeldClaim] = {}

    def claim(self, owner: str, key: str) -> HeldClaim | None:
        """Return the winning claim of a key, or None if the key is not claimed."""
        return self._claims.get(claim_id(owner, key))

    def claims(self) -> Iterator[HeldClaim]:
        """Yield all claims in log order."""
        return iter(self._claims.values())

    def apply(self, record: LogRecord) -> None:
        """Apply the next record.

        :raises ChivespanError: ``log_expired`` if the records before it are missing.
        """
        opened = self._reader.read(record)
        if opened is not None:
            _HANDLERS.apply(self, opened)

    def snapshot(self) -> bytes:
        """Return the serialized state, including the record ids for deduplication."""
        claims = [_entry(name, held) for name, held in self._claims.items()]
        seen = self._reader.seen()
        return encode(ClaimsState(offset=self.offset, claims=claims, seen=seen))

    @classmethod
    def from_snapshot(cls, snapshot: bytes) -> "ClaimFold":
        """Return a fold restored from a snapshot.

        :raises ChivespanError: ``protocol`` if the snapshot cannot be decoded.
        """
        state = decode(snapshot, ClaimsState)
        fold = cls()
        fold._reader = RecordReader(state.offset, state.seen)
        for entry in state.claims:
            fold._claims[entry.claim_id] = _held(entry)
        return fold

    @_HANDLERS.handles(Claim)
    def _claim(self, opened: OpenedRecord, record: Claim) -> None:
        held = HeldClaim(
            opened.offset, opened.envelope.written_at, record.digest, record.claimant
        )
        self._claims.setdefault(claim_id(record.owner, record.key), held)

    @_HANDLERS.handles(ClaimOutcome)
    def _outcome(self, opened: OpenedRecord, record: ClaimOutcome) -> None:
        name = claim_id(record.owner, record.key)
        held = self._claims.get(name)
        if held is None or held.known or not held.matches(record):
            return
        if record.known and not record.ran:
            del self._claims[name]
        elif record.known or held.outcome_offset < 0:
            held.outcome_offset = opened.offset
            held.known = record.known

    @_HANDLERS.handles(CarriedOutcome)
    def _carried(self, opened: OpenedRecord, record: CarriedOutcome) -> None:
        outcome = record.outcome
        held = self._claims.get(claim_id(outcome.owner, outcome.key))
        if held is None or record.from_offset < 0:
            return
        if held.outcome_offset == record.from_offset:
            held.outcome_offset = opened.offset

    @_HANDLERS.handles(ClaimsExpire)
    def _expire(self, opened: OpenedRecord, record: ClaimsExpire) -> None:
        self._claims = {
            name: held
            for name, held in self._claims.items()
            if held.written_at >= record.before
        }


def _entry(name: bytes, held: HeldClaim) -> ClaimEntry:
    return ClaimEntry(
        claim_id=name,
        offset=held.offset,
        written_at=held.written_at,
        digest=held.digest,
        claimant=held.claimant,
        outcome_offset=held.outcome_offset,
        known=held.known,
    )


def _held(entry: ClaimEntry) -> HeldClaim:
    return HeldClaim(
        offset=entry.offset,
        written_at=entry.written_at,
        digest=entry.digest,
        claimant=entry.claimant,
        outcome_offset=entry.outcome_offset,
        known=entry.known,
    )
