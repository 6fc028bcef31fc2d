"""Events that arrive just as a paused stream is handed over to another target."""

import time
from datetime import timedelta
from typing import cast

import anyio
import anyio.lowlevel
import pytest
from anyio.abc import SocketStream

from chivespan.callerrequest import Responder
from chivespan.clock import SystemClock
from chivespan.eventstream import EventOrder, EventSplitter
from chivespan.exchange import Reply, _Reader
from chivespan.httpcall import Call
from chivespan.responserelay import ResponseRelay
from chivespan.streamhandover import Handover

pytestmark = pytest.mark.anyio

SECOND = timedelta(seconds=1)
GAP = timedelta(milliseconds=100)
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
EVENT = b"id: 1\ndata: x\n\n"


class PausedReply:
    """A paused stream that sends an event when it is told to."""

    def __init__(self) -> None:
        self.goes_on = anyio.Event()

    async def next_chunk(self) -> bytes:
        await self.goes_on.wait()
        return EVENT

    async def close(self) -> None:
        await anyio.lowlevel.checkpoint()


# Guards against: an event is lost that arrives at the moment at which the other target
# accepts the stream.
async def test_event_that_arrives_as_the_other_target_accepts_is_kept() -> None:
    paused = PausedReply()
    head = anyio.Event()
    splitter = EventSplitter(EventOrder.CONSECUTIVE)
    handover = Handover(cast(Reply, paused), splitter, lambda reason: None)

    async def attempt() -> None:
        await head.wait()
        await handover.accept()

    async def send_both() -> None:
        await anyio.sleep(0.01)
        paused.goes_on.set()
        head.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_both)
        await handover.run(attempt)
    assert handover.events == EVENT
    assert not handover.paused_given_up


class LateStream:
    """A connection whose data arrives as the time limit of the read expires."""

    def __init__(self) -> None:
        self.arrived = anyio.Event()

    async def receive(self, _size: int) -> bytes:
        await self.arrived.wait()
        return EVENT


class SlowResponder:
    """A caller that has to read before more can be written."""

    def __init__(self) -> None:
        self.written = b""

    async def write(self, events: bytes) -> None:
        await anyio.sleep(0.05)
        self.written += events


def hold_up() -> None:
    """Keep the event loop busy until the time limit of a read has expired."""
    time.sleep(GAP.total_seconds())


# Guards against: an event is lost whose write to a slow caller is cut by a pause that
# ended in the same moment.
async def test_event_whose_write_is_cut_by_a_pause_is_written_all_the_same() -> None:
    stream, responder = LateStream(), SlowResponder()
    call = Call("127.0.0.1:1", "GET", b"/", [], b"", SECOND, SECOND)
    handed_over: list[bytes] = []

    async def hand_over() -> bool:
        handed_over.append(responder.written)
        return True

    async def delay_the_loop() -> None:
        await anyio.sleep(GAP.total_seconds() / 2)
        stream.arrived.set()
        hold_up()

    with anyio.CancelScope() as scope:
        reader = _Reader(call, cast(SocketStream, stream), scope)
        reader._deadline = anyio.current_time() + 5
        reader.response.feed(HEAD)
        relay = ResponseRelay(
            Reply(200, [], reader),
            cast(Responder, responder),
            EventSplitter(EventOrder.CONSECUTIVE),
            SystemClock(),
            lambda: None,
            GAP,
            lambda: True,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(delay_the_loop)
            await relay.pass_body(True, hand_over)
    assert handed_over == [EVENT]
