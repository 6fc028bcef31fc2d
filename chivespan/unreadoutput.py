"""Bounds the output that a node holds for callers that read slowly or not at all.

Decides which responses are given up. Callers that read are spared as long as giving up
the responses of others suffices.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from chivespan.clock import Clock

# Of one response. A page of results may be larger if it has a single result.
MAX_RESPONSE_BYTES = 256 * 1024
# Of the memory of a process, for the output of all responses.
SHARE_OF_MEMORY = 1 / 8
# A caller that has taken nothing for this long isn't reading. Targets cut a response
# that stays unread for some seconds.
STALL_TIME = timedelta(seconds=1)
# Pages get smaller while more than this share of the bound is unread.
FULL_PAGES_SHARE = 1 / 2


@dataclass(frozen=True, slots=True)
class ResponseInfo:
    """A response, as far as it matters for giving it up.

    :param is_resumable: whether its caller can resume it elsewhere.
    :param is_whole: whether it was complete when it was handed over, as a page is; its
        size alone is no reason to give it up.
    """

    request_id: str
    is_resumable: bool = False
    is_whole: bool = False


@dataclass(frozen=True, slots=True)
class UnreadResponse:
    """A response of which its caller has not taken everything.

    :param unread: bytes that the caller has not taken.
    :param taken: bytes that it has taken since the connection was opened.
    :param since: monotonic time since which it has taken nothing.
    """

    key: int
    info: ResponseInfo
    unread: int
    taken: int
    since: timedelta


class UnreadOutput:
    """The unread output of all responses of a node.

    :param max_bytes: bound of all unread output together.
    :ivar total: size of all unread output.
    """

    def __init__(self, max_bytes: int, clock: Clock) -> None:
        self._max_bytes = max_bytes
        self._clock = clock
        self._responses: dict[int, UnreadResponse] = {}
        self.total = 0

    @property
    def is_exceeded(self) -> bool:
        """Whether responses must be aborted."""
        return self.total > self._max_bytes

    @property
    def page_bytes(self) -> int:
        """Maximum size of the next page of results; one result is always allowed."""
        free = max(0, self._max_bytes - self.total) / self._max_bytes
        return round(MAX_RESPONSE_BYTES * min(1, free / (1 - FULL_PAGES_SHARE)))

    def observe(self, key: int, info: ResponseInfo, unread: int, taken: int) -> None:
        """Record how much of a response is unread.

        :param key: identifies the connection, which has one response at a time.
        :param taken: bytes that the caller has taken since the connection was opened.
        """
        known = self._responses.get(key)
        since = self._clock.monotonic()
        if known is not None and taken <= known.taken:
            since = known.since
        self.forget(key)
        if unread > 0:
            self._responses[key] = UnreadResponse(key, info, unread, taken, since)
            self.total += unread

    def forget(self, key: int) -> None:
        """Drop a response whose connection has ended."""
        known = self._responses.pop(key, None)
        if known is not None:
            self.total -= known.unread

    def idle(self, response: UnreadResponse) -> timedelta:
        """Return for how long the caller of a response has taken nothing."""
        return self._clock.monotonic() - response.since

    def select_for_abort(self) -> list[UnreadResponse]:
        """Return the responses to abort now, in this order."""
        overfull = [each for each in self._responses.values() if self._is_stuck(each)]
        excess = self.total - self._max_bytes - sum(each.unread for each in overfull)
        if excess <= 0:
            return overfull
        return [*overfull, *self._first_of(excess, {each.key for each in overfull})]

    def _first_of(self, excess: int, left_out: set[int]) -> Iterator[UnreadResponse]:
        """Yield the first responses to abort that have some bytes together."""
        for each in sorted(self._responses.values(), key=self._rank):
            if excess <= 0:
                return
            if each.key not in left_out:
                excess -= each.unread
                yield each

    def _is_stuck(self, response: UnreadResponse) -> bool:
        """Return whether a response is above its bound and its caller doesn't read."""
        is_above = response.unread > MAX_RESPONSE_BYTES and not response.info.is_whole
        return is_above and self.idle(response) >= STALL_TIME

    def _rank(self, response: UnreadResponse) -> tuple[bool, bool, timedelta]:
        reads = self.idle(response) < STALL_TIME
        return reads, not response.info.is_resumable, response.since


def max_unread_bytes(memory_mb: float) -> int:
    """Return the bound for all responses of a process with some memory."""
    return max(1, round(memory_mb * 1_000_000 * SHARE_OF_MEMORY))
