"""Checked decoding of JSON bodies: unknown fields and wrong types name their place."""

from collections.abc import Iterator
from dataclasses import fields, is_dataclass
from functools import cache
from typing import Any, TypeVar, get_args, get_type_hints

import msgspec

from chivespan.errors import ChivespanError, ErrorKind

T = TypeVar("T")


def decode_json(data: bytes, cls: type[T]) -> T:
    """Return the object of class ``cls`` that a JSON body holds.

    :raises ChivespanError: ``bad_request`` or ``unknown_field``, naming the place.
    """
    try:
        value = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        reason = f"the body is not JSON: {error}"
        raise ChivespanError(ErrorKind.BAD_REQUEST, reason) from error
    unknown = next(unknown_fields(value, cls), None)
    if unknown:
        raise ChivespanError(ErrorKind.UNKNOWN_FIELD, f"unknown field {unknown}")
    try:
        return msgspec.convert(value, cls)
    except msgspec.ValidationError as error:
        raise ChivespanError(ErrorKind.BAD_REQUEST, str(error)) from error


def unknown_fields(value: object, cls: Any, place: str = "$") -> Iterator[str]:
    """Yield the place of every field that ``cls`` doesn't have.

    >>> from chivespan.callerapi import CompletionRequest
    >>> list(unknown_fields({"model": "m", "promt": "p"}, CompletionRequest))
    ['$.promt']
    """
    if isinstance(value, list):
        element = next(iter(get_args(cls)), None)
        for index, item in enumerate(value):
            yield from unknown_fields(item, element, f"{place}[{index}]")
    if not isinstance(value, dict) or not _is_message(cls):
        return
    hints = _types_of_fields(cls)
    for name, item in value.items():
        if name not in hints:
            yield f"{place}.{name}"
        else:
            yield from unknown_fields(item, hints[name], f"{place}.{name}")


def _is_message(cls: Any) -> bool:
    return isinstance(cls, type) and is_dataclass(cls)


@cache
def _types_of_fields(cls: type[Any]) -> dict[str, Any]:
    hints = get_type_hints(cls)
    return {field.name: hints[field.name] for field in fields(cls)}
