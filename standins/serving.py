"""Serves stand-ins over HTTP, many in one process, each on its own address."""

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
    """What can be served: an ASGI application and its background work."""

    @property
    def app(self) -> ASGIApp:
        """The application that answers requests."""
        ...

    async def run(self) -> None:
        """Do the work that goes on between requests, until cancelled."""
        ...


class _Server(uvicorn.Server):
    """A server that leaves signals to its caller and tells when it is ready."""

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
    """Passes each request to the stand-in whose address it came to."""

    def __init__(self, sites: Mapping[str, StandIn]) -> None:
        self._apps = {address: site.app for address, site in sites.items()}

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


def _name(bound: socket.socket) -> str:
    host, port = bound.getsockname()
    return f"{host}:{port}"


@asynccontextmanager
async def serving(
    *stand_ins: StandIn, host: str = "127.0.0.1"
) -> AsyncIterator[list[str]]:
    """Serve stand-ins on free ports; give their addresses in the same order."""
    async with serving_at([(f"{host}:0", each) for each in stand_ins]) as addresses:
        yield addresses


@asynccontextmanager
async def serving_at(places: list[tuple[str, StandIn]]) -> AsyncIterator[list[str]]:
    """Serve each stand-in at its address, where port 0 stands for a free one."""
    sockets = [_bind(address) for address, _ in places]
    addresses = [_name(bound) for bound in sockets]
    sites = dict(zip(addresses, (each for _, each in places), strict=True))
    config = uvicorn.Config(
        _ByAddress(sites),
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
        for site in sites.values():
            tasks.start_soon(site.run)
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


def serve_until_stopped(places: list[tuple[str, StandIn]]) -> None:
    """Serve stand-ins until the process is told to stop."""

    async def _serve() -> None:
        stops = (signal.SIGTERM, signal.SIGINT)
        with anyio.open_signal_receiver(*stops) as received:
            async with serving_at(places) as addresses:
                print("ready", *addresses, flush=True)
                async for _ in received:
                    return

    anyio.run(_serve, backend_options={"use_uvloop": True})


def parse_options(cls: type[T], flags: Mapping[str, object]) -> T:
    """Return the options that command line flags give, checked."""
    return msgspec.convert(dict(flags), cls, strict=False)


async def decode_body(request: Request, cls: type[T]) -> T:
    """Return the request's JSON body as an object of ``cls``."""
    return msgspec.json.decode(await request.body(), type=cls)


def json_response(value: object, status: int = 200) -> Response:
    """Return a JSON answer."""
    content = msgspec.json.encode(value)
    return Response(content, status, media_type="application/json")


def error_response(status: int, code: str, message: str = "") -> Response:
    """Return an error in the form that docs/PLATFORM.md gives."""
    return json_response({"error": {"code": code, "message": message}}, status)


class TruncatedResponse(Response):
    """Closes the connection in the middle of an answer, so that it is lost.

    :param hold_s: seconds of silence before.
    """

    def __init__(self, hold_s: float = 0) -> None:
        super().__init__()
        self._hold_s = hold_s

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send the head of an answer and no body."""
        await anyio.sleep(self._hold_s)
        headers = [(b"content-length", b"1000")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})


class HangingResponse(Response):
    """Never answers; ends when the caller leaves."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Wait until the caller closes the connection."""
        while (await receive())["type"] != "http.disconnect":
            pass
