"""Derives classes that encode a schema's data classes by field position.

Field names make up most of a small message. Positions follow the order of fields in
the data class, so fields with a default may be appended: older readers ignore them, and
newer readers use the default when they are missing.
"""

import dataclasses
from typing import Any, get_args, get_origin, get_type_hints

import msgspec


class PositionalClasses:
    """Cache of the positional classes of data classes and of the classes they nest.

    :param by_name: classes that are encoded with field names.
    """

    def __init__(self, *by_name: type[Any]) -> None:
        self._classes: dict[type[Any], type[Any]] = {cls: cls for cls in by_name}

    def get(self, cls: type[Any]) -> type[Any]:
        """Return the positional class of a data class."""
        if cls not in self._classes:
            self._classes[cls] = self._derive(cls)
        return self._classes[cls]

    def _derive(self, cls: type[Any]) -> type[Any]:
        types = get_type_hints(cls)
        fields = [
            (field.name, self._field_type(types[field.name]), _default(field))
            for field in dataclasses.fields(cls)
        ]
        return msgspec.defstruct(cls.__name__, fields, array_like=True, frozen=True)

    def _field_type(self, declared: Any) -> Any:
        if dataclasses.is_dataclass(declared) and isinstance(declared, type):
            return self.get(declared)
        if get_origin(declared) is list:
            return list[self._field_type(get_args(declared)[0])]  # type: ignore[misc]
        return declared


def _default(field: "dataclasses.Field[Any]") -> Any:
    if field.default_factory is not dataclasses.MISSING:
        return msgspec.field(default_factory=field.default_factory)
    if field.default is not dataclasses.MISSING:
        return msgspec.field(default=field.default)
    return msgspec.field()
