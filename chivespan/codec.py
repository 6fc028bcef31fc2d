"""CBOR encoding and checked decoding of the schema's data classes."""

import importlib
import inspect
import zlib
from dataclasses import is_dataclass
from types import ModuleType
from typing import Any, TypeVar

import cbor2
import msgspec

from chivespan import messages, nodemessages
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.positional import PositionalClasses

PROTOCOL_VERSION = 4
# Smaller frames gain little from compression.
COMPRESSED_FROM_BYTES = 1000
COMPRESSION_LEVEL = 1
# Every zlib stream begins with this byte, and no frame of CBOR does: it is a list.
_ZLIB_MARK = 0x78
DECOMPRESSED_LIMIT_BYTES = 64 * 1024 * 1024

T = TypeVar("T")


def encode(value: object) -> bytes:
    """Return the CBOR of a schema object.

    >>> encode(messages.GrantAbandon(request_id="r1")).hex()
    'a16a726571756573745f6964627231'
    """
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=(bytes,)))


def decode(data: bytes, cls: type[T]) -> T:
    """Return the object of class ``cls`` that ``data`` holds.

    :raises ChivespanError: ``protocol`` when the data is not such an object.
    """
    try:
        return msgspec.convert(cbor2.loads(data), cls, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError) as error:
        reason = f"not a {cls.__name__}: {error}"
        raise ChivespanError(ErrorKind.PROTOCOL, reason) from error


def data_classes(module: ModuleType) -> dict[str, type[Any]]:
    """Return the data classes that a generated module defines, by name."""
    members = inspect.getmembers(module, inspect.isclass)
    return {
        name: cls
        for name, cls in members
        if cls.__module__ == module.__name__ and is_dataclass(cls)
    }


# Loaded with the first frame that needs them: making their classes takes a node of the
# users' platform, which says none of them, a noticeable part of its start.
_LATER_MODULES = ("chivespan.jobmessages",)
_known = data_classes(messages) | data_classes(nodemessages)


def message_class(name: str) -> type[Any]:
    """Return the class of messages of that name.

    :raises KeyError: when there is none.
    """
    if name not in _known:
        for module in _LATER_MODULES:
            _known.update(data_classes(importlib.import_module(module)))
    return _known[name]


_POSITIONAL = PositionalClasses(messages.Hello)


def encode_message(message: object) -> bytes:
    """Return the frame of a message: its class name and its fields by position.

    A Hello has its fields by name, since it says which protocol the sender speaks.
    Large frames, which mostly carry text, are compressed.
    """
    frame_class = _POSITIONAL.of(type(message))
    fields = msgspec.convert(message, frame_class, from_attributes=True)
    body = msgspec.to_builtins(fields, builtin_types=(bytes,))
    frame = cbor2.dumps([type(message).__name__, body])
    if len(frame) < COMPRESSED_FROM_BYTES:
        return frame
    return zlib.compress(frame, COMPRESSION_LEVEL)


def decode_message(frame: bytes) -> object:
    """Return the message of a frame.

    :raises ChivespanError: ``protocol`` when it is no known message.

    >>> decode_message(encode_message(messages.GrantAbandon(request_id="r1")))
    GrantAbandon(request_id='r1')
    """
    try:
        name, body = cbor2.loads(_decompressed(frame))
        cls = message_class(name)
        fields = msgspec.convert(body, _POSITIONAL.of(cls), builtin_types=(bytes,))
        return msgspec.convert(fields, cls, from_attributes=True)
    except (
        cbor2.CBORDecodeError,
        zlib.error,
        ValueError,
        TypeError,
        KeyError,
    ) as error:
        raise ChivespanError(ErrorKind.PROTOCOL, f"bad frame: {error}") from error


def _decompressed(frame: bytes) -> bytes:
    """Return the CBOR of a frame.

    :raises ValueError: when it is larger than any message.
    """
    if not frame or frame[0] != _ZLIB_MARK:
        return frame
    stream = zlib.decompressobj()
    content = stream.decompress(frame, DECOMPRESSED_LIMIT_BYTES)
    if not stream.eof:
        raise ValueError("a compressed frame that is cut off or too large")
    return content
