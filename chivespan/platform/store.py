"""The client of the platform's store: its calls, record framing and answers."""

import struct
from collections.abc import Iterator, Sequence
from datetime import timedelta
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from chivespan.clock import MILLISECOND
from chivespan.errors import ChivespanError
from chivespan.exchange import Call, NotSent, exchange
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

ANSWER_TIMEOUT = timedelta(seconds=1.5)
CONNECT_TIMEOUT = timedelta(seconds=1)
# A whole page takes its time on a narrow link.
BODY_TIMEOUT = timedelta(seconds=5)
READ_LIMIT_KB = 1024
# Of one answer: a page of records, in base64 and JSON where they are the newest.
MAX_BODY_BYTES = 16 * 1024 * 1024
_LENGTH = struct.Struct(">I")
_BOUNDS = struct.Struct(">QQ")
# The store says of these, and of no other, that it has done nothing.
_NOTHING_DONE = frozenset({400, 403, 404, 409, 413, 429, 503, 507})


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
        self, address: str, answer_timeout: timedelta = ANSWER_TIMEOUT
    ) -> None:
        self._address = address
        self._answer_timeout = answer_timeout

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        expected_end: int | None = None,
    ) -> int:
        """Append records; see ``KeyedStore``."""
        query = {"topic": partition.topic, "part": str(partition.number)}
        if expected_end is not None:
            query["asOf"] = str(expected_end)
        body = b"".join(_frame(record) for record in records)
        try:
            status, content = await self._call("POST", "/-/log-append", query, body)
        except NotSent as error:
            raise StoreUnavailable(error.message) from error
        except ChivespanError as error:
            raise StoreOutcomeUnknown(error.message) from error
        if status == HTTPStatus.OK:
            return _decoded(content, _Appended).end
        if status == HTTPStatus.PRECONDITION_FAILED:
            raise StoreEndMoved(_decoded(content, _Moved).end)
        if status in _NOTHING_DONE:
            raise StoreUnavailable(f"append refused with status {status}")
        raise StoreOutcomeUnknown(f"append answered with status {status}")

    async def read(
        self, partition: Partition, start: int, wait: timedelta
    ) -> KeyedPage:
        """Read records; see ``KeyedStore``."""
        query = {
            "topic": partition.topic,
            "part": str(partition.number),
            "from": str(start),
            "maxKb": str(READ_LIMIT_KB),
            "waitMs": str(wait // MILLISECOND),
        }
        content = await self._get("/-/log-read", query, wait)
        try:
            end, _first = _BOUNDS.unpack_from(content)
            return KeyedPage(tuple(_records(content, _BOUNDS.size)), end)
        except (struct.error, IndexError, UnicodeDecodeError) as error:
            raise StoreUnavailable(f"read gave no records: {error!r}") from error

    async def newest(self, partition: Partition, after: str = "") -> NewestPage:
        """Read the newest records by key; see ``KeyedStore``."""
        query = {"topic": partition.topic, "part": str(partition.number)}
        if after:
            query["after"] = after
        content = await self._get("/-/log-newest", query, timedelta(0))
        try:
            page = _decoded(content, _Newest)
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
            raise StoreExpired(f"{path} of {query}: no longer kept")
        if status != HTTPStatus.OK:
            raise StoreUnavailable(f"{path} answered with status {status}")
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
            head_timeout=wait + self._answer_timeout,
            body_timeout=BODY_TIMEOUT,
            max_body_bytes=MAX_BODY_BYTES,
            connect_timeout=CONNECT_TIMEOUT,
        )
        async with exchange(call) as reply:
            return reply.status, await reply.body()


def _frame(record: KeyedRecord) -> bytes:
    """Return a record as it lies in a keyed topic.

    >>> _frame(KeyedRecord("ab", b"x"))
    b'\\x00\\x00\\x00\\x04\\x02abx'
    """
    key = record.key.encode()
    content = bytes((len(key),)) + key + record.value
    return _LENGTH.pack(len(content)) + content


def _records(content: bytes, start: int) -> Iterator[KeyedRecord]:
    """Yield the records that stand in ``content`` from ``start`` on."""
    while start < len(content):
        (length,) = _LENGTH.unpack_from(content, start)
        start += _LENGTH.size
        record = content[start : start + length]
        start += length
        key_end = 1 + record[0]
        yield KeyedRecord(record[1:key_end].decode(), record[key_end:])


def _decoded(content: bytes, cls: type[T]) -> T:
    try:
        return msgspec.json.decode(content, type=cls)
    except msgspec.DecodeError as error:
        reason = f"the store's answer can't be read: {error}"
        raise StoreOutcomeUnknown(reason) from error
