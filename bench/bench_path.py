"""``make bench-path``: overhead of an entry compared to a direct engine request.

Direct and entry requests alternate in one run, so that both see the same machine load.
The idle cost of the processes is measured afterwards. Prints JSON lines.
"""

import json
import sys
import tempfile
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import fire
import httpcore
from hdrh.histogram import HdrHistogram

from bench.sitecost import cpu_seconds, resident_bytes
from tools.cluster import Cluster, random_address_block
from tools.demo import MODEL, OWNER_KEY, Demo, demo_site

IDLE_TIME = timedelta(seconds=10)
COST_REQUESTS = 60
COST_TOKENS = (50, 100, 200)
HIGHEST_US = 60_000_000


@dataclass(frozen=True)
class RequestPath:
    """One path to the engine.

    :param extra: returns additional fields of the request body.
    """

    name: str
    url: str
    headers: list[tuple[str, str]]
    extra: Callable[[], dict[str, object]]


def main(requests: int = 300, tokens: int = 8) -> None:
    """Measure on the livestock example.

    :param requests: number of requests on each path.
    :param tokens: tokens per response.
    """
    site = demo_site(
        random_address_block(), {"step_ms": "2", "step_ms_per_request": "0.1"}
    )
    with tempfile.TemporaryDirectory() as folder, Cluster(site) as cluster:
        Demo(cluster, Path(folder)).apply()
        _latency(cluster, requests, tokens)
        _cost(cluster)
        _idle(cluster)


def _latency(cluster: Cluster, requests: int, tokens: int) -> None:
    entry = f"{cluster.site.vms[0].vm}:8080"
    paths = [
        RequestPath("direct", cluster.site.engine_addresses[0], [], _direct_fields),
        RequestPath("entry", entry, [("authorization", f"Bearer {OWNER_KEY}")], dict),
    ]
    histograms = {path.name: HdrHistogram(1, HIGHEST_US, 3) for path in paths}
    with httpcore.ConnectionPool() as pool:
        for number in range(requests):
            for path in paths:
                elapsed = _request(pool, path, f"slot {number}", tokens)
                histograms[path.name].record_value(round(elapsed * 1e6))
    for name, histogram in histograms.items():
        _print(
            measure="whole_answer_ms",
            path=name,
            requests=requests,
            tokens=tokens,
            p50=histogram.get_value_at_percentile(50) / 1000,
            p99=histogram.get_value_at_percentile(99) / 1000,
        )


def _cost(cluster: Cluster) -> None:
    """Print the entry's CPU time per request and per streamed token.

    The slope between short and long responses is the cost of a token, the rest is the
    cost of the request. The idle cost during the longer responses is small in
    comparison.
    """
    vm = cluster.site.vms[0].vm
    entry = cluster.process(f"{vm}/entry")
    path = RequestPath(
        "entry", f"{vm}:8080", [("authorization", f"Bearer {OWNER_KEY}")], dict
    )
    costs: dict[int, float] = {}
    with httpcore.ConnectionPool() as pool:
        for tokens in (1, *COST_TOKENS):
            before = cpu_seconds(entry)
            for number in range(COST_REQUESTS):
                _request(pool, path, f"cost {number}", tokens)
            costs[tokens] = (cpu_seconds(entry) - before) / COST_REQUESTS
            _print(
                measure="entry_cpu_of_request",
                tokens=tokens,
                us=round(costs[tokens] * 1e6),
            )
    longest = COST_TOKENS[-1]
    slope = (costs[longest] - costs[1]) / (longest - 1)
    _print(measure="entry_cpu_of_token", us=round(slope * 1e6))


def _direct_fields() -> dict[str, object]:
    return {"request_id": uuid.uuid4().hex, "resume_tokens": []}


def _request(
    pool: httpcore.ConnectionPool, path: RequestPath, prompt: str, tokens: int
) -> float:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True}
    content = json.dumps(body | path.extra()).encode()
    started = time.perf_counter()
    answer = pool.request(
        "POST",
        f"http://{path.url}/v1/completions",
        headers=path.headers,
        content=content,
    )
    if answer.status != 200:
        raise RuntimeError(f"{path.name}: {answer.status} {answer.content!r}")
    return time.perf_counter() - started


def _idle(cluster: Cluster) -> None:
    vm = cluster.site.vms[0].vm
    programs = {
        name: cluster.process(f"{vm}/{name}") for name in ("entry", "dispatch", "batch")
    }
    before = {name: cpu_seconds(process) for name, process in programs.items()}
    time.sleep(IDLE_TIME.total_seconds())
    for name, process in programs.items():
        used = cpu_seconds(process) - before[name]
        _print(
            measure="idle",
            program=name,
            core_percent=round(100 * used / IDLE_TIME.total_seconds(), 2),
            resident_mb=round(resident_bytes(process) / 1e6, 1),
        )


def _print(**fields: object) -> None:
    print(json.dumps(fields))
    sys.stdout.flush()


if __name__ == "__main__":
    fire.Fire(main)
