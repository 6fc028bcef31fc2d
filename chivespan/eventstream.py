"""Parsing of server-sent events and their ids from chunks of a stream."""

from dataclasses import dataclass

from chivespan.errors import ChivespanError, ErrorKind

MAX_EVENT_BYTES = 256 * 1024
# Ids number the events of one stream.
MAX_ID_DIGITS = 18
_END = b"\n\n"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event.

    :param event_id: id of the event; None if it has no numeric id.
    :param data: data lines, joined by line feeds.
    """

    event_id: int | None
    data: str


class EventSplitter:
    r"""Splits a stream at event boundaries and tracks the id of the last event.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.feed(b"ta: b\n\n"), splitter.last_id
    (1, b'id: 2\ndata: b\n\n', 2)
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.last_id = 0

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the bytes of all events that are now complete.

        :raises ChivespanError: ``stream_broken`` if an event is too large.
        """
        searched = max(0, len(self._buffer) - len(_END) + 1)
        self._buffer += chunk
        end = self._buffer.rfind(_END, searched)
        if end < 0:
            self._check_partial()
            return b""
        end += len(_END)
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._check_partial()
        self._update_last_id(complete)
        return complete

    def drop_partial(self) -> None:
        """Discard the incomplete event of a stream that was interrupted."""
        self._buffer.clear()

    def _check_partial(self) -> None:
        if len(self._buffer) > MAX_EVENT_BYTES:
            reason = f"an event exceeds the limit of {MAX_EVENT_BYTES} bytes"
            raise ChivespanError(ErrorKind.STREAM_BROKEN, reason)

    def _update_last_id(self, complete: bytes) -> None:
        start = complete.rfind(b"id:")
        while start > 0 and complete[start - 1 : start] != b"\n":
            start = complete.rfind(b"id:", 0, start)
        if start < 0:
            return
        value = complete[start + 3 : complete.find(b"\n", start)].strip()
        event_id = _parse_id(value.decode("latin-1"))
        if event_id is not None:
            self.last_id = event_id


def parse_events(complete: bytes) -> list[StreamEvent]:
    r"""Parse bytes that consist of complete events.

    :raises ChivespanError: ``stream_broken`` if they are not UTF-8 text.

    >>> parse_events(b"id: 3\ndata: a\ndata: b\n\n")
    [StreamEvent(event_id=3, data='a\nb')]
    """
    try:
        blocks = complete.decode().split("\n\n")
    except UnicodeDecodeError as error:
        reason = f"an event is not UTF-8 text: {error}"
        raise ChivespanError(ErrorKind.STREAM_BROKEN, reason) from error
    return [_parse_event(block) for block in blocks if block.strip()]


def _parse_event(block: str) -> StreamEvent:
    event_id: int | None = None
    data: list[str] = []
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id":
            event_id = _parse_id(value)
        elif name == "data":
            data.append(value)
    return StreamEvent(event_id, "\n".join(data))


def _parse_id(value: str) -> int | None:
    """Return a numeric id; None for any other id."""
    if value.isascii() and value.isdigit() and len(value) <= MAX_ID_DIGITS:
        return int(value)
    return None
