"""What an operator's files change, as small deltas against the configuration in force.

Files speak for every kind that they have a table of: a document of such a kind that
they don't name is removed. With ``as_of`` they were made from an older configuration;
what others have changed since is then a conflict, never undone.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum

from chivespan.codec import encode
from chivespan.configuration import Configuration, Document, DocumentId
from chivespan.documents import DocumentKind
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.inventory import Inventory
from chivespan.records import AuditEntry, ConfigChange, DocumentChange

MAX_CHANGES_IN_RECORD = 500
_ORDER = tuple(DocumentKind)


class Action(StrEnum):
    """What becomes of a document."""

    ADD = "add"
    CHANGE = "change"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class Delta:
    """One document's change, made against a version.

    :param document: the new document, None to remove it.
    """

    document_id: DocumentId
    base_version: int
    document: Document | None
    action: Action

    def record(self) -> DocumentChange:
        """Return the form that goes to the log."""
        return DocumentChange(
            kind=self.document_id.kind.value,
            name=self.document_id.name,
            base_version=self.base_version,
            document=None if self.document is None else encode(self.document),
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """What applying files would change.

    :param kept: documents that others added since ``as_of``; they stay.
    """

    deltas: tuple[Delta, ...]
    kept: tuple[DocumentId, ...] = ()


def plan_changes(
    inventory: Inventory,
    configuration: Configuration,
    history: Sequence[AuditEntry],
    *,
    partial: bool = False,
) -> Plan:
    """Return what the files change, additions first and removals last.

    :param history: audit trail of the configuration, the oldest entry first.
    :param partial: only add and change, remove nothing.
    :raises ChivespanError: ``version_conflict`` when ``as_of`` is too old to tell a new
        document from a removed one.
    """
    base = _Base(configuration, history, inventory.as_of)
    wanted = [
        _delta(base, document_id, document)
        for document_id, document in inventory.documents.items()
        if not _in_force(configuration, document_id, document)
    ]
    wanted.sort(key=lambda delta: _place(delta.document_id))
    absent = [
        document_id
        for document_id in configuration.stored
        if document_id.kind in inventory.kinds
        and document_id not in inventory.documents
        and not partial
    ]
    absent.sort(key=_place, reverse=True)
    kept = tuple(document_id for document_id in absent if base.is_newer(document_id))
    removed = [
        Delta(
            document_id, configuration.version(document_id), None, action=Action.REMOVE
        )
        for document_id in absent
        if not base.is_newer(document_id)
    ]
    return Plan((*wanted, *removed), kept)


def change_records(plan: Plan, operator: str, reason: str) -> Iterator[ConfigChange]:
    """Yield the records of a plan: one, or several when it is large.

    Each is in force or refused as a whole; their order keeps references whole.
    """
    for start in range(0, len(plan.deltas), MAX_CHANGES_IN_RECORD):
        deltas = plan.deltas[start : start + MAX_CHANGES_IN_RECORD]
        changes = [delta.record() for delta in deltas]
        yield ConfigChange(operator=operator, reason=reason, changes=changes)


class _Base:
    """The versions that an operator's files were made against."""

    def __init__(
        self,
        configuration: Configuration,
        history: Sequence[AuditEntry],
        as_of: int | None,
    ) -> None:
        self._configuration = configuration
        self._as_of = configuration.offset if as_of is None else as_of
        self._reaches_back = not history or self._as_of >= history[0].offset - 1
        self._changed = dict(_accepted(history, self._as_of))

    def is_newer(self, document_id: DocumentId) -> bool:
        """Return whether a document in force was set after the base."""
        stored = self._configuration.stored.get(document_id)
        return stored is not None and stored.offset > self._as_of

    def version(self, document_id: DocumentId) -> int:
        """Return the version at the base, 0 when there was none or it is unknown.

        :raises ChivespanError: ``version_conflict`` when that can't be told.
        """
        current = self._configuration.version(document_id)
        if current and not self.is_newer(document_id):
            return current
        if document_id in self._changed:
            return self._changed[document_id]
        if not current and not self._reaches_back:
            reason = (
                f"as_of {self._as_of} is older than the audit trail; take the files "
                "anew from 'chivespan show --toml'"
            )
            raise ChivespanError(ErrorKind.VERSION_CONFLICT, reason)
        return 0


def _accepted(
    history: Sequence[AuditEntry], as_of: int
) -> Iterator[tuple[DocumentId, int]]:
    """Yield the version at ``as_of`` of every document changed after it."""
    seen = set()
    for entry in history:
        if not entry.accepted or entry.offset <= as_of:
            continue
        for change in entry.changes:
            document_id = DocumentId(DocumentKind(change.kind), change.name)
            if document_id not in seen:
                seen.add(document_id)
                yield document_id, change.base_version


def _delta(base: _Base, document_id: DocumentId, document: Document) -> Delta:
    version = base.version(document_id)
    action = Action.CHANGE if version else Action.ADD
    return Delta(document_id, version, document, action)


def _in_force(
    configuration: Configuration, document_id: DocumentId, document: Document
) -> bool:
    stored = configuration.stored.get(document_id)
    return stored is not None and stored.document == document


def _place(document_id: DocumentId) -> tuple[int, str]:
    return _ORDER.index(document_id.kind), document_id.name


def documents_in_force(configuration: Configuration) -> dict[DocumentId, Document]:
    """Return the documents in force, without their versions."""
    return {
        document_id: stored.document
        for document_id, stored in configuration.stored.items()
    }


def documents_after(
    configuration: Configuration, plan: Plan
) -> dict[DocumentId, Document]:
    """Return the documents that are in force once a plan is."""
    documents = documents_in_force(configuration)
    for delta in plan.deltas:
        if delta.document is None:
            del documents[delta.document_id]
        else:
            documents[delta.document_id] = delta.document
    return documents
