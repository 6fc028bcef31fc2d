"""Conversion of an asset register in CSV to an inventory in TOML.

Columns are matched by name, case-insensitively and in any order; unknown columns are
ignored. Rows without a service do not describe targets and are skipped.
"""

import csv
import io
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from chivespan.configuration import Document, DocumentId
from chivespan.documents import (
    DataCentre,
    DocumentKind,
    Model,
    PlainCall,
    Region,
    Runner,
    Service,
    ServiceKind,
)
from chivespan.inventory import Fault, Place, write_toml

REQUIRED_COLUMNS = (
    "asset_tag",
    "region",
    "data_centre",
    "service",
    "ip",
    "port",
    "slots",
)
OPTIONAL_COLUMNS = ("model", "model_version", "adapters", "checks_fencing", "calls")
REPEATABLE_SUFFIX = "(repeatable)"
_YES = frozenset({"yes", "true", "1", "y"})
_NO = frozenset({"no", "false", "0", "n", ""})


@dataclass(slots=True)
class Register:
    """Contents of an asset register.

    :param skipped: number of rows without a service.
    :param unused: columns that chivespan does not use.
    """

    documents: dict[DocumentId, Document] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    skipped: int = 0
    unused: tuple[str, ...] = ()

    def to_toml(self) -> str:
        """Return the inventory as TOML."""
        return write_toml(self.documents.values())


def read_register(text: str, file: str) -> Register:
    """Parse an asset register; faults are collected rather than raised.

    :param file: name of the file, for the places of faults.
    """
    register = Register()
    reader = csv.DictReader(io.StringIO(text.removeprefix("\ufeff")))
    columns = [_normalized_column(name) for name in reader.fieldnames or ()]
    reader.fieldnames = columns
    register.unused = tuple(
        name for name in columns if name not in REQUIRED_COLUMNS + OPTIONAL_COLUMNS
    )
    for name in REQUIRED_COLUMNS:
        if name not in columns:
            place = Place(file, "columns")
            register.faults.append(Fault(place, f"column {name!r} is missing"))
    if register.faults:
        return register
    for row in reader:
        cells = {name: (row[name] or "").strip() for name in columns if row.get(name)}
        place = Place(file, "line", reader.line_num, cells.get("asset_tag", ""))
        if None in row:
            register.faults.append(Fault(place, "more cells than columns"))
        elif not cells.get("service"):
            register.skipped += 1
        else:
            _read_row(cells, place, register)
    return register


def _normalized_column(name: str) -> str:
    return name.strip().lower().replace(" ", "_")


def _read_row(cells: Mapping[str, str], place: Place, register: Register) -> None:
    missing = [name for name in REQUIRED_COLUMNS if not cells.get(name)]
    for name in missing:
        register.faults.append(Fault(place.at(name), "empty"))
    for name in ("port", "slots"):
        if cells.get(name) and not cells[name].isdecimal():
            problem = f"{cells[name]!r} is not a whole number"
            register.faults.append(Fault(place.at(name), problem))
            missing.append(name)
    fencing = cells.get("checks_fencing", "").lower()
    if fencing not in _YES | _NO:
        register.faults.append(Fault(place.at("checks_fencing"), "write yes or no"))
        return
    if not missing:
        _add_row(cells, place, register, checks_fencing=fencing in _YES)


def _add_row(
    cells: Mapping[str, str], place: Place, register: Register, *, checks_fencing: bool
) -> None:
    region, data_centre = cells["region"], cells["data_centre"]
    model, version = cells.get("model", ""), cells.get("model_version", "")
    host = cells["ip"]
    url_host = f"[{host}]" if ":" in host else host
    runner = Runner(
        name=cells["asset_tag"],
        service=cells["service"],
        address=f"{url_host}:{cells['port']}",
        data_centre=data_centre,
        slots=int(cells["slots"]),
        model=model,
        version=version,
        adapters=cells.get("adapters", "").split(),
        checks_fencing=checks_fencing,
    )
    _add_document(register, DocumentKind.region, Region(name=region), place, "region")
    centre = DataCentre(name=data_centre, region=region)
    _add_document(register, DocumentKind.data_centre, centre, place, "data_centre")
    if model:
        model_document = Model(name=model, version=version)
        model_id = DocumentId(DocumentKind.model, model)
        register.documents.setdefault(model_id, model_document)
    _add_service(cells, place, register)
    _add_document(
        register, DocumentKind.runner, runner, place, "asset_tag", unique=True
    )


def _add_service(cells: Mapping[str, str], place: Place, register: Register) -> None:
    name, model = cells["service"], cells.get("model", "")
    document_id = DocumentId(DocumentKind.service, name)
    existing = register.documents.get(document_id)
    models = list(existing.models) if isinstance(existing, Service) else []
    calls = list(existing.calls) if isinstance(existing, Service) else []
    if model and model not in models:
        models.append(model)
    for call in _parse_calls(cells.get("calls", ""), place, register):
        if call not in calls:
            calls.append(call)
    kind = ServiceKind.model if models else ServiceKind.plain
    register.documents[document_id] = Service(
        name=name, kind=kind, models=models, calls=calls
    )


def _parse_calls(text: str, place: Place, register: Register) -> Iterator[PlainCall]:
    """Yield the calls of a cell: ``POST /bookings; GET /permits/* (repeatable)``."""
    for part in filter(None, (part.strip() for part in text.split(";"))):
        words = part.removesuffix(REPEATABLE_SUFFIX).split()
        if len(words) != 2:
            problem = f"{part!r}: write METHOD /path, optionally {REPEATABLE_SUFFIX}"
            register.faults.append(Fault(place.at("calls"), problem))
            continue
        yield PlainCall(
            method=words[0].upper(),
            path=words[1],
            idempotent=part.endswith(REPEATABLE_SUFFIX),
        )


def _add_document(
    register: Register,
    kind: DocumentKind,
    document: Document,
    place: Place,
    column: str,
    *,
    unique: bool = False,
) -> None:
    document_id = DocumentId(kind, document.name)
    existing = register.documents.setdefault(document_id, document)
    if existing != document or (unique and existing is not document):
        problem = f"{document.name!r} conflicts with an earlier line"
        register.faults.append(Fault(place.at(column), problem))
