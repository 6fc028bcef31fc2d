"""Prints a sample frame of each message between nodes, as JSON.

The frames of the last release are kept in ``tests/golden``; a test reads them back, so
that nodes of two releases can run side by side. Run at the old release to renew them:
``python -m tools.messagesamples > tests/golden/frames.json``.
"""

import dataclasses
import json
from enum import Enum
from typing import Any, get_args, get_origin, get_type_hints

from chivespan import nodemessages
from chivespan.codec import data_classes, encode_message


def sample(declared: Any) -> Any:
    """Return a value of a declared type that differs from the type's empty value."""
    if dataclasses.is_dataclass(declared) and isinstance(declared, type):
        types = get_type_hints(declared)
        names = (each.name for each in dataclasses.fields(declared))
        return declared(**{name: sample(types[name]) for name in names})
    if get_origin(declared) is list:
        return [sample(get_args(declared)[0])]
    if isinstance(declared, type) and issubclass(declared, Enum):
        return next(iter(declared))
    values = {str: "x", int: 7, float: 1.5, bool: True, bytes: b"\x01"}
    return values[declared]


def sample_frames() -> dict[str, str]:
    """Return a frame of each message class, in hexadecimal digits, by class name."""
    return {
        name: encode_message(sample(cls)).hex()
        for name, cls in data_classes(nodemessages).items()
    }


if __name__ == "__main__":
    print(json.dumps(sample_frames(), indent=1, sort_keys=True))
