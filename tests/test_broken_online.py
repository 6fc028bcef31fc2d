"""The oracle reports a violation when a mechanism for online requests is disabled.

Guards against an oracle that misses real failures. Except where timing is measured, the
unmodified product runs through the same scenario and must pass.
"""

import time
from collections.abc import Callable, Iterable

import anyio
import pytest

from chivespan import claimedcall, sliceowner
from chivespan.batchcontrol import BatchControl
from chivespan.httpserver import HttpServer
from tests.callers import Caller
from tests.faults.batch_cells import batch_rig, submission
from tests.faults.claim_cells import BOOKINGS_PATH, KEY
from tests.faults.noderig import ENGINE, NodeRig, node_rig
from tests.oracle import FirstTokenWait

pytestmark = pytest.mark.anyio
with_and_without = pytest.mark.parametrize("broken", [False, True])

Patch = pytest.MonkeyPatch
BATCH_TOKENS = 4000
ONLINE_TOKENS = 300
ITEMS = 40
ONLINE_REQUESTS = 6
FIRST_TOKEN_S = 0.8
# All programs run in one process. If it stalls for longer than the silence timeout,
# links are closed and batch work releases its slots although yielding is disabled.
LINK_SILENCE_MS = 10_000


def _names(violations: Iterable[str]) -> set[str]:
    return {violation.split(":")[0] for violation in violations}


@with_and_without
async def test_calls_with_one_key_have_equal_digests(
    monkeypatch: Patch, broken: bool
) -> None:
    if broken:
        monkeypatch.setattr(claimedcall, "_digest", lambda _: "one digest")
    async with node_rig(batch=True) as rig:
        got = await rig.caller.call("POST", BOOKINGS_PATH, "12 pigs", KEY)
        while got.was_run == "no":
            got = await rig.caller.call("POST", BOOKINGS_PATH, "12 pigs", KEY)
        other = await rig.caller.call("POST", BOOKINGS_PATH, "13 sheep", KEY)
        rig.observations.calls += [got, other]
        found = _names(rig.violations())
    assert found == (
        {"answered_request_ran", "answer_matches_request"} if broken else set()
    )


@with_and_without
async def test_leaving_target_stays_in_its_slice(
    monkeypatch: Patch, broken: bool
) -> None:
    if broken:
        monkeypatch.setattr(sliceowner, "_without", lambda part, _: part)
    async with node_rig() as rig:
        await rig.list_target_as_leaving(0)
        for number in range(10):
            await rig.stream(f"request {number}", 2)
        found = _names(rig.violations())
    assert found == ({"leaving_target_gets_no_requests"} if broken else set())


@with_and_without
async def test_stopped_server_aborts_open_requests(
    monkeypatch: Patch, broken: bool
) -> None:
    def stop_now(self: HttpServer) -> None:
        self._server.force_exit = True
        self._server.stop()

    if broken:
        monkeypatch.setattr(HttpServer, "stop", stop_now)
    async with node_rig() as rig:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.stream, "long", 100, True)
            await rig.caller.on_token.wait()
            await rig.stop_entry()
        found = _names(rig.violations())
    assert found == (
        {"shutdown_completes_requests", "answer_matches_request"} if broken else set()
    )


async def test_batch_gives_nothing_back(monkeypatch: Patch) -> None:
    monkeypatch.setattr(BatchControl, "yields", False)
    async with batch_rig(silence_ms=LINK_SILENCE_MS) as rig:
        job = submission("long items", items=ITEMS, tokens=BATCH_TOKENS)
        await rig.caller.submit_until_accepted(job)
        await rig.site.wait(
            "batch occupies half of the slots", _half_of_slots_used(rig.site)
        )
        async with anyio.create_task_group() as tasks:
            for number in range(ONLINE_REQUESTS):
                tasks.start_soon(_measure_first_token, rig.site, f"online {number}")
        found = _names(rig.site.violations())
    assert found == {"online_before_batch"}


def _half_of_slots_used(rig: NodeRig) -> Callable[[], bool]:
    slots = len(rig.engines) * ENGINE.slots
    return lambda: (
        sum(len(engine.batch.running) for engine in rig.engines) >= slots // 2
    )


async def _measure_first_token(rig: NodeRig, prompt: str) -> None:
    caller = Caller(rig.caller.address, rig.caller.key)
    started = time.monotonic()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(caller.stream, prompt, ONLINE_TOKENS)
        with anyio.move_on_after(2 * FIRST_TOKEN_S):
            await caller.on_token.wait()
        elapsed = time.monotonic() - started
    rig.observations.first_token_waits.append(
        FirstTokenWait(prompt, elapsed, FIRST_TOKEN_S)
    )
