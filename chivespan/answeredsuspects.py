"""When targets last answered each suspect, as far as this node has seen it."""

from collections import OrderedDict
from collections.abc import Iterable
from datetime import timedelta

from chivespan.suspects import is_request

MAX_ANSWERED_PARTS = 4096
# Most requests come once, and would take the place of parts.
MAX_ANSWERED_REQUESTS = 1024


class AnsweredSuspects:
    """Times of the last answers, of a bounded number of parts and of requests."""

    def __init__(self) -> None:
        self._parts: OrderedDict[str, timedelta] = OrderedDict()
        self._requests: OrderedDict[str, timedelta] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of times kept."""
        return len(self._parts) + len(self._requests)

    def record(self, suspects: Iterable[str], now: timedelta) -> None:
        """Record that a target answers a request with these suspects."""
        for suspect in suspects:
            known = self._known(suspect)
            known[suspect] = now
            known.move_to_end(suspect)
        _drop_oldest(self._parts, MAX_ANSWERED_PARTS)
        _drop_oldest(self._requests, MAX_ANSWERED_REQUESTS)

    def last_answer(self, suspect: str) -> timedelta | None:
        """Return when a target last answered a suspect; None if not known."""
        return self._known(suspect).get(suspect)

    def _known(self, suspect: str) -> OrderedDict[str, timedelta]:
        return self._requests if is_request(suspect) else self._parts


def _drop_oldest(known: OrderedDict[str, timedelta], most: int) -> None:
    while len(known) > most:
        known.popitem(last=False)
