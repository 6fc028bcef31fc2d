"""Streams of targets that are slow, or stalled although they still send some bytes."""

from pathlib import Path
from typing import cast

import anyio
import pytest

from chivespan.eventstream import EventSplitter
from chivespan.exchange import Reply
from chivespan.streamhandover import OVERLAP_LIMIT, Handover
from standins.platformtarget import TargetFaults, TargetOptions, TargetStandIn
from tests.fleet import STREAM_PREFIX, Fleet, fleet

pytestmark = pytest.mark.anyio

EVENTS = 5


def target(
    number: int, *, gap_ms: float = 2, data_centre: str = "dc-1"
) -> TargetStandIn:
    return TargetStandIn(
        TargetOptions(
            f"i-{number}", events=EVENTS, gap_ms=gap_ms, data_centre=data_centre
        )
    )


async def stream(site: Fleet, name: str) -> bytes:
    headers = {"X-Chivespan-Request-Id": name, "X-Chivespan-Deadline-Ms": "3000"}
    return (await site.call(1, "POST", f"{STREAM_PREFIX}x", headers)).body


def complete(name: str) -> bytes:
    events = (f"id: {n}\ndata: {name}-{n}\n\n" for n in range(1, EVENTS + 1))
    return "".join(events).encode()


# Guards against: a stalled stream never ends, as its target sends a byte now and then.
@pytest.mark.parametrize("after", [0, 2])
async def test_stalled_stream_that_sends_single_bytes_is_resumed_elsewhere(
    tmp_path: Path, after: int
) -> None:
    stalled, sound = target(1), target(2, data_centre="dc-2")
    stalled.faults = TargetFaults(trickle_after=after)
    async with fleet(tmp_path, 1, stalled, sound) as (site, _):
        assert await stream(site, "a") == complete("a")
        assert sound.arrivals[-1].last_event == after


# Guards against: an item waits for the end of its run time at such a target.
async def test_item_at_a_stalled_target_that_sends_single_bytes_is_completed(
    tmp_path: Path,
) -> None:
    stalled, sound = target(1), target(2)
    stalled.faults = TargetFaults(trickle_after=2)
    async with fleet(tmp_path, 1, stalled, sound) as (site, _):
        assert (await site.submit(1, "job", 4)).status == 202
        results = await site.results(1, "job", 4)
        assert {result["state"] for result in results} == {"completed"}


# Guards against: a slow but sound stream is cut although its events keep coming.
async def test_slow_stream_whose_events_keep_coming_is_not_cut(tmp_path: Path) -> None:
    slow, other = target(1, gap_ms=180), target(2, data_centre="dc-2")
    async with fleet(tmp_path, 1, slow, other) as (site, _):
        assert await stream(site, "a") == complete("a")
        assert len(slow.arrivals) == 1
        assert not other.arrivals


# Guards against: a stream is cut since its target pauses and no other has a free slot.
async def test_stream_that_no_other_target_takes_over_outlasts_a_pause(
    tmp_path: Path,
) -> None:
    paused, full = target(1), target(2, data_centre="dc-2")
    paused.faults = TargetFaults(pause_after=2, pause_ms=700)
    full.faults = TargetFaults(full=True)
    async with fleet(tmp_path, 1, paused, full) as (site, _):
        assert await stream(site, "a") == complete("a")
        assert not paused.aborted


# Guards against: what a paused target sends while another one is asked is lost.
async def test_stream_goes_on_where_it_was_if_its_target_wakes_first(
    tmp_path: Path,
) -> None:
    paused, slow = target(1), target(2, data_centre="dc-2")
    paused.faults = TargetFaults(pause_after=2, pause_ms=400)
    slow.faults = TargetFaults(silent_after=0)
    async with fleet(tmp_path, 1, paused, slow) as (site, _):
        assert await stream(site, "a") == complete("a")
        assert slow.arrivals
        assert not paused.aborted


class SilentReply:
    """The response of a target that sends nothing; records when it is closed."""

    def __init__(self) -> None:
        self.closed = anyio.Event()

    async def next_chunk(self) -> bytes:
        await anyio.sleep_forever()
        return b""

    async def close(self) -> None:
        self.closed.set()


# Guards against: two targets hold the same request for as long as both are silent.
async def test_paused_stream_is_given_up_after_the_overlap_limit() -> None:
    paused = SilentReply()
    reasons: list[str] = []
    handover = Handover(cast(Reply, paused), EventSplitter(), reasons.append)
    with anyio.fail_after(OVERLAP_LIMIT.total_seconds() + 2):
        await handover.run(paused.closed.wait)
    assert handover.paused_given_up
    assert reasons == ["stream paused"]
