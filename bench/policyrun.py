"""One run of the policy benchmark: one policy under one load."""

from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, field, replace
from statistics import fmean

import anyio
from anyio.abc import TaskGroup
from hdrh.histogram import HdrHistogram

from bench.policyload import BatchItem, LoadOptions, OnlineArrival
from bench.policysite import GenerationTask, Site, new_release
from chivespan.errors import ChivespanError
from chivespan.messages import Outcome, WorkClass
from standins.enginebatch import CHARACTERS_PER_TOKEN

MICROSECONDS_PER_S = 1e6
HIGHEST_US = 60_000_000
WORKERS_PER_SLOT = 2
SAMPLE_S = 0.1


def histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, HIGHEST_US, 3)


@dataclass(frozen=True)
class Quantiles:
    """Latency quantiles in milliseconds."""

    p50: float
    p95: float
    p99: float
    count: int


def quantiles_of(measured: HdrHistogram) -> Quantiles:
    """Return the quantiles of a histogram of microseconds."""
    p50, p95, p99 = (
        measured.get_value_at_percentile(percent) / 1000 for percent in (50, 95, 99)
    )
    return Quantiles(p50, p95, p99, measured.get_total_count())


@dataclass(frozen=True)
class Histograms:
    """Encoded histograms from which a result's quantiles were computed."""

    first_token_ms: str
    first_token_steady_ms: str
    first_token_burst_ms: str
    grant_ms: str
    token_gap_ms: str


def encode_histograms(measures: "Measurements") -> Histograms:
    """Encode a run's histograms so that they can be merged across seeds."""
    return Histograms(
        first_token_ms=measures.first_token.encode().decode(),
        first_token_steady_ms=measures.first_token_steady.encode().decode(),
        first_token_burst_ms=measures.first_token_burst.encode().decode(),
        grant_ms=measures.grant.encode().decode(),
        token_gap_ms=measures.gap.encode().decode(),
    )


def merge_results(results: Sequence["Result"]) -> "Result":
    """Merge the results of several seeds: counts are summed, rates averaged."""
    if len(results) == 1:
        return results[0]
    first = results[0]
    return replace(
        first,
        first_token_ms=_merge_quantiles(results, "first_token_ms"),
        first_token_steady_ms=_merge_quantiles(results, "first_token_steady_ms"),
        first_token_burst_ms=_merge_quantiles(results, "first_token_burst_ms"),
        grant_ms=_merge_quantiles(results, "grant_ms"),
        token_gap_ms=_merge_quantiles(results, "token_gap_ms"),
        online_done=sum(each.online_done for each in results),
        online_refused=sum(each.online_refused for each in results),
        batch_items_per_s=fmean(each.batch_items_per_s for each in results),
        batch_tokens_per_s=fmean(each.batch_tokens_per_s for each in results),
        batch_revokes=sum(each.batch_revokes for each in results),
        batch_tokens_reread=sum(each.batch_tokens_reread for each in results),
        processor_share=fmean(each.processor_share for each in results),
    )


def _merge_quantiles(results: Sequence["Result"], key: str) -> Quantiles:
    total = histogram()
    for result in results:
        total.decode_and_add(getattr(result.histograms, key))
    return quantiles_of(total)


@dataclass(frozen=True)
class Sample:
    """Slots in use and queue length at one point in time."""

    at: float
    online: int
    batch: int
    queued: int


@dataclass
class Measurements:
    """Raw measurements of one run."""

    first_token: HdrHistogram = field(default_factory=histogram)
    first_token_steady: HdrHistogram = field(default_factory=histogram)
    first_token_burst: HdrHistogram = field(default_factory=histogram)
    grant: HdrHistogram = field(default_factory=histogram)
    gap: HdrHistogram = field(default_factory=histogram)
    online_done: int = 0
    online_refused: int = 0
    items_done: int = 0
    batch_tokens: int = 0
    revokes: int = 0
    tokens_reread: int = 0
    samples: list[Sample] = field(default_factory=list)


class Run:
    """Replays a load against a site."""

    def __init__(
        self,
        site: Site,
        load: LoadOptions,
        arrivals: Iterable[OnlineArrival],
        items: Iterable[BatchItem],
        kill_at_s: float | None,
    ) -> None:
        self.measures = Measurements()
        self._site = site
        self._load = load
        self._arrivals = list(arrivals)
        self._items = iter(enumerate(items))
        self._kill_at_s = kill_at_s
        self._start = 0.0

    async def replay(self) -> Measurements:
        """Replay the whole load and return the measurements."""
        async with anyio.create_task_group() as tasks:
            self._site.start(tasks)
            self._start = anyio.current_time()
            tasks.start_soon(self._sample)
            tasks.start_soon(self._submit_batch)
            if self._kill_at_s is not None:
                tasks.start_soon(self._kill, tasks)
            async with anyio.create_task_group() as callers:
                for index, arrival in enumerate(self._arrivals):
                    await anyio.sleep(max(0.0, arrival.at - self._now()))
                    callers.start_soon(self._call, index, arrival)
                await anyio.sleep(max(0.0, self._load.seconds - self._now()))
                self._stop_counting_batch()
            tasks.cancel_scope.cancel()
        return self.measures

    def _now(self) -> float:
        return anyio.current_time() - self._start

    def _stop_counting_batch(self) -> None:
        self._final = (self.measures.items_done, self.measures.batch_tokens)

    @property
    def batch_total(self) -> tuple[int, int]:
        """Batch items and tokens completed by the end of the load."""
        return self._final

    async def _kill(self, tasks: TaskGroup) -> None:
        assert self._kill_at_s is not None
        await anyio.sleep(self._kill_at_s)
        slice_id = min(self._site.slices)
        await self._site.kill_dispatcher(slice_id, tasks)

    async def _call(self, index: int, arrival: OnlineArrival) -> None:
        """Send one online request; a refusal is counted and not retried."""
        work = GenerationTask(f"online-{index}", arrival.prompt, arrival.tokens)
        request = self._site.request(work, f"owner{arrival.owner}", WorkClass.online)
        data_centre = self._site.data_centre(arrival.data_centre)
        try:
            held = await self._site.acquire(request, data_centre)
        except ChivespanError:
            self.measures.online_refused += 1
            return
        granted = anyio.current_time()
        granted_us = (granted - self._start - arrival.at) * MICROSECONDS_PER_S
        self.measures.grant.record_value(max(1, int(granted_us)))
        first = last = 0.0
        received = 0
        async for _ in self._site.stream(held, work):
            now = anyio.current_time()
            if received == 0:
                first = now
                self._record_first_token(arrival, now)
            else:
                self.measures.gap.record_value(
                    int((now - last) * MICROSECONDS_PER_S) or 1
                )
            last = now
            received += 1
        self.measures.online_done += 1
        gap_us = (last - first) / max(1, received - 1) * MICROSECONDS_PER_S
        release = new_release(
            held,
            Outcome.done,
            first_token_us=int((first - granted) * MICROSECONDS_PER_S),
            token_gap_us=int(gap_us),
            tokens=received,
        )
        await self._site.release(held, release)

    def _record_first_token(self, arrival: OnlineArrival, now: float) -> None:
        waited = now - self._start - arrival.at
        value = max(1, int(waited * MICROSECONDS_PER_S))
        measures = self.measures
        measures.first_token.record_value(value)
        phase = (
            measures.first_token_burst
            if arrival.in_burst
            else measures.first_token_steady
        )
        phase.record_value(value)

    async def _submit_batch(self) -> None:
        await anyio.sleep(self._load.batch_at_s)
        async with anyio.create_task_group() as workers:
            for part in self._site.slices.values():
                slots = sum(runner.slots for runner in part.runners)
                for index in range(slots * WORKERS_PER_SLOT):
                    workers.start_soon(self._work, part.slice_id, index)

    async def _work(self, slice_id: str, index: int) -> None:
        """Process batch items one after another."""
        owner = f"owner{index % 4}"
        for number, item in self._items:
            received = 0
            while received < item.tokens:
                work = GenerationTask(
                    f"batch-{number}", item.prompt, item.tokens, received
                )
                received += await self._attempt(slice_id, owner, work)
            self.measures.items_done += 1

    async def _attempt(self, slice_id: str, owner: str, work: GenerationTask) -> int:
        """Run an item until it finishes or is revoked; return the tokens received."""
        request = self._site.request(work, owner, WorkClass.batch)
        part = self._site.slices[slice_id]
        try:
            held = await self._site.acquire_from(request, part)
        except ChivespanError as refusal:
            retry_after = refusal.retry_after
            assert retry_after is not None
            await anyio.sleep(retry_after.total_seconds())
            return 0
        received = 0
        async for _ in self._site.stream(held, work):
            received += 1
            self.measures.batch_tokens += 1
        finished = work.received + received == work.tokens
        if not finished:
            self.measures.revokes += 1
            prompt = len(work.prompt) // CHARACTERS_PER_TOKEN
            self.measures.tokens_reread += prompt + work.received + received
        outcome = Outcome.done if finished else Outcome.cancelled
        await self._site.release(held, new_release(held, outcome, tokens=received))
        return received

    async def _sample(self) -> None:
        while True:
            loads = [each.load() for each in self._site.schedulers.values()]
            used = sum(load.total_slots - load.free_slots for load in loads)
            batch = sum(load.batch_running for load in loads)
            queued = sum(load.queued_online for load in loads)
            self.measures.samples.append(
                Sample(round(self._now(), 2), used - batch, batch, queued)
            )
            await anyio.sleep(SAMPLE_S)


@dataclass(frozen=True)
class Result:
    """One line of the benchmark's output."""

    deployment: str
    policy: str
    seed: int
    dispatcher_killed: bool
    first_token_ms: Quantiles
    first_token_steady_ms: Quantiles
    first_token_burst_ms: Quantiles
    grant_ms: Quantiles
    token_gap_ms: Quantiles
    online_done: int
    online_refused: int
    batch_items_per_s: float
    batch_tokens_per_s: float
    batch_revokes: int
    batch_tokens_reread: int
    processor_share: float
    samples: list[Sample]
    histograms: Histograms

    def as_json(self) -> dict[str, object]:
        """Return the result as the content of a JSON line."""
        return asdict(self)
