"""Parsing of server-sent events and their ids from chunks of a stream."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from chivespan.errors import ChivespanError, ErrorKind

MAX_EVENT_BYTES = 256 * 1024
# Ids number the events of one stream.
MAX_ID_DIGITS = 18
# Of a stream, beside those that hold its output.
MAX_OTHER_EVENTS = 16
_END = b"\n\n"
_ID_LINE = re.compile(rb"^id:(.*)$", re.MULTILINE)


class EventOrder(StrEnum):
    """What the ids of a stream's events must satisfy.

    - ``ANY``: nothing; events may have no id.
    - ``INCREASING``: each id is larger than the one before.
    - ``CONSECUTIVE``: each id is the one before plus 1.
    """

    ANY = "any"
    INCREASING = "increasing"
    CONSECUTIVE = "consecutive"


class OutputExceeded(ChivespanError):
    """A target sent more than the request can produce, so that none of it is output."""

    def __init__(self, reason: str) -> None:
        super().__init__(ErrorKind.STREAM_BROKEN, f"excessive output: {reason}")


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

    :param order: what the ids of the events must satisfy.
    :param last_id: id after which the stream starts.
    :param max_events: limit of the number of events from the start of the output, as
        far as it is known.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.feed(b"ta: b\n\n"), splitter.last_id
    (1, b'id: 2\ndata: b\n\n', 2)
    """

    def __init__(
        self,
        order: EventOrder = EventOrder.ANY,
        last_id: int = 0,
        max_events: int | None = None,
    ) -> None:
        self._buffer = bytearray()
        self._order = order
        self._has_event = False
        self._max_events = max_events
        # The events before the start are known by the last id if ids are consecutive.
        self._events = last_id if order is EventOrder.CONSECUTIVE else 0
        self.last_id = last_id

    @property
    def events(self) -> int:
        """Number of complete events, with those before the start if ids say so."""
        return self._events

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the bytes of all events that are now complete.

        :raises ChivespanError: ``stream_broken`` if an event is too large, or if the
            ids of the complete events are out of order; these events are dropped.
        :raises OutputExceeded: if there are more events than the limit allows.
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

    def start_response(self) -> None:
        """Discard the incomplete event of a response that another one continues."""
        self._buffer.clear()
        self._has_event = False

    def check_end(self, is_stated: bool) -> None:
        """Check that the stream may be complete where a response has ended.

        A response may have no event where an earlier one has sent them all.

        :param is_stated: whether the response stated its end by a length or chunks.
        :raises ChivespanError: ``stream_broken`` when it has been broken off.
        """
        if self._buffer:
            reason = "the stream ended in the middle of an event"
            raise ChivespanError(ErrorKind.STREAM_BROKEN, reason)
        if not self._has_event and not (is_stated and self.last_id):
            reason = "the stream ended without an event"
            raise ChivespanError(ErrorKind.STREAM_BROKEN, reason)

    def _check_partial(self) -> None:
        if len(self._buffer) > MAX_EVENT_BYTES:
            reason = f"an event exceeds the limit of {MAX_EVENT_BYTES} bytes"
            raise ChivespanError(ErrorKind.STREAM_BROKEN, reason)

    def _update_last_id(self, complete: bytes) -> None:
        last_id = self.last_id
        for event_id in _event_ids(complete):
            if not self._may_follow(event_id, last_id):
                reason = f"event {event_id} follows event {last_id}"
                raise ChivespanError(ErrorKind.STREAM_BROKEN, reason)
            last_id = last_id if event_id is None else event_id
            self._events += 1
        self._check_count()
        self.last_id = last_id
        self._has_event = True

    def _check_count(self) -> None:
        limit = self._max_events
        if limit is not None and self._events > limit + MAX_OTHER_EVENTS:
            raise OutputExceeded(f"{self._events} events of at most {limit}")

    def _may_follow(self, event_id: int | None, last_id: int) -> bool:
        if self._order is EventOrder.ANY:
            return True
        if event_id is None:
            return False
        if self._order is EventOrder.CONSECUTIVE:
            return event_id == last_id + 1
        return event_id > last_id


def _event_ids(complete: bytes) -> Iterator[int | None]:
    """Yield the numeric id of each complete event; None for any other id or none."""
    for event in complete.removesuffix(_END).split(_END):
        line = _ID_LINE.search(event)
        yield parse_event_id(line[1].strip().decode("latin-1")) if line else None


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
            event_id = parse_event_id(value)
        elif name == "data":
            data.append(value)
    return StreamEvent(event_id, "\n".join(data))


def parse_event_id(value: str) -> int | None:
    """Return a numeric id; None for any other id."""
    if value.isascii() and value.isdigit() and len(value) <= MAX_ID_DIGITS:
        return int(value)
    return None
