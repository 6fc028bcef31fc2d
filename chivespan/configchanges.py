"""Computes the changes that an operator's files make to the configuration in force.

The files are complete for every kind of document that they have a table of: a document
of such a kind is removed if the files don't list it. With ``as_of`` they are based on
an older configuration; a document changed by others since then is a conflict, and is
never reverted.
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
_KIND_ORDER = tuple(DocumentKind)


class Action(StrEnum):
    """What a change does to a document."""

    ADD = "add"
    CHANGE = "change"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class Delta:
    """Change of one document, based on a version of it.

    :param document: the new document, or None to remove it.
    """

    document_id: DocumentId
    base_version: int
    document: Document | None
    action: Action

    def to_record(self) -> DocumentChange:
        """Return the change in the form that is written to the log."""
        return DocumentChange(
            kind=self.document_id.kind.value,
            name=self.document_id.name,
            base_version=self.base_version,
            document=None if self.document is None else encode(self.document),
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """The changes that applying files would make.

    :param kept: documents not in the files that others set after ``as_of``; they are
        not removed.
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
    """Return the changes, with additions and updates before removals.

    :param history: audit trail of the configuration, oldest entry first.
    :param partial: add and change documents, but remove none.
    :raises ChivespanError: ``version_conflict`` if ``as_of`` is older than the audit
        trail, so that a new document can't be told from a removed one.
    """
    base = _BaseVersions(configuration, history, inventory.as_of)
    upserts = [
        _delta(base, document_id, document)
        for document_id, document in inventory.documents.items()
        if not _is_unchanged(configuration, document_id, document)
    ]
    upserts.sort(key=lambda delta: _sort_key(delta.document_id))
    unlisted = [
        document_id
        for document_id in configuration.stored
        if document_id.kind in inventory.kinds
        and document_id not in inventory.documents
        and not partial
    ]
    unlisted.sort(key=_sort_key, reverse=True)
    kept = tuple(document_id for document_id in unlisted if base.is_newer(document_id))
    removed = [
        Delta(
            document_id, configuration.version(document_id), None, action=Action.REMOVE
        )
        for document_id in unlisted
        if not base.is_newer(document_id)
    ]
    return Plan((*upserts, *removed), kept)


def change_records(plan: Plan, operator: str, reason: str) -> Iterator[ConfigChange]:
    """Yield the records of a plan, with at most ``MAX_CHANGES_IN_RECORD`` changes each.

    Each record is applied or refused as a whole. The order of the changes ensures that
    no document in force refers to a missing one between two records.
    """
    for start in range(0, len(plan.deltas), MAX_CHANGES_IN_RECORD):
        deltas = plan.deltas[start : start + MAX_CHANGES_IN_RECORD]
        changes = [delta.to_record() for delta in deltas]
        yield ConfigChange(operator=operator, reason=reason, changes=changes)


class _BaseVersions:
    """The document versions that an operator's files are based on."""

    def __init__(
        self,
        configuration: Configuration,
        history: Sequence[AuditEntry],
        as_of: int | None,
    ) -> None:
        self._configuration = configuration
        self._as_of = configuration.offset if as_of is None else as_of
        self._covers_base = not history or self._as_of >= history[0].offset - 1
        self._changed_since = dict(_versions_at(history, self._as_of))

    def is_newer(self, document_id: DocumentId) -> bool:
        """Return whether a document in force was set after ``as_of``."""
        stored = self._configuration.stored.get(document_id)
        return stored is not None and stored.offset > self._as_of

    def version(self, document_id: DocumentId) -> int:
        """Return a document's version as of ``as_of``, 0 if it had none or is unknown.

        :raises ChivespanError: ``version_conflict`` if the audit trail is too short to
            tell whether the document existed.
        """
        current = self._configuration.version(document_id)
        if current and not self.is_newer(document_id):
            return current
        if document_id in self._changed_since:
            return self._changed_since[document_id]
        if not current and not self._covers_base:
            reason = (
                f"as_of {self._as_of} is older than the audit trail; export the files "
                "again with 'chivespan show --toml'"
            )
            raise ChivespanError(ErrorKind.VERSION_CONFLICT, reason)
        return 0


def _versions_at(
    history: Sequence[AuditEntry], as_of: int
) -> Iterator[tuple[DocumentId, int]]:
    """Yield the version as of ``as_of`` of every document changed after it."""
    seen = set()
    for entry in history:
        if not entry.accepted or entry.offset <= as_of:
            continue
        for change in entry.changes:
            document_id = DocumentId(DocumentKind(change.kind), change.name)
            if document_id not in seen:
                seen.add(document_id)
                yield document_id, change.base_version


def _delta(base: _BaseVersions, document_id: DocumentId, document: Document) -> Delta:
    version = base.version(document_id)
    action = Action.CHANGE if version else Action.ADD
    return Delta(document_id, version, document, action)


def _is_unchanged(
    configuration: Configuration, document_id: DocumentId, document: Document
) -> bool:
    stored = configuration.stored.get(document_id)
    return stored is not None and stored.document == document


def _sort_key(document_id: DocumentId) -> tuple[int, str]:
    return _KIND_ORDER.index(document_id.kind), document_id.name


def documents_in_force(configuration: Configuration) -> dict[DocumentId, Document]:
    """Return the documents in force, without their versions."""
    return {
        document_id: stored.document
        for document_id, stored in configuration.stored.items()
    }


def documents_after(
    configuration: Configuration, plan: Plan
) -> dict[DocumentId, Document]:
    """Return the documents that are in force after a plan is applied."""
    documents = documents_in_force(configuration)
    for delta in plan.deltas:
        if delta.document is None:
            del documents[delta.document_id]
        else:
            documents[delta.document_id] = delta.document
    return documents
