"""A minimal HTTP/1.1 server and client for the stand-ins, over asyncio streams."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

MAX_HEAD_BYTES = 64 * 1024


@dataclass
class Request:
    """A request that a stand-in has received; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    caller: str


@dataclass
class Answer:
    """A response that a client has received; status 0 for none."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve one request on each connection, as the nodes send them."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            request = await _read_request(reader, writer)
            work = asyncio.ensure_future(handler(request, writer))
            closed = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            closed.cancel()
            if not work.done():
                work.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(handle, host, port, limit=MAX_HEAD_BYTES)


async def _read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ")
    headers = _headers(lines)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    caller = str(writer.get_extra_info("peername")[0])
    query = dict(parse_qsl(parts.query, keep_blank_values=True))
    return Request(method, parts.path, query, headers, body, caller)


def _headers(lines: list[str]) -> dict[str, str]:
    pairs = (line.partition(":") for line in lines if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


async def respond(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    """Send a whole response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    await writer.drain()


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 6.0,
) -> Answer:
    """Send one request on a new connection and return the response to it."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(host, port, method, path, headers or {}, body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(0, complete=False)


async def _exchange(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
) -> Answer:
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        return await _read_answer(reader)
    finally:
        writer.close()


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    first, *lines = (
        (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    )
    answer = Answer(int(first.split(" ")[1]), _headers(lines))
    try:
        if answer.headers.get("transfer-encoding") == "chunked":
            await _read_chunks(reader, answer)
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await reader.readexactly(length)
    except (OSError, asyncio.IncompleteReadError):
        answer.complete = False
    return answer


async def _read_chunks(reader: asyncio.StreamReader, answer: Answer) -> None:
    while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
        answer.body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readuntil(b"\r\n")
