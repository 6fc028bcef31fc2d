"""The state of one partition of batch jobs, folded from its records.

Every record has its own key, so the newest record of each key makes up the whole state.
Appends are conditional on having read all earlier records. This makes the positions of
results unique and ensures that each job is accepted only once.
"""

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

from chivespan.batchrecords import (
    BatchEnd,
    BatchItem,
    BatchItems,
    BatchJob,
    BatchResult,
)
from chivespan.codec import decode, encode
from chivespan.decoding import decoding, error_of
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.keyedstore import KeyedRecord
from chivespan.platform import wire
from chivespan.routes import directory_of

MAX_ID_CHARS = 100
# Visible characters without those that separate the parts of paths and keys.
_JOB_ID = re.compile(rf"(?:(?![/?#%])[!-~]){{1,{MAX_ID_CHARS}}}")
_JOB = "job"
_ITEMS = "items"
_RESULT = "result"
_END = "end"
_POSITION_DIGITS = 6
# By kind of record, how many numbers follow the job's id in its key.
_NUMBERS_IN_KEY = {_JOB: 0, _ITEMS: 1, _RESULT: 2, _END: 0}
MAX_UNREADABLE = 1000
# Space left in each record for its key and framing.
RECORD_OVERHEAD_BYTES = 300
# First byte of a record's value: whether more parts follow.
_MORE = b"+"
_LAST = b"."


def is_valid_job_id(job_id: str) -> bool:
    """Return whether an id can be that of a job, whose keys and paths it is part of.

    >>> [is_valid_job_id(each) for each in ("7c41e0", "a/b", "a?", "", "x" * 101)]
    [True, False, False, False, False]
    """
    return _JOB_ID.fullmatch(job_id) is not None


def job_key(job_id: str) -> str:
    """Return the key of a job's head record."""
    return f"{_JOB}/{job_id}"


def items_key(job_id: str, part: int) -> str:
    """Return the key of a part of a job's items."""
    return f"{_ITEMS}/{job_id}/{part}"


def result_key(job_id: str, position: int, part: int = 0) -> str:
    """Return the key of a part of the result at a position."""
    return f"{_RESULT}/{job_id}/{position:0{_POSITION_DIGITS}}/{part}"


def end_key(job_id: str) -> str:
    """Return the key of the record that ends a job."""
    return f"{_END}/{job_id}"


@dataclass(slots=True)
class LedgerJob:
    """One accepted job.

    :ivar directories: the paths of its items up to their last slash.
    :ivar results: ordered by position.
    :ivar result_parts: number of records of each result.
    :ivar finished_ids: ids of the items that have a result.
    :ivar changed_ms: when its last result was written or its caller ended it, in Unix
        milliseconds; 0 for neither.
    :ivar prompt_parts: shared parts of the prompts of items, filled in when asked for.
    :ivar send_errors: why items can never be sent, filled in when asked for; empty for
        those that can.
    """

    job_id: str
    head: BatchJob
    items: dict[str, BatchItem]
    directories: frozenset[str]
    results: list[BatchResult] = field(default_factory=list)
    result_parts: list[int] = field(default_factory=list)
    finished_ids: set[str] = field(default_factory=set)
    ended: bool = False
    changed_ms: int = 0
    prompt_parts: dict[str, tuple[str, ...]] = field(default_factory=dict)
    send_errors: dict[str, str] = field(default_factory=dict)

    @property
    def submitted(self) -> datetime:
        """When the job was accepted."""
        return datetime.fromtimestamp(self.head.submitted_ms / 1000, UTC)

    @property
    def closed(self) -> datetime | None:
        """When the job got its last result or was ended; None while it is open."""
        if self.is_open:
            return None
        closed_ms = max(self.head.submitted_ms, self.changed_ms)
        return datetime.fromtimestamp(closed_ms / 1000, UTC)

    @property
    def is_open(self) -> bool:
        """Whether the job has not ended and some items have no result yet."""
        return not self.ended and len(self.finished_ids) < len(self.items)

    def is_unfinished(self, item_id: str) -> bool:
        """Return whether an item of the job still is to get a result."""
        is_finished = item_id in self.finished_ids
        return item_id in self.items and not is_finished and not self.ended

    def waiting_items(self) -> Iterator[BatchItem]:
        """Yield the items that have no result yet."""
        for item_id, item in self.items.items():
            if item_id not in self.finished_ids:
                yield item

    def prompt_parts_of(self, item: BatchItem) -> tuple[str, ...]:
        """Return the parts of an item's prompt that other requests may share."""
        known = self.prompt_parts.get(item.item_id)
        if known is None:
            headers = ((each.name, each.value) for each in item.headers)
            known = self.prompt_parts[item.item_id] = wire.item_prompt_parts(headers)
        return known

    @property
    def is_checked(self) -> bool:
        """Whether all items were found to be sendable when the job was accepted.

        An earlier release, which stored no prefix, checked none.
        """
        return bool(self.head.path_prefix)

    def keys(self) -> Iterator[str]:
        """Yield the keys of all records of the job, the head record's key last."""
        for part in range(self.head.chunks):
            yield items_key(self.job_id, part)
        for position, parts in enumerate(self.result_parts):
            for part in range(parts):
                yield result_key(self.job_id, position, part)
        if self.ended:
            yield end_key(self.job_id)
        yield job_key(self.job_id)


@dataclass(slots=True)
class _PartialJob:
    """Records of one job whose other parts have not been read yet."""

    head: BatchJob | None = None
    items: dict[int, bytes] = field(default_factory=dict)
    results: dict[int, dict[int, bytes]] = field(default_factory=dict)
    ended_ms: int | None = None


@dataclass(frozen=True, slots=True)
class _Key:
    """The parts of a record's key."""

    kind: str
    job_id: str
    numbers: tuple[int, ...]


def _parse_key(key: str) -> _Key | None:
    """Parse the key of a record; None if this release knows no such kind of record.

    :raises ValueError: if the key is invalid.
    """
    kind, _, rest = key.partition("/")
    if kind not in _NUMBERS_IN_KEY:
        return None
    job_id, *numbers = rest.split("/")
    if len(numbers) != _NUMBERS_IN_KEY[kind]:
        raise ValueError(f"{len(numbers)} numbers in the key")
    return _Key(kind, job_id, tuple(_parse_number(each) for each in numbers))


def _parse_number(digits: str) -> int:
    if not digits.isdecimal() or len(digits) > _POSITION_DIGITS:
        raise ValueError(f"{digits!r} is not a number of a part")
    return int(digits)


class Ledger:
    """The jobs of one partition at an offset of its log.

    :ivar end: offset after the last applied record.
    """

    def __init__(self) -> None:
        self.end = 0
        self._jobs: dict[str, LedgerJob] = {}
        self._partial: dict[str, _PartialJob] = {}
        self._unreadable: set[str] = set()

    @property
    def jobs(self) -> dict[str, LedgerJob]:
        """All accepted jobs that have not been deleted."""
        return self._jobs

    def may_have(self, job_id: str) -> bool:
        """Return whether a job may have been accepted that isn't among the jobs.

        Some of its records can't be read.
        """
        return job_id in self._unreadable

    def open_jobs(self) -> Iterator[LedgerJob]:
        """Yield the jobs that still have items without a result."""
        return (job for job in self._jobs.values() if job.is_open)

    def apply(self, record: KeyedRecord) -> None:
        """Apply a record; order matters only among records of the same key.

        A record that can't be read changes nothing.

        :raises ChivespanError: ``protocol`` if the record can't be read.
        """
        try:
            with decoding(f"record {record.key!r}", error_of(ErrorKind.PROTOCOL)):
                key = _parse_key(record.key)
                if key is not None:
                    self._apply(key, record.value)
        except ChivespanError:
            self._record_unreadable(record.key)
            raise

    def _apply(self, key: _Key, value: bytes) -> None:
        if not value:
            self._delete(key.kind, key.job_id)
            return
        parts = self._partial.setdefault(key.job_id, _PartialJob())
        if key.kind == _JOB:
            parts.head = decode(value, BatchJob)
        elif key.kind == _ITEMS:
            (part,) = key.numbers
            parts.items[part] = value
        elif key.kind == _RESULT:
            position, part = key.numbers
            parts.results.setdefault(position, {})[part] = value
        elif key.kind == _END:
            parts.ended_ms = decode(value, BatchEnd).ended_ms
        self._build(key.job_id, parts)

    def _record_unreadable(self, key: str) -> None:
        """Remember that a job may exist of which a record can't be read."""
        _, _, rest = key.partition("/")
        job_id, _, _ = rest.partition("/")
        if job_id not in self._jobs and len(self._unreadable) < MAX_UNREADABLE:
            self._unreadable.add(job_id)

    def _delete(self, kind: str, job_id: str) -> None:
        if kind == _JOB:
            self._jobs.pop(job_id, None)
            self._partial.pop(job_id, None)
            self._unreadable.discard(job_id)

    def _build(self, job_id: str, parts: _PartialJob) -> None:
        """Build or extend a job from the records whose parts are all present."""
        job = self._jobs.get(job_id)
        if job is None:
            joined = _join_parts(parts.items)
            if parts.head is None or joined is None:
                return
            items = {item.item_id: item for item in decode(joined, BatchItems).items}
            directories = frozenset(directory_of(each.path) for each in items.values())
            job = LedgerJob(job_id, parts.head, items, directories)
            self._jobs[job_id] = job
            self._unreadable.discard(job_id)
            parts.items.clear()
        if parts.ended_ms is not None:
            job.ended = True
            job.changed_ms = max(job.changed_ms, parts.ended_ms)
        while (
            joined := _join_parts(parts.results.get(len(job.results), {}))
        ) is not None:
            result = decode(joined, BatchResult)
            job.result_parts.append(len(parts.results.pop(len(job.results))))
            job.results.append(result)
            job.finished_ids.add(result.item_id)
            job.changed_ms = max(job.changed_ms, result.written_ms)


def job_records(
    job_id: str,
    route: str,
    host: str,
    items: list[BatchItem],
    submitted: datetime,
    config_version: int,
    max_record_bytes: int,
    customer: str = "",
    path_prefix: str = "",
) -> list[KeyedRecord]:
    """Return the records of a job; the last one, its head, accepts the job.

    :param route: name of the route by which it is accepted.
    :param path_prefix: that of the route.
    """
    parts = list(_split(encode(BatchItems(items=items)), max_record_bytes))
    head = BatchJob(
        route=route,
        host=host,
        chunks=len(parts),
        submitted_ms=to_milliseconds(submitted),
        config_version=config_version,
        customer=customer,
        path_prefix=path_prefix,
    )
    records = [
        KeyedRecord(items_key(job_id, number), part)
        for number, part in enumerate(parts)
    ]
    return [*records, KeyedRecord(job_key(job_id), encode(head))]


def result_records(
    job_id: str, position: int, result: BatchResult, max_record_bytes: int
) -> list[KeyedRecord]:
    """Return the records of a result."""
    return [
        KeyedRecord(result_key(job_id, position, number), part)
        for number, part in enumerate(_split(encode(result), max_record_bytes))
    ]


def _split(content: bytes, max_record_bytes: int) -> Iterator[bytes]:
    """Split content into parts that fit into records, marked as last or not."""
    size = max_record_bytes - RECORD_OVERHEAD_BYTES
    for start in range(0, len(content), size):
        is_last = start + size >= len(content)
        yield (_LAST if is_last else _MORE) + content[start : start + size]


def _join_parts(parts: dict[int, bytes]) -> bytes | None:
    """Return the content of all parts; None if a part is missing."""
    ordered = [parts[number] for number in range(len(parts)) if number in parts]
    if not ordered or len(ordered) < len(parts) or not ordered[-1].startswith(_LAST):
        return None
    return b"".join(part[1:] for part in ordered)


def is_expired(job: LedgerJob, now: datetime, keep: timedelta) -> bool:
    """Return whether a job's retention time is over, which begins when it closes."""
    return job.closed is not None and now - job.closed > keep


def to_milliseconds(time: datetime) -> int:
    """Return a time as Unix milliseconds."""
    return round(time.timestamp() * 1000)
