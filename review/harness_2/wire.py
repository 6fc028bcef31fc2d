"""Minimal HTTP/1.1 for the stand-ins: one request per connection."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

MAX_HEAD_BYTES = 1 << 20


@dataclass
class Request:
    """A request that was read as a whole.

    :ivar gone: done once the caller has closed the connection.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b""
    gone: "asyncio.Future[None] | None" = None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The parameters of the query."""
        return dict(parse_qsl(self.target.partition("?")[2], keep_blank_values=True))

    def header(self, name: str, default: str = "") -> str:
        """Return the first header with a name, given in lower case."""
        return next((value for key, value in self.headers if key == name), default)


@dataclass
class Answer:
    """A response; ``whole`` says whether it ended as its framing says."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    error: str = ""


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]]]:
    """Return the first line and the headers, with names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines if line]
    return first, [(name.strip().lower(), value.strip()) for name, _, value in pairs]


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return the body of a message in chunks."""
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readline()
    return body


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Return the next request of a connection."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    request = Request(method, target, headers)
    if "chunked" in request.header("transfer-encoding"):
        request.body = await read_chunks(reader)
    else:
        request.body = await reader.readexactly(
            int(request.header("content-length", "0"))
        )
    return request


async def _wait_end(reader: asyncio.StreamReader) -> None:
    with suppress(OSError):
        while await reader.read(1024):
            pass


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve one request on each connection; errors of a connection end only it."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        gone: asyncio.Future[None] | None = None
        try:
            request = await read_request(reader)
            request.gone = gone = asyncio.ensure_future(_wait_end(reader))
            await handler(request, writer)
            await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            if gone is not None:
                gone.cancel()
            with suppress(OSError, RuntimeError):
                writer.close()

    return await asyncio.start_server(
        connected, host, port, limit=MAX_HEAD_BYTES, backlog=512
    )


def respond(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    """Write a whole response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += ["Connection: close", "", ""]
    writer.write("\r\n".join(lines).encode() + body)


def start_stream(writer: asyncio.StreamWriter, headers: dict[str, str]) -> None:
    """Write the head of a response in chunks."""
    lines = ["HTTP/1.1 200 OK", "Transfer-Encoding: chunked"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += ["Connection: close", "", ""]
    writer.write("\r\n".join(lines).encode())


def write_chunk(writer: asyncio.StreamWriter, content: bytes) -> None:
    """Write a chunk; an empty one ends the body."""
    writer.write(b"%x\r\n%b\r\n" % (len(content), content))


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    writer.transport.abort()


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 8.0,
) -> Answer:
    """Send a request on a new connection and return its answer."""
    answer = Answer()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                *address, limit=MAX_HEAD_BYTES
            )
            try:
                lines = [f"{method} {target} HTTP/1.1"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                lines += [f"Content-Length: {len(body)}", "", ""]
                writer.write("\r\n".join(lines).encode() + body)
                await read_answer(reader, answer)
            finally:
                writer.close()
    except (OSError, EOFError, ValueError, TimeoutError) as error:
        answer.error = repr(error)
    return answer


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read a response into ``answer``, as far as it comes."""
    first, headers = await read_head(reader)
    answer.status = int(first.split(" ")[1])
    answer.headers = dict(headers)
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while size := int((await reader.readline()).split(b";")[0], 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        answer.body = await reader.read()
    answer.whole = True
