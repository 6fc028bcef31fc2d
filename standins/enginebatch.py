"""The running batch of an engine stand-in: slots, steps, queue and prefix cache."""

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
EVENTS_KEPT = 1000
LOST_EVENT_EVERY = 7


@dataclass(frozen=True)
class EngineOptions:
    """Flags of an engine.

    :param slots: requests that run at a time; others queue in the engine.
    :param step_ms: time of one step when one request runs.
    :param step_ms_per_request: what each further running request adds to a step.
    :param prefill_tokens: prompt tokens read in one step.
    :param prefixes: prompt heads kept in the cache.
    :param load_lag_ms: age up to which ``GET /load`` repeats itself.
    :param cache_lag_ms: a cache event shows this much later.
    :param weights_url: base URL of the weight store; empty loads at once.
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
    """One token of a stream."""

    index: int
    text: str
    last: bool


@dataclass(frozen=True)
class CacheEvent:
    """One change of the prefix cache."""

    seq: int
    kind: str
    prefix_hash: int


@dataclass(eq=False)
class InFlightRequest:
    """One request in the engine.

    :param next_index: index of the next token to send.
    :param prefill: prompt tokens still to be read.
    """

    request_id: str
    prompt: str
    max_tokens: int
    next_index: int
    prefill: int
    sink: MemoryObjectSendStream[Token] = field(init=False)
    tokens: MemoryObjectReceiveStream[Token] = field(init=False)

    def __post_init__(self) -> None:
        """Open the stream of tokens."""
        self.sink, self.tokens = anyio.create_memory_object_stream[Token](math.inf)


def prefix_hash(prompt: str) -> int:
    """Return the hash of a prompt's head, as the engine's cache names it."""
    return xxhash.xxh3_64_intdigest(prompt[:PREFIX_CHARACTERS].encode()) >> 1


class PrefixCache:
    """The prompt heads that were read lately, and the events about them."""

    def __init__(self, prefixes: int, lag_ms: float) -> None:
        self._prefixes = prefixes
        self._lag_s = lag_ms / 1000
        self._kept: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=EVENTS_KEPT)
        self._last = 0

    def __contains__(self, prefix: int) -> bool:
        return prefix in self._kept

    def store(self, prefix: int) -> None:
        """Keep a head, and drop the one unused for longest when full."""
        if prefix not in self._kept:
            self._tell("stored", prefix)
        self._kept[prefix] = None
        self._kept.move_to_end(prefix)
        if len(self._kept) > self._prefixes:
            oldest, _ = self._kept.popitem(last=False)
            self._tell("evicted", oldest)

    def events(self, after: int) -> list[CacheEvent]:
        """Return the events that show by now, without those that got lost."""
        shown = time.monotonic() - self._lag_s
        return [
            event
            for at, event in self._events
            if event.seq > after and at <= shown and event.seq % LOST_EVENT_EVERY
        ]

    def _tell(self, kind: str, prefix: int) -> None:
        self._last += 1
        event = CacheEvent(self._last, kind, prefix)
        self._events.append((time.monotonic(), event))


class Batch:
    """All requests in the engine; those that run share every step."""

    def __init__(self, options: EngineOptions) -> None:
        self.cache = PrefixCache(options.prefixes, options.cache_lag_ms)
        self.running: list[InFlightRequest] = []
        self.waiting: deque[InFlightRequest] = deque()
        self.frozen = False
        self._options = options
        self._work = anyio.Event()

    def add(
        self, request_id: str, prompt: str, max_tokens: int, start: int
    ) -> InFlightRequest:
        """Take a request in, which waits while no slot is free."""
        prefill = len(prompt) // CHARACTERS_PER_TOKEN + start
        if prefix_hash(prompt) in self.cache:
            prefill -= min(len(prompt), PREFIX_CHARACTERS) // CHARACTERS_PER_TOKEN
        added = InFlightRequest(request_id, prompt, max_tokens, start, prefill)
        self.waiting.append(added)
        self._admit()
        return added

    def remove(self, request: InFlightRequest) -> None:
        """Free the request's slot; its stream ends where it is."""
        if request in self.running:
            self.running.remove(request)
        elif request in self.waiting:
            self.waiting.remove(request)
        request.sink.close()
        self._admit()

    def find(self, request_id: str) -> list[InFlightRequest]:
        """Return the requests with this id."""
        everything = [*self.running, *self.waiting]
        return [each for each in everything if each.request_id == request_id]

    async def run(self) -> None:
        """Do one step after the other, as long as anything runs."""
        while True:
            if not self.running:
                self._work = anyio.Event()
                await self._work.wait()
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
            self._work.set()
