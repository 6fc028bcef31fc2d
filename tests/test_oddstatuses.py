"""Answers whose status isn't one: a server in trouble sends 000 (issue 48, MIXED)."""

from datetime import timedelta

import pytest

from chivespan.entryclient import EntryClient
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.httplog import HttpLog
from chivespan.keyedstore import Partition, StoreUnavailable
from chivespan.nodemessages import ItemState
from chivespan.platform.store import PlatformStore
from chivespan.responseparser import ResponseParser
from chivespan.targethttp import HttpRequest, TargetHttp
from tests.earlyservers import server
from tests.rawtargets import RawTarget, events, head, raw_site

pytestmark = pytest.mark.anyio
SECOND = timedelta(seconds=1)
PART = events(1)
PARTITION = Partition("keyed.test")


# Guards against: a status below 100 is taken for that of an interim response, and what
# follows it on the connection for the answer.
@pytest.mark.parametrize("status", ["000 x", "001 x", "099 x"])
@pytest.mark.parametrize("line", ["X: y", "Content-Length: 0"])
@pytest.mark.parametrize("kind", ["non_idempotent", "idempotent", "stream"])
async def test_status_below_100_and_what_follows_it_are_no_answer(
    status: str, line: str, kind: str
) -> None:
    follows = head("200 OK", f"Content-Length: {len(PART)}") + PART
    async with raw_site(
        RawTarget([[head(status, line) + follows]]), kind=kind, resumable=False
    ) as site:
        answer = await site.ask()
        assert answer.status == 502
        assert "x-chivespan-server-seal" not in answer.headers
        assert (await site.run_item()).state is ItemState.broken


async def test_interim_responses_are_skipped() -> None:
    parser = ResponseParser("POST")
    parser.feed(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n")
    parser.feed(head("200 OK", "Content-Length: 0"))
    assert (parser.status, parser.is_complete) == (200, True)


@pytest.mark.parametrize("status", [b"000 x", b"099 x", b"0 x", b"20 x", b"2000 x"])
async def test_odd_status_is_an_error_for_all_other_clients(status: bytes) -> None:
    follows = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
    answer = b"HTTP/1.1 %b\r\nContent-Length: 0\r\n\r\n%b" % (status, follows)
    async with server(answer) as address:
        with pytest.raises(StoreUnavailable):
            await PlatformStore(address).newest(PARTITION)
        async with TargetHttp() as http:
            with pytest.raises(ChivespanError) as failed:
                await http.call(HttpRequest(address, "GET", "/"), SECOND)
            assert failed.value.kind is ErrorKind.TARGET_FAILED
        with pytest.raises(ChivespanError) as failed:
            await HttpLog(f"http://{address}").bounds("s")
        assert failed.value.kind is ErrorKind.LOG_UNAVAILABLE
        with pytest.raises(ChivespanError) as failed:
            await EntryClient(address, "k").get("/", dict)
        assert failed.value.kind is ErrorKind.PROTOCOL
