"""The outer form of every record, and the bounded set of ids that a fold has seen.

An append may take effect twice or late, so every record carries the id of its writer
and a sequence number that counts up from 1 in each stream. A fold takes the first copy
in log order and ignores every other.
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
SEQUENCE_WINDOW = 4096
MAX_WRITERS = 8192


def encode_record(record: object, record_id: RecordId, written_at: datetime) -> bytes:
    """Return the payload of a record of ``schema/records.yaml`` for the log."""
    envelope = Envelope(
        writer=record_id.writer,
        sequence=record_id.sequence,
        written_at=written_at,
        kind=type(record).__name__,
        body=encode(record),
    )
    return encode(envelope)


def decode_envelope(payload: bytes) -> Envelope:
    """Return the envelope of a payload.

    :raises ChivespanError: ``protocol`` when it is none.
    """
    return decode(payload, Envelope)


def open_envelope(envelope: Envelope) -> object:
    """Return the record inside an envelope.

    :raises ChivespanError: ``protocol`` when its kind is unknown or its body broken.
    """
    cls = RECORD_CLASSES.get(envelope.kind)
    if cls is None:
        reason = f"unknown kind of record: {envelope.kind}"
        raise ChivespanError(ErrorKind.PROTOCOL, reason)
    return decode(envelope.body, cls)


@dataclass(slots=True)
class _Writer:
    floor: int = 0
    above: set[int] = field(default_factory=set)

    def add(self, sequence: int) -> bool:
        if sequence <= self.floor or sequence in self.above:
            return False
        self.above.add(sequence)
        self._raise_floor(sequence - SEQUENCE_WINDOW)
        return True

    def _raise_floor(self, least: int) -> None:
        if least > self.floor:
            self.floor = least
            self.above = {kept for kept in self.above if kept > least}
        while self.floor + 1 in self.above:
            self.floor += 1
            self.above.discard(self.floor)


class SeenIds:
    """Ids that came before, bounded for each writer and in the number of writers.

    A writer sends its sequence numbers in order, at most ``SEQUENCE_WINDOW`` of them
    undecided; so a number below the window is a late copy. The writers least recently
    heard of are forgotten over ``MAX_WRITERS``.
    """

    def __init__(self, seen: Iterable[SeenWriter] = ()) -> None:
        self._writers: OrderedDict[str, _Writer] = OrderedDict(
            (one.writer, _Writer(one.floor, set(one.above))) for one in seen
        )

    def add(self, writer: str, sequence: int) -> bool:
        """Note an id; return False when it was seen before.

        >>> seen = SeenIds()
        >>> seen.add("a", 1), seen.add("a", 3), seen.add("a", 1), seen.add("a", 2)
        (True, True, False, True)
        """
        known = self._writers.setdefault(writer, _Writer())
        self._writers.move_to_end(writer)
        if len(self._writers) > MAX_WRITERS:
            self._writers.popitem(last=False)
        return known.add(sequence)

    def state(self) -> list[SeenWriter]:
        """Return all ids for a snapshot, the writer least recently heard of first."""
        return [
            SeenWriter(writer=name, floor=one.floor, above=sorted(one.above))
            for name, one in self._writers.items()
        ]


@dataclass(frozen=True, slots=True)
class OpenedRecord:
    """A record that counts: the first with its id, and not voided before."""

    offset: int
    envelope: Envelope
    record: object


class RecordReader:
    """Opens the records of one stream in order and drops those that don't count.

    :param offset: offset of the last record taken, -1 for none.
    """

    def __init__(self, offset: int = -1, seen: Iterable[SeenWriter] = ()) -> None:
        self.offset = offset
        self.unreadable = 0
        self._seen = SeenIds(seen)

    def read(self, record: LogRecord) -> OpenedRecord | None:
        """Return the record opened, or None when it doesn't count.

        :raises ChivespanError: ``log_expired`` when records before it are missing.
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
