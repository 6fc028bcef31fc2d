"""Store client that records the duration and outcome of each call as metrics."""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from datetime import timedelta

from chivespan.clock import Clock
from chivespan.errors import ChivespanError
from chivespan.keyedstore import (
    KeyedPage,
    KeyedRecord,
    KeyedStore,
    NewestPage,
    Partition,
)
from chivespan.nodemetrics import NodeMetrics


class MeasuredStore:
    """Wraps a ``KeyedStore`` and records a metric for each call."""

    def __init__(self, store: KeyedStore, clock: Clock, metrics: NodeMetrics) -> None:
        self._store = store
        self._clock = clock
        self._metrics = metrics

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        expected_end: int | None = None,
    ) -> int:
        """Append records; see ``KeyedStore``."""
        with self._timed("append"):
            return await self._store.append(partition, records, expected_end)

    async def read(
        self, partition: Partition, start: int, wait: timedelta
    ) -> KeyedPage:
        """Read records; see ``KeyedStore``."""
        with self._timed("read" if not wait else "wait"):
            return await self._store.read(partition, start, wait)

    async def newest(self, partition: Partition, after: str = "") -> NewestPage:
        """Read the newest records by key; see ``KeyedStore``."""
        with self._timed("newest"):
            return await self._store.newest(partition, after)

    @contextmanager
    def _timed(self, call: str) -> Iterator[None]:
        started = self._clock.monotonic()
        outcome = "cancelled"
        try:
            yield
            outcome = "done"
        except ChivespanError as error:
            outcome = error.kind.value
            raise
        finally:
            self._metrics.record_store_call(
                call, outcome, self._clock.monotonic() - started
            )
