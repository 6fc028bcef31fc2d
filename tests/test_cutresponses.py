"""Responses that a target cuts at any byte: no part of one may look complete."""

import anyio
import pytest

from chivespan.nodemessages import ItemState
from chivespan.responseparser import ResponseParser
from tests.rawtargets import CHUNKED, LAST_CHUNK, chunk, events, head, raw_site, target

pytestmark = pytest.mark.anyio

WHOLE = events(1, 2)
LENGTH = f"Content-Length: {len(WHOLE)}"
INTERIM = b"HTTP/1.1 100 Continue\r\nX-A: b\r\n\r\n"
RESPONSES = {
    "length": (head("200 OK", LENGTH), WHOLE),
    "chunks": (head("200 OK", CHUNKED), chunk(WHOLE) + LAST_CHUNK),
    "trailer": (head("200 OK", CHUNKED), chunk(WHOLE) + b"0\r\nX: y\r\n\r\n"),
    "interim": (INTERIM * 2 + head("200 OK", LENGTH), WHOLE),
    "empty": (head("200 OK", "Content-Length: 0"), b""),
}


# Guards against: a response that is cut in its head or body is taken for a whole one.
@pytest.mark.parametrize("case", RESPONSES)
@pytest.mark.parametrize("method", ["POST", "HEAD"])
def test_response_cut_at_any_byte_is_not_complete(case: str, method: str) -> None:
    response_head, body = RESPONSES[case]
    response = response_head if method == "HEAD" else response_head + body
    for size in range(len(response)):
        parser = ResponseParser(method)
        parser.feed(response[:size])
        assert not parser.end(), response[:size]
    parser.feed(response[size:])
    assert parser.is_complete


# Guards against: the head of a response without length and chunks is cut, and what has
# arrived of it is taken for a whole one.
def test_unframed_response_cut_in_its_head_is_not_complete() -> None:
    response = head()
    for size in range(len(response)):
        parser = ResponseParser("POST")
        parser.feed(response[:size])
        assert not parser.end(), response[:size]


AMBIGUOUS = {
    "length and chunks": head("200 OK", LENGTH, CHUNKED) + chunk(WHOLE) + LAST_CHUNK,
    "chunks and length": head("200 OK", CHUNKED, LENGTH) + chunk(WHOLE) + LAST_CHUNK,
    "two lengths": head("200 OK", LENGTH, "Content-Length: 3") + WHOLE,
    "negative length": head("200 OK", "Content-Length: -1") + WHOLE,
    "length with a sign": head("200 OK", "Content-Length: +3") + WHOLE,
    "length list": head("200 OK", "Content-Length: 3, 3") + WHOLE,
    "length without digits": head("200 OK", "Content-Length: ") + WHOLE,
    "other coding": head("200 OK", "Transfer-Encoding: gzip") + WHOLE,
    "chunks, then another coding": head("200 OK", "Transfer-Encoding: chunked, gzip")
    + WHOLE,
    "chunk size with a sign": head("200 OK", CHUNKED) + b"+1\r\na\r\n" + LAST_CHUNK,
    "switched protocol": head("101 Switch", "Upgrade: x", "Connection: upgrade"),
}


# Guards against: a response whose length is ambiguous is taken for a whole one.
@pytest.mark.parametrize("case", AMBIGUOUS)
def test_response_of_ambiguous_length_is_not_complete(case: str) -> None:
    parser = ResponseParser("POST")
    parser.feed(AMBIGUOUS[case])
    assert not parser.end()


CUTS = {
    "in the first line": head()[:9],
    "in a header": head()[:40],
    "before the end of the head": head("200 OK", LENGTH)[:-2],
    "behind an interim response": INTERIM,
    "short length": head("200 OK", LENGTH) + WHOLE[:-1],
    "no last chunk": head("200 OK", CHUNKED) + chunk(WHOLE),
    "in the last chunk": head("200 OK", CHUNKED) + chunk(WHOLE) + LAST_CHUNK[:-1],
    "length and chunks": AMBIGUOUS["length and chunks"],
    "two lengths": AMBIGUOUS["two lengths"],
}


# Guards against: a caller gets a short or empty body, framed as whole, of a response
# that its target cut.
@pytest.mark.parametrize("case", CUTS)
@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("kind", ["non_idempotent", "idempotent", "stream"])
async def test_cut_response_does_not_look_complete_to_its_caller(
    case: str, reset: bool, kind: str
) -> None:
    async with raw_site(
        target(CUTS[case], reset=reset), kind=kind, resumable=False
    ) as site:
        answer = await site.ask()
        assert answer.status in (200, 502)
        assert answer.complete == (answer.status == 502)
        assert "x-chivespan-server-seal" not in answer.headers or answer.status == 200
        assert (await site.run_item()).state is ItemState.broken


# Guards against: an answer on a connection that is closed behind it anyway looks
# complete where its target cut it.
@pytest.mark.parametrize(
    ("version", "line"),
    [("1.1", "Connection: close"), ("1.0", "X-A: b"), ("1.1", "X: y")],
)
@pytest.mark.parametrize(
    "framing", [CHUNKED, f"Content-Length: {len(WHOLE) + 9}", "X: y"]
)
async def test_cut_answer_shows_that_it_is_cut_on_every_kind_of_connection(
    version: str, line: str, framing: str
) -> None:
    body = chunk(WHOLE) if framing == CHUNKED else WHOLE
    cut = target(head("200 OK", framing), body, reset=framing == "X: y")
    async with raw_site(cut, kind="non_idempotent") as site:
        answer = await site.ask(line, version=version)
        assert (answer.status, answer.complete) == (200, False)
        assert answer.headers.keys() & {"content-length", "transfer-encoding"}


# Guards against: an answer that has no body by its method or status waits for one.
@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", 200), ("POST", 204), ("POST", 304)]
)
@pytest.mark.parametrize("kind", ["non_idempotent", "stream"])
async def test_answer_that_has_no_body_is_complete(
    method: str, status: int, kind: str
) -> None:
    length = [] if status == 204 else ["Content-Length: 5"]
    bodiless = target(head(f"{status} x", *length))
    async with raw_site(bodiless, kind=kind) as site:
        answer = await site.ask(method=method)
        assert (answer.status, answer.body, answer.complete) == (status, b"", True)


# An answer that isn't a stream may have neither length nor chunks: only a reset tells
# that it was cut.
@pytest.mark.parametrize("reset", [False, True])
async def test_unframed_answer_is_complete_unless_its_connection_is_reset(
    reset: bool,
) -> None:
    unframed = target(head(), b"body", reset=reset)
    async with raw_site(unframed, kind="non_idempotent") as site:
        answer = await site.ask()
        assert (answer.status, answer.complete) == (200, not reset)
        assert reset or answer.body == b"body"


# Guards against: a kept connection is closed, unannounced, behind an answer that has no
# body although its target states a length.
@pytest.mark.parametrize(("method", "status"), [("POST", 304), ("HEAD", 200)])
async def test_connection_is_kept_behind_an_answer_without_body(
    method: str, status: int
) -> None:
    bodiless = target(head(f"{status} x", "Content-Length: 5"))
    async with (
        raw_site(bodiless, kind="non_idempotent") as site,
        await anyio.connect_tcp(*site.front_address) as stream,
    ):
        for _ in range(2):
            await stream.send(site.request(method=method))
            with anyio.fail_after(2):
                assert b" %d " % status in await stream.receive()
            await anyio.sleep(0.05)
