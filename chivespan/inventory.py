"""Reads inventory and rules from TOML files into typed documents, and writes them.

A file is a set of tables, one for each kind of document. Every fault is reported with
its place. A document with a faulty field is omitted, so that the others can still be
checked.
"""

import json
import re
import tomllib
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import MISSING, dataclass, field, fields, is_dataclass
from enum import Enum, EnumMeta
from pathlib import Path
from types import MappingProxyType
from typing import Any, get_args, get_origin, get_type_hints

import msgspec

from chivespan.configuration import DOCUMENT_CLASSES, Document, DocumentId
from chivespan.documents import DocumentKind

TABLES: MappingProxyType[str, DocumentKind] = MappingProxyType(
    {
        "regions": DocumentKind.region,
        "data_centres": DocumentKind.data_centre,
        "models": DocumentKind.model,
        "services": DocumentKind.service,
        "runners": DocumentKind.runner,
        "owners": DocumentKind.owner,
        "operators": DocumentKind.operator,
        "rules": DocumentKind.rule,
        "keeping": DocumentKind.keeping,
    }
)
TABLE_OF_KIND = MappingProxyType({kind: table for table, kind in TABLES.items()})
AS_OF = "as_of"
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
_MINIMUM: MappingProxyType[str, int] = MappingProxyType(
    {
        "slots": 1,
        "max_tokens": 1,
        "deadline_ms": 1,
        "first_token_ms": 1,
        "token_gap_ms": 1,
        "weight": 1,
        "max_in_progress": 0,
        "max_tokens_per_s": 0,
        "results_days": 1,
        "keys_days": 1,
        "item_attempts": 1,
    }
)


@dataclass(frozen=True, slots=True)
class Place:
    """Position in the operators' files, for error messages.

    :param index: position in the table, from 1; 0 for the table itself.
    :param name: name of the document, if known.
    :param field: the field, with an index in brackets inside a list; empty for the
        whole document.
    """

    file: str
    table: str = ""
    index: int = 0
    name: str = ""
    field: str = ""

    def at(self, field: str) -> "Place":
        """Return the place of a field of this document."""
        return Place(self.file, self.table, self.index, self.name, field)

    def __str__(self) -> str:
        number = f"[{self.index}]" if self.index else ""
        name = json.dumps(self.name, ensure_ascii=False) if self.name else ""
        parts = (f"{self.file}:", f"{self.table}{number}", name, self.field)
        return " ".join(part for part in parts if part)


@dataclass(frozen=True, slots=True)
class Fault:
    """One error in the operators' files."""

    place: Place
    problem: str

    def __str__(self) -> str:
        separator = " " if str(self.place).endswith(":") else ": "
        return f"{self.place}{separator}{self.problem}"


@dataclass(slots=True)
class Inventory:
    """Contents of files: documents, the place of each, and all faults found.

    :param broken: documents that were omitted because of a faulty field.
    :param kinds: kinds that have a table; the files list all documents of these kinds.
    :param as_of: offset of the configuration that the files were derived from, if
        given.
    """

    documents: dict[DocumentId, Document] = field(default_factory=dict)
    places: dict[DocumentId, Place] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    broken: set[DocumentId] = field(default_factory=set)
    kinds: set[DocumentKind] = field(default_factory=set)
    as_of: int | None = None

    def of_kind(self, kind: DocumentKind) -> dict[str, Document]:
        """Return the documents of one kind by name."""
        return {
            document_id.name: document
            for document_id, document in self.documents.items()
            if document_id.kind is kind
        }

    def add_fault(self, place: Place, problem: str) -> None:
        """Add a fault."""
        self.faults.append(Fault(place, problem))


def read_files(paths: Sequence[Path]) -> Inventory:
    """Return the combined contents of files; faults are collected, not raised."""
    inventory = Inventory()
    for path in paths:
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, "strerror", None) or "not UTF-8 text"
            inventory.add_fault(Place(str(path)), f"cannot be read: {reason}")
            continue
        read_toml(text, path.name, inventory)
    return inventory


def read_toml(text: str, file: str, inventory: Inventory) -> None:
    """Add the contents of one file to an inventory.

    :param file: name of the file, for the places of faults.
    """
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        inventory.add_fault(Place(file), f"not TOML: {error}")
        return
    for table, value in tables.items():
        if table == AS_OF:
            _read_as_of(value, file, inventory)
        elif table not in TABLES:
            known = ", ".join(TABLES)
            inventory.add_fault(
                Place(file, table), f"unknown table; known tables are {known}"
            )
        else:
            _read_table(table, value, file, inventory)


def _read_as_of(value: object, file: str, inventory: Inventory) -> None:
    if not isinstance(value, int) or isinstance(value, bool) or value < -1:
        inventory.add_fault(Place(file, AS_OF), "give the offset that 'show' printed")
    elif inventory.as_of not in (None, value):
        inventory.add_fault(Place(file, AS_OF), "differs from that of another file")
    else:
        inventory.as_of = value


def _read_table(table: str, value: object, file: str, inventory: Inventory) -> None:
    kind = TABLES[table]
    inventory.kinds.add(kind)
    if kind is DocumentKind.keeping and isinstance(value, dict):
        value = [{"name": DocumentKind.keeping.value, **value}]
    if not isinstance(value, list):
        inventory.add_fault(Place(file, table), f"write it as [[{table}]]")
        return
    for index, entry in enumerate(value, start=1):
        place = Place(file, table, index)
        if not isinstance(entry, dict):
            inventory.add_fault(place, f"write it as [[{table}]]")
            continue
        _read_document(kind, entry, place, inventory)


def _read_document(
    kind: DocumentKind,
    entry: Mapping[str, Any],
    place: Place,
    inventory: Inventory,
) -> None:
    name = entry.get("name")
    if isinstance(name, str):
        place = Place(place.file, place.table, place.index, name)
    faults: list[Fault] = []
    document = _read_object(DOCUMENT_CLASSES[kind], entry, place, faults)
    inventory.faults.extend(faults)
    if document is None:
        inventory.broken.add(DocumentId(kind, str(name)))
        return
    document_id = DocumentId(kind, document.name)
    if document_id in inventory.documents:
        first = inventory.places[document_id]
        inventory.add_fault(place.at("name"), f"already used at {first}")
        return
    inventory.documents[document_id] = document
    inventory.places[document_id] = place


def _read_object(
    cls: type[Any],
    entry: Mapping[str, Any],
    place: Place,
    faults: list[Fault],
    prefix: str = "",
) -> Any:
    """Return the object of a table, or None if a field is faulty."""
    before = len(faults)
    hints = get_type_hints(cls)
    for name in entry:
        if name not in hints:
            known = ", ".join(hints)
            problem = f"unknown field; known fields are {known}"
            faults.append(Fault(place.at(prefix + name), problem))
    values: dict[str, Any] = {}
    for spec in fields(cls):
        field_place = place.at(prefix + spec.name)
        if spec.name in entry:
            values[spec.name] = _read_value(
                hints[spec.name], entry[spec.name], field_place, faults
            )
        elif spec.default is MISSING and spec.default_factory is MISSING:
            faults.append(Fault(field_place, "missing"))
    return cls(**values) if len(faults) == before else None


def _read_value(hint: Any, value: object, place: Place, faults: list[Fault]) -> Any:
    if get_origin(hint) is list and is_dataclass(get_args(hint)[0]):
        return _read_objects(get_args(hint)[0], value, place, faults)
    if isinstance(hint, EnumMeta):
        return _read_enum(hint, value, place, faults)
    try:
        converted = msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        faults.append(Fault(place, _describe_type_error(str(error))))
        return None
    problem = _field_problem(place.field, converted)
    if problem:
        faults.append(Fault(place, problem))
    return converted


def _read_enum(enum: EnumMeta, value: object, place: Place, faults: list[Fault]) -> Any:
    members: Iterable[Enum] = enum.__members__.values()
    known = {member.value: member for member in members}
    if isinstance(value, str) and value in known:
        return known[value]
    faults.append(Fault(place, f"{value!r} is unknown; give one of {', '.join(known)}"))
    return None


def _read_objects(
    cls: Any, value: object, place: Place, faults: list[Fault]
) -> list[Any]:
    if not isinstance(value, list):
        faults.append(Fault(place, "write it as a list of tables"))
        return []
    found = []
    for index, entry in enumerate(value, start=1):
        element = f"{place.field}[{index}]"
        if not isinstance(entry, dict):
            faults.append(Fault(place.at(element), "write it as a table"))
            continue
        found.append(_read_object(cls, entry, place, faults, f"{element}."))
    return found


def _describe_type_error(problem: str) -> str:
    """Rewrite an error message of msgspec for operators.

    >>> _describe_type_error("Expected `int`, got `str`")
    'must be a whole number, not a string'
    """
    problem = problem.replace("Expected `", "must be `").replace(", got", ", not")
    words = {"int": "a whole number", "str": "a string", "bool": "true or false"}
    words |= {"array": "a list", "float": "a number", "object": "a table"}
    for name, word in words.items():
        problem = problem.replace(f"`{name}`", word)
    return re.sub(
        r" - at `\$\[(\d+)\]`",
        lambda match: f" (entry {int(match.group(1)) + 1})",
        problem,
    )


def _field_problem(name: str, value: object) -> str:
    if name == "name" and isinstance(value, str) and not _NAME.fullmatch(value):
        return (
            "use 1 to 100 letters, digits, '.', '_' and '-', "
            "starting with a letter or digit"
        )
    minimum = _MINIMUM.get(name)
    if minimum is not None and isinstance(value, int) and value < minimum:
        return f"{value} is too small; the minimum is {minimum}"
    return ""


def write_toml(documents: Iterable[Document], as_of: int | None = None) -> str:
    """Return documents as TOML; fields that equal their default are omitted.

    :param as_of: offset of the configuration that contains the documents.
    """
    blocks = [] if as_of is None else [f"{AS_OF} = {as_of}"]
    kind_of_class = {cls: kind for kind, cls in DOCUMENT_CLASSES.items()}
    kinds = list(TABLE_OF_KIND)
    for document in sorted(
        documents, key=lambda each: (kinds.index(kind_of_class[type(each)]), each.name)
    ):
        table = TABLE_OF_KIND[kind_of_class[type(document)]]
        blocks.append("\n".join([f"[[{table}]]", *_field_lines(document)]))
    return "\n\n".join(blocks) + "\n"


def _field_lines(value: Any) -> Iterator[str]:
    for spec in fields(value):
        content = getattr(value, spec.name)
        default = spec.default
        if spec.default_factory is not MISSING:
            default = spec.default_factory()
        if content != default:
            yield f"{spec.name} = {_toml_value(content)}"


def _toml_value(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int):
        return str(value)
    if isinstance(value, list):
        return f"[{', '.join(_toml_value(entry) for entry in value)}]"
    if is_dataclass(value):
        return "{ " + ", ".join(_field_lines(value)) + " }"
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")
