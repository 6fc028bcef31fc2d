"""Common base of the stores of jobs and claims: access to one partition's stream."""

from typing import Generic, TypeVar

from chivespan.appender import Appender
from chivespan.follower import Follower
from chivespan.platformservices import LogService
from chivespan.snapshots import Fold

AnyFold = TypeVar("AnyFold", bound=Fold)


class PartitionStore(Generic[AnyFold]):
    """Reads and appends to the stream of one partition.

    :param follower: maintains the fold of the stream.
    :param appender: the only appender of this process to the stream.
    """

    def __init__(
        self,
        log: LogService,
        stream: str,
        follower: Follower[AnyFold],
        appender: Appender,
    ) -> None:
        self._log = log
        self._stream = stream
        self._follower = follower
        self._appender = appender

    @property
    def fold(self) -> AnyFold:
        """The partition's state as of the last record read."""
        return self._follower.fold
