"""Keeps the evidence on suspects in the store, where it outlasts all processes.

Each suspect has a record of its own. Its times are of the wall clock, as monotonic
clocks of different processes can't be compared.
"""

from collections.abc import Iterable, Iterator
from hashlib import blake2b

from chivespan.clock import MILLISECOND, Clock
from chivespan.codec import decode, encode
from chivespan.decoding import decoding, error_of
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.evidencemessages import NOT_ANSWERED
from chivespan.evidencerecords import StoredCrash, StoredEvidence
from chivespan.keyedstore import KeyedRecord, KeyedStore, Partition, load_newest
from chivespan.logs import logger
from chivespan.nodemessages import PartCrash, PartEvidence, TargetRun
from chivespan.suspicion import EVIDENCE_LIFETIME, QUARANTINE_LIFETIME

EVIDENCE = Partition("keyed.evidence")
# Ids of parts are as long as callers make them.
KEY_BYTES = 16
# Space that a record takes besides its value.
RECORD_OVERHEAD_BYTES = 2 * KEY_BYTES + 5
_LONGEST_MS = max(EVIDENCE_LIFETIME, QUARANTINE_LIFETIME) // MILLISECOND

_log = logger("quarantine")


class EvidenceStore:
    """Reads and writes the records of evidence.

    :param max_record_bytes: maximum size of a record.
    :param max_call_bytes: maximum total size of the records of one append.
    """

    def __init__(
        self,
        store: KeyedStore,
        clock: Clock,
        max_record_bytes: int,
        max_call_bytes: int,
    ) -> None:
        self._store = store
        self._clock = clock
        self._max_record_bytes = max_record_bytes
        self._max_call_bytes = max_call_bytes

    async def load(self) -> list[PartEvidence]:
        """Return all evidence that can be read, with ages as of now.

        :raises ChivespanError: if the store can't be read.
        """
        page = await load_newest(self._store, EVIDENCE)
        return list(self._decode(page.records))

    async def write(
        self, evidence: Iterable[PartEvidence], dropped_keys: Iterable[str]
    ) -> None:
        """Replace the records of some suspects, and drop other records.

        :raises ChivespanError: if the store didn't confirm all of it.
        """
        written = list(self._encode(evidence))
        written += [KeyedRecord(key, b"") for key in dropped_keys]
        for call in self._split(written):
            await self._store.append(EVIDENCE, call)

    def _encode(self, evidence: Iterable[PartEvidence]) -> Iterator[KeyedRecord]:
        now_ms = self._now_ms()
        for entry in evidence:
            value = encode(_stored(entry, now_ms))
            if len(value) + RECORD_OVERHEAD_BYTES <= self._max_record_bytes:
                yield KeyedRecord(evidence_key(entry.part), value)
            else:
                _log.warning("evidence_too_large", size=len(value))

    def _decode(self, records: Iterable[KeyedRecord]) -> Iterator[PartEvidence]:
        """Yield the evidence in records; one that can't be read is skipped."""
        now_ms = self._now_ms()
        for record in records:
            try:
                with decoding(f"evidence {record.key!r}", error_of(ErrorKind.PROTOCOL)):
                    entry = _restored(decode(record.value, StoredEvidence), now_ms)
            except ChivespanError as error:
                reason = error.message
                _log.warning("evidence_unreadable", key=record.key, reason=reason)
                continue
            yield entry

    def _split(self, records: Iterable[KeyedRecord]) -> Iterator[list[KeyedRecord]]:
        """Split records into the calls that the store accepts."""
        call: list[KeyedRecord] = []
        size = 0
        for record in records:
            record_size = len(record.value) + RECORD_OVERHEAD_BYTES
            if call and size + record_size > self._max_call_bytes:
                yield call
                call, size = [], 0
            call.append(record)
            size += record_size
        if call:
            yield call

    def _now_ms(self) -> int:
        return round(self._clock.now().timestamp() * 1000)


def evidence_key(suspect: str) -> str:
    """Return the key of a suspect's record.

    >>> evidence_key("5c1e07a2") == evidence_key("5c1e07a2")
    True
    >>> len(evidence_key("5c1e07a2" * 1000))
    32
    """
    return blake2b(suspect.encode(), digest_size=KEY_BYTES).hexdigest()


def _stored(evidence: PartEvidence, now_ms: int) -> StoredEvidence:
    """Return the record of a suspect."""
    answered_ms = until_ms = 0
    if evidence.answered_age_ms != NOT_ANSWERED:
        answered_ms = now_ms - evidence.answered_age_ms
    if evidence.quarantine_ms:
        until_ms = now_ms + evidence.quarantine_ms
    crashes = [
        StoredCrash(
            target_id=crash.run.target_id,
            started_ms=crash.run.started_ms,
            request_id=crash.request_id,
            ended_ms=now_ms - crash.age_ms,
            fingerprint=crash.fingerprint,
        )
        for crash in evidence.crashes
    ]
    return StoredEvidence(
        suspect=evidence.part,
        crashes=crashes,
        answered_ms=answered_ms,
        quarantined_until_ms=until_ms,
    )


def _restored(stored: StoredEvidence, now_ms: int) -> PartEvidence:
    """Return the evidence in a record.

    :param now_ms: may differ by seconds from the clock of the VM that wrote it.
    """
    answered_age_ms = NOT_ANSWERED
    if stored.answered_ms:
        answered_age_ms = _bounded_ms(now_ms - stored.answered_ms)
    crashes = [
        PartCrash(
            run=TargetRun(target_id=crash.target_id, started_ms=crash.started_ms),
            request_id=crash.request_id,
            age_ms=_bounded_ms(now_ms - crash.ended_ms),
            fingerprint=crash.fingerprint,
        )
        for crash in stored.crashes
    ]
    return PartEvidence(
        part=stored.suspect,
        crashes=crashes,
        answered_age_ms=answered_age_ms,
        quarantine_ms=_bounded_ms(stored.quarantined_until_ms - now_ms),
    )


def _bounded_ms(time_ms: int) -> int:
    """Return a length of time within what evidence may last, whatever clocks say."""
    return min(max(0, time_ms), _LONGEST_MS)
