"""Targets that reset connections while these are opened."""

import socket
import struct
import threading
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any

import anyio
import httpcore
import pytest

from chivespan.errors import ChivespanError, ErrorKind
from chivespan.exchange import Call, NotSent, exchange
from chivespan.httpvmlist import HttpVmList

AT_ONCE = 50
ROUNDS = 10
RESET = struct.pack("ii", 1, 0)


@contextmanager
def resetting_target() -> Iterator[str]:
    """Accept connections and reset each at once."""
    with socket.create_server(("127.0.0.1", 0), backlog=10 * AT_ONCE) as server:

        def reset_all() -> None:
            while True:
                try:
                    connection, _ = server.accept()
                except OSError:
                    return
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
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


def test_a_reset_connection_is_a_failure_of_the_target_and_no_other() -> None:
    kinds: Counter[ErrorKind] = Counter()

    async def ask(address: str) -> None:
        try:
            async with exchange(call(address)):
                raise AssertionError("an answer")
        except ChivespanError as error:
            kinds[error.kind] += 1

    async def ask_often() -> None:
        with resetting_target() as address:
            for _ in range(ROUNDS):
                async with anyio.create_task_group() as tasks:
                    for _ in range(AT_ONCE):
                        tasks.start_soon(ask, address)

    anyio.run(ask_often, backend_options={"use_uvloop": True})
    assert kinds.total() == AT_ONCE * ROUNDS
    assert kinds.keys() <= {ErrorKind.TARGET_UNREACHABLE, ErrorKind.TARGET_FAILED}


class Lost(httpcore.AsyncMockStream):
    """A connection whose socket is gone."""

    def get_extra_info(self, info: str) -> Any:
        return None.getpeername()  # type: ignore[attr-defined]

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        raise AssertionError("written")


@pytest.fixture
def all_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have every connection reset while it is opened."""

    async def connect(*_: object, **__: object) -> httpcore.AsyncNetworkStream:
        return Lost([])

    monkeypatch.setattr(httpcore.AnyIOBackend, "connect_tcp", connect)


class LostStream:
    """An open connection that the other end has reset meanwhile."""

    def __init__(self) -> None:
        self.closed = False

    async def send(self, item: bytes) -> None:
        assert not item, "written"
        raise anyio.BrokenResourceError

    async def aclose(self) -> None:
        self.closed = True


@pytest.mark.anyio
async def test_a_connection_reset_while_it_is_opened_has_sent_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lost = LostStream()

    async def connect(*_: object, **__: object) -> LostStream:
        return lost

    monkeypatch.setattr(anyio, "connect_tcp", connect)
    with pytest.raises(NotSent):
        async with exchange(call("127.0.0.1:9")):
            raise AssertionError("an answer")
    assert lost.closed


@pytest.mark.anyio
@pytest.mark.usefixtures("all_lost")
async def test_a_vm_list_that_resets_connections_gives_no_answer() -> None:
    with pytest.raises(ChivespanError) as failed:
        await HttpVmList("http://127.0.0.1:9").fetch()
    assert failed.value.kind is ErrorKind.NOT_READY
