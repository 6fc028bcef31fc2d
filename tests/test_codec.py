"""Tests encoding of messages between nodes, compression, and invalid frames."""

import subprocess
import sys
import zlib

import pytest

from chivespan import codec
from chivespan.codec import decode_message, encode_message
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.nodemessages import BatchReply


def reply(body: bytes) -> BatchReply:
    return BatchReply(question=1, kind="", body=body, retry_after_ms=0)


@pytest.mark.parametrize("size", [0, 1, 100, 100_000])
def test_message_of_any_size_is_decoded_unchanged(size: int) -> None:
    message = reply(b"slot 7 is free\n" * size)
    assert decode_message(encode_message(message)) == message


def test_repetitive_text_is_compressed() -> None:
    text = b"The pickup slot at gate 7 is confirmed.\n" * 250
    assert len(encode_message(reply(text))) < len(text) / 2


@pytest.mark.parametrize(
    "frame",
    [b"", b"\x78", zlib.compress(b"x" * 2000)[:-3], zlib.compress(b"no CBOR list")],
)
def test_invalid_frame_is_a_protocol_error(frame: bytes) -> None:
    with pytest.raises(ChivespanError) as caught:
        decode_message(frame)
    assert caught.value.kind is ErrorKind.PROTOCOL


def test_frame_that_decompresses_beyond_the_limit_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    frame = encode_message(reply(bytes(100_000)))
    monkeypatch.setattr(codec, "MAX_DECOMPRESSED_BYTES", 1000)
    with pytest.raises(ChivespanError, match="too large"):
        decode_message(frame)


# Guards against: each of hundreds of nodes that start together spends a tenth of its
# startup on message classes that it never uses.
def test_node_starts_without_the_messages_of_other_programs() -> None:
    code = "import sys, chivespan.nodeprocess; print(*sys.modules)"
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    loaded = set(result.stdout.split())
    assert "chivespan.linkmessages" in loaded
    assert not loaded & {"chivespan.messages", "chivespan.jobmessages"}
