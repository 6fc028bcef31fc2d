"""JSON log lines: rate limit, count of dropped lines, and non-blocking writes."""

import json

import logbook

from chivespan.clock import ManualClock
from chivespan.jsonlog import (
    MAX_BUFFER_BYTES,
    MAX_LINES_PER_S,
    JsonLineHandler,
    LineWriter,
)


class Reader:
    """Accepts bytes up to a limit, then blocks."""

    def __init__(self) -> None:
        self.received = b""
        self.capacity = 1 << 30

    def write(self, data: bytes) -> int:
        if not self.capacity:
            raise BlockingIOError
        size = min(len(data), self.capacity)
        self.received += data[:size]
        self.capacity -= size
        return size

    def lines(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.received.splitlines()]


def test_rate_limit_drops_and_counts_info_lines_but_no_notices() -> None:
    reader, clock = Reader(), ManualClock()
    log = logbook.Logger("part")
    with JsonLineHandler("n1", LineWriter(reader.write), clock).applicationbound():
        for number in range(MAX_LINES_PER_S + 100):
            log.info("request_ended", request=str(number))
        log.notice("leaving", signal="SIGTERM")
    lines = reader.lines()
    assert len(lines) == MAX_LINES_PER_S + 1
    assert lines[0]["request"] == "0"
    assert lines[-1]["event"] == "leaving"
    assert lines[-1]["lines_left_out"] == 100


def test_blocked_reader_causes_dropped_lines_instead_of_blocking() -> None:
    reader = Reader()
    reader.capacity = 0
    writer = LineWriter(reader.write)
    line = b"x" * 1000 + b"\n"
    for _ in range(MAX_BUFFER_BYTES // len(line) + 50):
        writer.write(line)
    assert writer.dropped >= 50
    reader.capacity = 1 << 30
    writer.flush()
    assert set(reader.received.splitlines()) == {b"x" * 1000}
