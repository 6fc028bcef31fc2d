"""Strict decoding of JSON bodies: errors include the path of the faulty field."""

from collections.abc import Iterator
from dataclasses import fields, is_dataclass
from functools import cache
from typing import Any, TypeVar, get_args, get_type_hints

import msgspec

from chivespan.decoding import DECODE_ERRORS
from chivespan.errors import ChivespanError, ErrorKind

T = TypeVar("T")


def decode_json(data: bytes, cls: type[T]) -> T:
    """Decode an object of class ``cls`` from a JSON body.

    :raises ChivespanError: ``bad_request`` or ``unknown_field``, with the path of the
        field.
    """
    try:
        value = msgspec.json.decode(data)
    except DECODE_ERRORS as error:
        reason = f"the body is not JSON: {error}"
        raise ChivespanError(ErrorKind.BAD_REQUEST, reason) from error
    unknown = next(unknown_fields(value, cls), None)
    if unknown:
        raise ChivespanError(ErrorKind.UNKNOWN_FIELD, f"unknown field {unknown}")
    try:
        return msgspec.convert(value, cls)
    except DECODE_ERRORS as error:
        raise ChivespanError(ErrorKind.BAD_REQUEST, str(error)) from error


def unknown_fields(value: object, cls: Any, path: str = "$") -> Iterator[str]:
    """Yield the path of every field that ``cls`` does not define.

    >>> from chivespan.callerapi import CompletionRequest
    >>> list(unknown_fields({"model": "m", "promt": "p"}, CompletionRequest))
    ['$.promt']
    """
    if isinstance(value, list):
        element = next(iter(get_args(cls)), None)
        for index, item in enumerate(value):
            yield from unknown_fields(item, element, f"{path}[{index}]")
    if not isinstance(value, dict) or not _is_data_class(cls):
        return
    hints = _field_types(cls)
    for name, item in value.items():
        if name not in hints:
            yield f"{path}.{name}"
        else:
            yield from unknown_fields(item, hints[name], f"{path}.{name}")


def _is_data_class(cls: Any) -> bool:
    return isinstance(cls, type) and is_dataclass(cls)


@cache
def _field_types(cls: type[Any]) -> dict[str, Any]:
    hints = get_type_hints(cls)
    return {field.name: hints[field.name] for field in fields(cls)}
