"""Open-loop online load with seeded arrivals, sent through real entries."""

import itertools
import json
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import anyio
import httpcore
import msgspec
import numpy
from hdrh.histogram import HdrHistogram

from chivespan.erroranswer import ErrorAnswer

HIGHEST_US = 60_000_000
PERCENTILES = (50, 95, 99)
ONLINE_TOKENS = 16
BURST_EVERY_S = 5.0
BURST_S = 1.0
BURST_FACTOR = 4.0
END = b"data: [DONE]\n\n"


@dataclass(frozen=True)
class Callers:
    """Entries, owners and model of the load.

    :param addresses: entries, used round-robin.
    :param keys: owners' API keys, used round-robin.
    """

    addresses: Sequence[str]
    keys: Sequence[str]
    model: str


@dataclass
class RequestRecord:
    """Timing and outcome of one request; wall times in seconds.

    :param due: intended start.
    :param sent: actual start.
    :param first: arrival of the first byte of the response body.
    :param refused: error code, empty for none.
    :param complete: whether the response ended with the end marker.
    """

    due: float
    sent: float = 0.0
    first: float = 0.0
    request_id: str = ""
    refused: str = ""
    complete: bool = False

    @property
    def answered(self) -> bool:
        """Whether a first token arrived."""
        return self.first > 0


@dataclass(frozen=True)
class LoadSummary:
    """Outcome counts and latency percentiles of one phase.

    :param answered: number of complete responses.
    :param refused: number of refused requests by error code.
    :param broken: number of responses that started but did not complete.
    :param p50: median time from intended start to first token in milliseconds;
        ``p95`` and ``p99`` likewise.
    """

    requests: int
    answered: int
    refused: dict[str, int]
    broken: int
    p50: float
    p95: float
    p99: float


def arrivals(seconds: float, rate: float, seed: int) -> list[float]:
    """Return the start times of requests in seconds: a steady rate with 1 s bursts."""
    return list(_arrivals(seconds, rate, seed))


def _arrivals(seconds: float, rate: float, seed: int) -> Iterator[float]:
    generator = numpy.random.default_rng(seed)
    at = 0.0
    while at < seconds:
        bursting = at % BURST_EVERY_S > BURST_EVERY_S - BURST_S
        at += generator.exponential(1 / (rate * (BURST_FACTOR if bursting else 1.0)))
        yield at


def summary(records: Sequence[RequestRecord]) -> LoadSummary:
    """Return outcome counts and latency percentiles of requests."""
    histogram = HdrHistogram(1, HIGHEST_US, 3)
    for each in records:
        if each.answered:
            histogram.record_value(round((each.first - each.due) * 1e6))
    p50, p95, p99 = (
        histogram.get_value_at_percentile(each) / 1000 for each in PERCENTILES
    )
    return LoadSummary(
        requests=len(records),
        answered=sum(each.complete for each in records),
        refused=dict(Counter(each.refused for each in records if each.refused)),
        broken=sum(each.answered and not each.complete for each in records),
        p50=p50,
        p95=p95,
        p99=p99,
    )


async def send_all(callers: Callers, due: Sequence[float]) -> list[RequestRecord]:
    """Send each request at its start time, regardless of outstanding requests."""
    started = time.time()
    records = [RequestRecord(started + at) for at in due]
    keys_and_addresses = itertools.cycle(
        itertools.product(callers.keys, callers.addresses)
    )
    async with (
        httpcore.AsyncConnectionPool(max_connections=None) as pool,
        anyio.create_task_group() as tasks,
    ):
        for number, (each, (key, address)) in enumerate(
            zip(records, keys_and_addresses, strict=False)
        ):
            await anyio.sleep(max(0.0, each.due - time.time()))
            prompt = f"Is slot {number} free?"
            tasks.start_soon(_send, pool, address, key, callers.model, prompt, each)
    return records


async def _send(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    key: str,
    model: str,
    prompt: str,
    record: RequestRecord,
) -> None:
    body = {
        "model": model,
        "prompt": prompt,
        "max_tokens": ONLINE_TOKENS,
        "stream": True,
    }
    record.sent = time.time()
    content = b""
    try:
        async with pool.stream(
            "POST",
            f"http://{address}/v1/completions",
            headers=[("authorization", f"Bearer {key}")],
            content=json.dumps(body).encode(),
        ) as answer:
            record.request_id = dict(answer.headers).get(b"x-request-id", b"").decode()
            if answer.status != 200:
                refusal = msgspec.json.decode(await answer.aread(), type=ErrorAnswer)
                record.refused = refusal.error.code
                return
            async for chunk in answer.aiter_stream():
                record.first = record.first or time.time()
                content += chunk
    except httpcore.NetworkError as error:
        record.refused = type(error).__name__
    record.complete = content.endswith(END)
