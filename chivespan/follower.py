"""Keeps a fold up to date with its stream: from a snapshot, then by tailing the log."""

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
    """The fold of one stream in this process; ``run`` must be going.

    :param new: makes an empty fold.
    :param restore: makes a fold from a snapshot.
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
        self._new = new
        self._restore = restore
        self._counters = counters
        self._fold = new()
        self._changed = anyio.Event()
        self._is_current = False
        self._answering = True

    @property
    def fold(self) -> F:
        """The fold; replaced when the reader fell behind retention."""
        return self._fold

    @property
    def is_caught_up(self) -> bool:
        """Whether the end of the stream was reached once."""
        return self._is_current

    async def wait_caught_up(self) -> None:
        """Wait until the end of the stream was reached once."""
        while not self.is_caught_up:
            await self._changed.wait()

    async def require_caught_up(self) -> None:
        """Wait a short time for the end of the stream, for a caller who waits.

        :raises ChivespanError: ``log_unavailable`` when the log is away; ``not_ready``
            when there is more to read.
        """
        with anyio.move_on_after(CATCH_UP_TIMEOUT.total_seconds()):
            while self._answering and not self.is_caught_up:
                await self._changed.wait()
        if self.is_caught_up:
            return
        if not self._answering:
            reason = f"not accepted: {self._stream} can't be read"
            raise ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason)
        reason = f"not accepted: {self._stream} is still being read"
        raise ChivespanError(ErrorKind.NOT_READY, reason)

    async def wait_changed(self) -> None:
        """Wait for the next records."""
        await self._changed.wait()

    async def wait_applied(self, offset: int) -> None:
        """Wait until the record at an offset is applied."""
        while self._fold.offset < offset or not self.is_caught_up:
            await self._changed.wait()

    async def catch_up(self) -> bool:
        """Apply what the log holds now; return whether that was done in a short time.

        A VM that stood still learns so what came meanwhile before it answers.
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
        loaded = False
        while True:
            try:
                if not loaded:
                    self._fold = await self._snapshots.load(self._new, self._restore)
                    loaded = True
                await self._tail(delays)
            except ChivespanError as error:
                if error.kind is ErrorKind.LOG_EXPIRED:
                    loaded = False
                    self._is_current = False
                    self._counters.incr("follower.started_anew")
                self._note_answering(False, error.message)
                await anyio.sleep(delays.next().total_seconds())

    async def _tail(self, delays: Backoff) -> None:
        while True:
            start = self._fold.offset + 1
            wait = READ_WAIT if self.is_caught_up else NO_WAIT
            page = await self._log.read(self._stream, start, PAGE_RECORDS, wait)
            delays.reset()
            self._note_answering(True, "")
            self._apply(page)

    def _apply(self, page: LogPage) -> None:
        for record in page.records:
            self._fold.apply(record)
        reached_end = self._fold.offset + 1 >= page.end
        first_time = reached_end and not self.is_caught_up
        if first_time:
            self._is_current = True
        if page.records or first_time:
            self._announce()

    def _announce(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _note_answering(self, answering: bool, reason: str) -> None:
        if answering is self._answering:
            return
        self._answering = answering
        self._announce()
        if answering:
            _log.notice("log answers again", stream=self._stream)
        else:
            _log.warning("log not followed", stream=self._stream, reason=reason)
