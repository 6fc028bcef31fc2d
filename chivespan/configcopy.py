"""One process's copy of the configuration, whose offset only increases.

Records and snapshots arrive from the log or from other processes, in any order and
possibly more than once; those not newer than the copy are ignored.
"""

from collections import deque
from collections.abc import Sequence

from chivespan.configfold import ConfigFold
from chivespan.configuration import Configuration
from chivespan.messages import ConfigRecords, ConfigRequest, ConfigSnapshot
from chivespan.platformservices import LogRecord

RECENT_RECORDS = 256


class ConfigCopy:
    """The fold of the configuration stream, and its recent records for peers."""

    def __init__(self) -> None:
        self._fold = ConfigFold()
        self._recent: deque[LogRecord] = deque(maxlen=RECENT_RECORDS)

    @property
    def configuration(self) -> Configuration:
        """The documents in force."""
        return self._fold.configuration

    @property
    def fold(self) -> ConfigFold:
        """The fold of the stream, for taking a snapshot."""
        return self._fold

    @property
    def offset(self) -> int:
        """Offset of the last record applied, -1 if none."""
        return self._fold.configuration.offset

    def apply(self, records: Sequence[LogRecord]) -> tuple[LogRecord, ...]:
        """Apply the records that directly follow the copy; return those applied.

        Records after a gap are ignored.
        """
        applied = tuple(record for record in records if self._apply_next(record))
        self._recent.extend(applied)
        return applied

    def apply_records(self, message: ConfigRecords) -> tuple[LogRecord, ...]:
        """Apply the records of a message; return those applied."""
        records = enumerate(message.records, message.from_offset)
        return self.apply([LogRecord(offset, payload) for offset, payload in records])

    def apply_snapshot(self, message: ConfigSnapshot) -> bool:
        """Replace the copy by a snapshot if that is newer; return whether it was."""
        if message.as_of <= self.offset:
            return False
        fold = ConfigFold.from_snapshot(message.snapshot)
        if fold.configuration.offset <= self.offset:
            return False
        self._fold = fold
        self._recent.clear()
        return True

    def build_reply(self, request: ConfigRequest) -> ConfigRecords | ConfigSnapshot:
        """Return the records, or a snapshot, that bring the requester up to date."""
        if request.have_offset >= self.offset:
            return config_records(request.have_offset, ())
        newer = [each for each in self._recent if each.offset > request.have_offset]
        if newer and newer[0].offset == request.have_offset + 1:
            return config_records(request.have_offset, newer)
        return ConfigSnapshot(as_of=self.offset, snapshot=self._fold.snapshot())

    def _apply_next(self, record: LogRecord) -> bool:
        if record.offset != self.offset + 1:
            return False
        self._fold.apply(record)
        return True


def config_records(after: int, records: Sequence[LogRecord]) -> ConfigRecords:
    """Return a message with the records that follow the offset ``after``."""
    return ConfigRecords(
        from_offset=after + 1,
        next_offset=after + 1 + len(records),
        records=[record.payload for record in records],
    )
