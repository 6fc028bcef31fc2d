"""Checks of documents against each other, registered for each kind of document.

They run on what a set of files says, or on that together with what is in force.
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
    """What is wrong in one field of a document."""

    field: str
    problem: str


@dataclass(frozen=True, slots=True)
class _Served:
    service: str
    model: str


def _first_names(pairs: Iterable[tuple[str, str]]) -> dict[str, str]:
    first: dict[str, str] = {}
    for value, name in pairs:
        first[value] = min(name, first.get(value, name))
    return first


def _coverage(rule: Rule) -> str:
    return f"{rule.owner} {rule.service} {rule.work_class}"


class DocumentIndex:
    """Documents by kind and name, with the kinds whose names are all known."""

    def __init__(
        self,
        documents: Mapping[DocumentId, Document],
        known: set[DocumentKind],
        broken: set[DocumentId],
    ) -> None:
        self._by_kind: dict[DocumentKind, dict[str, Any]] = defaultdict(dict)
        for document_id, document in documents.items():
            self._by_kind[document_id.kind][document_id.name] = document
        self._known = known
        self._broken = broken
        self._runner_broken = any(
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
            (_coverage(rule), rule.name) for rule in self.all(DocumentKind.rule)
        )
        self._served = {
            _Served(runner.service, runner.model)
            for runner in self.all(DocumentKind.runner)
        }

    def get(self, kind: DocumentKind, name: str) -> Any:
        """Return a document, or None."""
        return self._by_kind[kind].get(name)

    def all(self, kind: DocumentKind) -> list[Any]:
        """Return all documents of a kind."""
        return list(self._by_kind[kind].values())

    def knows(self, kind: DocumentKind) -> bool:
        """Return whether all documents of a kind are here."""
        return kind in self._known

    def address_holder(self, address: str) -> str:
        """Return the first runner by name that has an address."""
        return self._addresses.get(address, "")

    def key_holder(self, digest: str) -> str:
        """Return the first owner or operator by name that has a key's hash."""
        return self._keys.get(digest, "")

    def rule_holder(self, rule: Rule) -> str:
        """Return the first rule by name for a rule's owner, service and class."""
        return self._rules[_coverage(rule)]

    def serves(self, service: str, model: str) -> bool:
        """Return whether a runner of a service loads a model; "" for plain ones.

        True when that can't be known: not all runners are here or right.
        """
        if self._runner_broken or not self.knows(DocumentKind.runner):
            return True
        return _Served(service, model) in self._served

    def reference(self, field: str, kind: DocumentKind, name: str) -> Iterator[Problem]:
        """Yield a problem when ``name`` should name a document and doesn't."""
        is_named = (
            self.get(kind, name) is not None or DocumentId(kind, name) in self._broken
        )
        if self.knows(kind) and not is_named:
            yield Problem(field, f"no {kind.value.replace('_', ' ')} {name!r} is named")


Check: TypeAlias = Callable[[Any, DocumentIndex], Iterator[Problem]]
_CHECKS: dict[DocumentKind, list[Check]] = defaultdict(list)


def check(kind: DocumentKind) -> Callable[[Check], Check]:
    """Register a check of every document of a kind."""

    def register(function: Check) -> Check:
        _CHECKS[kind].append(function)
        return function

    return register


def check_inventory(inventory: Inventory) -> list[Fault]:
    """Return every fault of an inventory, those of reading it included.

    References to kinds that the files have no table of aren't checked.
    """
    found = DocumentIndex(inventory.documents, inventory.kinds, inventory.broken)
    return [*inventory.faults, *_faults(inventory.documents, found, inventory.places)]


def check_change(
    before: Mapping[DocumentId, Document],
    after: Mapping[DocumentId, Document],
    places: Mapping[DocumentId, Place],
) -> list[Fault]:
    """Return the faults that a change brings; those that were there before may stay.

    :param before: all documents in force.
    :param after: all documents in force once the change is.
    :param places: where documents stand in the files.
    """
    everything = set(DocumentKind)
    known = set(_faults(before, DocumentIndex(before, everything, set()), places))
    faults = _faults(after, DocumentIndex(after, everything, set()), places)
    return [fault for fault in faults if fault not in known]


def _faults(
    documents: Mapping[DocumentId, Document],
    all_: DocumentIndex,
    places: Mapping[DocumentId, Place],
) -> Iterator[Fault]:
    for document_id, document in documents.items():
        place = places.get(document_id) or Place(
            "in force", TABLE_OF_KIND[document_id.kind], 0, document_id.name
        )
        for one in _CHECKS[document_id.kind]:
            for problem in one(document, all_):
                yield Fault(place.at(problem.field), problem.problem)


def unchecked_kinds(inventory: Inventory) -> list[DocumentKind]:
    """Return the kinds that files refer to without having a table of them."""
    references = {
        DocumentKind.data_centre: (DocumentKind.region,),
        DocumentKind.service: (DocumentKind.model, DocumentKind.runner),
        DocumentKind.runner: (DocumentKind.service, DocumentKind.data_centre),
        DocumentKind.rule: (DocumentKind.owner, DocumentKind.service),
    }
    wanted = {to for kind in inventory.kinds for to in references.get(kind, ())}
    return sorted(wanted - inventory.kinds)


@check(DocumentKind.data_centre)
def _data_centre_region(one: DataCentre, all_: DocumentIndex) -> Iterator[Problem]:
    yield from all_.reference("region", DocumentKind.region, one.region)


@check(DocumentKind.service)
def _service_models(one: Service, all_: DocumentIndex) -> Iterator[Problem]:
    if one.kind is ServiceKind.plain:
        if one.models:
            yield Problem("models", "a plain service has no models")
        return
    if one.calls:
        yield Problem("calls", "a model service has no calls of its own")
    if not one.models:
        yield Problem("models", "a model service needs at least one model")
    for index, name in enumerate(one.models, start=1):
        place = f"models[{index}]"
        if name in one.models[: index - 1]:
            yield Problem(place, f"{name!r} is named twice")
            continue
        yield from all_.reference(place, DocumentKind.model, name)
        if not all_.serves(one.name, name):
            yield Problem(place, f"no runner of {one.name!r} serves {name!r}")


@check(DocumentKind.service)
def _service_calls(one: Service, all_: DocumentIndex) -> Iterator[Problem]:
    if one.kind is ServiceKind.plain and not one.calls:
        yield Problem("calls", "a plain service needs at least one call")
    seen = set()
    for index, call in enumerate(one.calls, start=1):
        if call.method not in METHODS:
            wanted = ", ".join(METHODS)
            yield Problem(f"calls[{index}].method", f"give one of {wanted}")
        if not _CALL_PATH.fullmatch(call.path):
            problem = "give a path such as /permits/*, with '*' only at the end"
            yield Problem(f"calls[{index}].path", problem)
        if (call.method, call.path) in seen:
            yield Problem(f"calls[{index}]", "the same call is named twice")
        seen.add((call.method, call.path))


@check(DocumentKind.service)
def _service_has_runner(one: Service, all_: DocumentIndex) -> Iterator[Problem]:
    if one.kind is ServiceKind.plain and not all_.serves(one.name, ""):
        yield Problem("name", "no runner serves it")


@check(DocumentKind.runner)
def _runner_references(one: Runner, all_: DocumentIndex) -> Iterator[Problem]:
    yield from all_.reference("service", DocumentKind.service, one.service)
    yield from all_.reference("data_centre", DocumentKind.data_centre, one.data_centre)


@check(DocumentKind.runner)
def _runner_address(one: Runner, all_: DocumentIndex) -> Iterator[Problem]:
    if not is_address(one.address):
        wanted = "give an IP number and a port such as 10.0.0.1:8000"
        yield Problem("address", f"{one.address!r} is no address; {wanted}")
        return
    holder = all_.address_holder(one.address)
    if holder != one.name:
        yield Problem("address", f"runner {holder!r} has the same")


@check(DocumentKind.runner)
def _runner_model(one: Runner, all_: DocumentIndex) -> Iterator[Problem]:
    service: Service | None = all_.get(DocumentKind.service, one.service)
    if service is None:
        return
    if service.kind is ServiceKind.plain:
        if one.model or one.version or one.adapters:
            yield Problem("model", "a runner of a plain service loads no model")
        return
    if not one.model:
        yield Problem("model", f"missing; give one of {', '.join(service.models)}")
    elif one.model not in service.models:
        models = ", ".join(service.models) or "none"
        problem = f"{one.model!r} is no model of service {service.name!r} ({models})"
        yield Problem("model", problem)
    if not one.role:
        yield Problem("role", "give a text that is not empty")


@check(DocumentKind.owner)
@check(DocumentKind.operator)
def _keys(one: Owner | Operator, all_: DocumentIndex) -> Iterator[Problem]:
    for index, digest in enumerate(one.key_sha256, start=1):
        if not _KEY_HASH.fullmatch(digest):
            wanted = "give 64 hex digits in lower case, as 'chivespan key' prints them"
            yield Problem(f"key_sha256[{index}]", wanted)
            continue
        holder = all_.key_holder(digest)
        if holder != one.name:
            problem = f"{holder!r} has the same key; give each its own"
            yield Problem(f"key_sha256[{index}]", problem)


@check(DocumentKind.rule)
def _rule(one: Rule, all_: DocumentIndex) -> Iterator[Problem]:
    yield from all_.reference("owner", DocumentKind.owner, one.owner)
    yield from all_.reference("service", DocumentKind.service, one.service)
    holder = all_.rule_holder(one)
    if holder != one.name:
        problem = f"rule {holder!r} says it for the same owner and service"
        yield Problem("work_class", problem)


@check(DocumentKind.keeping)
def _keeping(one: Keeping, all_: DocumentIndex) -> Iterator[Problem]:
    if one.name != DEFAULT_KEEPING.name:
        yield Problem("name", f"there is one, named {DEFAULT_KEEPING.name!r}")
