"""The platform's services as interfaces: the log and the VM list.

The rest of chivespan knows only these; each deployment's real service is met by one
adapter module.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from chivespan.errors import ChivespanError, ErrorKind
from chivespan.messages import VmState


class LogNotReached(ChivespanError):
    """The log was not reached at all: an append has surely had no effect."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorKind.LOG_UNAVAILABLE, message)


@dataclass(frozen=True)
class LogRecord:
    """One record of a stream."""

    offset: int
    payload: bytes


@dataclass(frozen=True)
class LogPage:
    """A run of records in offset order.

    :param oldest: smallest offset that the log still keeps.
    :param end: offset that the next record appended will get.
    """

    records: tuple[LogRecord, ...]
    oldest: int
    end: int


class LogService(Protocol):
    """The platform's append-only log.

    Every method raises ``ChivespanError`` of kind ``log_unavailable`` when the log
    gives no answer; an append may have taken effect even so.
    """

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Append the payloads as one unit; return the offset of the first."""
        ...

    async def read(
        self, stream: str, start: int, limit: int, wait: timedelta
    ) -> LogPage:
        """Return records from offset ``start`` on, waiting up to ``wait`` for one.

        :raises ChivespanError: ``log_expired`` when ``start`` is no longer kept.
        """
        ...

    async def bounds(self, stream: str) -> LogPage:
        """Return a page without records, for its bounds."""
        ...


@dataclass(frozen=True)
class ListedVm:
    """One entry of the VM list."""

    vm: str
    data_centre: str
    region: str
    state: VmState


class VmList(Protocol):
    """The platform's list of VMs, which lags."""

    async def fetch(self) -> tuple[ListedVm, ...]:
        """Return the list.

        :raises ChivespanError: ``not_ready`` when the list gives no answer.
        """
        ...
