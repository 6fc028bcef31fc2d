"""Time limits of a process that stands still for a moment."""

import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

import anyio
import anyio.lowlevel
import pytest

from chivespan.exchange import NotSent, exchange
from chivespan.httpcall import CONNECT_TIMEOUT
from chivespan.nodemessages import ItemState
from chivespan.runningtime import fail_after_running
from chivespan.targethealth import EJECT_AFTER_FAILURES
from chivespan.targetliveness import has_ended
from tests.rawtargets import (
    CHUNKED,
    LAST_CHUNK,
    chunk,
    events,
    head,
    raw_site,
    target,
)
from tests.test_odditems import ANSWER, assert_sound
from tests.test_resets import call
from tests.test_targetliveness import silent_address

pytestmark = pytest.mark.anyio

LIMIT = timedelta(milliseconds=150)
# Longer than the time limit of a connection.
PAUSES_S = [0.16, 0.3]
# When the pause begins: in turns of the event loop after the start of the connection.
TURNS = range(5)
# In which a caller must hear of a dark target, on a busy machine too.
MAX_CONNECT_S = 1
RESPONSE = b"HTTP/1.1 204 No Content\r\n\r\n"


@pytest.fixture(params=[False, True], ids=["asyncio", "uvloop"])
def anyio_backend(request: pytest.FixtureRequest) -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": request.param}


@contextmanager
def answering_server() -> Iterator[str]:
    """Answer requests in a thread, so that pauses of this one don't hold it up."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        def answer_all() -> None:
            while True:
                try:
                    connection, _ = server.accept()
                except OSError:
                    return
                with connection:
                    connection.recv(1000)
                    connection.sendall(RESPONSE)

        thread = threading.Thread(target=answer_all)
        thread.start()
        yield f"127.0.0.1:{server.getsockname()[1]}"
        server.shutdown(socket.SHUT_RDWR)
        thread.join()


async def stand_still(pause_s: float, turns: int) -> None:
    """Block this process after some turns of its event loop."""
    for _ in range(turns):
        await anyio.lowlevel.checkpoint()
    time.sleep(pause_s)  # noqa: ASYNC251


# Guards against: a node that stands still for 160 ms takes sound targets for
# unreachable, leaves them out and refuses requests (review of issue 54).
@pytest.mark.parametrize("pause_s", PAUSES_S)
@pytest.mark.parametrize("turns", TURNS)
async def test_connection_outlasts_a_pause_of_its_own_process(
    pause_s: float, turns: int
) -> None:
    statuses = []

    async def send(address: str) -> None:
        async with exchange(call(address)) as reply:
            statuses.append(reply.status)

    with answering_server() as address:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send, address)
            tasks.start_soon(stand_still, pause_s, turns)
    assert statuses == [204]


# Guards against: the same, for whatever a node sends to its targets.
@pytest.mark.parametrize("pause_s", PAUSES_S)
async def test_pause_while_connecting_says_nothing_of_targets(
    pause_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with raw_site(target(ANSWER)) as site:
        connect_tcp = anyio.connect_tcp

        async def connect(host: str, port: int) -> object:
            if site.targets[0].address == f"{host}:{port}":
                time.sleep(pause_s)  # noqa: ASYNC251
            return await connect_tcp(host, port)

        monkeypatch.setattr(anyio, "connect_tcp", connect)
        assert (await site.ask()).status == 200
        assert (await site.run_item_once()).state is ItemState.done
        assert_sound(site)


async def test_ended_target_is_found_after_a_pause() -> None:
    found = []

    async def look(address: str) -> None:
        found.append(await has_ended(address))

    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(look, address)
        tasks.start_soon(stand_still, PAUSES_S[-1], 2)
    assert found == [True]


async def test_target_that_accepts_nothing_is_given_up_in_time() -> None:
    with silent_address() as address:
        began = anyio.current_time()
        with pytest.raises(NotSent):
            async with exchange(call(address)):
                raise AssertionError("unexpected response")
        took_s = anyio.current_time() - began
    assert CONNECT_TIMEOUT.total_seconds() - 0.01 <= took_s < MAX_CONNECT_S


async def test_block_that_ends_in_time_is_not_cancelled() -> None:
    with fail_after_running(LIMIT):
        await anyio.sleep(LIMIT.total_seconds() / 3)
    await anyio.sleep(2 * LIMIT.total_seconds())


# Guards against: a process that stands still again and again waits without end.
async def test_limit_ends_in_a_process_that_hardly_runs() -> None:
    async def stand_still_often() -> None:
        while True:
            await stand_still(0.06, 1)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stand_still_often)
        with (
            anyio.fail_after(5),
            pytest.raises(TimeoutError),
            fail_after_running(LIMIT),
        ):
            await anyio.sleep_forever()
        tasks.cancel_scope.cancel()


# Guards against: a node that stands still for longer than the time limits of its runs
# takes what arrived meanwhile for missing, and leaves all targets out.
@pytest.mark.parametrize("part", ["head", "events"])
async def test_response_during_a_pause_says_nothing_of_its_target(
    part: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    limit = timedelta(milliseconds=200)
    monkeypatch.setattr("chivespan.itemrequest.HEAD_TIMEOUT", limit)
    monkeypatch.setattr("chivespan.batchexecutor.EVENT_TIMEOUT", limit)
    begun = head("200 OK", CHUNKED), chunk(events(1))
    rest = chunk(events(2)), LAST_CHUNK
    responses: dict[str, list[bytes | float]] = {
        "head": [0.1, *begun, *rest],
        "events": [*begun, 0.1, *rest],
    }
    async with raw_site(target(*responses[part])) as site:
        for _ in range(EJECT_AFTER_FAILURES):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(site.run_item_once)
                while not site.targets[0].requests:
                    await anyio.sleep(0.005)
                await anyio.sleep(0.05)
                time.sleep(0.4)  # noqa: ASYNC251
            site.targets[0].requests.clear()
        assert_sound(site)
        assert (await site.run_item()).state is ItemState.done


async def test_target_that_misses_a_time_limit_is_left_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    limit = timedelta(milliseconds=50)
    monkeypatch.setattr("chivespan.itemrequest.HEAD_TIMEOUT", limit)
    async with raw_site(target(5.0)) as site:
        for _ in range(EJECT_AFTER_FAILURES):
            assert (await site.run_item()).state is ItemState.broken
        assert not site.picker.candidates("svc")


# Guards against: the same for online requests, whose targets are also left out for
# being silent.
async def test_pause_during_an_online_request_says_nothing_of_its_target() -> None:
    targets = target(0.3, ANSWER), target(0.3, ANSWER)
    async with raw_site(*targets, goalMs=100) as site:
        for _ in range(EJECT_AFTER_FAILURES):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(site.ask)
                while not any(each.requests for each in targets):
                    await anyio.sleep(0.005)
                time.sleep(0.4)  # noqa: ASYNC251
            for each in targets:
                each.requests.clear()
        assert_sound(site)
