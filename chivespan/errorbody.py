"""Conversion of errors to the typed bodies returned to callers."""

from datetime import timedelta
from math import ceil

import msgspec

from chivespan.erroranswer import ErrorAnswer, ErrorBody, HeldShare
from chivespan.errors import ChivespanError


def error_answer(error: ChivespanError, request_id: str) -> ErrorAnswer:
    """Return the typed body that describes an error."""
    retry_after_ms = None
    if error.retry_after is not None:
        retry_after_ms = ceil(error.retry_after / timedelta(milliseconds=1))
    shares = [
        HeldShare(
            owner=share.owner, work_class=share.work_class.value, slots=share.slots
        )
        for share in error.shares
    ]
    return ErrorAnswer(
        error=ErrorBody(
            code=error.kind.value,
            message=error.message,
            request_id=request_id,
            was_run="unknown" if error.properties.may_have_run else "no",
            retry_after_ms=retry_after_ms,
            shares=shares,
        )
    )


def error_body(error: ChivespanError, request_id: str) -> bytes:
    """Return the JSON body that describes an error."""
    return msgspec.json.encode(error_answer(error, request_id))
