"""Serves stand-ins over HTTP, many in one process, each at its own address."""

import signal
import socket
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from typing import Protocol, TypeVar

import anyio
import msgspec
import uvicorn
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import ASGIApp, Receive, Scope, Send

T = TypeVar("T")
BACKLOG = 2048


class StandIn(Protocol):
    """A stand-in that can be served: an ASGI application and its background work."""

    @property
    def app(self) -> ASGIApp:
        """The application that handles requests."""
        ...

    async def run(self) -> None:
        """Run the background work until it ends or is cancelled."""
        ...


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers and signals its readiness."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ready = anyio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        self.ready.set()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class _ByAddress:
    """Routes each request to the stand-in whose address received it."""

    def __init__(self, stand_ins: Mapping[str, StandIn]) -> None:
        self._apps = {address: stand_in.app for address, stand_in in stand_ins.items()}

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        host, port = scope["server"]
        await self._apps[f"{host}:{port}"](scope, receive, send)


def _bind(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    bound = socket.socket()
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, int(port)))
    bound.listen(BACKLOG)
    return bound


def _address_of(bound: socket.socket) -> str:
    host, port = bound.getsockname()
    return f"{host}:{port}"


@asynccontextmanager
async def serving(
    *stand_ins: StandIn, host: str = "127.0.0.1"
) -> AsyncIterator[list[str]]:
    """Serve stand-ins on free ports; yield their addresses in the same order."""
    async with serving_at([(f"{host}:0", each) for each in stand_ins]) as addresses:
        yield addresses


@asynccontextmanager
async def serving_at(
    addressed_stand_ins: list[tuple[str, StandIn]],
) -> AsyncIterator[list[str]]:
    """Serve each stand-in at its address; port 0 selects a free port."""
    sockets = [_bind(address) for address, _ in addressed_stand_ins]
    addresses = [_address_of(bound) for bound in sockets]
    stand_ins = dict(
        zip(addresses, (each for _, each in addressed_stand_ins), strict=True)
    )
    config = uvicorn.Config(
        _ByAddress(stand_ins),
        lifespan="off",
        log_level="critical",
        access_log=False,
        http="httptools",
        ws="none",
        timeout_graceful_shutdown=1,
        timeout_keep_alive=60,
    )
    server = _Server(config)
    async with anyio.create_task_group() as tasks:
        for stand_in in stand_ins.values():
            tasks.start_soon(stand_in.run)
        tasks.start_soon(server.serve, sockets)
        await server.ready.wait()
        try:
            yield addresses
        finally:
            server.should_exit = True
            server.force_exit = True
            with anyio.CancelScope(shield=True):
                await server.shutdown(sockets)
            tasks.cancel_scope.cancel()


def serve_until_stopped(addressed_stand_ins: list[tuple[str, StandIn]]) -> None:
    """Serve stand-ins until the process receives SIGTERM or SIGINT."""

    async def _serve() -> None:
        stops = (signal.SIGTERM, signal.SIGINT)
        with anyio.open_signal_receiver(*stops) as received:
            async with serving_at(addressed_stand_ins) as addresses:
                print("ready", *addresses, flush=True)
                async for _ in received:
                    return

    anyio.run(_serve, backend_options={"use_uvloop": True})


def parse_options(cls: type[T], flags: Mapping[str, object]) -> T:
    """Return the validated options given by command line flags."""
    return msgspec.convert(dict(flags), cls, strict=False)


async def decode_body(request: Request, cls: type[T]) -> T:
    """Return the JSON body of a request, decoded as ``cls``."""
    return msgspec.json.decode(await request.body(), type=cls)


def json_response(value: object, status: int = 200) -> Response:
    """Return a JSON response."""
    content = msgspec.json.encode(value)
    return Response(content, status, media_type="application/json")


def error_response(status: int, code: str, message: str = "") -> Response:
    """Return an error response in the form specified in docs/PLATFORM.md."""
    return json_response({"error": {"code": code, "message": message}}, status)


class TruncatedResponse(Response):
    """Closes the connection in the middle of the response, so that it is lost.

    :param hold_s: delay in seconds before the response starts.
    """

    def __init__(self, hold_s: float = 0) -> None:
        super().__init__()
        self._hold_s = hold_s

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the headers of a response and no body."""
        await anyio.sleep(self._hold_s)
        headers = [(b"content-length", b"1000")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})


class HangingResponse(Response):
    """Never responds; ends when the caller disconnects."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Wait until the caller closes the connection."""
        while (await receive())["type"] != "http.disconnect":
            pass
