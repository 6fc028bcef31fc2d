"""What the operators' commands give back, as typed objects for programs."""

from dataclasses import dataclass
from enum import StrEnum

from chivespan.callerapi import BatchJob
from chivespan.configchanges import Delta
from chivespan.inventory import Fault
from chivespan.messages import StatusReply, UsageCount
from chivespan.orderaudit import AuditedOrder
from chivespan.records import AuditEntry

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2


class ApplyOutcome(StrEnum):
    """What became of an ``apply``."""

    ACCEPTED = "accepted"
    NOTHING_TO_DO = "nothing to do"
    DRY_RUN = "dry run"
    INVALID = "invalid"
    CONFLICT = "conflict"
    REFUSED = "refused"
    NOT_ACCEPTED = "not accepted"
    UNKNOWN = "unknown"

    @property
    def exit_code(self) -> int:
        """The command's exit code."""
        done = (self.ACCEPTED, self.NOTHING_TO_DO, self.DRY_RUN)
        return EXIT_DONE if self in done else EXIT_REFUSED


@dataclass(frozen=True, slots=True)
class ErrorResult:
    """A command that failed."""

    error: str
    message: str


@dataclass(frozen=True, slots=True)
class CheckResult:
    """What ``validate`` found.

    :param unchecked: kinds that the files refer to and have no table of.
    """

    documents: int
    faults: tuple[Fault, ...]
    unchecked: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ImportResult:
    """What ``import`` made of an asset register."""

    toml: str
    faults: tuple[Fault, ...]
    skipped_rows: int
    unused_columns: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class KeyResult:
    """A new key and what stands in the rules for it."""

    key: str
    key_sha256: str


@dataclass(frozen=True, slots=True)
class DeltaLine:
    """One document that a change adds, changes or removes."""

    action: str
    kind: str
    name: str
    base_version: int

    @classmethod
    def of(cls, delta: Delta) -> "DeltaLine":
        """Return the line of a delta."""
        document_id = delta.document_id
        return cls(
            delta.action.value,
            document_id.kind.value,
            document_id.name,
            delta.base_version,
        )


@dataclass(frozen=True, slots=True)
class Conflict:
    """A document that others changed since the version a change was made against."""

    kind: str
    name: str
    base_version: int
    version: int


@dataclass(frozen=True, slots=True)
class PartOutcome:
    """What became of one record of a change.

    :param change_id: the id to ask by.
    """

    change_id: str
    outcome: ApplyOutcome
    documents: int
    message: str = ""


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """What ``apply`` did.

    :param offset: offset of the last record read, -1 when the log wasn't read.
    :param kept: documents that others added since the files were made.
    """

    outcome: ApplyOutcome
    deltas: tuple[DeltaLine, ...] = ()
    kept: tuple[str, ...] = ()
    parts: tuple[PartOutcome, ...] = ()
    conflicts: tuple[Conflict, ...] = ()
    faults: tuple[Fault, ...] = ()
    offset: int = -1


@dataclass(frozen=True, slots=True)
class OutcomeResult:
    """What became of the change with an id."""

    change_id: str
    outcome: ApplyOutcome
    entry: AuditEntry | None


@dataclass(frozen=True, slots=True)
class ShownDocument:
    """A document in force with its version."""

    kind: str
    name: str
    version: int
    document: object


@dataclass(frozen=True, slots=True)
class ShowResult:
    """The configuration in force.

    :param toml: the same as files would say it, if that was asked for.
    """

    as_of: int
    documents: tuple[ShownDocument, ...]
    toml: str


@dataclass(frozen=True, slots=True)
class OrdersResult:
    """Orders that were given to targets, the oldest first."""

    orders: tuple[AuditedOrder, ...]


@dataclass(frozen=True, slots=True)
class HistoryResult:
    """Who changed what, the newest last."""

    entries: tuple[AuditEntry, ...]


@dataclass(frozen=True, slots=True)
class UsageResult:
    """Who consumed what.

    :param missing: data centres whose part is not known now.
    """

    counts: tuple[UsageCount, ...]
    missing: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class JobsResult:
    """Batch jobs with their states."""

    jobs: tuple[BatchJob, ...]


@dataclass(frozen=True, slots=True)
class StatusResult:
    """What every VM says of itself, and the VMs that gave no answer."""

    vms: tuple[StatusReply, ...]
    unreachable: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DrainResult:
    """A VM that was told to leave."""

    vm: str
    leaving: bool
