"""In-memory log service that simulates the failures of the real one."""

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from itertools import takewhile

import anyio

from chivespan.envelope import decode_envelope
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.platformservices import LogNotReached, LogPage, LogRecord


@dataclass
class _Stream:
    payloads: list[bytes] = field(default_factory=list)
    oldest: int = 0
    appended: anyio.Event = field(default_factory=anyio.Event)

    @property
    def end(self) -> int:
        return self.oldest + len(self.payloads)


@dataclass(frozen=True)
class _DelayedAppend:
    stream: str
    payloads: tuple[bytes, ...]


class FakeLog:
    """Implements ``LogService``; tests inject failures by setting attributes.

    :ivar outage: calls get no reply and appends have no effect.
    :ivar unreachable: connections are refused.
    :ivar outage_after_append: the next append that takes effect starts an outage.
    :ivar lost_replies: number of next appends that take effect but get no reply.
    :ivar delayed_appends: number of next appends that get no reply and take effect when
        :meth:`apply_delayed` is called.
    :ivar slow_appends: number of next appends that wait for
        :attr:`slow_appends_released`.
    :ivar failed_calls: number of calls that got no reply because of an outage.
    :ivar dropped: number of next appends that get no reply and never take effect.
    """

    def __init__(self) -> None:
        self.outage = False
        self.unreachable = False
        self.outage_after_append = False
        self.lost_replies = 0
        self.delayed_appends = 0
        self.dropped = 0
        self.failed_calls = 0
        self.slow_appends = 0
        self.slow_appends_released = anyio.Event()
        self.appends = 0
        self._streams: defaultdict[str, _Stream] = defaultdict(_Stream)
        self._delayed: list[_DelayedAppend] = []

    async def append(self, stream: str, payloads: Sequence[bytes]) -> int:
        await anyio.lowlevel.checkpoint()
        self._fail_if_unavailable()
        self.appends += 1
        if self.slow_appends:
            self.slow_appends -= 1
            await self.slow_appends_released.wait()
        if self.delayed_appends:
            self.delayed_appends -= 1
            self._delayed.append(_DelayedAppend(stream, tuple(payloads)))
            raise _no_reply()
        if self.dropped:
            self.dropped -= 1
            raise _no_reply()
        offset = self.put(stream, payloads)
        if self.outage_after_append:
            self.outage_after_append = False
            self.outage = True
        if self.lost_replies:
            self.lost_replies -= 1
            raise _no_reply()
        return offset

    async def read(
        self, stream: str, start: int, limit: int, wait: timedelta
    ) -> LogPage:
        await anyio.lowlevel.checkpoint()
        self._fail_if_unavailable()
        stream_state = self._streams[stream]
        if start >= stream_state.end and wait:
            with anyio.move_on_after(wait.total_seconds()):
                await stream_state.appended.wait()
            self._fail_if_unavailable()
        if start < stream_state.oldest:
            reason = f"the log keeps offsets from {stream_state.oldest} on"
            raise ChivespanError(ErrorKind.LOG_EXPIRED, reason)
        first = start - stream_state.oldest
        chosen = stream_state.payloads[first : first + limit]
        records = tuple(LogRecord(start + n, one) for n, one in enumerate(chosen))
        return LogPage(records, stream_state.oldest, stream_state.end)

    async def bounds(self, stream: str) -> LogPage:
        await anyio.lowlevel.checkpoint()
        self._fail_if_unavailable()
        stream_state = self._streams[stream]
        return LogPage((), stream_state.oldest, stream_state.end)

    def put(self, stream: str, payloads: Sequence[bytes]) -> int:
        """Append immediately, without any injected failure."""
        stream_state = self._streams[stream]
        offset = stream_state.end
        stream_state.payloads.extend(payloads)
        stream_state.appended.set()
        stream_state.appended = anyio.Event()
        return offset

    def expire(self, stream: str, oldest: int) -> None:
        """Drop a stream's records before an offset, as retention does."""
        stream_state = self._streams[stream]
        count = min(max(0, oldest - stream_state.oldest), len(stream_state.payloads))
        del stream_state.payloads[:count]
        stream_state.oldest += count

    def expire_written_before(self, cutoff: datetime) -> None:
        """Drop the records of all streams that were written before a time."""
        for stream, stream_state in self._streams.items():
            written = (decode_envelope(one).written_at for one in stream_state.payloads)
            old = sum(1 for _ in takewhile(lambda at: at < cutoff, written))
            self.expire(stream, stream_state.oldest + old)

    def apply_delayed(self) -> None:
        """Apply all delayed appends now."""
        late, self._delayed = self._delayed, []
        for one in late:
            self.put(one.stream, one.payloads)

    def records(self, stream: str) -> tuple[LogRecord, ...]:
        """Return all records that the stream still keeps."""
        stream_state = self._streams[stream]
        return tuple(
            LogRecord(stream_state.oldest + n, one)
            for n, one in enumerate(stream_state.payloads)
        )

    def _fail_if_unavailable(self) -> None:
        if self.unreachable:
            raise LogNotReached("connection refused")
        if self.outage:
            self.failed_calls += 1
            raise _no_reply()


def _no_reply() -> ChivespanError:
    return ChivespanError(ErrorKind.LOG_UNAVAILABLE, "the log sent no reply")
