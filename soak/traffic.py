"""Traffic of a soak test: online requests, and batch jobs with their readers."""

import json
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

import anyio
import httpcore

from chivespan.resetbackend import ResetAwareBackend
from soak.customers import key_headers
from soak.evidence import NOT_RUN_STATUSES, Evidence, Job, OnlineCall
from tests.fleet import FRONT_PORT, HOST, ONCE_PREFIX, STREAM_PREFIX, Answer, Fleet

MAX_ONLINE_DELAY_S = 0.15
READ_INTERVAL_S = 0.4
RESPONSE_TIMEOUT_S = 6.0
DEADLINE_MS = "5000"
MAX_SUBMISSIONS = 12
END_PROBABILITY = 0.15
# All jobs must complete within this time after the last fault.
COMPLETION_TIMEOUT_S = 45.0


@dataclass(slots=True)
class Callers:
    """All callers of one run.

    :ivar bears_keys: whether all calls bear the key of a customer.
    :ivar is_open: whether callers still send new requests and jobs.
    :ivar sequence: numbers from which the ids of requests and jobs are made.
    """

    site: Fleet
    nodes: int
    random: Random
    evidence: Evidence
    bears_keys: bool = False
    is_open: bool = True
    sequence: "count[int]" = field(default_factory=count)

    async def online(self) -> None:
        """Send requests sequentially over persistent connections."""
        async with httpcore.AsyncConnectionPool(
            network_backend=ResetAwareBackend()
        ) as pool:
            while self.is_open:
                await self._send_request(pool)
                await anyio.sleep(self.random.uniform(0, MAX_ONLINE_DELAY_S))

    async def batch(self, items: int) -> None:
        """Submit jobs sequentially and read the results of each until it completes."""
        while self.is_open:
            job = Job(f"j{next(self.sequence)}", items)
            self.evidence.jobs.append(job)
            await self._submit(job)
            if job.accepted:
                await self._read_until_complete(job)

    def _keys(self, request_id: str) -> dict[str, str]:
        return key_headers(request_id) if self.bears_keys else {}

    def _any_node(self) -> int:
        return self.random.randint(1, self.nodes)

    async def _send_request(self, pool: httpcore.AsyncConnectionPool) -> None:
        name = f"r{next(self.sequence)}"
        at_most_once = self.random.random() < 0.5
        path = ONCE_PREFIX if at_most_once else STREAM_PREFIX
        url = f"http://{self.site.vm(self._any_node())}:{FRONT_PORT}{path}x"
        headers = [
            ("Host", HOST),
            ("X-Chivespan-Request-Id", name),
            ("X-Chivespan-Deadline-Ms", DEADLINE_MS),
            *self._keys(name).items(),
        ]
        status, body, seal = 0, None, ""
        try:
            with anyio.fail_after(RESPONSE_TIMEOUT_S):
                async with pool.stream("GET", url, headers=headers) as response:
                    status = response.status
                    seal = _header(response.headers, b"x-chivespan-server-seal")
                    body = b"".join([chunk async for chunk in response.aiter_stream()])
        except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
            pass  # A truncated or missing response is recorded with no body.
        self.evidence.online.append(OnlineCall(name, at_most_once, status, body, seal))

    async def _submit(self, job: Job) -> None:
        """Submit a job to random nodes until one accepts it."""
        for _ in range(MAX_SUBMISSIONS):
            answer = await _response_or_none(
                self.site.submit(
                    self._any_node(), job.job_id, job.items, self._keys(job.job_id)
                )
            )
            job.statuses.append(0 if answer is None else answer.status)
            if job.accepted:
                return
            if not self.is_open and set(job.statuses) <= NOT_RUN_STATUSES:
                return
            await anyio.sleep(0.3)

    async def _read_until_complete(self, job: Job) -> None:
        """Read a job from random positions at random nodes until all results exist."""
        until = time.monotonic() + COMPLETION_TIMEOUT_S
        while time.monotonic() < until:
            start = self.random.randint(0, len(job.results))
            await self._read(job, start)
            if len(job.results) == job.items:
                job.complete = True
                return
            if self.random.random() < END_PROBABILITY / 4:
                await self._end_job(job)
                return
            await anyio.sleep(READ_INTERVAL_S)
            if self.is_open:
                until = time.monotonic() + COMPLETION_TIMEOUT_S

    async def _end_job(self, job: Job) -> None:
        job.end_requested = True
        for _ in range(MAX_SUBMISSIONS):
            path = f"/-/lots/{job.job_id}"
            answer = await _response_or_none(
                self.site.call(self._any_node(), "DELETE", path, self._keys(job.job_id))
            )
            if answer is not None and answer.status == 200:
                job.ended_at = time.monotonic()
                return
            await anyio.sleep(0.3)

    async def _read(self, job: Job, start: int) -> None:
        path = f"/-/lots/{job.job_id}?after={start}"
        headers = self._keys(job.job_id)
        answer = await _response_or_none(
            self.site.call(self._any_node(), "GET", path, headers)
        )
        if answer is None or answer.status >= 500:
            return
        if answer.status != 200:
            job.missing.append(start)
            return
        rows = json.loads(answer.body)["results"]
        if len(rows) < len(job.results) - start:
            job.missing.append(start + len(rows))
        _record_results(job, start, rows)


def _record_results(job: Job, start: int, rows: Sequence[dict[str, Any]]) -> None:
    for position, row in enumerate(rows, start):
        result = (row["id"], row["state"], row["text"])
        if job.results.setdefault(position, result) != result:
            job.changed.append(position)


async def _response_or_none(call: Any) -> Answer | None:
    """Return the response of a call, or None if the call failed."""
    try:
        answer: Answer = await call
    except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
        return None
    return answer


def _header(headers: Sequence[tuple[bytes, bytes]], wanted: bytes) -> str:
    for name, value in headers:
        if name.lower() == wanted:
            return value.decode()
    return ""
