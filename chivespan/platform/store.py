"""HTTP client of the platform's store: calls, record framing and responses."""

import struct
from collections.abc import Iterator, Sequence
from datetime import timedelta
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from chivespan.clock import MILLISECOND
from chivespan.decoding import decoding
from chivespan.errors import ChivespanError
from chivespan.exchange import NotSent, exchange
from chivespan.httpcall import Call
from chivespan.keyedstore import (
    KeyedPage,
    KeyedRecord,
    NewestPage,
    Partition,
    StoreEndMoved,
    StoreExpired,
    StoreOutcomeUnknown,
    StoreUnavailable,
)

T = TypeVar("T")

RESPONSE_TIMEOUT = timedelta(seconds=1.5)
CONNECT_TIMEOUT = timedelta(seconds=1)
# Allows for a full page over a link of low bandwidth.
BODY_TIMEOUT = timedelta(seconds=5)
READ_LIMIT_KB = 1024
# Allows for a page of the newest records, which is JSON with values in base64.
MAX_BODY_BYTES = 16 * 1024 * 1024
_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")
# The only statuses that guarantee that the call had no effect.
_NO_EFFECT_STATUSES = frozenset({400, 403, 404, 409, 413, 429, 503, 507})


class _Appended(msgspec.Struct):
    offset: int
    end: int


class _Moved(msgspec.Struct):
    end: int


class _NewestItem(msgspec.Struct):
    key: str
    # Decoded from base64.
    value: bytes


class _Newest(msgspec.Struct):
    items: list[_NewestItem]
    hasMore: bool  # noqa: N815
    end: int


class PlatformStore:
    """The store at one address; implements ``KeyedStore``.

    :param address: IP number and port.
    """

    def __init__(
        self, address: str, response_timeout: timedelta = RESPONSE_TIMEOUT
    ) -> None:
        self._address = address
        self._response_timeout = response_timeout

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        expected_end: int | None = None,
    ) -> int:
        """Append records; see ``KeyedStore.append``."""
        query = {"topic": partition.topic, "part": str(partition.number)}
        if expected_end is not None:
            query["asOf"] = str(expected_end)
        body = b"".join(_encode_record(record) for record in records)
        try:
            status, content = await self._call("POST", "/-/log-append", query, body)
        except NotSent as error:
            raise StoreUnavailable(error.message) from error
        except ChivespanError as error:
            raise StoreOutcomeUnknown(error.message) from error
        if status == HTTPStatus.OK:
            return _decode(content, _Appended).end
        if status == HTTPStatus.PRECONDITION_FAILED:
            raise StoreEndMoved(_decode(content, _Moved).end)
        if status in _NO_EFFECT_STATUSES:
            raise StoreUnavailable(f"append rejected with status {status}")
        raise StoreOutcomeUnknown(f"append returned unexpected status {status}")

    async def read(
        self, partition: Partition, start: int, wait: timedelta
    ) -> KeyedPage:
        """Read records; see ``KeyedStore.read``."""
        query = {
            "topic": partition.topic,
            "part": str(partition.number),
            "from": str(start),
            "maxKb": str(READ_LIMIT_KB),
            "waitMs": str(wait // MILLISECOND),
        }
        content = await self._get("/-/log-read", query, wait)
        with decoding("response of the store to a read", StoreUnavailable):
            end, _first = _BOUNDS.unpack_from(content)
            return KeyedPage(tuple(_decode_records(content, _BOUNDS.size)), end)

    async def newest(self, partition: Partition, after: str = "") -> NewestPage:
        """Read the newest record of each key; see ``KeyedStore.newest``."""
        query = {"topic": partition.topic, "part": str(partition.number)}
        if after:
            query["after"] = after
        content = await self._get("/-/log-newest", query, timedelta(0))
        try:
            page = _decode(content, _Newest)
        except StoreOutcomeUnknown as error:
            raise StoreUnavailable(error.message) from error
        records = tuple(KeyedRecord(item.key, item.value) for item in page.items)
        return NewestPage(records, page.end, page.hasMore)

    async def _get(self, path: str, query: dict[str, str], wait: timedelta) -> bytes:
        try:
            status, content = await self._call("GET", path, query, b"", wait)
        except ChivespanError as error:
            raise StoreUnavailable(error.message) from error
        if status == HTTPStatus.GONE:
            raise StoreExpired(f"{path} of {query}: records are no longer retained")
        if status != HTTPStatus.OK:
            raise StoreUnavailable(f"{path} returned status {status}")
        return content

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        wait: timedelta = timedelta(0),
    ) -> tuple[int, bytes]:
        call = Call(
            address=self._address,
            method=method,
            target=f"{path}?{urlencode(query)}".encode(),
            headers=[(b"host", self._address.encode())],
            body=body,
            head_timeout=wait + self._response_timeout,
            body_timeout=BODY_TIMEOUT,
            max_body_bytes=MAX_BODY_BYTES,
            connect_timeout=CONNECT_TIMEOUT,
        )
        async with exchange(call) as reply:
            return reply.status, await reply.body()


def _encode_record(record: KeyedRecord) -> bytes:
    """Return the encoding of a record in a keyed topic.

    >>> _encode_record(KeyedRecord("ab", b"x"))
    b'\\x00\\x00\\x00\\x04\\x02abx'
    """
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.value
    return _LENGTH.pack(len(content)) + content


def _decode_records(content: bytes, start: int) -> Iterator[KeyedRecord]:
    """Yield the records encoded in ``content`` from position ``start``."""
    while start < len(content):
        (length,) = _LENGTH.unpack_from(content, start)
        start += _LENGTH.size
        record = content[start : start + length]
        start += length
        key_end = 1 + record[0] if record else 0
        # A key that isn't UTF-8 is another writer's, and no reason to lose the rest.
        key = record[1:key_end].decode(errors="backslashreplace")
        yield KeyedRecord(key, record[key_end:])


def _decode(content: bytes, cls: type[T]) -> T:
    with decoding("response of the store", StoreOutcomeUnknown):
        return msgspec.json.decode(content, type=cls)
