"""What all folds have in common: a reader of records, an offset and a digest."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, Generic, TypeAlias, TypeVar

from chivespan.envelope import OpenedRecord, RecordReader
from chivespan.snapshots import digest_of

R = TypeVar("R")
Handler: TypeAlias = Callable[[Any, OpenedRecord, Any], R]


class RecordHandlers(dict[type[Any], Handler[R]], Generic[R]):
    """What a fold does with each class of record, filled by decorators."""

    def handles(self, cls: type[Any]) -> Callable[[Handler[R]], Handler[R]]:
        """Return a decorator that enters a fold's method for records of a class."""

        def enter(handler: Handler[R]) -> Handler[R]:
            self[cls] = handler
            return handler

        return enter

    def apply(self, fold: "RecordFold", opened: OpenedRecord) -> R | None:
        """Let the fold take in a record; records of other classes change nothing."""
        handler = self.get(type(opened.record))
        return handler(fold, opened, opened.record) if handler else None


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
