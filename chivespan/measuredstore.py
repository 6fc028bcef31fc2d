"""A store whose calls are timed and counted by outcome."""

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
    """Passes all calls on; implements ``KeyedStore``."""

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
        with self._measured("append"):
            return await self._store.append(partition, records, expected_end)

    async def read(
        self, partition: Partition, start: int, wait: timedelta
    ) -> KeyedPage:
        """Read records; see ``KeyedStore``."""
        with self._measured("read" if not wait else "wait"):
            return await self._store.read(partition, start, wait)

    async def newest(self, partition: Partition, after: str = "") -> NewestPage:
        """Read the newest records by key; see ``KeyedStore``."""
        with self._measured("newest"):
            return await self._store.newest(partition, after)

    @contextmanager
    def _measured(self, call: str) -> Iterator[None]:
        began = self._clock.monotonic()
        outcome = "cancelled"
        try:
            yield
            outcome = "done"
        except ChivespanError as error:
            outcome = error.kind.value
            raise
        finally:
            self._metrics.record_store_call(
                call, outcome, self._clock.monotonic() - began
            )
