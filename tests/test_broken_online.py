"""The oracle catches the online side with one mechanism at a time switched off.

Where no time is measured, the whole product passes the same check beside the variant.
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
from tests.faults.claim_cells import KEY, PATH
from tests.faults.noderig import ENGINE, NodeRig, node_rig
from tests.oracle import FirstTokenWait

pytestmark = pytest.mark.anyio
both = pytest.mark.parametrize("broken", [False, True])

Patch = pytest.MonkeyPatch
LONG_TOKENS = 4000
ONLINE_TOKENS = 300
ITEMS = 40
BESIDE_BATCH = 6
FIRST_TOKEN_S = 0.8
# All programs share a process here: while it is held up, no link may be left, as batch
# would then give its slots back after all.
LINK_SILENCE_MS = 10_000


def _names(violations: Iterable[str]) -> set[str]:
    return {violation.split(":")[0] for violation in violations}


@both
async def test_keyed_calls_are_not_told_apart(monkeypatch: Patch, broken: bool) -> None:
    if broken:
        monkeypatch.setattr(claimedcall, "_digest", lambda _: "one for all")
    async with node_rig(batch=True) as rig:
        got = await rig.caller.call("POST", PATH, "12 pigs", KEY)
        while got.was_run == "no":
            got = await rig.caller.call("POST", PATH, "12 pigs", KEY)
        other = await rig.caller.call("POST", PATH, "13 sheep", KEY)
        rig.observations.calls += [got, other]
        found = _names(rig.violations())
    assert found == ({"answered_was_run", "whole_and_own"} if broken else set())


@both
async def test_leaving_target_stays_in_its_slice(
    monkeypatch: Patch, broken: bool
) -> None:
    if broken:
        monkeypatch.setattr(sliceowner, "_without", lambda part, _: part)
    async with node_rig() as rig:
        await rig.list_target_as_leaving(0)
        for number in range(10):
            await rig.ask(f"request {number}", 2)
        found = _names(rig.violations())
    assert found == ({"nothing_to_a_leaving_target"} if broken else set())


@both
async def test_stopped_server_waits_for_nobody(
    monkeypatch: Patch, broken: bool
) -> None:
    def stop_at_once(self: HttpServer) -> None:
        self._server.should_exit = True
        self._server.force_exit = True

    if broken:
        monkeypatch.setattr(HttpServer, "stop", stop_at_once)
    async with node_rig() as rig:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(rig.ask, "long", 100, True)
            await rig.caller.on_token.wait()
            await rig.stop_entry()
        found = _names(rig.violations())
    assert found == ({"shutdown_cuts_nothing", "whole_and_own"} if broken else set())


async def test_batch_gives_nothing_back(monkeypatch: Patch) -> None:
    monkeypatch.setattr(BatchControl, "yields", False)
    async with batch_rig(silence_ms=LINK_SILENCE_MS) as rig:
        job = submission("long items", items=ITEMS, tokens=LONG_TOKENS)
        await rig.caller.submit_until_accepted(job)
        await rig.site.wait("batch in the way", _fewer_free_than_asked(rig.site))
        async with anyio.create_task_group() as tasks:
            for number in range(BESIDE_BATCH):
                tasks.start_soon(_wait_beside_batch, rig.site, f"online {number}")
        found = _names(rig.site.violations())
    assert found == {"online_before_batch"}


def _fewer_free_than_asked(rig: NodeRig) -> Callable[[], bool]:
    slots = len(rig.engines) * ENGINE.slots
    return lambda: (
        sum(len(engine.batch.running) for engine in rig.engines) >= slots // 2
    )


async def _wait_beside_batch(rig: NodeRig, prompt: str) -> None:
    caller = Caller(rig.caller.address, rig.caller.key)
    began = time.monotonic()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(caller.stream, prompt, ONLINE_TOKENS)
        with anyio.move_on_after(2 * FIRST_TOKEN_S):
            await caller.on_token.wait()
        waited = time.monotonic() - began
    rig.observations.first_token_waits.append(
        FirstTokenWait(prompt, waited, FIRST_TOKEN_S)
    )
