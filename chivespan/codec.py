"""CBOR encoding and validated decoding of the schema's data classes."""

import importlib
import inspect
import zlib
from dataclasses import is_dataclass
from types import ModuleType
from typing import Any, TypeVar

import cbor2
import msgspec

from chivespan import linkmessages, nodemessages
from chivespan.decoding import decoding, error_of
from chivespan.errors import ErrorKind
from chivespan.positional import PositionalClasses

PROTOCOL_VERSION = 4
# Smaller frames gain little from compression.
MIN_COMPRESSED_BYTES = 1000
COMPRESSION_LEVEL = 1
# First byte of every zlib stream. A CBOR frame never starts with it: it is an array.
_ZLIB_FIRST_BYTE = 0x78
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024

T = TypeVar("T")


def encode(value: object) -> bytes:
    """Return a schema object encoded as CBOR.

    >>> load = nodemessages.TargetLoad(target_id="t", online=1, batch=0)
    >>> encode(load).hex()
    'a3697461726765745f69646174666f6e6c696e650165626174636800'
    """
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=(bytes,)))


def decode(data: bytes, cls: type[T]) -> T:
    """Decode an object of class ``cls`` from CBOR.

    :raises ChivespanError: ``protocol`` if the data does not encode such an object.
    """
    with decoding(cls.__name__, error_of(ErrorKind.PROTOCOL)):
        return msgspec.convert(cbor2.loads(data), cls, builtin_types=(bytes,))


def data_classes(module: ModuleType) -> dict[str, type[Any]]:
    """Return the data classes that a generated module defines, by name."""
    members = inspect.getmembers(module, inspect.isclass)
    return {
        name: cls
        for name, cls in members
        if cls.__module__ == module.__name__ and is_dataclass(cls)
    }


# Imported with the first frame that needs them. Creating their classes takes a
# noticeable part of the startup time of a node of the users' platform, which never
# uses them.
_LAZY_MODULES = ("chivespan.messages", "chivespan.jobmessages")
_message_classes = data_classes(linkmessages) | data_classes(nodemessages)


def message_class(name: str) -> type[Any]:
    """Return the message class of a name.

    :raises KeyError: if there is none.
    """
    if name not in _message_classes:
        for module in _LAZY_MODULES:
            _message_classes.update(data_classes(importlib.import_module(module)))
    return _message_classes[name]


_POSITIONAL = PositionalClasses(linkmessages.Hello)


def encode_message(message: object) -> bytes:
    """Encode a message as a frame: its class name and its fields by position.

    A Hello encodes its fields by name, since it carries the protocol version and must
    be readable by any version. Large frames, which mostly carry text, are compressed.
    """
    frame_class = _POSITIONAL.get(type(message))
    fields = msgspec.convert(message, frame_class, from_attributes=True)
    body = msgspec.to_builtins(fields, builtin_types=(bytes,))
    frame = cbor2.dumps([type(message).__name__, body])
    if len(frame) < MIN_COMPRESSED_BYTES:
        return frame
    return zlib.compress(frame, COMPRESSION_LEVEL)


def decode_message(frame: bytes) -> object:
    """Decode the message of a frame.

    :raises ChivespanError: ``protocol`` if it is not a known message.

    >>> load = nodemessages.TargetLoad(target_id="t", online=1, batch=0)
    >>> decode_message(encode_message(load))
    TargetLoad(target_id='t', online=1, batch=0)
    """
    with decoding("frame", error_of(ErrorKind.PROTOCOL)):
        name, body = cbor2.loads(_decompressed(frame))
        cls = message_class(name)
        fields = msgspec.convert(body, _POSITIONAL.get(cls), builtin_types=(bytes,))
        return msgspec.convert(fields, cls, from_attributes=True)


def _decompressed(frame: bytes) -> bytes:
    """Return the CBOR content of a frame, decompressed if needed.

    :raises ValueError: if the content is truncated or larger than any message.
    """
    if not frame or frame[0] != _ZLIB_FIRST_BYTE:
        return frame
    stream = zlib.decompressobj()
    content = stream.decompress(frame, MAX_DECOMPRESSED_BYTES)
    if not stream.eof:
        raise ValueError("compressed frame is truncated or too large")
    return content
