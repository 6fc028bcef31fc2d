"""What all folds have in common: a reader of records, an offset and a digest."""

from abc import ABC, abstractmethod

from chivespan.envelope import RecordReader
from chivespan.snapshots import digest_of


class RecordFold(ABC):
    """The state that a prefix of a stream gives; the same for every reader."""

    def __init__(self) -> None:
        self._reader = RecordReader()

    @property
    def offset(self) -> int:
        """Offset of the last record applied, -1 for none."""
        return self._reader.offset

    @property
    def digest(self) -> str:
        """Hash of the whole state; equal for all readers at the same offset."""
        return digest_of(self.snapshot())

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state."""
