"""Servers that break off an answer while the request is still written (MIXED).

They answer a long request at once, with neither length nor chunks, send a part of the
body, and close or reset the connection (issue 48).
"""

from dataclasses import dataclass
from datetime import timedelta
from types import SimpleNamespace
from typing import Any

import pytest
from anyio.abc import SocketStream

from chivespan import sendqueue
from chivespan.clock import MILLISECOND
from chivespan.entryclient import EntryClient
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.exchange import exchange
from chivespan.httpcall import Call
from chivespan.httplog import HttpLog
from chivespan.keyedstore import (
    KeyedRecord,
    Partition,
    StoreOutcomeUnknown,
)
from chivespan.nodemessages import ItemState
from chivespan.platform.store import PlatformStore
from chivespan.sendqueue import is_all_taken
from chivespan.targethttp import HttpRequest, TargetHttp
from tests.earlyservers import (
    CLOSED_THEN_RESET,
    ENDS,
    LONG,
    RESET,
    break_off,
    limit_reading,
    server,
)
from tests.rawtargets import RawTarget, events, head, raw_site

pytestmark = pytest.mark.anyio
SECOND = timedelta(seconds=1)
PART = events(1)
BODY = b"a part of the bo"
PARTITION = Partition("keyed.test")


@dataclass
class EarlyTarget(RawTarget):
    """A target that answers without having read the body of the request."""

    end: str = RESET

    async def serve(self, stream: SocketStream) -> None:
        limit_reading(stream)
        await super().serve(stream)

    async def _send(self, stream: SocketStream, parts: Any) -> None:
        await stream.send(b"".join(parts))
        await break_off(stream, self.end)


def early(end: str, *parts: bytes) -> EarlyTarget:
    return EarlyTarget([parts], end=end)


async def call_for(address: str, body: bytes) -> bytes:
    call = Call(address, "POST", b"/", [(b"host", b"h")], body, SECOND, 3 * SECOND)
    async with exchange(call) as reply:
        return await reply.body()


# Guards against: a caller gets the part as the whole answer.
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("kind", ["non_idempotent", "idempotent", "stream"])
async def test_early_part_of_an_answer_does_not_look_complete(
    kind: str, end: str
) -> None:
    target = early(end, head(), PART)
    async with raw_site(target, kind=kind, resumable=False) as site:
        answer = await site.ask(content=LONG)
        assert (answer.status, answer.complete) == (200, False)


# Guards against: an item is completed with the part.
@pytest.mark.parametrize("end", ENDS)
async def test_early_part_of_an_answer_completes_no_item(end: str) -> None:
    async with raw_site(early(end, head(), PART)) as site:
        assert (await site.run_item(body=LONG)).state is ItemState.broken


# Guards against: a resumable stream isn't continued, as its part is taken for all.
async def test_stream_that_began_too_early_is_continued() -> None:
    length = f"Content-Length: {len(events(2))}"
    rest = RawTarget([[head("200 OK", length), events(2)]])
    first = early(CLOSED_THEN_RESET, head(), PART)
    async with raw_site(first, rest) as site:
        answer = await site.ask(content=LONG)
        assert (answer.body, answer.complete) == (events(1, 2), True)


# Guards against: an answer that ends in order is thrown away, only because its server
# began it before it had read the whole request.
@pytest.mark.parametrize("size", [0, 200, len(LONG)])
async def test_early_answer_of_a_server_that_takes_the_request_is_whole(
    size: int,
) -> None:
    async with server(head() + BODY) as address:
        assert await call_for(address, LONG[:size]) == BODY


# Guards against: the store's part of an answer is taken for that to an append.
@pytest.mark.parametrize("end", ENDS)
async def test_early_answer_of_the_store_confirms_nothing(end: str) -> None:
    answer = b'HTTP/1.1 200 OK\r\n\r\n{"offset":1,"end":2}'
    record = KeyedRecord("k", LONG)
    async with server(answer, end) as address:
        with pytest.raises(StoreOutcomeUnknown):
            await PlatformStore(address).append(PARTITION, [record])


# Guards against: the same at the clients that use httpcore: of targets, the log and
# operators.
@pytest.mark.parametrize("end", ENDS)
async def test_early_answer_is_not_complete_for_other_clients(end: str) -> None:
    async with server(b"HTTP/1.1 200 OK\r\n\r\n{}", end) as address:
        async with TargetHttp() as http:
            for fresh in (True, False):
                request = HttpRequest(address, "POST", "/", body=LONG, fresh=fresh)
                with pytest.raises(ChivespanError) as failed:
                    await http.call(request, 3 * SECOND)
                assert failed.value.kind is ErrorKind.STREAM_BROKEN
        with pytest.raises(ChivespanError) as failed:
            await HttpLog(f"http://{address}").append("s", [LONG])
        assert failed.value.kind is ErrorKind.LOG_UNAVAILABLE
        with pytest.raises(ChivespanError) as failed:
            await EntryClient(address, "k").post("/", dict, LONG.decode())
        assert failed.value.kind is ErrorKind.TARGET_UNREACHABLE


async def test_connection_that_is_lost_has_not_taken_all() -> None:
    def getsockopt(*_: int) -> int:
        raise OSError("closed")

    lost = SimpleNamespace(fileno=lambda: -1, getsockopt=getsockopt)
    assert not await is_all_taken(None)
    assert not await is_all_taken(lost)


# Guards against: answers without a length are thrown away where the kernel doesn't tell
# how much of a request has been taken.
async def test_connection_that_tells_nothing_counts_as_whole() -> None:
    silent = SimpleNamespace(fileno=lambda: -1, getsockopt=lambda *_: 0)
    assert await is_all_taken(silent)


# Guards against: a long request that its server takes slowly, but does take, counts as
# broken off.
async def test_slow_server_has_time_while_it_takes_bytes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    left = list(range(40, -1, -1))
    monkeypatch.setattr(sendqueue, "STALL_TIME", 50 * MILLISECOND)
    monkeypatch.setattr(sendqueue, "_unacknowledged_bytes", lambda _: left.pop(0))
    silent = SimpleNamespace(fileno=lambda: -1, getsockopt=lambda *_: 0)
    assert await is_all_taken(silent)
