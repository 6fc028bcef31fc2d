"""Maintains a fold of a stream: restores a snapshot, then tails the log."""

from collections.abc import Callable
from datetime import timedelta
from random import Random
from typing import Generic, TypeVar

import anyio

from chivespan.clock import NO_WAIT
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.logs import logger
from chivespan.peerlink import Backoff, Counters
from chivespan.platformservices import LogPage, LogService
from chivespan.snapshots import Fold, SnapshotStore

READ_WAIT = timedelta(seconds=5)
CATCH_UP_TIMEOUT = timedelta(seconds=1)
PAGE_RECORDS = 256

_log = logger("follower")

F = TypeVar("F", bound=Fold)


class Follower(Generic[F]):
    """Maintains the fold of one stream; requires a running ``run`` task.

    :param new: creates an empty fold.
    :param restore: creates a fold from a snapshot.
    """

    def __init__(
        self,
        log: LogService,
        stream: str,
        snapshots: SnapshotStore,
        new: Callable[[], F],
        restore: Callable[[bytes], F],
        counters: Counters,
    ) -> None:
        self._log = log
        self._stream = stream
        self._snapshots = snapshots
        self._new_fold = new
        self._restore_fold = restore
        self._counters = counters
        self._fold = new()
        self._changed = anyio.Event()
        self._is_current = False
        self._log_available = True

    @property
    def fold(self) -> F:
        """The current fold.

        It is replaced when the follower is restored from a snapshot, which happens
        after it falls behind the log's retention.
        """
        return self._fold

    @property
    def is_caught_up(self) -> bool:
        """Whether the end of the stream has been reached since the last restore."""
        return self._is_current

    async def wait_caught_up(self) -> None:
        """Wait until the end of the stream has been reached."""
        while not self.is_caught_up:
            await self._changed.wait()

    async def require_caught_up(self) -> None:
        """Wait up to ``CATCH_UP_TIMEOUT`` for the end of the stream.

        :raises ChivespanError: ``log_unavailable`` if the log is unavailable;
            ``not_ready`` if there are more records to read.
        """
        with anyio.move_on_after(CATCH_UP_TIMEOUT.total_seconds()):
            while self._log_available and not self.is_caught_up:
                await self._changed.wait()
        if self.is_caught_up:
            return
        if not self._log_available:
            reason = f"not accepted: {self._stream} can't be read"
            raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason)
        reason = f"not accepted: {self._stream} is still being read"
        raise ChivespanError(ErrorKind.NOT_READY, reason)

    async def wait_changed(self) -> None:
        """Wait until records are applied, or the follower's state changes."""
        await self._changed.wait()

    async def wait_applied(self, offset: int) -> None:
        """Wait until the record at an offset is applied."""
        while self._fold.offset < offset or not self.is_caught_up:
            await self._changed.wait()

    async def catch_up(self) -> bool:
        """Apply all records now in the log; return whether that was done in time.

        The time limit is ``CATCH_UP_TIMEOUT``. A process that was paused thus applies
        the records it has missed before it replies to a request.
        """
        with anyio.move_on_after(CATCH_UP_TIMEOUT.total_seconds()):
            try:
                end = (await self._log.bounds(self._stream)).end
            except ChivespanError:
                return False
            await self.wait_applied(end - 1)
            return True
        return False

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        delays = Backoff(Random())
        is_loaded = False
        while True:
            try:
                if not is_loaded:
                    self._fold = await self._snapshots.load(
                        self._new_fold, self._restore_fold
                    )
                    is_loaded = True
                await self._tail(delays)
            except ChivespanError as error:
                if error.kind is ErrorKind.LOG_EXPIRED:
                    is_loaded = False
                    self._is_current = False
                    self._counters.incr("follower.started_anew")
                self._set_log_available(False, error.message)
                await anyio.sleep(delays.next().total_seconds())

    async def _tail(self, delays: Backoff) -> None:
        while True:
            start = self._fold.offset + 1
            wait = READ_WAIT if self.is_caught_up else NO_WAIT
            page = await self._log.read(self._stream, start, PAGE_RECORDS, wait)
            delays.reset()
            self._set_log_available(True, "")
            self._apply(page)

    def _apply(self, page: LogPage) -> None:
        for record in page.records:
            self._fold.apply(record)
        reached_end = self._fold.offset + 1 >= page.end
        first_time = reached_end and not self.is_caught_up
        if first_time:
            self._is_current = True
        if page.records or first_time:
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _set_log_available(self, available: bool, reason: str) -> None:
        if available is self._log_available:
            return
        self._log_available = available
        self._notify()
        if available:
            _log.notice("log answers again", stream=self._stream)
        else:
            _log.warning("log read failed", stream=self._stream, reason=reason)
