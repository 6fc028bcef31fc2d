"""What a stand-in really did, kept for the tests."""

import time
from collections import deque

import msgspec
from starlette.requests import Request
from starlette.responses import Response

JOURNAL_ENTRIES = 200_000


class Entry(msgspec.Struct, frozen=True):
    """One thing that a stand-in did.

    :param at: wall time in seconds.
    :param event: start, token, end, cancel or order.
    """

    at: float
    event: str
    request_id: str
    path: str = ""
    detail: str = ""


class Journal:
    """The entries of one stand-in, oldest first, bounded."""

    def __init__(self) -> None:
        self._entries: deque[Entry] = deque(maxlen=JOURNAL_ENTRIES)

    @property
    def entries(self) -> tuple[Entry, ...]:
        """All entries kept."""
        return tuple(self._entries)

    def add(
        self, event: str, request_id: str, path: str = "", detail: str = ""
    ) -> None:
        """Add an entry with the present time."""
        self._entries.append(Entry(time.time(), event, request_id, path, detail))

    async def answer(self, request: Request) -> Response:
        """Answer ``GET /journal`` with JSON lines."""
        lines = msgspec.json.Encoder().encode_lines(self._entries)
        return Response(lines, media_type="application/x-ndjson")
