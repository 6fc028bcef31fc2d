"""Avoid repeated failing imports of optional modules on the request path.

Python doesn't cache a failed import: every attempt searches all of ``sys.path``.
httpcore tries to import ``sniffio`` for every lock it creates, several times a request.
"""

import sys
from importlib.util import find_spec
from types import ModuleType
from typing import cast

OPTIONAL_MODULES = ("sniffio",)


def cache_absent_modules() -> None:
    """Make imports of optional modules that aren't installed fail without a search."""
    for name in OPTIONAL_MODULES:
        if name not in sys.modules and find_spec(name) is None:
            # The import system treats a None entry as a module that doesn't exist.
            sys.modules[name] = cast(ModuleType, None)
