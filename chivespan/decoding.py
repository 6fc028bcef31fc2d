"""Turns whatever can go wrong while foreign data is decoded into one typed error.

Decoders raise more than their own errors: a number too large for a duration, a document
nested too deeply for the stack, a key that is missing. One odd document must cost that
document, not the task that reads it.
"""

import struct
import zlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import TypeAlias

import cbor2
import msgspec

from chivespan.errors import ChivespanError, ErrorKind

DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    msgspec.MsgspecError,
    struct.error,
    zlib.error,
    ArithmeticError,
    AttributeError,
    LookupError,
    MemoryError,
    RecursionError,
    TypeError,
    ValueError,
)
# A part of the reason is enough to find the cause, and lines stay short.
MAX_REASON_CHARACTERS = 300


ErrorFactory: TypeAlias = Callable[[str], ChivespanError]


def error_of(kind: ErrorKind) -> ErrorFactory:
    """Return what makes errors of one kind from their messages."""
    return partial(ChivespanError, kind)


INVALID_DOCUMENT = error_of(ErrorKind.INVALID_DOCUMENT)


@contextmanager
def decoding(what: str, error: ErrorFactory = INVALID_DOCUMENT) -> Iterator[None]:
    """Raise a typed error in place of any error of the block's decoders.

    :param what: what is decoded, for the message.
    :param error: makes the error; by default of kind ``invalid_document``.

    >>> with decoding("number"):
    ...     int("x")
    Traceback (most recent call last):
        ...
    chivespan.errors.ChivespanError: ...
    """
    try:
        yield
    except DECODE_ERRORS as caught:
        reason = f"invalid {what}: {caught!r}"[:MAX_REASON_CHARACTERS]
        raise error(reason) from caught


def checked(name: str, value: float, least: float, most: float) -> None:
    """Check that a number is within its range.

    :raises ValueError: when it isn't, or is no number.
    """
    if not least <= value <= most:
        raise ValueError(f"{name} is not from {least} to {most}")
