"""Limits of the caller server on the size and duration of request heads."""

import time
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta

import anyio
import pytest
import uvicorn
from starlette.types import Receive, Scope, Send

from chivespan import callerserver
from chivespan.addresses import Address
from chivespan.callerserver import CallerServer
from chivespan.routes import CallerLimits
from tests.addresses import own_block

pytestmark = pytest.mark.anyio
HOST = f"{own_block()}.239.1"
LIMITS = CallerLimits(
    max_header_bytes=500,
    header_timeout=timedelta(milliseconds=200),
    idle_timeout=timedelta(seconds=1),
)


async def _app(_scope: Scope, _receive: Receive, send: Send) -> None:
    await send({"type": "http.response.start", "status": 204, "headers": []})
    await send({"type": "http.response.body", "body": b""})


def _changing(versions: Sequence[CallerLimits]) -> Callable[[], CallerLimits]:
    started = time.monotonic()
    return lambda: versions[min(len(versions) - 1, int(time.monotonic() - started))]


@asynccontextmanager
async def connected() -> AsyncIterator[anyio.abc.SocketStream]:
    async with connected_server() as (stream, _):
        yield stream


@asynccontextmanager
async def connected_server(
    *versions: CallerLimits,
) -> AsyncIterator[tuple[anyio.abc.SocketStream, CallerServer]]:
    """Connect to a server; the limits stay the last of some versions, one a second."""
    address = Address(HOST, 8161)
    server = CallerServer(_app, [address], _changing(versions or (LIMITS,)))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        for _ in range(100):
            try:
                stream = await anyio.connect_tcp(HOST, 8161)
                break
            except OSError:
                await anyio.sleep(0.02)
        async with stream:
            yield stream, server
        server.stop()


async def status_of(stream: anyio.abc.SocketStream) -> int:
    with anyio.fail_after(2):
        return int((await stream.receive()).split(b" ")[1])


async def test_two_requests_within_the_limits_on_one_connection() -> None:
    async with connected() as stream:
        for _ in range(2):
            await stream.send(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
            assert await status_of(stream) == 204


@pytest.mark.parametrize("complete", [True, False])
async def test_too_large_head_is_rejected(complete: bool) -> None:
    head = b"GET / HTTP/1.1\r\nhost: h\r\nx: " + b"y" * 600
    async with connected() as stream:
        await stream.send(head + (b"\r\n\r\n" if complete else b""))
        assert await status_of(stream) == 431


async def test_too_slow_head_is_rejected() -> None:
    async with connected() as stream:
        await stream.send(b"GET / HTTP/1.1\r\nhost:")
        assert await status_of(stream) == 408


# Guards against: an idle server wakes ten times a second, on each of hundreds of VMs.
async def test_idle_server_ticks_once_a_second_and_stops_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    ticks: list[float] = []
    on_tick = uvicorn.Server.on_tick

    async def count(server: uvicorn.Server, counter: int) -> bool:
        ticks.append(anyio.current_time())
        return await on_tick(server, counter)

    monkeypatch.setattr(uvicorn.Server, "on_tick", count)
    async with connected():
        await anyio.sleep(0.7)
        assert len(ticks) == 1
        stopped = anyio.current_time()
    assert anyio.current_time() - stopped < 0.5


# Guards against: a planned stop cuts requests whose connection was just accepted, or
# whose head has arrived in part.
@pytest.mark.parametrize("parts", [[b"GET / HTTP/1.1\r\n"], []])
async def test_request_that_arrives_as_the_server_stops_is_answered(
    monkeypatch: pytest.MonkeyPatch, parts: list[bytes]
) -> None:
    delay_s = 0.1
    assert delay_s < callerserver.SHUTDOWN_LINGER_S
    # A test process that is held up for a while must not miss these.
    monkeypatch.setattr(callerserver, "SHUTDOWN_LINGER_S", 2)
    limits = replace(LIMITS, header_timeout=timedelta(seconds=10))
    async with connected_server(limits) as (stream, server):
        for part in parts:
            await stream.send(part)
        await anyio.sleep(0.05)
        server.stop()
        await anyio.sleep(delay_s)
        await stream.send(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"[len(b"".join(parts)) :])
        assert await status_of(stream) == 204
        with pytest.raises(anyio.EndOfStream):
            await stream.receive()


# Guards against: a raised idle timeout doesn't reach open connections, so that they are
# closed while callers may still use them.
async def test_raised_idle_timeout_holds_for_open_connections() -> None:
    raised = replace(LIMITS, idle_timeout=timedelta(seconds=10))
    request = b"GET / HTTP/1.1\r\nhost: h\r\n\r\n"
    async with connected_server(LIMITS, raised) as (stream, _):
        await stream.send(request)
        assert await status_of(stream) == 204
        await anyio.sleep(1.5)
        await stream.send(request)
        assert await status_of(stream) == 204


# Guards against: a connection that is idle for longer than the timeout stays open.
async def test_idle_connection_is_closed_after_the_timeout() -> None:
    async with connected() as stream:
        await stream.send(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
        assert await status_of(stream) == 204
        with anyio.fail_after(2), pytest.raises(anyio.EndOfStream):
            await stream.receive()
