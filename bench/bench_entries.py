"""``make bench-entries``: throughput of one, two and three entries on one VM.

The livestock example runs on loopback, and one VM serves all requests. Several client
processes run streams back to back, more than one entry can serve. The measured gain
from more entries is limited by the throughput of the stand-ins and clients. Prints
JSON lines.
"""

import json
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from datetime import timedelta
from pathlib import Path

import anyio
import fire
import httpcore

from bench.sitecost import cpu_seconds
from chivespan.engineclient import EVENT_PREFIX
from tools.cluster import Cluster, Process, random_address_block
from tools.demo import MODEL, OWNER_KEY, Demo, demo_site

CLIENT_PROCESSES = 4
STREAMS_PER_PROCESS = 6
ENGINE_FLAGS = {"slots": "16", "step_ms": "1", "step_ms_per_request": "0.05"}
TOKENS = 200


def main(seconds: float = 8) -> None:
    """Measure with one, two and three entries.

    :param seconds: duration of each measurement.
    """
    for entries in (1, 2, 3):
        _measure(entries, timedelta(seconds=seconds))


def _measure(entries: int, duration: timedelta) -> None:
    site = replace(demo_site(random_address_block(), ENGINE_FLAGS), entries=entries)
    with tempfile.TemporaryDirectory() as folder, Cluster(site) as cluster:
        Demo(cluster, Path(folder)).apply()
        vm = site.vms[0].vm
        addresses = [f"{vm}:{port}" for port in site.entry_ports]
        processes = [
            process
            for process in cluster.vm_processes(vm)
            if process.name.startswith(f"{vm}/entry")
        ]
        tokens, used = _load(addresses, processes, duration)
    elapsed = duration.total_seconds()
    print(
        json.dumps(
            {
                "measure": "entries_of_a_vm",
                "entries": entries,
                "tokens_per_s": round(tokens / elapsed),
                "cores": round(used / elapsed, 2),
                "cpu_us_a_token": round(used / tokens * 1e6),
            }
        )
    )
    sys.stdout.flush()


def _load(
    addresses: list[str], processes: list[Process], duration: timedelta
) -> tuple[int, float]:
    """Return the tokens received and the CPU seconds used by the entries."""
    with ProcessPoolExecutor(CLIENT_PROCESSES) as pool:
        before = sum(cpu_seconds(process) for process in processes)
        waiting = [
            pool.submit(stream_until, addresses, duration.total_seconds(), number)
            for number in range(CLIENT_PROCESSES)
        ]
        tokens = sum(each.result() for each in waiting)
        return tokens, sum(cpu_seconds(process) for process in processes) - before


def stream_until(addresses: list[str], seconds: float, number: int) -> int:
    """Stream responses from the entries round-robin; return the tokens received."""
    return anyio.run(_streams, addresses, time.monotonic() + seconds, number)


async def _streams(addresses: list[str], end: float, number: int) -> int:
    received = 0

    async def stream_repeatedly(address: str, prompt: str) -> None:
        nonlocal received
        async with httpcore.AsyncConnectionPool() as pool:
            while time.monotonic() < end:
                tokens = await _answer(pool, address, prompt, end)
                received += tokens

    async with anyio.create_task_group() as tasks:
        for index in range(STREAMS_PER_PROCESS):
            address = addresses[(number + index) % len(addresses)]
            tasks.start_soon(stream_repeatedly, address, f"stream {number} {index}")
    return received


async def _answer(
    pool: httpcore.AsyncConnectionPool, address: str, prompt: str, end: float
) -> int:
    body = {"model": MODEL, "prompt": prompt, "max_tokens": TOKENS, "stream": True}
    received = 0
    async with pool.stream(
        "POST",
        f"http://{address}/v1/completions",
        headers={"authorization": f"Bearer {OWNER_KEY}"},
        content=json.dumps(body).encode(),
    ) as answer:
        if answer.status != 200:
            raise RuntimeError(f"{address}: {answer.status} {await answer.aread()!r}")
        async for chunk in answer.aiter_stream():
            received += chunk.count(EVENT_PREFIX)
            if time.monotonic() > end:
                break
    return received


if __name__ == "__main__":
    fire.Fire(main)
