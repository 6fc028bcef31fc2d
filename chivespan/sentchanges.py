"""Tracks which changes of some state each receiver of reports has been sent."""

from typing import Generic, Protocol, TypeVar

# Version that a receiver has before anything was sent to it.
NOTHING_SENT = -1

T = TypeVar("T")


class ChangeSource(Protocol[T]):
    """State whose changes are numbered."""

    @property
    def version(self) -> int:
        """Number of the last change."""
        ...

    @property
    def own_version(self) -> int:
        """Number of the last change that this node has found itself."""
        ...

    def changes_since(self, version: int) -> list[T]:
        """Return the messages for a receiver that has all changes up to a version."""
        ...


class NumberedChanges:
    """Numbers the changes of some state, for a ``ChangeSource``."""

    def __init__(self) -> None:
        self._version = 0
        self._own_version = 0

    @property
    def version(self) -> int:
        """Number of the last change."""
        return self._version

    @property
    def own_version(self) -> int:
        """Number of the last change that this node has found itself."""
        return self._own_version

    def _number_change(self, is_own: bool) -> int:
        """Return the number of a new change.

        :param is_own: whether this node has found it itself.
        """
        self._version += 1
        if is_own:
            self._own_version = self._version
        return self._version


class SentChanges(Generic[T]):
    """What receivers have of one source; links are reliable, so a change goes once."""

    def __init__(self, source: ChangeSource[T]) -> None:
        self._source = source
        self._sent: dict[str, int] = {}

    def own_for(self, receiver: str) -> list[T]:
        """Return the changes for a receiver if this node has found some of them."""
        return self._changes(receiver) if self.has_own_for(receiver) else []

    def all_for(self, receiver: str) -> list[T]:
        """Return the changes for a receiver to which this node passes on all."""
        is_new = self._source.version > self._sent_version(receiver)
        return self._changes(receiver) if is_new else []

    def has_own_for(self, receiver: str) -> bool:
        """Return whether this node has found changes that a receiver doesn't have."""
        return self._source.own_version > self._sent_version(receiver)

    def forget(self) -> None:
        """Have everything sent again, since some receivers are new."""
        self._sent.clear()

    def _changes(self, receiver: str) -> list[T]:
        sent = self._sent_version(receiver)
        self._sent[receiver] = self._source.version
        return self._source.changes_since(sent)

    def _sent_version(self, receiver: str) -> int:
        return self._sent.get(receiver, NOTHING_SENT)
