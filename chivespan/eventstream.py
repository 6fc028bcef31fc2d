"""Server-sent events: whole events and their ids out of chunks of a stream."""

from dataclasses import dataclass

from chivespan.errors import ChivespanError, ErrorKind

MAX_EVENT_BYTES = 256 * 1024
# Ids count the events of one stream.
MAX_ID_DIGITS = 18
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
        self._rest = bytearray()
        self.last_id = 0

    @property
    def has_partial(self) -> bool:
        """Whether an event has begun that isn't whole."""
        return bool(self._rest)

    def feed(self, chunk: bytes) -> bytes:
        """Take a chunk; return the bytes of all events that it completes.

        :raises ChivespanError: ``stream_broken`` when an event has no end.
        """
        searched = max(0, len(self._rest) - len(_END) + 1)
        self._rest += chunk
        end = self._rest.rfind(_END, searched)
        if end < 0:
            self._check_partial()
            return b""
        end += len(_END)
        whole = bytes(self._rest[:end])
        del self._rest[:end]
        self._check_partial()
        self._note_last_id(whole)
        return whole

    def drop_partial(self) -> None:
        """Forget the event that has begun: its stream was broken off."""
        self._rest.clear()

    def _check_partial(self) -> None:
        if len(self._rest) > MAX_EVENT_BYTES:
            reason = f"an event has no end within {MAX_EVENT_BYTES} bytes"
            raise ChivespanError(ErrorKind.STREAM_BROKEN, reason)

    def _note_last_id(self, whole: bytes) -> None:
        start = whole.rfind(b"id:")
        while start > 0 and whole[start - 1 : start] != b"\n":
            start = whole.rfind(b"id:", 0, start)
        if start < 0:
            return
        value = whole[start + 3 : whole.find(b"\n", start)].strip()
        event_id = _event_id(value.decode("latin-1"))
        if event_id is not None:
            self.last_id = event_id


def parse_events(whole: bytes) -> list[StreamEvent]:
    r"""Return the events of bytes that end with a whole event.

    :raises ChivespanError: ``stream_broken`` when they are no text.

    >>> parse_events(b"id: 3\ndata: a\ndata: b\n\n")
    [StreamEvent(event_id=3, data='a\nb')]
    """
    try:
        blocks = whole.decode().split("\n\n")
    except UnicodeDecodeError as error:
        reason = f"an event is no text: {error}"
        raise ChivespanError(ErrorKind.STREAM_BROKEN, reason) from error
    return [_parse(block) for block in blocks if block.strip()]


def _parse(block: str) -> StreamEvent:
    event_id: int | None = None
    data: list[str] = []
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            event_id = _event_id(value)
        elif name == "data":
            data.append(value)
    return StreamEvent(event_id, "\n".join(data))


def _event_id(value: str) -> int | None:
    """Return the number that an id is; None for any other id."""
    if value.isascii() and value.isdigit() and len(value) <= MAX_ID_DIGITS:
        return int(value)
    return None
