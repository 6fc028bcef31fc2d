"""The configuration in force: typed, versioned documents."""

from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, TypeAlias

from chivespan import documents
from chivespan.documents import (
    DataCentre,
    DocumentKind,
    Keeping,
    Model,
    Operator,
    Owner,
    Region,
    Rule,
    Runner,
    Service,
)

Document: TypeAlias = (
    Region | DataCentre | Model | Service | Runner | Owner | Operator | Rule | Keeping
)

DOCUMENT_CLASSES: MappingProxyType[DocumentKind, type[Any]] = MappingProxyType(
    {
        DocumentKind.region: documents.Region,
        DocumentKind.data_centre: documents.DataCentre,
        DocumentKind.model: documents.Model,
        DocumentKind.service: documents.Service,
        DocumentKind.runner: documents.Runner,
        DocumentKind.owner: documents.Owner,
        DocumentKind.operator: documents.Operator,
        DocumentKind.rule: documents.Rule,
        DocumentKind.keeping: documents.Keeping,
    }
)

DEFAULT_KEEPING = Keeping(name="keeping")


@dataclass(frozen=True, slots=True)
class StoredDocument:
    """A document, its version, and the offset of the record that set it."""

    document: Document
    version: int
    offset: int


@dataclass(frozen=True, slots=True)
class DocumentId:
    """Identifies one document."""

    kind: DocumentKind
    name: str


@dataclass(slots=True)
class Configuration:
    """All documents in force as of an offset of the configuration stream.

    :param offset: offset of the last record applied, -1 if none.
    """

    offset: int = -1
    stored: dict[DocumentId, StoredDocument] = field(default_factory=dict)
    regions: dict[str, Region] = field(default_factory=dict)
    data_centres: dict[str, DataCentre] = field(default_factory=dict)
    models: dict[str, Model] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    runners: dict[str, Runner] = field(default_factory=dict)
    owners: dict[str, Owner] = field(default_factory=dict)
    operators: dict[str, Operator] = field(default_factory=dict)
    rules: dict[str, Rule] = field(default_factory=dict)
    keepings: dict[str, Keeping] = field(default_factory=dict)

    @property
    def keeping(self) -> Keeping:
        """Retention of results and idempotency keys."""
        return self.keepings.get(DEFAULT_KEEPING.name, DEFAULT_KEEPING)

    def version(self, document_id: DocumentId) -> int:
        """Return the version of a document, 0 if it doesn't exist."""
        stored = self.stored.get(document_id)
        return stored.version if stored else 0

    def put(self, document_id: DocumentId, stored: StoredDocument) -> None:
        """Add or replace a document."""
        self.stored[document_id] = stored
        self._documents_of(document_id.kind)[document_id.name] = stored.document

    def remove(self, document_id: DocumentId) -> None:
        """Remove a document."""
        self.stored.pop(document_id, None)
        self._documents_of(document_id.kind).pop(document_id.name, None)

    def _documents_of(self, kind: DocumentKind) -> dict[str, Any]:
        by_kind: dict[DocumentKind, dict[str, Any]] = {
            DocumentKind.region: self.regions,
            DocumentKind.data_centre: self.data_centres,
            DocumentKind.model: self.models,
            DocumentKind.service: self.services,
            DocumentKind.runner: self.runners,
            DocumentKind.owner: self.owners,
            DocumentKind.operator: self.operators,
            DocumentKind.rule: self.rules,
            DocumentKind.keeping: self.keepings,
        }
        return by_kind[kind]
