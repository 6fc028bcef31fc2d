"""Responses that a target sends once more on a connection kept for further calls."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from datetime import timedelta

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from chivespan.engineapi import EngineRequest
from chivespan.engineclient import EngineClient, StreamLimits
from chivespan.errors import ChivespanError
from chivespan.plainclient import PlainClient, PlainRequest
from chivespan.targethttp import TargetHttp
from tests.rawtargets import raw_site, target

pytestmark = pytest.mark.anyio

S = timedelta(seconds=1)


def response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@asynccontextmanager
async def repeating_target(delay_s: float) -> AsyncIterator[str]:
    """Serve requests in turn, and send each response once more after a delay.

    :param delay_s: negative to send both at once.
    """
    numbers = iter(range(1, 100))

    async def serve(stream: SocketStream) -> None:
        earlier = b""
        async with stream:
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while await stream.receive():
                    own = response(b"%d" % next(numbers))
                    if delay_s < 0:
                        await stream.send(own + own)
                    else:
                        await stream.send(earlier + own)
                        earlier = own

    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(listener.serve, serve)
        yield f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        tasks.cancel_scope.cancel()


# Guards against: a response that a target sent once more reaches another caller.
@pytest.mark.parametrize("delay_s", [-1, 0])
async def test_repeated_response_is_not_taken_for_the_next_one(delay_s: float) -> None:
    async with repeating_target(delay_s) as address, TargetHttp() as http:
        client = PlainClient(http)
        for number in range(1, 5):
            request = PlainRequest(f"r{number}", "GET", "/", "", b"", idempotent=True)
            answer = await client.call(address, request, S)
            assert answer.body == b"%d" % number


@asynccontextmanager
async def refusing_engine() -> AsyncIterator[str]:
    """Serve token streams, and send a refusal behind each."""

    async def serve(stream: SocketStream) -> None:
        async with stream:
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while request := await stream.receive():
                    body = request.partition(b"\r\n\r\n")[2] or await stream.receive()
                    body = token(json.loads(body)["request_id"])
                    await stream.send(response(body) + b"HTTP/1.1 400 no\r\n\r\n")

    async with (
        await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(listener.serve, serve)
        yield f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        tasks.cancel_scope.cancel()


def token(request_id: str) -> bytes:
    choice = {"index": 0, "text": "a", "finish_reason": "stop"}
    event = {"id": request_id, "token_index": 0, "choices": [choice]}
    return b"data: " + json.dumps(event).encode() + b"\n\n"


# Guards against: an earlier request's refusal is taken for that of the next stream.
async def test_repeated_refusal_is_not_taken_for_that_of_the_next_stream() -> None:
    async with refusing_engine() as address, TargetHttp() as http:
        client = EngineClient(http)
        for name in ("a", "b"):
            request = EngineRequest(
                model="m",
                prompt="p",
                max_tokens=1,
                stream=True,
                request_id=name,
                resume_tokens=[],
            )
            tokens = client.stream(address, request, StreamLimits(S, S))
            assert [each.text async for each in tokens] == ["a"]


CUT = {
    "head": target(b"HTTP/1.1 200 OK\r\nX-A: b"),
    "end of the head": target(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"),
    "length": target(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na"),
    "chunks": target(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n"
    ),
    "reset": target(b"HTTP/1.1 200 OK\r\n\r\n", b"a", reset=True),
    "two lengths": target(
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na"
    ),
}


# Guards against: a plain service's response that was cut is passed on as a whole one.
@pytest.mark.parametrize("case", CUT)
async def test_cut_response_of_a_plain_service_is_an_error(case: str) -> None:
    async with raw_site(CUT[case]), TargetHttp() as http:
        request = PlainRequest("r", "GET", "/", "", b"", idempotent=True)
        with pytest.raises(ChivespanError):
            await PlainClient(http).call(CUT[case].address, request, S)
