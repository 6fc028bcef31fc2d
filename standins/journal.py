"""Journal of the actions of a stand-in, for tests to compare with client results."""

import time
from collections import deque

import msgspec
from starlette.requests import Request
from starlette.responses import Response

MAX_JOURNAL_ENTRIES = 200_000


class Entry(msgspec.Struct, frozen=True):
    """One action of a stand-in.

    :param at: wall-clock time in seconds since the epoch.
    :param event: ``start``, ``token``, ``end``, ``cancel`` or ``order``.
    """

    at: float
    event: str
    request_id: str
    path: str = ""
    detail: str = ""


class Journal:
    """Bounded journal of one stand-in; the oldest entries are dropped first."""

    def __init__(self) -> None:
        self._entries: deque[Entry] = deque(maxlen=MAX_JOURNAL_ENTRIES)

    @property
    def entries(self) -> tuple[Entry, ...]:
        """All retained entries, oldest first."""
        return tuple(self._entries)

    def add(
        self, event: str, request_id: str, path: str = "", detail: str = ""
    ) -> None:
        """Append an entry with the current time."""
        self._entries.append(Entry(time.time(), event, request_id, path, detail))

    async def answer(self, request: Request) -> Response:
        """Respond to ``GET /journal`` with one JSON object per line."""
        lines = msgspec.json.Encoder().encode_lines(self._entries)
        return Response(lines, media_type="application/x-ndjson")
