"""Derives from a schema's data class one whose fields are told apart by position.

Names are most of a small message. Positions are those of the data class, so fields that
have a default may be added at its end: who doesn't know them passes over them, and who
misses them takes the default.
"""

import dataclasses
from typing import Any, get_args, get_origin, get_type_hints

import msgspec


class PositionalClasses:
    """The positional class of each data class asked for, and of those within it.

    :param by_name: classes that keep the names of their fields.
    """

    def __init__(self, *by_name: type[Any]) -> None:
        self._known: dict[type[Any], type[Any]] = {cls: cls for cls in by_name}

    def of(self, cls: type[Any]) -> type[Any]:
        """Return the positional class of a data class."""
        if cls not in self._known:
            self._known[cls] = self._derived(cls)
        return self._known[cls]

    def _derived(self, cls: type[Any]) -> type[Any]:
        types = get_type_hints(cls)
        fields = [
            (each.name, self._field_type(types[each.name]), _default(each))
            for each in dataclasses.fields(cls)
        ]
        return msgspec.defstruct(cls.__name__, fields, array_like=True, frozen=True)

    def _field_type(self, declared: Any) -> Any:
        if dataclasses.is_dataclass(declared) and isinstance(declared, type):
            return self.of(declared)
        if get_origin(declared) is list:
            return list[self._field_type(get_args(declared)[0])]  # type: ignore[misc]
        return declared


def _default(field: "dataclasses.Field[Any]") -> Any:
    if field.default_factory is not dataclasses.MISSING:
        return msgspec.field(default_factory=field.default_factory)
    if field.default is not dataclasses.MISSING:
        return msgspec.field(default=field.default)
    return msgspec.field()
