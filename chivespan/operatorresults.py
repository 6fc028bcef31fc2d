"""Typed results of the operators' commands, for text and JSON output."""

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
    """Outcome of an ``apply``."""

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
        """Exit code of the command."""
        successes = (self.ACCEPTED, self.NOTHING_TO_DO, self.DRY_RUN)
        return EXIT_DONE if self in successes else EXIT_REFUSED


@dataclass(frozen=True, slots=True)
class ErrorResult:
    """A command that failed."""

    error: str
    message: str


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of ``validate``.

    :param documents: number of documents in the files.
    :param unchecked: tables of kinds that the files refer to but do not contain.
    """

    documents: int
    faults: tuple[Fault, ...]
    unchecked: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ImportResult:
    """Result of ``import``: the inventory converted from an asset register."""

    toml: str
    faults: tuple[Fault, ...]
    skipped_rows: int
    unused_columns: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class KeyResult:
    """A new key and its hash for the rules."""

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
        """Return the result line of a delta."""
        document_id = delta.document_id
        return cls(
            delta.action.value,
            document_id.kind.value,
            document_id.name,
            delta.base_version,
        )


@dataclass(frozen=True, slots=True)
class Conflict:
    """A document whose version differs from the base version of a change."""

    kind: str
    name: str
    base_version: int
    version: int


@dataclass(frozen=True, slots=True)
class PartOutcome:
    """Outcome of one record of a change.

    :param change_id: id for ``chivespan outcome``.
    :param documents: number of documents in the record, 0 if not read back.
    """

    change_id: str
    outcome: ApplyOutcome
    documents: int
    message: str = ""


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """Result of ``apply``.

    :param deltas: documents that the files add, change or remove.
    :param kept: documents that other operators added after the files were derived.
    :param parts: outcome of each record, in the order of publication.
    :param offset: offset of the last record read, -1 if the log was not read.
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
    """Outcome of a change, looked up by its id."""

    change_id: str
    outcome: ApplyOutcome
    entry: AuditEntry | None


@dataclass(frozen=True, slots=True)
class ShownDocument:
    """A document in force and its version."""

    kind: str
    name: str
    version: int
    document: object


@dataclass(frozen=True, slots=True)
class ShowResult:
    """The configuration in force.

    :param toml: the documents as TOML, if requested.
    """

    as_of: int
    documents: tuple[ShownDocument, ...]
    toml: str


@dataclass(frozen=True, slots=True)
class OrdersResult:
    """Orders sent to targets, in chronological order."""

    orders: tuple[AuditedOrder, ...]


@dataclass(frozen=True, slots=True)
class HistoryResult:
    """Entries of the audit trail, in chronological order."""

    entries: tuple[AuditEntry, ...]


@dataclass(frozen=True, slots=True)
class UsageResult:
    """Usage by owner, service and work class.

    :param missing: data centres whose usage could not be queried.
    """

    counts: tuple[UsageCount, ...]
    missing: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class JobsResult:
    """Batch jobs and their states."""

    jobs: tuple[BatchJob, ...]


@dataclass(frozen=True, slots=True)
class StatusResult:
    """Status reported by each VM, and the VMs that did not respond."""

    vms: tuple[StatusReply, ...]
    unreachable: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DrainResult:
    """Result of a request to drain a VM."""

    vm: str
    leaving: bool
