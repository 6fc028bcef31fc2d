"""Targets that fall silent for a second and go on, which is no failure."""

import anyio
import pytest

from chivespan.evidencemessages import NOT_ANSWERED
from chivespan.nodemessages import (
    ItemState,
    PartCrash,
    PartEvidence,
    TargetRun,
)
from chivespan.targethealth import EJECT_AFTER_FAILURES, INITIAL_EJECTION
from tests.fleet import SERVICE
from tests.rawtargets import (
    CHUNKED,
    LAST_CHUNK,
    RawSite,
    RawTarget,
    chunk,
    events,
    head,
    raw_site,
    target,
)

pytestmark = pytest.mark.anyio

STREAM = head("200 OK", CHUNKED)
PAUSE_S = 1.3
WHOLE = events(1, 2, 3)


def pausing(after: int) -> RawTarget:
    """Return a target that pauses before its head (-1), or after an event."""
    parts: list[bytes | float] = [STREAM, *(chunk(events(n)) for n in (1, 2, 3))]
    parts.insert(after + 1, PAUSE_S)
    return target(*parts, LAST_CHUNK)


# Guards against: a sound target that pauses has its items started again, is counted as
# failed, and callers are refused although it is the only one.
@pytest.mark.parametrize("after", [-1, 0, 2])
async def test_pausing_target_keeps_its_items(after: int) -> None:
    only = pausing(after)
    async with raw_site(only) as site:
        for _ in range(EJECT_AFTER_FAILURES):
            assert (await site.run_item()).state is ItemState.done
        assert len(only.requests) == EJECT_AFTER_FAILURES
        assert site.picker.candidates(SERVICE)


# Guards against: a stream is cut for a pause although no other target can continue it.
@pytest.mark.parametrize("resumable", [True, False])
@pytest.mark.parametrize("after", [-1, 0, 2])
async def test_pausing_target_keeps_its_stream_if_no_other_can_continue_it(
    after: int, resumable: bool
) -> None:
    only = pausing(after)
    async with raw_site(only, resumable=resumable, maxAttempts=3) as site:
        answer = await site.ask()
        assert (answer.body, answer.complete) == (WHOLE, True)
        assert len(only.requests) == 1
        assert site.picker.candidates(SERVICE)


# A stream would be late with the pause, so another target continues it if it may.
async def test_stream_moves_and_its_pausing_target_is_used_again() -> None:
    rest = target(STREAM, chunk(events(2, 3)), LAST_CHUNK)
    async with raw_site(pausing(1), rest, maxAttempts=3) as site:
        async with anyio.create_task_group() as tasks:
            for _ in range(EJECT_AFTER_FAILURES):
                tasks.start_soon(check_stream, site)
        assert len(site.picker.candidates(SERVICE)) == 1
        await anyio.sleep(INITIAL_EJECTION.total_seconds())
        assert len(site.picker.candidates(SERVICE)) == 2


async def check_stream(site: RawSite) -> None:
    answer = await site.ask()
    assert (answer.body, answer.complete) == (WHOLE, True)


# Guards against: a request whose prompt crashes targets is handed over to one more of
# them, since its quarantine began when it had been sent.
async def test_request_that_is_quarantined_meanwhile_is_not_handed_over() -> None:
    rest = target(STREAM, chunk(events(1, 2, 3)), LAST_CHUNK)
    async with raw_site(pausing(0), rest, maxAttempts=3) as site:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(site.ask, "X-Chivespan-Prompt-Prefix: 5a:200,bad0:50,c1:9")
            await anyio.sleep(0.1)
            crash = PartCrash(
                run=TargetRun(target_id="i-9", started_ms=1), request_id="r", age_ms=0
            )
            evidence = PartEvidence(
                part="bad0",
                crashes=[crash],
                answered_age_ms=NOT_ANSWERED,
                quarantine_ms=600_000,
            )
            site.quarantine.merge([evidence], "peer")
        assert not rest.requests
