"""Fold of the configuration stream: the documents in force and the audit trail.

A change is applied as a whole, and only if every document still has the version that
the change is based on (optimistic concurrency control). The version of a document is
the offset of the record that set it, plus one, so versions also increase when a
document is removed and added again. Once operators are in force, a change must name
one of them, and must not remove the last one.
"""

from collections import deque
from datetime import datetime

from chivespan.codec import decode, encode
from chivespan.configuration import (
    DOCUMENT_CLASSES,
    Configuration,
    Document,
    DocumentId,
    StoredDocument,
)
from chivespan.documents import DocumentKind
from chivespan.envelope import OpenedRecord, RecordReader
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.platformservices import LogRecord
from chivespan.recordfold import RecordFold
from chivespan.records import (
    AuditChange,
    AuditEntry,
    ConfigChange,
    ConfigState,
    DocumentChange,
    StoredState,
)

__all__ = ["CONFIG_STREAM", "AuditEntry", "ConfigFold"]

CONFIG_STREAM = "config"
HISTORY_LENGTH = 512  # audit entries


class ConfigFold(RecordFold):
    """The configuration in force after a prefix of the stream, with its audit trail.

    The reasons of refused changes are part of the state, hence of its digest.

    >>> fold = ConfigFold()
    >>> fold.offset, fold.configuration.offset, fold.history
    (-1, -1, ())
    """

    def __init__(self) -> None:
        super().__init__()
        self._configuration = Configuration()
        self._history: deque[AuditEntry] = deque(maxlen=HISTORY_LENGTH)

    @property
    def configuration(self) -> Configuration:
        """The documents in force; changed in place by :meth:`apply`."""
        return self._configuration

    @property
    def history(self) -> tuple[AuditEntry, ...]:
        """The most recent audit entries, accepted and refused, oldest first."""
        return tuple(self._history)

    def apply(self, record: LogRecord) -> AuditEntry | None:
        """Apply the next record of the stream.

        Records at or below ``offset``, duplicates and voids are ignored.

        :return: audit entry of the change, or None if the record is ignored or holds no
            change.
        :raises ChivespanError: ``log_expired`` if records before it are missing; the
            fold is then unchanged and the reader must restart from a snapshot.
        """
        opened = self._reader.read(record)
        self._configuration.offset = self._reader.offset
        if opened is None or not isinstance(opened.record, ConfigChange):
            return None
        entry = self._decide(opened, opened.record)
        self._history.append(entry)
        return entry

    def snapshot(self) -> bytes:
        """Return the serialized state, including the record ids seen."""
        stored = sorted(
            self._configuration.stored.items(),
            key=lambda item: (item[0].kind.value, item[0].name),
        )
        state = ConfigState(
            offset=self.offset,
            documents=[
                _stored_state(document_id, document) for document_id, document in stored
            ],
            history=list(self._history),
            seen=self._reader.seen(),
        )
        return encode(state)

    @classmethod
    def from_snapshot(cls, snapshot: bytes) -> "ConfigFold":
        """Return a fold with the state of a snapshot.

        :raises ChivespanError: ``protocol`` if it can't be decoded.
        """
        state = decode(snapshot, ConfigState)
        fold = cls()
        fold._reader = RecordReader(state.offset, state.seen)
        fold._history.extend(state.history)
        fold._configuration.offset = state.offset
        for stored_state in state.documents:
            document_id = DocumentId(DocumentKind(stored_state.kind), stored_state.name)
            document = decode(stored_state.document, DOCUMENT_CLASSES[document_id.kind])
            stored = StoredDocument(document, stored_state.version, stored_state.offset)
            fold._configuration.put(document_id, stored)
        return fold

    def _decide(self, opened: OpenedRecord, change: ConfigChange) -> AuditEntry:
        try:
            self._require_operator(change.operator)
            documents = self._validated_documents(change.changes)
            self._require_remaining_operator(documents)
        except ChivespanError as error:
            return self._audit_entry(opened, change, error)
        for document_id, document in documents.items():
            if document is None:
                self._configuration.remove(document_id)
            else:
                stored = StoredDocument(document, opened.offset + 1, opened.offset)
                self._configuration.put(document_id, stored)
        return self._audit_entry(opened, change, None)

    def _require_operator(self, name: str) -> None:
        """Refuse operators that aren't in force; without any operator, allow all."""
        operators = self._configuration.operators
        if operators and name not in operators:
            raise ChivespanError(ErrorKind.FORBIDDEN, f"no operator {name} is in force")

    def _require_remaining_operator(
        self, documents: dict[DocumentId, Document | None]
    ) -> None:
        """Refuse to remove the last operator, as no change would be possible then."""
        remaining = set(self._configuration.operators)
        for document_id, document in documents.items():
            if document_id.kind is not DocumentKind.operator:
                continue
            if document is None:
                remaining.discard(document_id.name)
            else:
                remaining.add(document_id.name)
        if self._configuration.operators and not remaining:
            reason = "the change leaves no operator in force"
            raise ChivespanError(ErrorKind.FORBIDDEN, reason)

    def _validated_documents(
        self, changes: list[DocumentChange]
    ) -> dict[DocumentId, Document | None]:
        documents: dict[DocumentId, Document | None] = {}
        for change in changes:
            document_id = _document_id(change)
            if document_id in documents:
                reason = f"{change.kind} {change.name} stands twice in the change"
                raise ChivespanError(ErrorKind.INVALID_DOCUMENT, reason)
            current = self._configuration.version(document_id)
            if change.base_version != current:
                reason = (
                    f"{change.kind} {change.name} is at version {current}, "
                    f"the change was made against {change.base_version}"
                )
                raise ChivespanError(ErrorKind.VERSION_CONFLICT, reason)
            documents[document_id] = _decode_document(document_id, change.document)
        return documents

    def _audit_entry(
        self, opened: OpenedRecord, change: ConfigChange, error: ChivespanError | None
    ) -> AuditEntry:
        written_at: datetime = opened.envelope.written_at
        return AuditEntry(
            offset=opened.offset,
            written_at=written_at,
            operator=change.operator,
            reason=change.reason,
            accepted=error is None,
            writer=opened.envelope.writer,
            sequence=opened.envelope.sequence,
            error=error.kind.value if error else "",
            detail=error.message if error else "",
            changes=[self._audit_change(each) for each in change.changes],
        )

    def _audit_change(self, change: DocumentChange) -> AuditChange:
        version = 0
        if change.kind in DocumentKind.__members__:
            version = self._configuration.version(_document_id(change))
        return AuditChange(
            kind=change.kind,
            name=change.name,
            base_version=change.base_version,
            version=version,
            removed=change.document is None,
        )


def _document_id(change: DocumentChange) -> DocumentId:
    try:
        return DocumentId(DocumentKind(change.kind), change.name)
    except ValueError as error:
        reason = f"there is no kind of document named {change.kind}"
        raise ChivespanError(ErrorKind.INVALID_DOCUMENT, reason) from error


def _decode_document(document_id: DocumentId, body: bytes | None) -> Document | None:
    if body is None:
        return None
    try:
        document: Document = decode(body, DOCUMENT_CLASSES[document_id.kind])
    except ChivespanError as error:
        reason = f"{document_id.kind.value} {document_id.name}: {error.message}"
        raise ChivespanError(ErrorKind.INVALID_DOCUMENT, reason) from error
    if document.name != document_id.name:
        reason = f"{document_id.name} holds a document named {document.name}"
        raise ChivespanError(ErrorKind.INVALID_DOCUMENT, reason)
    return document


def _stored_state(document_id: DocumentId, stored: StoredDocument) -> StoredState:
    return StoredState(
        kind=document_id.kind.value,
        name=document_id.name,
        version=stored.version,
        offset=stored.offset,
        document=encode(stored.document),
    )
