"""Buffers item results until they are in the log: bounded and grouped by chunk.

An item is done only after its result was read back. While the log is unavailable, the
results are kept in the buffer, and no further items start when it is full.
"""

from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

import anyio

from chivespan.appender import Appender
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.failpoints import FailPoint, hit
from chivespan.peerlink import Counters
from chivespan.records import ItemResult, ItemResults

MAX_BUFFERED_RESULTS = 4096
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
GROUP_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class ChunkId:
    """Identifies one chunk of a job."""

    job_id: str
    chunk: int


@dataclass(slots=True)
class _ChunkResults:
    results: list[ItemResult] = field(default_factory=list)

    @property
    def size(self) -> int:
        return sum(len(result.body) for result in self.results)


class ResultBuffer:
    """The unwritten results of one partition's items; written while ``run`` is active.

    :param wait_applied: waits until this process's fold has applied an offset.
    """

    def __init__(
        self,
        appender: Appender,
        wait_applied: Callable[[int], Awaitable[None]],
        counters: Counters,
    ) -> None:
        self._appender = appender
        self._wait_applied = wait_applied
        self._counters = counters
        self._pending: defaultdict[ChunkId, _ChunkResults] = defaultdict(_ChunkResults)
        self._unconfirmed: set[tuple[ChunkId, int]] = set()
        self._count = 0
        self._bytes = 0
        self._result_added = anyio.Event()
        self._group_written = anyio.Event()

    @property
    def count(self) -> int:
        """Number of results that are not in the log yet."""
        return self._count

    @property
    def is_full(self) -> bool:
        """Whether the buffer is full, so that no further items may start."""
        return self._count >= MAX_BUFFERED_RESULTS or self._bytes >= MAX_BUFFERED_BYTES

    def holds(self, chunk_id: ChunkId, index: int) -> bool:
        """Return whether the buffer holds an item's result."""
        return (chunk_id, index) in self._unconfirmed

    def add(self, chunk_id: ChunkId, result: ItemResult) -> None:
        """Add a result, even if the buffer is full.

        Items that are already running when the buffer fills up can exceed its limit.
        """
        self._pending[chunk_id].results.append(result)
        self._unconfirmed.add((chunk_id, result.index))
        self._count += 1
        self._bytes += len(result.body)
        self._result_added.set()

    async def wait_capacity(self) -> None:
        """Wait until the buffer is not full and items may start."""
        while self.is_full:
            self._counters.incr("batch.buffer_full")
            await self._group_written.wait()

    async def wait_empty(self, job_id: str = "") -> None:
        """Wait until all results are in the log and the fold.

        :param job_id: restricts the wait to one job; empty for all.
        """
        while any(
            chunk_id.job_id == job_id or not job_id for chunk_id, _ in self._unconfirmed
        ):
            await self._group_written.wait()

    async def run(self) -> None:
        """Append the results in groups until cancelled."""
        while True:
            await self._result_added.wait()
            self._result_added = anyio.Event()
            while self._pending:
                await self._append(list(self._next_group()))

    async def _append(self, group: list[ItemResults]) -> None:
        await hit(FailPoint.RESULT_APPEND)
        while True:
            try:
                offsets = await self._appender.append_all(group)
                break
            except ChivespanError as error:
                if error.kind is ErrorKind.ACCEPTANCE_UNKNOWN:
                    self._counters.incr("batch.results_sent_again")
                await self._appender.wait_available()
        await self._wait_applied(offsets[-1])
        for record in group:
            self._remove(record)
        self._group_written.set()
        self._group_written = anyio.Event()

    def _next_group(self) -> Iterator[ItemResults]:
        """Remove and yield pending results as records, up to a group's size."""
        size = 0
        for chunk_id in list(self._pending):
            if size > GROUP_BYTES:
                return
            pending = self._pending.pop(chunk_id)
            size += pending.size
            yield ItemResults(
                job_id=chunk_id.job_id, chunk=chunk_id.chunk, results=pending.results
            )

    def _remove(self, record: ItemResults) -> None:
        chunk_id = ChunkId(record.job_id, record.chunk)
        self._count -= len(record.results)
        self._bytes -= sum(len(result.body) for result in record.results)
        for result in record.results:
            self._unconfirmed.discard((chunk_id, result.index))
