"""Base class of folds, and dispatch of records to handlers by their class."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, Generic, TypeAlias, TypeVar

from chivespan.envelope import OpenedRecord, RecordReader
from chivespan.snapshots import digest_of

R = TypeVar("R")
Handler: TypeAlias = Callable[[Any, OpenedRecord, Any], R]


class RecordHandlers(dict[type[Any], Handler[R]], Generic[R]):
    """Registry of a fold's handlers by record class, filled by decorators."""

    def handles(self, cls: type[Any]) -> Callable[[Handler[R]], Handler[R]]:
        """Return a decorator that registers a fold's method for a record class."""

        def register(handler: Handler[R]) -> Handler[R]:
            self[cls] = handler
            return handler

        return register

    def apply(self, fold: "RecordFold", opened: OpenedRecord) -> R | None:
        """Call the handler of a record; records without a handler are ignored."""
        handler = self.get(type(opened.record))
        return handler(fold, opened, opened.record) if handler else None


class RecordFold(ABC):
    """State computed from a prefix of a stream, identical for every reader."""

    def __init__(self) -> None:
        self._reader = RecordReader()

    @property
    def offset(self) -> int:
        """Offset of the last record applied, -1 if none."""
        return self._reader.offset

    @property
    def digest(self) -> str:
        """Hash of the serialized state; equal for all readers at the same offset."""
        return digest_of(self.snapshot())

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the serialized state."""
