"""Inventory and rules as TOML files: read into typed documents, and written again.

A file is a set of tables, one for each kind of document. Every fault is named with its
place; a document with a fault in a field is left out, so that the rest can be checked.
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
_LEAST: MappingProxyType[str, int] = MappingProxyType(
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
    """Where in the operators' files something stands.

    :param index: position in the table, from 1; 0 for the table itself.
    :param field: the field, with a position in brackets inside a list; empty for all.
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
    """One thing that is wrong in the operators' files."""

    place: Place
    problem: str

    def __str__(self) -> str:
        separator = " " if str(self.place).endswith(":") else ": "
        return f"{self.place}{separator}{self.problem}"


@dataclass(slots=True)
class Inventory:
    """What files say: documents, where each stands, and every fault found.

    :param broken: documents left out for a fault in a field, so far as named.
    :param kinds: kinds that have a table; the files name all documents of these.
    :param as_of: offset of the configuration that the files were made from, if given.
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
        """Note a fault."""
        self.faults.append(Fault(place, problem))


def read_files(paths: Sequence[Path]) -> Inventory:
    """Return what the files say together; faults are noted, never raised."""
    inventory = Inventory()
    for path in paths:
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            reason = getattr(error, "strerror", None) or "not UTF-8 text"
            inventory.add_fault(Place(str(path)), f"can't be read: {reason}")
            continue
        read_toml(text, path.name, inventory)
    return inventory


def read_toml(text: str, file: str, inventory: Inventory) -> None:
    """Add what one file says.

    :param file: name of the file, for places.
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
            inventory.add_fault(Place(file, table), f"no such table; there are {known}")
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
    """Return the object of a table, or None when a field is at fault."""
    before = len(faults)
    hints = get_type_hints(cls)
    for name in entry:
        if name not in hints:
            known = ", ".join(hints)
            problem = f"no such field; there are {known}"
            faults.append(Fault(place.at(prefix + name), problem))
    values: dict[str, Any] = {}
    for one in fields(cls):
        where = place.at(prefix + one.name)
        if one.name in entry:
            values[one.name] = _read_value(
                hints[one.name], entry[one.name], where, faults
            )
        elif one.default is MISSING and one.default_factory is MISSING:
            faults.append(Fault(where, "missing"))
    return cls(**values) if len(faults) == before else None


def _read_value(hint: Any, value: object, place: Place, faults: list[Fault]) -> Any:
    if get_origin(hint) is list and is_dataclass(get_args(hint)[0]):
        return _read_objects(get_args(hint)[0], value, place, faults)
    if isinstance(hint, EnumMeta):
        return _read_choice(hint, value, place, faults)
    try:
        converted = msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        faults.append(Fault(place, _plain_words(str(error))))
        return None
    problem = _field_problem(place.field, converted)
    if problem:
        faults.append(Fault(place, problem))
    return converted


def _read_choice(
    choices: EnumMeta, value: object, place: Place, faults: list[Fault]
) -> Any:
    members: Iterable[Enum] = choices.__members__.values()
    known = {choice.value: choice for choice in members}
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
        where = f"{place.field}[{index}]"
        if not isinstance(entry, dict):
            faults.append(Fault(place.at(where), "write it as a table"))
            continue
        found.append(_read_object(cls, entry, place, faults, f"{where}."))
    return found


def _plain_words(problem: str) -> str:
    """Return a message of the converter as one for operators.

    >>> _plain_words("Expected `int`, got `str`")
    'should be a whole number, not a text'
    """
    problem = problem.replace("Expected `", "should be `").replace(", got", ", not")
    words = {"int": "a whole number", "str": "a text", "bool": "true or false"}
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
        return "use 1 to 100 letters, digits, '.', '_' and '-', no sign first"
    least = _LEAST.get(name)
    if least is not None and isinstance(value, int) and value < least:
        return f"{value} is too small; give {least} or more"
    return ""


def write_toml(documents: Iterable[Document], as_of: int | None = None) -> str:
    """Return TOML that reads as these documents; fields with defaults are left out.

    :param as_of: offset of the configuration that the documents are from.
    """
    blocks = [] if as_of is None else [f"{AS_OF} = {as_of}"]
    order = {cls: kind for kind, cls in DOCUMENT_CLASSES.items()}
    kinds = list(TABLE_OF_KIND)
    for document in sorted(
        documents, key=lambda one: (kinds.index(order[type(one)]), one.name)
    ):
        table = TABLE_OF_KIND[order[type(document)]]
        blocks.append("\n".join([f"[[{table}]]", *_field_lines(document)]))
    return "\n\n".join(blocks) + "\n"


def _field_lines(value: Any) -> Iterator[str]:
    for one in fields(value):
        content = getattr(value, one.name)
        default = one.default
        if one.default_factory is not MISSING:
            default = one.default_factory()
        if content != default:
            yield f"{one.name} = {_toml(content)}"


def _toml(value: Any) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int):
        return str(value)
    if isinstance(value, list):
        return f"[{', '.join(_toml(entry) for entry in value)}]"
    if is_dataclass(value):
        return "{ " + ", ".join(_field_lines(value)) + " }"
    return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")
