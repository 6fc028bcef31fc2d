"""A small HTTP/1.1 server and client over asyncio, for stand-ins and callers."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

LINGER_RESET = struct.pack("ii", 1, 0)


@dataclass
class Request:
    """A request that a stand-in has received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter = field(repr=False)


@dataclass
class Answer:
    """What a caller got; status 0 stands for no complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool = True


Handler = Callable[[Request], Awaitable[bool]]


def parse_query(text: str) -> dict[str, str]:
    """Return the parameters of a query."""
    from urllib.parse import parse_qsl

    return dict(parse_qsl(text, keep_blank_values=True))


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a chunked body.

    :raises asyncio.IncompleteReadError: if it is cut.
    """
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


class HttpServer:
    """Serves one address; a handler returns whether the connection stays open."""

    def __init__(self, address: str, handler: Handler) -> None:
        host, _, port = address.rpartition(":")
        self.host, self.port = host, int(port)
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def up(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512, reuse_address=True
        )

    async def down(self) -> None:
        """Stop accepting, and reset all connections, as a killed process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.writers):
            reset(writer)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            while head := await read_head(reader):
                first, headers = head
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                if "chunked" in headers.get("transfer-encoding", ""):
                    body = await read_chunks(reader)
                else:
                    length = int(headers.get("content-length", "0"))
                    body = await reader.readexactly(length)
                request = Request(
                    method, path, parse_query(query), headers, body, writer
                )
                if not await self._handler(request):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


def respond(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    """Write a whole response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request with a length."""
    lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one response."""
    while True:
        head = await read_head(reader)
        if head is None:
            return Answer(0, {}, b"", complete=False)
        first, headers = head
        status = int(first.split(" ")[1])
        if status >= 200:
            break
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = await read_chunks(reader)
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, headers, b"", complete=False)
    return Answer(status, headers, body)


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 8.0,
) -> Answer:
    """Send one request on a connection of its own."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode_request(method, target, headers or {}, body))
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0, {}, b"", complete=False)
    finally:
        if writer is not None:
            writer.close()
