"""Serving HTTP with uvicorn inside a task group, with a shutdown that cuts nothing."""

from collections.abc import Generator
from contextlib import contextmanager

import uvicorn
from starlette.types import ASGIApp

BACKLOG = 512


class _Server(uvicorn.Server):
    """A server that leaves signals to the program."""

    @contextmanager
    def capture_signals(self) -> Generator[None, None, None]:
        yield


class HttpServer:
    """One listening address.

    :param app: the ASGI application.
    :param host: IP number to listen on.
    :param port: port to listen on.
    """

    def __init__(self, app: ASGIApp, host: str, port: int) -> None:
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            backlog=BACKLOG,
            log_config=None,
            access_log=False,
            lifespan="off",
            server_header=False,
            ws="none",
        )
        self._server = _Server(config)

    async def run(self) -> None:
        """Serve until :meth:`stop`; then finish what is in progress and return."""
        await self._server.serve()

    def stop(self) -> None:
        """Take no new connections, and end once all requests have been answered."""
        self._server.should_exit = True
