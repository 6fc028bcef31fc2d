"""Results on their way to the log: bounded, grouped by chunk, and kept in an outage.

An item counts as done only once its result was read back. While the log is away the
results wait here, and no further items are started once the buffer is full.
"""

from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

import anyio

from chivespan.appender import Appender
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.peerlink import Counters
from chivespan.records import ItemResult, ItemResults
from chivespan.steps import Step, reach

MAX_RESULTS = 4096
MAX_BYTES = 16 * 1024 * 1024
GROUP_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class ChunkId:
    """Names one chunk."""

    job_id: str
    chunk: int


@dataclass(slots=True)
class _Waiting:
    results: list[ItemResult] = field(default_factory=list)

    @property
    def size(self) -> int:
        return sum(len(result.body) for result in self.results)


class ResultBuffer:
    """Takes the results of one partition's items; ``run`` must be going.

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
        self._waiting: defaultdict[ChunkId, _Waiting] = defaultdict(_Waiting)
        self._in_flight: set[tuple[ChunkId, int]] = set()
        self._count = 0
        self._bytes = 0
        self._work = anyio.Event()
        self._room = anyio.Event()

    @property
    def count(self) -> int:
        """Results that are not in the log yet."""
        return self._count

    @property
    def is_full(self) -> bool:
        """Whether no further items should start."""
        return self._count >= MAX_RESULTS or self._bytes >= MAX_BYTES

    def holds(self, chunk_id: ChunkId, index: int) -> bool:
        """Return whether an item's result is on its way."""
        return (chunk_id, index) in self._in_flight

    def add(self, chunk_id: ChunkId, result: ItemResult) -> None:
        """Take a result; the items that run when the buffer is full still fit."""
        self._waiting[chunk_id].results.append(result)
        self._in_flight.add((chunk_id, result.index))
        self._count += 1
        self._bytes += len(result.body)
        self._work.set()

    async def wait_capacity(self) -> None:
        """Wait until items may start."""
        while self.is_full:
            self._counters.incr("batch.buffer_full")
            await self._room.wait()

    async def wait_empty(self, job_id: str = "") -> None:
        """Wait until all results, or those of one job, are in the log and the fold."""
        while any(held.job_id == job_id or not job_id for held, _ in self._in_flight):
            await self._room.wait()

    async def run(self) -> None:
        """Append what waits, in groups, until cancelled."""
        while True:
            await self._work.wait()
            self._work = anyio.Event()
            while self._waiting:
                await self._append(list(self._take()))

    async def _append(self, group: list[ItemResults]) -> None:
        await reach(Step.RESULT_APPEND)
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
            self._forget(record)
        self._room.set()
        self._room = anyio.Event()

    def _take(self) -> Iterator[ItemResults]:
        """Yield records of the waiting results, up to a group's size."""
        size = 0
        for chunk_id in list(self._waiting):
            if size > GROUP_BYTES:
                return
            waiting = self._waiting.pop(chunk_id)
            size += waiting.size
            yield ItemResults(
                job_id=chunk_id.job_id, chunk=chunk_id.chunk, results=waiting.results
            )

    def _forget(self, record: ItemResults) -> None:
        chunk_id = ChunkId(record.job_id, record.chunk)
        self._count -= len(record.results)
        self._bytes -= sum(len(result.body) for result in record.results)
        for result in record.results:
            self._in_flight.discard((chunk_id, result.index))
