"""Connections that are reset while they are opened."""

import socket
import struct
import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from datetime import timedelta
from typing import Any

import anyio
import httpcore
import pytest

from chivespan.errors import ChivespanError, ErrorKind
from chivespan.exchange import NotSent, exchange
from chivespan.httpcall import Call
from chivespan.httpvmlist import HttpVmList

CONCURRENT_REQUESTS = 50
ROUNDS = 10
LINGER_RESET = struct.pack("ii", 1, 0)


@contextmanager
def resetting_target() -> Iterator[str]:
    """Accept connections and reset each immediately."""
    with socket.create_server(
        ("127.0.0.1", 0), backlog=10 * CONCURRENT_REQUESTS
    ) as server:

        def reset_all() -> None:
            while True:
                try:
                    connection, _ = server.accept()
                except OSError:
                    return
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                connection.close()

        thread = threading.Thread(target=reset_all)
        thread.start()
        yield f"127.0.0.1:{server.getsockname()[1]}"
        server.shutdown(socket.SHUT_RDWR)
        thread.join()


def call(address: str) -> Call:
    return Call(
        address=address,
        method="POST",
        target=b"/",
        headers=[(b"host", b"x")],
        body=b"x",
        head_timeout=timedelta(seconds=1),
        body_timeout=timedelta(seconds=1),
    )


def test_reset_connection_is_reported_as_target_failure() -> None:
    kinds: Counter[ErrorKind] = Counter()

    async def send_request(address: str) -> None:
        try:
            async with exchange(call(address)):
                raise AssertionError("unexpected response")
        except ChivespanError as error:
            kinds[error.kind] += 1

    async def send_requests() -> None:
        with resetting_target() as address:
            for _ in range(ROUNDS):
                async with anyio.create_task_group() as tasks:
                    for _ in range(CONCURRENT_REQUESTS):
                        tasks.start_soon(send_request, address)

    anyio.run(send_requests, backend_options={"use_uvloop": True})
    assert kinds.total() == CONCURRENT_REQUESTS * ROUNDS
    assert kinds.keys() <= {ErrorKind.TARGET_UNREACHABLE, ErrorKind.TARGET_FAILED}


class LostTransport(httpcore.AsyncMockStream):
    """A connection whose socket has been closed."""

    def get_extra_info(self, info: str) -> Any:
        return None.getpeername()  # type: ignore[attr-defined]

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        raise AssertionError("unexpected write")


@pytest.fixture
def all_connections_reset(monkeypatch: pytest.MonkeyPatch) -> None:
    """Simulate that every connection is reset while it is opened."""

    async def connect(*_: object, **__: object) -> httpcore.AsyncNetworkStream:
        return LostTransport([])

    monkeypatch.setattr(httpcore.AnyIOBackend, "connect_tcp", connect)


class LostStream:
    """An open connection that the peer has reset meanwhile."""

    def __init__(self) -> None:
        self.closed = False

    async def send(self, item: bytes) -> None:
        assert not item, "unexpected write"
        raise anyio.BrokenResourceError

    async def aclose(self) -> None:
        self.closed = True


class LostSocketStream(LostStream):
    """A connection that is found to be reset just after the check for that.

    uvloop has then dropped its socket.
    """

    async def send(self, item: bytes) -> None:
        assert not item, "unexpected write"

    def extra(self, _: object) -> Any:
        return None.getpeername()  # type: ignore[attr-defined]


# Guards against: an error of another kind than those that callers of exchange handle.
@pytest.mark.anyio
@pytest.mark.parametrize("stream_class", [LostStream, LostSocketStream])
async def test_connection_reset_while_opening_raises_not_sent(
    stream_class: type[LostStream], monkeypatch: pytest.MonkeyPatch
) -> None:
    lost = stream_class()

    async def connect(*_: object, **__: object) -> LostStream:
        return lost

    monkeypatch.setattr(anyio, "connect_tcp", connect)
    with pytest.raises(NotSent):
        async with exchange(
            replace(call("127.0.0.1:9"), stall_timeout=timedelta(seconds=1))
        ):
            raise AssertionError("unexpected response")
    assert lost.closed


@pytest.mark.anyio
@pytest.mark.usefixtures("all_connections_reset")
async def test_vm_list_that_resets_connections_is_not_ready() -> None:
    with pytest.raises(ChivespanError) as failed:
        await HttpVmList("http://127.0.0.1:9").fetch()
    assert failed.value.kind is ErrorKind.NOT_READY
