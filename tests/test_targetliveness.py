"""A target has ended when its address refuses connections, and only then."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

import anyio
import pytest

from chivespan.targetliveness import has_ended
from tests.addresses import own_block

pytestmark = pytest.mark.anyio


@contextmanager
def silent_address() -> Iterator[str]:
    """Yield an address at which connections are neither accepted nor refused."""
    with socket.create_server((f"{own_block()}.0.9", 0), backlog=0) as listener:
        queued = [socket.socket() for _ in range(3)]
        try:
            for each in queued:
                each.setblocking(False)
                each.connect_ex(listener.getsockname())
            host, port = listener.getsockname()
            yield f"{host}:{port}"
        finally:
            for each in queued:
                each.close()


async def test_only_a_refused_connection_means_that_a_target_has_ended() -> None:
    with socket.create_server((f"{own_block()}.0.9", 0)) as listener:
        host, port = listener.getsockname()
        address = f"{host}:{port}"
        assert not await has_ended(address)
    assert await has_ended(address)


# Guards against: a sound target that is slow to accept passes for one that crashed.
async def test_a_target_that_does_not_accept_in_time_has_not_ended() -> None:
    with silent_address() as address:
        assert not await has_ended(address)


# Guards against: a connection that is reset while it opens ends the request.
async def test_reset_while_connecting_is_no_refusal(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def connect_tcp(host: str, port: int) -> None:
        raise RuntimeError("the handler is closed")

    monkeypatch.setattr(anyio, "connect_tcp", connect_tcp)
    assert not await has_ended("127.0.0.1:9")
