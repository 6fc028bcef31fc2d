"""Tests that invalid requests get specific errors and do not stop the entry."""

import httpcore
import msgspec
import pytest

from chivespan.erroranswer import ErrorAnswer, ErrorBody
from tests.callers import MODEL
from tests.faults.rig import OWNER_KEY, SETTINGS, OnlineRig, online_rig

pytestmark = pytest.mark.anyio


async def send_invalid(
    rig: OnlineRig, content: bytes, key: str = OWNER_KEY
) -> ErrorBody:
    async with httpcore.AsyncConnectionPool() as pool:
        answer = await pool.request(
            "POST",
            f"http://{rig.caller.address}/v1/completions",
            headers=[("authorization", f"Bearer {key}")],
            content=content,
        )
    return msgspec.json.decode(answer.content, type=ErrorAnswer).error


async def test_invalid_input_gets_specific_error_and_entry_keeps_serving() -> None:
    too_large = b'{"prompt": "' + b"x" * SETTINGS.body_limit_bytes + b'"}'
    unknown_model = msgspec.json.encode({"model": "nobody's", "prompt": "p"})
    no_tokens = msgspec.json.encode({"model": MODEL, "prompt": "p", "max_tokens": 0})
    async with online_rig() as rig:
        errors = [
            await send_invalid(rig, too_large),
            await send_invalid(rig, b"{"),
            await send_invalid(rig, b'{"model": "m", "prompt": "p", "promt": 1}'),
            await send_invalid(rig, b'{"model": "m"}'),
            await send_invalid(rig, unknown_model),
            await send_invalid(rig, no_tokens),
            await send_invalid(rig, unknown_model, key="nobody's"),
        ]
        assert await rig.stream() == "done"
        rig.check()
    assert [error.code for error in errors] == [
        "body_too_large",
        "bad_request",
        "unknown_field",
        "bad_request",
        "unknown_model",
        "bad_request",
        "unauthenticated",
    ]
    assert {error.was_run for error in errors} == {"no"}
    assert str(SETTINGS.body_limit_bytes) in errors[0].message
    assert "$.promt" in errors[2].message
    assert "$.max_tokens" in errors[5].message
