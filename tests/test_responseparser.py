"""Answers that end early, late or not at all, come in pieces, or are none."""

import pytest

from chivespan.responseparser import ResponseParser

HEAD = b"HTTP/1.1 200 OK\r\nX-A: b\r\n"
LENGTH = HEAD + b"content-length: 3\r\n\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
OPEN = HEAD + b"\r\n"


def parsed(received: bytes, size: int, method: str = "POST") -> ResponseParser:
    """Return a parser that was given bytes in pieces of a size."""
    parser = ResponseParser(method)
    for start in range(0, len(received), size):
        parser.feed(received[start : start + size])
    return parser


@pytest.mark.parametrize("size", [1, 7, 10_000])
@pytest.mark.parametrize(
    ("received", "body"),
    [
        (LENGTH + b"abc", b"abc"),
        (CHUNKED + b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", b"abc"),
        (CHUNKED + b"0\r\nx-late: 1\r\n\r\n", b""),
        (HEAD.replace(b"200 OK", b"204 None") + b"\r\n", b""),
        (b"HTTP/1.1 100 Continue\r\nx: y\r\n\r\n" * 3 + LENGTH + b"abc", b"abc"),
    ],
)
def test_whole_answer_in_pieces(received: bytes, body: bytes, size: int) -> None:
    parser = parsed(received, size)
    assert parser.is_complete
    assert parser.pop_body() == body
    assert parser.parse_error is None
    assert parser.headers[0] == (b"X-A", b"b")


@pytest.mark.parametrize("received", [LENGTH + b"ab", CHUNKED + b"3\r\nabc\r\n", HEAD])
def test_answer_that_ends_early_is_not_whole(received: bytes) -> None:
    parser = parsed(received, 5)
    assert not parser.is_complete
    assert not parser.end()


def test_answer_without_length_ends_with_its_connection() -> None:
    parser = parsed(OPEN + b"abc", 5)
    assert not parser.is_complete
    assert parser.end()
    assert parser.pop_body() == b"abc"


def test_answer_to_head_has_no_body() -> None:
    assert parsed(LENGTH, 5, "HEAD").is_complete


@pytest.mark.parametrize(
    "more", [b"xyz", LENGTH + b"def", b"HTTP/1.1 500 no\r\n\r\n", b"\x00\xff"]
)
def test_bytes_behind_a_whole_answer_belong_to_no_request(more: bytes) -> None:
    """A runner in trouble sends more bytes after a complete answer."""
    parser = parsed(LENGTH + b"abc" + more, 1000)
    assert parser.is_complete
    assert parser.parse_error is None
    assert parser.status == 200
    assert parser.pop_body() == b"abc"


@pytest.mark.parametrize(
    "received",
    [
        b"\x16\x03\x01",
        b"SSH-2.0-x\r\n",
        CHUNKED + b"zz\r\n",
        HEAD + b"content-length: x\r\n\r\n",
        HEAD + b"content-length: 1\r\ncontent-length: 2\r\n\r\n",
        b"HTTP/1.1 101 Switch\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
    ],
)
def test_bytes_that_are_no_answer_fail(received: bytes) -> None:
    parser = parsed(received, 1000)
    assert parser.parse_error is not None
    assert not parser.is_complete


def test_body_before_the_bytes_that_break_it_is_kept() -> None:
    parser = parsed(CHUNKED + b"3\r\nabc\r\nzz", 1000)
    assert parser.pop_body() == b"abc"
    assert parser.parse_error is not None
