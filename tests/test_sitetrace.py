"""Tests of joining engine journals, caller records and slot events."""

import pytest

from bench.siteload import RequestRecord
from bench.sitetrace import (
    release_delays_ms,
    stages_of,
    stream_end_delays_ms,
    streams_of,
)
from bench.sitetraced import SlotEvent
from standins.journal import Entry


def entry(at: float, event: str, request_id: str, detail: str = "") -> Entry:
    return Entry(at, event, request_id, "", detail)


JOURNAL = [
    entry(1.00, "start", "batch.1"),
    entry(1.10, "start", "online.1"),
    entry(1.11, "start", "gone.1"),
    entry(1.12, "cancel", "gone.1"),
    entry(1.15, "cancel", "batch.1"),
    entry(1.20, "token", "online.1", "0: a"),
    entry(1.30, "end", "online.1"),
]
EVENTS = [
    SlotEvent(1.01, "asked", "online.1"),
    SlotEvent(1.03, "granted", "online.1", "target"),
    SlotEvent(1.04, "revoked", "batch.1", "target"),
    SlotEvent(1.05, "revoked", "never-sent.1", "target"),
    SlotEvent(1.06, "released", "batch.1", "target"),
]


def test_engine_queue_time_is_reported_separately_from_step_time() -> None:
    streams = streams_of("engine", JOURNAL, slots=1)
    answered = RequestRecord(
        due=0.9, sent=0.95, first=1.22, request_id="online", complete=True
    )
    refused = RequestRecord(
        due=0.9, sent=0.95, request_id="none", refused="no_capacity"
    )
    slots = {(event.event, event.request_id): event for event in EVENTS}
    (stages,) = stages_of([answered, refused], slots, streams)
    assert stages.queue == pytest.approx(50)
    assert stages.steps == pytest.approx(50)
    assert stages.total == pytest.approx(320)
    assert streams["online.1"].finished
    assert not streams["batch.1"].finished


def test_delays_after_revocation() -> None:
    streams = streams_of("engine", JOURNAL, slots=1)
    assert release_delays_ms(EVENTS) == [pytest.approx(20)]
    assert stream_end_delays_ms(EVENTS, streams) == [pytest.approx(110)]
