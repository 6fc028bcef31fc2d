"""Consistency checks of documents, registered for each kind of document.

They run on the contents of a set of files, alone or combined with the configuration in
force.
"""

import re
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, TypeAlias

from chivespan.addresses import is_address
from chivespan.configuration import DEFAULT_KEEPING, Document, DocumentId
from chivespan.documents import (
    DataCentre,
    DocumentKind,
    Keeping,
    Operator,
    Owner,
    Rule,
    Runner,
    Service,
    ServiceKind,
)
from chivespan.inventory import TABLE_OF_KIND, Fault, Inventory, Place

METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")
_CALL_PATH = re.compile(r"/[^?#*\s]*\*?")
_KEY_HASH = re.compile(r"[0-9a-f]{64}")


@dataclass(frozen=True, slots=True)
class Problem:
    """One error in a field of a document."""

    field: str
    problem: str


@dataclass(frozen=True, slots=True)
class _ServedModel:
    service: str
    model: str


def _first_names(pairs: Iterable[tuple[str, str]]) -> dict[str, str]:
    """Map each value to the alphabetically first name that is paired with it."""
    first: dict[str, str] = {}
    for value, name in pairs:
        first[value] = min(name, first.get(value, name))
    return first


def _rule_scope(rule: Rule) -> str:
    return f"{rule.owner} {rule.service} {rule.work_class}"


class DocumentIndex:
    """Index of documents by kind and name.

    :param complete: kinds of which all documents are contained.
    :param broken: documents that were omitted because of a faulty field.
    """

    def __init__(
        self,
        documents: Mapping[DocumentId, Document],
        complete: set[DocumentKind],
        broken: set[DocumentId],
    ) -> None:
        self._by_kind: dict[DocumentKind, dict[str, Any]] = defaultdict(dict)
        for document_id, document in documents.items():
            self._by_kind[document_id.kind][document_id.name] = document
        self._complete = complete
        self._broken = broken
        self._has_broken_runner = any(
            document_id.kind is DocumentKind.runner for document_id in broken
        )
        self._addresses = _first_names(
            (runner.address, runner.name) for runner in self.all(DocumentKind.runner)
        )
        self._keys = _first_names(
            (digest, holder.name)
            for kind in (DocumentKind.owner, DocumentKind.operator)
            for holder in self.all(kind)
            for digest in holder.key_sha256
        )
        self._rules = _first_names(
            (_rule_scope(rule), rule.name) for rule in self.all(DocumentKind.rule)
        )
        self._served = {
            _ServedModel(runner.service, runner.model)
            for runner in self.all(DocumentKind.runner)
        }

    def get(self, kind: DocumentKind, name: str) -> Any:
        """Return a document, or None if it is not contained."""
        return self._by_kind[kind].get(name)

    def all(self, kind: DocumentKind) -> list[Any]:
        """Return all documents of a kind."""
        return list(self._by_kind[kind].values())

    def is_complete(self, kind: DocumentKind) -> bool:
        """Return whether all documents of a kind are contained."""
        return kind in self._complete

    def runner_at(self, address: str) -> str:
        """Return the name of the alphabetically first runner that has an address."""
        return self._addresses.get(address, "")

    def key_holder(self, digest: str) -> str:
        """Return the name of the first owner or operator that has a key hash."""
        return self._keys.get(digest, "")

    def rule_for(self, rule: Rule) -> str:
        """Return the name of the first rule with the scope of the given rule."""
        return self._rules[_rule_scope(rule)]

    def serves(self, service: str, model: str) -> bool:
        """Return whether a runner of a service serves a model.

        Also true if this cannot be determined, because some runners are missing or
        broken.

        :param model: name of the model; empty for plain services.
        """
        if self._has_broken_runner or not self.is_complete(DocumentKind.runner):
            return True
        return _ServedModel(service, model) in self._served

    def reference(self, field: str, kind: DocumentKind, name: str) -> Iterator[Problem]:
        """Yield a problem if ``name`` refers to a document that does not exist."""
        exists = (
            self.get(kind, name) is not None or DocumentId(kind, name) in self._broken
        )
        if self.is_complete(kind) and not exists:
            yield Problem(field, f"no {kind.value.replace('_', ' ')} {name!r} exists")


Check: TypeAlias = Callable[[Any, DocumentIndex], Iterator[Problem]]
_CHECKS: dict[DocumentKind, list[Check]] = defaultdict(list)


def check(kind: DocumentKind) -> Callable[[Check], Check]:
    """Return a decorator that registers a check of the documents of a kind."""

    def register(function: Check) -> Check:
        _CHECKS[kind].append(function)
        return function

    return register


def check_inventory(inventory: Inventory) -> list[Fault]:
    """Return all faults of an inventory, including those found while reading it.

    References to kinds without a table in the files are not checked.
    """
    index = DocumentIndex(inventory.documents, inventory.kinds, inventory.broken)
    return [
        *inventory.faults,
        *_run_checks(inventory.documents, index, inventory.places),
    ]


def check_change(
    before: Mapping[DocumentId, Document],
    after: Mapping[DocumentId, Document],
    places: Mapping[DocumentId, Place],
) -> list[Fault]:
    """Return the faults that a change introduces, without those that exist already.

    :param before: all documents in force.
    :param after: all documents in force after the change.
    :param places: places of documents in the files.
    """
    all_kinds = set(DocumentKind)
    existing = set(_run_checks(before, DocumentIndex(before, all_kinds, set()), places))
    faults = _run_checks(after, DocumentIndex(after, all_kinds, set()), places)
    return [fault for fault in faults if fault not in existing]


def _run_checks(
    documents: Mapping[DocumentId, Document],
    index: DocumentIndex,
    places: Mapping[DocumentId, Place],
) -> Iterator[Fault]:
    for document_id, document in documents.items():
        place = places.get(document_id) or Place(
            "in force", TABLE_OF_KIND[document_id.kind], 0, document_id.name
        )
        for run_check in _CHECKS[document_id.kind]:
            for problem in run_check(document, index):
                yield Fault(place.at(problem.field), problem.problem)


def unchecked_kinds(inventory: Inventory) -> list[DocumentKind]:
    """Return the kinds that files refer to but have no table of."""
    references = {
        DocumentKind.data_centre: (DocumentKind.region,),
        DocumentKind.service: (DocumentKind.model, DocumentKind.runner),
        DocumentKind.runner: (DocumentKind.service, DocumentKind.data_centre),
        DocumentKind.rule: (DocumentKind.owner, DocumentKind.service),
    }
    referenced = {to for kind in inventory.kinds for to in references.get(kind, ())}
    return sorted(referenced - inventory.kinds)


@check(DocumentKind.data_centre)
def _data_centre_region(
    data_centre: DataCentre, index: DocumentIndex
) -> Iterator[Problem]:
    yield from index.reference("region", DocumentKind.region, data_centre.region)


@check(DocumentKind.service)
def _service_models(service: Service, index: DocumentIndex) -> Iterator[Problem]:
    if service.kind is ServiceKind.plain:
        if service.models:
            yield Problem("models", "a plain service has no models")
        return
    if service.calls:
        yield Problem("calls", "a model service has no calls of its own")
    if not service.models:
        yield Problem("models", "a model service needs at least one model")
    for position, name in enumerate(service.models, start=1):
        place = f"models[{position}]"
        if name in service.models[: position - 1]:
            yield Problem(place, f"{name!r} is listed twice")
            continue
        yield from index.reference(place, DocumentKind.model, name)
        if not index.serves(service.name, name):
            yield Problem(place, f"no runner of {service.name!r} serves {name!r}")


@check(DocumentKind.service)
def _service_calls(service: Service, index: DocumentIndex) -> Iterator[Problem]:
    if service.kind is ServiceKind.plain and not service.calls:
        yield Problem("calls", "a plain service needs at least one call")
    seen = set()
    for position, call in enumerate(service.calls, start=1):
        if call.method not in METHODS:
            wanted = ", ".join(METHODS)
            yield Problem(f"calls[{position}].method", f"give one of {wanted}")
        if not _CALL_PATH.fullmatch(call.path):
            problem = "give a path such as /permits/*, with '*' only at the end"
            yield Problem(f"calls[{position}].path", problem)
        if (call.method, call.path) in seen:
            yield Problem(f"calls[{position}]", "the same call is listed twice")
        seen.add((call.method, call.path))


@check(DocumentKind.service)
def _service_has_runner(service: Service, index: DocumentIndex) -> Iterator[Problem]:
    if service.kind is ServiceKind.plain and not index.serves(service.name, ""):
        yield Problem("name", "no runner serves it")


@check(DocumentKind.runner)
def _runner_references(runner: Runner, index: DocumentIndex) -> Iterator[Problem]:
    yield from index.reference("service", DocumentKind.service, runner.service)
    yield from index.reference(
        "data_centre", DocumentKind.data_centre, runner.data_centre
    )


@check(DocumentKind.runner)
def _runner_address(runner: Runner, index: DocumentIndex) -> Iterator[Problem]:
    if not is_address(runner.address):
        wanted = "give an IP address and a port such as 10.0.0.1:8000"
        yield Problem("address", f"{runner.address!r} is not an address; {wanted}")
        return
    holder = index.runner_at(runner.address)
    if holder != runner.name:
        yield Problem("address", f"runner {holder!r} has the same address")


@check(DocumentKind.runner)
def _runner_model(runner: Runner, index: DocumentIndex) -> Iterator[Problem]:
    service: Service | None = index.get(DocumentKind.service, runner.service)
    if service is None:
        return
    if service.kind is ServiceKind.plain:
        if runner.model or runner.version or runner.adapters:
            yield Problem("model", "a runner of a plain service loads no model")
        return
    if not runner.model:
        yield Problem("model", f"missing; give one of {', '.join(service.models)}")
    elif runner.model not in service.models:
        models = ", ".join(service.models) or "none"
        problem = (
            f"{runner.model!r} is not a model of service {service.name!r} ({models})"
        )
        yield Problem("model", problem)
    if not runner.role:
        yield Problem("role", "must not be empty")


@check(DocumentKind.owner)
@check(DocumentKind.operator)
def _keys(identity: Owner | Operator, index: DocumentIndex) -> Iterator[Problem]:
    for position, digest in enumerate(identity.key_sha256, start=1):
        if not _KEY_HASH.fullmatch(digest):
            wanted = "give 64 lowercase hex digits, as 'chivespan key' prints them"
            yield Problem(f"key_sha256[{position}]", wanted)
            continue
        holder = index.key_holder(digest)
        if holder != identity.name:
            problem = f"{holder!r} has the same key; keys must be unique"
            yield Problem(f"key_sha256[{position}]", problem)


@check(DocumentKind.rule)
def _rule(rule: Rule, index: DocumentIndex) -> Iterator[Problem]:
    yield from index.reference("owner", DocumentKind.owner, rule.owner)
    yield from index.reference("service", DocumentKind.service, rule.service)
    holder = index.rule_for(rule)
    if holder != rule.name:
        problem = f"rule {holder!r} covers the same owner, service and class"
        yield Problem("work_class", problem)


@check(DocumentKind.keeping)
def _keeping(keeping: Keeping, index: DocumentIndex) -> Iterator[Problem]:
    if keeping.name != DEFAULT_KEEPING.name:
        yield Problem("name", f"the only valid name is {DEFAULT_KEEPING.name!r}")
