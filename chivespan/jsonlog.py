"""Log lines as JSON objects on standard output, rate-limited and non-blocking.

A slow reader of the output or a burst of events causes lines to be dropped instead of
delaying requests. The next line that is written has the number of dropped lines.
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
    """Buffers lines and writes them without blocking.

    :param write: writes to a non-blocking descriptor; returns the bytes written.
    :ivar dropped: lines dropped since the counter was last reset.
    """

    def __init__(self, write: Callable[[bytes], int]) -> None:
        self._write = write
        self._buffer = b""
        self.dropped = 0

    def write(self, line: bytes) -> None:
        """Write a line, or drop it when the buffer is full."""
        if len(self._buffer) + len(line) > MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        self._buffer += line
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            try:
                written = self._write(self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The output was closed, so the error can't be reported anywhere.
                self.dropped += 1
                self._buffer = b""
                return
            self._buffer = self._buffer[written:]


def stdout_writer() -> LineWriter:
    """Return a non-blocking writer to standard output."""
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
        self._window_end = timedelta(0)
        self._lines_in_window = 0
        self._rate_limited = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, unless it exceeds the rate limit and is below notice."""
        if not self._within_rate_limit() and record.level < logbook.NOTICE:
            self._rate_limited += 1
            return
        line = msgspec.json.encode(self._line(record), enc_hook=str)
        self._writer.write(line + b"\n")

    def _within_rate_limit(self) -> bool:
        now = self._clock.monotonic()
        if now >= self._window_end:
            self._window_end = now + _SECOND
            self._lines_in_window = 0
        self._lines_in_window += 1
        return self._lines_in_window <= MAX_LINES_PER_S

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
        dropped = self._rate_limited + self._writer.dropped
        if dropped:
            line["lines_left_out"] = dropped
            self._rate_limited = self._writer.dropped = 0
        return line


def _timestamp(now: datetime) -> str:
    return now.isoformat(timespec="milliseconds")
