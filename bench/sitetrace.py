"""Breaks the time to first token of each request down into stages.

Joins the caller's records, the entry's slot events and the engine's journal by request
id. All timestamps are wall times of one machine, so they can be compared.
"""

from collections import deque
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, fields

import numpy

from bench.siteload import RequestRecord
from bench.sitetraced import SlotEvent
from standins.journal import Entry

PERCENTILES = (50, 95, 99)
FIRST_TOKEN = "0:"
MS = 1000.0


@dataclass(frozen=True)
class Stages:
    """Milliseconds that one request spent in each stage before its first token.

    :param caller: delay between the intended and the actual start.
    :param entry: until the entry requested a slot.
    :param grant: until the slot was granted.
    :param send: until the engine received the request.
    :param queue: in the engine's queue while all its slots were in use.
    :param steps: engine steps until the first token.
    :param back: from the engine to the caller.
    """

    caller: float
    entry: float
    grant: float
    send: float
    queue: float
    steps: float
    back: float

    @property
    def total(self) -> float:
        """Time from intended start to first token."""
        return float(sum(getattr(self, field.name) for field in fields(self)))


@dataclass
class EngineStream:
    """One stream in an engine; wall times in seconds."""

    engine: str
    started: float
    admitted: float = 0.0
    first: float = 0.0
    ended: float = 0.0
    finished: bool = False


def streams_of(
    engine: str, entries: Iterable[Entry], slots: int
) -> dict[str, EngineStream]:
    """Return an engine's streams by request id.

    The journal does not contain admissions; they are derived from the engine's FIFO
    queue and its number of slots.
    """
    streams: dict[str, EngineStream] = {}
    running: set[str] = set()
    waiting: deque[str] = deque()
    for entry in entries:
        name = entry.request_id
        if entry.event == "start":
            streams[name] = EngineStream(engine, entry.at)
            waiting.append(name)
        elif entry.event == "token" and entry.detail.startswith(FIRST_TOKEN):
            streams[name].first = entry.at
        elif entry.event in ("end", "cancel"):
            streams[name].ended = entry.at
            streams[name].finished = entry.event == "end"
            running.discard(name)
            if name in waiting:
                waiting.remove(name)
        while waiting and len(running) < slots:
            admitted = waiting.popleft()
            streams[admitted].admitted = entry.at
            running.add(admitted)
    return streams


def first_attempt_streams(
    records: Iterable[RequestRecord], streams: Mapping[str, EngineStream]
) -> list[EngineStream]:
    """Return the engine stream of each request answered on its first attempt."""
    names = (f"{each.request_id}.1" for each in records if each.answered)
    return [streams[name] for name in names if name in streams and streams[name].first]


def stages_of(
    records: Iterable[RequestRecord],
    slots: Mapping[tuple[str, str], SlotEvent],
    streams: Mapping[str, EngineStream],
) -> Iterator[Stages]:
    """Yield the stages of each request that was answered on its first attempt."""
    for each in records:
        name = f"{each.request_id}.1"
        stream = streams.get(name)
        slot_requested = slots.get(("asked", name))
        granted = slots.get(("granted", name))
        if (
            not each.answered
            or stream is None
            or slot_requested is None
            or granted is None
        ):
            continue
        moments = (
            each.due,
            each.sent,
            slot_requested.at,
            granted.at,
            stream.started,
            stream.admitted,
            stream.first,
            each.first,
        )
        yield Stages(*(float(gap) for gap in numpy.diff(moments) * MS))


def percentiles(values: Sequence[float]) -> dict[str, float]:
    """Return percentiles of the values, or an empty dict for no values."""
    if not values:
        return {}
    found = numpy.percentile(values, PERCENTILES)
    return {
        f"p{percentile}": round(float(value), 2)
        for percentile, value in zip(PERCENTILES, found, strict=True)
    }


def stage_percentiles(stages: Iterable[Stages], name: str) -> dict[str, float]:
    """Return percentiles of one stage."""
    return percentiles([getattr(each, name) for each in stages])


def release_delays_ms(events: Iterable[SlotEvent]) -> list[float]:
    """Return the milliseconds from each slot's revocation to its release."""
    revoked: dict[str, float] = {}
    times: list[float] = []
    for event in events:
        if event.event == "revoked":
            revoked[event.request_id] = event.at
        elif event.event == "released" and event.request_id in revoked:
            times.append((event.at - revoked.pop(event.request_id)) * MS)
    return times


def stream_end_delays_ms(
    events: Iterable[SlotEvent], streams: Mapping[str, EngineStream]
) -> list[float]:
    """Return the milliseconds from each revocation to the end of the engine stream."""
    return [
        (streams[event.request_id].ended - event.at) * MS
        for event in events
        if event.event == "revoked"
        and event.request_id in streams
        and streams[event.request_id].ended > event.at
    ]
