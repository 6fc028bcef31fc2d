"""Log lines as JSON objects on standard output, bounded and never blocking.

A reader of the output that falls behind, or a burst of events, costs lines and not
requests; the lines left out are counted in the next line that is written.
"""

import os
import sys
from collections.abc import Callable
from datetime import datetime, timedelta

import logbook
import msgspec

from chivespan.clock import Clock

MAX_LINES_PER_S = 400
MAX_BUFFER_BYTES = 256 * 1024
_SECOND = timedelta(seconds=1)


class LineWriter:
    """Writes lines to a file descriptor without ever waiting for its reader."""

    def __init__(self, write: Callable[[bytes], int]) -> None:
        self._write = write
        self._buffer = b""
        self.dropped = 0

    def write(self, line: bytes) -> None:
        """Write a line, or drop it when too much waits for the reader already."""
        if len(self._buffer) + len(line) > MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        self._buffer += line
        self.flush()

    def flush(self) -> None:
        """Hand over as much of what waits as the reader takes."""
        while self._buffer:
            try:
                written = self._write(self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the output any more, so there is nobody to tell.
                self.dropped += 1
                self._buffer = b""
                return
            self._buffer = self._buffer[written:]


def stdout_writer() -> LineWriter:
    """Return a writer of this process's standard output."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    return LineWriter(lambda data: os.write(descriptor, data))


class JsonLineHandler(logbook.Handler):  # type: ignore[misc]
    """A handler that writes each record as one JSON object.

    :param node: name of the VM, a field of every line.
    """

    def __init__(self, node: str, writer: LineWriter, clock: Clock) -> None:
        super().__init__(level=logbook.INFO, bubble=False)
        self._node = node
        self._writer = writer
        self._clock = clock
        self._second_ends = timedelta(0)
        self._lines = 0
        self._over_rate = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, unless this second has had its share of lines."""
        if not self._take_turn() and record.level < logbook.NOTICE:
            self._over_rate += 1
            return
        line = msgspec.json.encode(self._line(record), enc_hook=str)
        self._writer.write(line + b"\n")

    def _take_turn(self) -> bool:
        now = self._clock.monotonic()
        if now >= self._second_ends:
            self._second_ends = now + _SECOND
            self._lines = 0
        self._lines += 1
        return self._lines <= MAX_LINES_PER_S

    def _line(self, record: logbook.LogRecord) -> dict[str, object]:
        line: dict[str, object] = {
            "time": _timestamp(self._clock.now()),
            "node": self._node,
            "level": logbook.get_level_name(record.level).lower(),
            "part": record.channel,
            "event": record.message,
        }
        line.update(record.kwargs)
        if record.exc_info:
            line["exception"] = record.formatted_exception
        left_out = self._over_rate + self._writer.dropped
        if left_out:
            line["lines_left_out"] = left_out
            self._over_rate = self._writer.dropped = 0
        return line


def _timestamp(now: datetime) -> str:
    return now.isoformat(timespec="milliseconds")
