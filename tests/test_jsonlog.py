"""Log lines: one JSON object each, bounded, and never waiting for a reader."""

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
    """Takes what it is let to."""

    def __init__(self) -> None:
        self.taken = b""
        self.room = 1 << 30

    def write(self, data: bytes) -> int:
        if not self.room:
            raise BlockingIOError
        size = min(len(data), self.room)
        self.taken += data[:size]
        self.room -= size
        return size

    def lines(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.taken.splitlines()]


def test_burst_of_events_is_cut_and_counted_but_changes_of_state_are_not() -> None:
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


def test_reader_that_takes_nothing_costs_lines_and_no_waiting() -> None:
    reader = Reader()
    reader.room = 0
    writer = LineWriter(reader.write)
    line = b"x" * 1000 + b"\n"
    for _ in range(MAX_BUFFER_BYTES // len(line) + 50):
        writer.write(line)
    assert writer.dropped >= 50
    reader.room = 1 << 30
    writer.flush()
    assert set(reader.taken.splitlines()) == {b"x" * 1000}
