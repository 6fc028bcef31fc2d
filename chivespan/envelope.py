"""Envelopes of records, and deduplication of records by writer and sequence number.

An append may take effect twice or late. Each record therefore carries the id of its
writer and a sequence number, which starts at 1 in each stream. A fold applies the first
copy in log order and ignores all others. The set of ids seen is bounded.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

from chivespan import records
from chivespan.codec import data_classes, decode, encode
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.platformservices import LogRecord
from chivespan.records import Envelope, RecordId, SeenWriter, VoidRecord

RECORD_CLASSES = data_classes(records)
SEQUENCE_WINDOW = 4096  # sequence numbers of one writer
MAX_WRITERS = 8192


def encode_record(record: object, record_id: RecordId, written_at: datetime) -> bytes:
    """Return the log payload of a record defined in ``schema/records.yaml``."""
    envelope = Envelope(
        writer=record_id.writer,
        sequence=record_id.sequence,
        written_at=written_at,
        kind=type(record).__name__,
        body=encode(record),
    )
    return encode(envelope)


def decode_envelope(payload: bytes) -> Envelope:
    """Return the envelope that a payload holds.

    :raises ChivespanError: ``protocol`` if the payload is no envelope.
    """
    return decode(payload, Envelope)


def open_envelope(envelope: Envelope) -> object:
    """Return the record inside an envelope.

    :raises ChivespanError: ``protocol`` if its kind is unknown or its body invalid.
    """
    cls = RECORD_CLASSES.get(envelope.kind)
    if cls is None:
        reason = f"unknown kind of record: {envelope.kind}"
        raise ChivespanError(ErrorKind.PROTOCOL, reason)
    return decode(envelope.body, cls)


@dataclass(slots=True)
class _WriterWindow:
    """Sequence numbers seen of one writer: all up to ``floor``, and those ``above``."""

    floor: int = 0
    above: set[int] = field(default_factory=set)

    def add(self, sequence: int) -> bool:
        if sequence <= self.floor or sequence in self.above:
            return False
        self.above.add(sequence)
        self._raise_floor(sequence - SEQUENCE_WINDOW)
        return True

    def _raise_floor(self, minimum: int) -> None:
        if minimum > self.floor:
            self.floor = minimum
            self.above = {each for each in self.above if each > minimum}
        while self.floor + 1 in self.above:
            self.floor += 1
            self.above.discard(self.floor)


class SeenIds:
    """Set of record ids, bounded per writer and in the number of writers.

    A writer appends its sequence numbers in order, with at most ``SEQUENCE_WINDOW`` of
    them unconfirmed, so a number below the window belongs to a late copy. Beyond
    ``MAX_WRITERS`` the least recently used writer is evicted.
    """

    def __init__(self, seen: Iterable[SeenWriter] = ()) -> None:
        self._writers: OrderedDict[str, _WriterWindow] = OrderedDict(
            (state.writer, _WriterWindow(state.floor, set(state.above)))
            for state in seen
        )

    def add(self, writer: str, sequence: int) -> bool:
        """Add an id; return False if it is already in the set.

        >>> seen = SeenIds()
        >>> seen.add("a", 1), seen.add("a", 3), seen.add("a", 1), seen.add("a", 2)
        (True, True, False, True)
        """
        window = self._writers.setdefault(writer, _WriterWindow())
        self._writers.move_to_end(writer)
        if len(self._writers) > MAX_WRITERS:
            self._writers.popitem(last=False)
        return window.add(sequence)

    def state(self) -> list[SeenWriter]:
        """Return all ids for a snapshot, least recently used writer first."""
        return [
            SeenWriter(writer=writer, floor=window.floor, above=sorted(window.above))
            for writer, window in self._writers.items()
        ]


@dataclass(frozen=True, slots=True)
class OpenedRecord:
    """A decoded, effective record: the first copy of its id, and not voided before."""

    offset: int
    envelope: Envelope
    record: object


class RecordReader:
    """Decodes the records of one stream in order and skips ineffective ones.

    Duplicates, voids, voided records and undecodable payloads are ineffective.

    :param offset: offset of the last record read, -1 if none.
    """

    def __init__(self, offset: int = -1, seen: Iterable[SeenWriter] = ()) -> None:
        self.offset = offset
        self.unreadable = 0
        self._seen = SeenIds(seen)

    def read(self, record: LogRecord) -> OpenedRecord | None:
        """Return the decoded record, or None if it is ineffective.

        :raises ChivespanError: ``log_expired`` if records before it are missing.
        """
        if record.offset <= self.offset:
            return None
        if record.offset != self.offset + 1:
            reason = f"records {self.offset + 1} to {record.offset - 1} are missing"
            raise ChivespanError(ErrorKind.LOG_EXPIRED, reason)
        self.offset = record.offset
        try:
            envelope = decode_envelope(record.payload)
            opened = open_envelope(envelope)
        except ChivespanError:
            self.unreadable += 1
            return None
        if not self._seen.add(envelope.writer, envelope.sequence):
            return None
        if isinstance(opened, VoidRecord):
            self._seen.add(opened.writer, opened.sequence)
            return None
        return OpenedRecord(record.offset, envelope, opened)

    def seen(self) -> list[SeenWriter]:
        """Return the ids seen, for a snapshot."""
        return self._seen.state()
