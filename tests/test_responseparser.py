"""Parsing of HTTP responses that are split, incomplete, followed by data or invalid."""

import pytest

from chivespan.responseparser import ResponseParser

HEAD = b"HTTP/1.1 200 OK\r\nX-A: b\r\n"
LENGTH = HEAD + b"content-length: 3\r\n\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
UNDELIMITED = HEAD + b"\r\n"


def parse(received: bytes, size: int, method: str = "POST") -> ResponseParser:
    """Return a parser that was fed with bytes in parts of a size."""
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
def test_complete_response_in_parts(received: bytes, body: bytes, size: int) -> None:
    parser = parse(received, size)
    assert parser.is_complete
    assert parser.pop_body() == body
    assert parser.parse_error is None
    assert parser.headers[0] == (b"X-A", b"b")


@pytest.mark.parametrize("received", [LENGTH + b"ab", CHUNKED + b"3\r\nabc\r\n", HEAD])
def test_truncated_response_is_not_complete(received: bytes) -> None:
    parser = parse(received, 5)
    assert not parser.is_complete
    assert not parser.end()


def test_response_without_length_ends_with_its_connection() -> None:
    parser = parse(UNDELIMITED + b"abc", 5)
    assert not parser.is_complete
    assert parser.end()
    assert parser.pop_body() == b"abc"


def test_response_to_head_has_no_body() -> None:
    assert parse(LENGTH, 5, "HEAD").is_complete


@pytest.mark.parametrize(
    "extra", [b"xyz", LENGTH + b"def", b"HTTP/1.1 500 no\r\n\r\n", b"\x00\xff"]
)
def test_bytes_after_a_complete_response_are_ignored(extra: bytes) -> None:
    """A faulty runner sent more bytes after a complete response."""
    parser = parse(LENGTH + b"abc" + extra, 1000)
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
def test_invalid_bytes_are_an_error(received: bytes) -> None:
    parser = parse(received, 1000)
    assert parser.parse_error is not None
    assert not parser.is_complete


def test_body_before_invalid_bytes_is_kept() -> None:
    parser = parse(CHUNKED + b"3\r\nabc\r\nzz", 1000)
    assert parser.pop_body() == b"abc"
    assert parser.parse_error is not None
