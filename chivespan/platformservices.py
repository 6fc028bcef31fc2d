"""Interfaces of the platform's services: the log and the VM list.

The rest of chivespan depends only on these; an adapter module implements them for the
actual service of a deployment.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from chivespan.errors import ChivespanError, ErrorKind
from chivespan.messages import VmState


class LogNotReached(ChivespanError):
    """No connection to the log was made, so an append certainly had no effect."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.LOG_UNAVAILABLE, message)


@dataclass(frozen=True)
class LogRecord:
    """One record of a stream."""

    offset: int
    payload: bytes


@dataclass(frozen=True)
class LogPage:
    """Consecutive records in offset order.

    :param oldest: smallest offset that the log still retains.
    :param end: offset of the next record to be appended.
    """

    records: tuple[LogRecord, ...]
    oldest: int
    end: int


class LogService(Protocol):
    """The platform's append-only log.

    Every method raises ``ChivespanError`` of kind ``log_unavailable`` when the log
    doesn't respond; an append may have taken effect nevertheless.
    """

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Append the payloads atomically; return the offset of the first."""
        ...

    async def read(
        self, stream: str, start: int, limit: int, wait: timedelta
    ) -> LogPage:
        """Return records from offset ``start``, waiting up to ``wait`` for one.

        :raises ChivespanError: ``log_expired`` when ``start`` is no longer retained.
        """
        ...

    async def bounds(self, stream: str) -> LogPage:
        """Return a page without records, which has the bounds of the stream."""
        ...


@dataclass(frozen=True)
class ListedVm:
    """One entry of the VM list."""

    vm: str
    data_centre: str
    region: str
    state: VmState


class VmList(Protocol):
    """The platform's list of VMs, which is updated with a delay."""

    async def fetch(self) -> tuple[ListedVm, ...]:
        """Return the list.

        :raises ChivespanError: ``not_ready`` when the list can't be fetched.
        """
        ...
