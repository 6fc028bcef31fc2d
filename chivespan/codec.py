"""CBOR encoding and checked decoding of the schema's data classes."""

import inspect
from types import ModuleType
from typing import Any, TypeVar

import cbor2
import msgspec

from chivespan import jobmessages, messages, records
from chivespan.errors import ChivespanError, ErrorKind

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


def _data_classes(module: ModuleType) -> dict[str, type[Any]]:
    members = inspect.getmembers(module, inspect.isclass)
    return {name: cls for name, cls in members if cls.__module__ == module.__name__}


MESSAGE_CLASSES = _data_classes(messages) | _data_classes(jobmessages)
RECORD_CLASSES = _data_classes(records)


def encode_message(message: object) -> bytes:
    """Return the frame of a message: its class name and its fields."""
    body = msgspec.to_builtins(message, builtin_types=(bytes,))
    return cbor2.dumps([type(message).__name__, body])


def decode_message(frame: bytes) -> object:
    """Return the message of a frame.

    :raises ChivespanError: ``protocol`` when it is no known message.

    >>> decode_message(encode_message(messages.GrantAbandon(request_id="r1")))
    GrantAbandon(request_id='r1')
    """
    try:
        name, body = cbor2.loads(frame)
        return msgspec.convert(body, MESSAGE_CLASSES[name], builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, ValueError, TypeError, KeyError) as error:
        raise ChivespanError(ErrorKind.PROTOCOL, f"bad frame: {error}") from error
