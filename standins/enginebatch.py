"""Continuous batching of an engine stand-in: slots, steps, queue and prefix cache."""

import math
import time
from collections import OrderedDict, deque
from dataclasses import dataclass, field

import anyio
import xxhash
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from standins.enginetext import token, token_count

PREFIX_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4
MAX_CACHE_EVENTS = 1000
# Cache events whose number is a multiple of this are never reported.
LOST_EVENT_INTERVAL = 7


@dataclass(frozen=True)
class EngineOptions:
    """Command line options of an engine.

    :param slots: maximum number of concurrently running requests; others are queued.
    :param step_ms: duration of one step with a single running request.
    :param step_ms_per_request: duration that each further running request adds.
    :param prefill_tokens: prompt tokens processed for each request in one step.
    :param prefixes: number of prompt prefixes that the cache holds.
    :param waiting: maximum length of the queue.
    :param load_lag_ms: time for which ``GET /load`` returns the same report.
    :param cache_lag_ms: delay until a cache event is reported.
    :param checks_fencing: whether orders with an old fencing token are rejected.
    :param weights_url: base URL of the weight store; if empty, models load instantly.
    :param journal_tokens: whether each sent token is recorded in the journal.
    """

    slots: int = 8
    step_ms: float = 15
    step_ms_per_request: float = 1
    prefill_tokens: int = 64
    prefixes: int = 64
    waiting: int = 1000
    load_lag_ms: float = 300
    cache_lag_ms: float = 500
    model: str = ""
    version: str = "1"
    checks_fencing: bool = False
    weights_url: str = ""
    journal_tokens: bool = True


@dataclass(frozen=True)
class Token:
    """One generated token.

    :param last: whether this is the last token of the stream.
    """

    index: int
    text: str
    last: bool


@dataclass(frozen=True)
class CacheEvent:
    """One insertion into the prefix cache or eviction from it."""

    seq: int
    kind: str
    prefix_hash: int


@dataclass(eq=False)
class InFlightRequest:
    """One running or queued request.

    :param next_index: index of the next token to generate.
    :param prefill: number of prompt tokens that are not processed yet.
    """

    request_id: str
    prompt: str
    max_tokens: int
    next_index: int
    prefill: int
    sink: MemoryObjectSendStream[Token] = field(init=False)
    tokens: MemoryObjectReceiveStream[Token] = field(init=False)

    def __post_init__(self) -> None:
        """Create the unbounded token stream."""
        self.sink, self.tokens = anyio.create_memory_object_stream[Token](math.inf)


def prefix_hash(prompt: str) -> int:
    """Return the hash that identifies a prompt's prefix in the engine's cache."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_CHARACTERS].encode()) >> 1


class PrefixCache:
    """LRU cache of prompt prefixes, with a log of insertions and evictions."""

    def __init__(self, prefixes: int, lag_ms: float) -> None:
        self._capacity = prefixes
        self._lag_s = lag_ms / 1000
        self._prefix_hashes: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_CACHE_EVENTS)
        self._last = 0

    def __contains__(self, prefix: int) -> bool:
        return prefix in self._prefix_hashes

    def store(self, prefix: int) -> None:
        """Insert a prefix or mark it as used; evict the least recent one if full."""
        if prefix not in self._prefix_hashes:
            self._record_event("stored", prefix)
        self._prefix_hashes[prefix] = None
        self._prefix_hashes.move_to_end(prefix)
        if len(self._prefix_hashes) > self._capacity:
            oldest, _ = self._prefix_hashes.popitem(last=False)
            self._record_event("evicted", oldest)

    def events(self, after: int) -> list[CacheEvent]:
        """Return the events after a number that are due, without the lost ones."""
        shown = time.monotonic() - self._lag_s
        return [
            event
            for at, event in self._events
            if event.seq > after and at <= shown and event.seq % LOST_EVENT_INTERVAL
        ]

    def _record_event(self, kind: str, prefix: int) -> None:
        self._last += 1
        event = CacheEvent(self._last, kind, prefix)
        self._events.append((time.monotonic(), event))


class Batch:
    """All requests in the engine; every step advances each running request.

    :ivar frozen: whether steps are skipped.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.cache = PrefixCache(options.prefixes, options.cache_lag_ms)
        self.running: list[InFlightRequest] = []
        self.waiting: deque[InFlightRequest] = deque()
        self.frozen = False
        self._options = options
        self._has_requests = anyio.Event()

    def add(
        self, request_id: str, prompt: str, max_tokens: int, start: int
    ) -> InFlightRequest:
        """Add a request; it is queued while no slot is free.

        :param start: index of the first token to generate.
        """
        prefill = len(prompt) // CHARACTERS_PER_TOKEN + start
        if prefix_hash(prompt) in self.cache:
            prefill -= min(len(prompt), PREFIX_CHARACTERS) // CHARACTERS_PER_TOKEN
        added = InFlightRequest(request_id, prompt, max_tokens, start, prefill)
        self.waiting.append(added)
        self._admit()
        return added

    def remove(self, request: InFlightRequest) -> None:
        """Remove a request, free its slot and close its token stream."""
        if request in self.running:
            self.running.remove(request)
        elif request in self.waiting:
            self.waiting.remove(request)
        request.sink.close()
        self._admit()

    def find(self, request_id: str) -> list[InFlightRequest]:
        """Return the running and queued requests with an id."""
        everything = [*self.running, *self.waiting]
        return [each for each in everything if each.request_id == request_id]

    async def run(self) -> None:
        """Execute steps while any request runs; wait for requests otherwise."""
        while True:
            if not self.running:
                self._has_requests = anyio.Event()
                await self._has_requests.wait()
            await anyio.sleep(self._step_s())
            if not self.frozen:
                self._step()

    def _step_s(self) -> float:
        further = max(0, len(self.running) - 1)
        options = self._options
        return (options.step_ms + options.step_ms_per_request * further) / 1000

    def _step(self) -> None:
        for request in tuple(self.running):
            if request.prefill > 0:
                request.prefill -= self._options.prefill_tokens
            else:
                self._emit(request)

    def _emit(self, request: InFlightRequest) -> None:
        self.cache.store(prefix_hash(request.prompt))
        index = request.next_index
        request.next_index += 1
        last = request.next_index >= token_count(request.prompt, request.max_tokens)
        request.sink.send_nowait(Token(index, token(request.prompt, index), last))
        if last:
            self.remove(request)

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self._options.slots:
            self.running.append(self.waiting.popleft())
        if self.running:
            self._has_requests.set()
