"""Optional modules that a library asks for again and again, and that aren't installed.

Python keeps no note of an import that failed: each try searches the whole path on disk.
httpcore tries ``sniffio`` for every lock that it makes, several times a request.
"""

import sys
from importlib.util import find_spec
from types import ModuleType
from typing import cast

OPTIONAL_MODULES = ("sniffio",)


def cache_absent_modules() -> None:
    """Make imports of optional modules that aren't there fail without a search."""
    for name in OPTIONAL_MODULES:
        if name not in sys.modules and find_spec(name) is None:
            # None is what the import system takes for "not there".
            sys.modules[name] = cast(ModuleType, None)
