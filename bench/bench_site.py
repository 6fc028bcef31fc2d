"""``make bench-site``: harm of batch to online first tokens, through all processes.

Three VMs' programs and the engine stand-ins run on loopback. The same seeded arrivals
come three times: without batch, beside a batch job that never runs dry, and without
batch again, which shows how far the machine itself moves the figures. Open loop:
latency counts from the intended start. Prints JSON lines.
"""

import itertools
import json
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

import anyio
import fire
import httpcore
import msgspec
import numpy
from hdrh.histogram import HdrHistogram

from chivespan.callerapi import ErrorAnswer
from tools.cluster import Cluster, free_block
from tools.demo import MODEL, OWNER_KEY, Demo, demo_site, job_items

HIGHEST_US = 60_000_000
PERCENTILES = (50, 95, 99)
ONLINE_TOKENS = 16
BATCH_TOKENS = 32
BATCH_ITEMS = 4000
BURST_EVERY_S = 5.0
BURST_S = 1.0
BURST_FACTOR = 4.0
SETTLE = timedelta(seconds=3)


@dataclass
class Seen:
    """What the callers of one phase saw."""

    first_token: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, HIGHEST_US, 3)
    )
    answered: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    reasons: set[str] = field(default_factory=set)
    broken: int = 0


def main(seconds: float = 20, rate: float = 12, seed: int = 1) -> None:
    """Measure on the livestock example.

    :param seconds: length of each phase.
    :param rate: online requests a second outside the bursts.
    """
    site = demo_site(free_block())
    with tempfile.TemporaryDirectory() as folder, Cluster(site) as cluster:
        demo = Demo(cluster, Path(folder))
        demo.apply()
        addresses = [f"{place.vm}:8080" for place in site.vms]
        _phase("no batch", addresses, list(_arrivals(seconds, rate, seed)))
        job = demo.submit(job_items("Plan", BATCH_ITEMS, BATCH_TOKENS), "bench").id
        time.sleep(SETTLE.total_seconds())
        alone = _items_per_s(demo, job, seconds / 2)
        before, started = demo.state(job).done, time.monotonic()
        _phase("batch", addresses, list(_arrivals(seconds, rate, seed)))
        beside = (demo.state(job).done - before) / (time.monotonic() - started)
        _print(measure="batch_items_per_s", alone=alone, beside_online=beside)
        demo.cancel(job)
        time.sleep(SETTLE.total_seconds())
        _phase("no batch again", addresses, list(_arrivals(seconds, rate, seed)))


def _arrivals(seconds: float, rate: float, seed: int) -> Iterator[float]:
    """Yield the seconds at which requests are due: steady, with bursts of a second."""
    generator = numpy.random.default_rng(seed)
    at = 0.0
    while at < seconds:
        bursting = at % BURST_EVERY_S > BURST_EVERY_S - BURST_S
        at += generator.exponential(1 / (rate * (BURST_FACTOR if bursting else 1.0)))
        yield at


def _items_per_s(demo: Demo, job: str, seconds: float) -> float:
    before = demo.state(job).done
    time.sleep(seconds)
    return (demo.state(job).done - before) / seconds


def _phase(name: str, addresses: list[str], arrivals: list[float]) -> None:
    seen = Seen()
    anyio.run(_ask_all, addresses, arrivals, seen, backend_options={"use_uvloop": True})
    quantiles = {
        f"p{percentile}": seen.first_token.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
    _print(
        measure="first_token_ms",
        phase=name,
        requests=len(arrivals),
        answered=seen.answered,
        refused=dict(seen.refused),
        reasons=sorted(seen.reasons),
        broken=seen.broken,
        **quantiles,
    )


async def _ask_all(addresses: list[str], arrivals: list[float], seen: Seen) -> None:
    started = time.monotonic()
    async with (
        httpcore.AsyncConnectionPool(max_connections=None) as pool,
        anyio.create_task_group() as tasks,
    ):
        for number, (due, address) in enumerate(
            zip(arrivals, itertools.cycle(addresses), strict=False)
        ):
            await anyio.sleep(max(0.0, started + due - time.monotonic()))
            tasks.start_soon(_ask, pool, address, number, started + due, seen)


async def _ask(
    pool: httpcore.AsyncConnectionPool,
    address: str,
    number: int,
    due: float,
    seen: Seen,
) -> None:
    body = {
        "model": MODEL,
        "prompt": f"Is slot {number} free?",
        "max_tokens": ONLINE_TOKENS,
        "stream": True,
    }
    content = b""
    async with pool.stream(
        "POST",
        f"http://{address}/v1/completions",
        headers=[("authorization", f"Bearer {OWNER_KEY}")],
        content=json.dumps(body).encode(),
    ) as answer:
        if answer.status != 200:
            refusal = msgspec.json.decode(await answer.aread(), type=ErrorAnswer)
            seen.refused[refusal.error.code] += 1
            seen.reasons.add(refusal.error.message)
            return
        async for chunk in answer.aiter_stream():
            if not content:
                waited_us = round((time.monotonic() - due) * 1e6)
                seen.first_token.record_value(waited_us)
            content += chunk
    if content.endswith(b"data: [DONE]\n\n"):
        seen.answered += 1
    else:
        seen.broken += 1


def _print(**fields: object) -> None:
    print(json.dumps(fields))
    sys.stdout.flush()


if __name__ == "__main__":
    fire.Fire(main)
