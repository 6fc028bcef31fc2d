"""Spares httpcore its search for a package that isn't installed, at every request.

httpcore imports ``sniffio`` for each lock that it makes, to learn which library runs
the event loop. Python doesn't remember that a package is missing, so each of these
imports would look through the whole path again.
"""

import sys
from importlib.util import find_spec

DETECTOR = "sniffio"


def settle_async_library() -> None:
    """Note for the whole process that the detector is missing, if it is."""
    if DETECTOR not in sys.modules and find_spec(DETECTOR) is None:
        sys.modules[DETECTOR] = None  # type: ignore[assignment]
