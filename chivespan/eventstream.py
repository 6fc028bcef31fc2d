"""Server-sent events: whole events and their ids out of chunks of a stream."""

from dataclasses import dataclass

_END = b"\n\n"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event.

    :param event_id: its id; None where it has none.
    :param data: its data lines, joined by line feeds.
    """

    event_id: int | None
    data: str


class EventSplitter:
    r"""Cuts a stream where events end, and keeps the id of the last whole one.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.feed(b"ta: b\n\n"), splitter.last_id
    (1, b'id: 2\ndata: b\n\n', 2)
    """

    def __init__(self) -> None:
        self._rest = b""
        self.last_id = 0

    @property
    def has_partial(self) -> bool:
        """Whether an event has begun that isn't whole."""
        return bool(self._rest)

    def feed(self, chunk: bytes) -> bytes:
        """Take a chunk; return the bytes of all events that it completes."""
        self._rest += chunk
        end = self._rest.rfind(_END)
        if end < 0:
            return b""
        end += len(_END)
        whole, self._rest = self._rest[:end], self._rest[end:]
        self._note_last_id(whole)
        return whole

    def drop_partial(self) -> None:
        """Forget the event that has begun: its stream was broken off."""
        self._rest = b""

    def _note_last_id(self, whole: bytes) -> None:
        start = whole.rfind(b"id:")
        while start > 0 and whole[start - 1 : start] != b"\n":
            start = whole.rfind(b"id:", 0, start)
        if start < 0:
            return
        value = whole[start + 3 : whole.find(b"\n", start)].strip()
        if value.isdigit():
            self.last_id = int(value)


def parse_events(whole: bytes) -> list[StreamEvent]:
    r"""Return the events of bytes that end with a whole event.

    >>> parse_events(b"id: 3\ndata: a\ndata: b\n\n")
    [StreamEvent(event_id=3, data='a\nb')]
    """
    blocks = whole.decode().split("\n\n")
    return [_parse(block) for block in blocks if block.strip()]


def _parse(block: str) -> StreamEvent:
    event_id: int | None = None
    data: list[str] = []
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id" and value.isdigit():
            event_id = int(value)
        elif name == "data":
            data.append(value)
    return StreamEvent(event_id, "\n".join(data))
