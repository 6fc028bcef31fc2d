"""Servers that answer before they have read the request, and may break off then."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import anyio
from anyio.abc import SocketAttribute, SocketStream

from tests.rawtargets import LINGER_RESET

# More than the kernel and the event loop of a server take by themselves.
LONG = b"x" * 3_900_000
RECEIVE_BUFFER_BYTES = 64 * 1024
# How a server ends an answer that it began before it had read the request.
RESET = "reset"
CLOSED_THEN_RESET = "closed, then reset"
CLOSED = "closed, and the rest of the request left lying"
ENDS = [RESET, CLOSED_THEN_RESET, CLOSED]


def limit_reading(stream: SocketStream) -> None:
    """Have the kernel and the event loop read no more than is asked for."""
    cast(Any, stream)._transport.pause_reading()
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


async def break_off(stream: SocketStream, end: str) -> None:
    """End an answer while the request is still being written."""
    if end != RESET:
        await stream.send_eof()
    if end == CLOSED:
        await anyio.sleep(1)
    await anyio.sleep(0.1)
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


@asynccontextmanager
async def server(answer: bytes, end: str | None = None) -> AsyncIterator[str]:
    """Run a server that answers each request alike; yield its address.

    :param end: how it breaks off; None for a server that reads all of the request.
    """

    async def serve(stream: SocketStream) -> None:
        limit_reading(stream)
        async with stream:
            await stream.receive(1000)
            await stream.send(answer)
            if end is not None:
                await break_off(stream, end)
                return
            await stream.send_eof()
            try:
                while True:
                    await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, serve)
        yield f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        tasks.cancel_scope.cancel()
