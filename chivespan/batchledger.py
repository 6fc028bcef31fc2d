"""What one partition of batch jobs holds: a fold of its records.

Every record has a key of its own, so that the newest of each key is the whole state.
Only a writer who knows all records before its own may append, which makes positions of
results unique and lets each job be accepted once.
"""

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
from chivespan.keyedstore import KeyedRecord

MAX_ID_CHARS = 100
_JOB = "job"
_ITEMS = "items"
_RESULT = "result"
_END = "end"
_POSITION_DIGITS = 6


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return f"{_JOB}/{job_id}"


def items_key(job_id: str, chunk: int) -> str:
    """Return the key of some of a job's items."""
    return f"{_ITEMS}/{job_id}/{chunk}"


def result_key(job_id: str, position: int) -> str:
    """Return the key of the result at a position."""
    return f"{_RESULT}/{job_id}/{position:0{_POSITION_DIGITS}}"


def end_key(job_id: str) -> str:
    """Return the key of the record that ends a job."""
    return f"{_END}/{job_id}"


@dataclass(slots=True)
class LedgerJob:
    """One accepted job.

    :ivar results: in the order of their positions.
    :ivar listed: ids of the items that have a result.
    """

    job_id: str
    head: BatchJob
    items: dict[str, BatchItem]
    results: list[BatchResult] = field(default_factory=list)
    listed: set[str] = field(default_factory=set)
    ended: bool = False

    @property
    def submitted(self) -> datetime:
        """When the job was accepted."""
        return datetime.fromtimestamp(self.head.submitted_ms / 1000, UTC)

    @property
    def is_open(self) -> bool:
        """Whether items are still to be run."""
        return not self.ended and len(self.listed) < len(self.items)

    def waiting_items(self) -> Iterator[BatchItem]:
        """Yield the items that have no result yet."""
        for item_id, item in self.items.items():
            if item_id not in self.listed:
                yield item

    def keys(self) -> Iterator[str]:
        """Yield the keys of all records of the job, its own last."""
        for chunk in range(self.head.chunks):
            yield items_key(self.job_id, chunk)
        for position in range(len(self.results)):
            yield result_key(self.job_id, position)
        if self.ended:
            yield end_key(self.job_id)
        yield job_key(self.job_id)


@dataclass(slots=True)
class _Parts:
    """Records of one job, before all that make it up are there."""

    head: BatchJob | None = None
    items: dict[int, BatchItems] = field(default_factory=dict)
    results: dict[int, BatchResult] = field(default_factory=dict)
    ended: bool = False


class Ledger:
    """The jobs of one partition, as of a place in its log.

    :ivar end: offset behind the last record that was applied.
    """

    def __init__(self) -> None:
        self.end = 0
        self._jobs: dict[str, LedgerJob] = {}
        self._parts: dict[str, _Parts] = {}

    @property
    def jobs(self) -> dict[str, LedgerJob]:
        """All accepted jobs that are still kept."""
        return self._jobs

    def open_jobs(self) -> Iterator[LedgerJob]:
        """Yield the jobs that have items to run."""
        return (job for job in self._jobs.values() if job.is_open)

    def apply(self, record: KeyedRecord) -> None:
        """Take in a record; the order matters only among records of one key.

        :raises ChivespanError: ``protocol`` when it can't be read.
        """
        kind, _, rest = record.key.partition("/")
        job_id, _, number = rest.partition("/")
        if not record.value:
            self._drop(kind, job_id)
            return
        parts = self._parts.setdefault(job_id, _Parts())
        if kind == _JOB:
            parts.head = decode(record.value, BatchJob)
        elif kind == _ITEMS:
            parts.items[int(number)] = decode(record.value, BatchItems)
        elif kind == _RESULT:
            parts.results[int(number)] = decode(record.value, BatchResult)
        elif kind == _END:
            decode(record.value, BatchEnd)
            parts.ended = True
        self._complete(job_id, parts)

    def _drop(self, kind: str, job_id: str) -> None:
        if kind == _JOB:
            self._jobs.pop(job_id, None)
            self._parts.pop(job_id, None)

    def _complete(self, job_id: str, parts: _Parts) -> None:
        """Turn records into a job once all its items are there."""
        job = self._jobs.get(job_id)
        if job is None:
            if parts.head is None or len(parts.items) < parts.head.chunks:
                return
            chunks = (parts.items[number] for number in sorted(parts.items))
            items = {item.item_id: item for chunk in chunks for item in chunk.items}
            job = self._jobs[job_id] = LedgerJob(job_id, parts.head, items)
        job.ended = job.ended or parts.ended
        while len(job.results) in parts.results:
            result = parts.results.pop(len(job.results))
            job.results.append(result)
            job.listed.add(result.item_id)


def job_records(
    job_id: str,
    route: str,
    host: str,
    items: list[BatchItem],
    submitted: datetime,
    max_record_bytes: int,
) -> list[KeyedRecord]:
    """Return the records that make a job, the one that accepts it last."""
    chunks = list(_chunked(items, max_record_bytes // 2))
    head = BatchJob(
        route=route,
        host=host,
        chunks=len(chunks),
        item_count=len(items),
        submitted_ms=round(submitted.timestamp() * 1000),
    )
    records = [
        KeyedRecord(items_key(job_id, number), encode(BatchItems(items=chunk)))
        for number, chunk in enumerate(chunks)
    ]
    return [*records, KeyedRecord(job_key(job_id), encode(head))]


def _chunked(items: list[BatchItem], limit: int) -> Iterator[list[BatchItem]]:
    """Yield runs of items whose bodies stay within a limit, at least one item each."""
    chunk: list[BatchItem] = []
    size = 0
    for item in items:
        if chunk and size + len(item.body) > limit:
            yield chunk
            chunk, size = [], 0
        chunk.append(item)
        size += len(item.body)
    if chunk:
        yield chunk


def is_past(job: LedgerJob, now: datetime, keep: timedelta) -> bool:
    """Return whether a job needn't be kept any longer."""
    return now - job.submitted > keep
