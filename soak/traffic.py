"""The callers of a soak: online requests, and batch jobs with their readers."""

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
from soak.evidence import NOT_RUN, Evidence, Job, OnlineCall
from tests.fleet import FRONT_PORT, HOST, ONCE_PREFIX, STREAM_PREFIX, Answer, Fleet

ONLINE_PAUSE_S = 0.15
READ_PAUSE_S = 0.4
ANSWER_PATIENCE_S = 6.0
DEADLINE_MS = "5000"
SUBMISSIONS = 12
END_CHANCE = 0.15
# Time after the last fault within which all jobs must be done.
SETTLE_S = 45.0


@dataclass(slots=True)
class Callers:
    """All callers of one run.

    :ivar open: whether new requests and jobs are still made.
    """

    site: Fleet
    nodes: int
    random: Random
    evidence: Evidence
    open: bool = True
    numbers: "count[int]" = field(default_factory=count)

    async def online(self) -> None:
        """Send one request after the other, on connections that are kept."""
        async with httpcore.AsyncConnectionPool(
            network_backend=ResetAwareBackend()
        ) as pool:
            while self.open:
                await self._ask(pool)
                await anyio.sleep(self.random.uniform(0, ONLINE_PAUSE_S))

    async def batch(self, items: int) -> None:
        """Submit one job after the other, and read each until it is done."""
        while self.open:
            job = Job(f"j{next(self.numbers)}", items)
            self.evidence.jobs.append(job)
            await self._submit(job)
            if job.accepted:
                await self._follow(job)

    def _any_node(self) -> int:
        return self.random.randint(1, self.nodes)

    async def _ask(self, pool: httpcore.AsyncConnectionPool) -> None:
        name = f"r{next(self.numbers)}"
        once = self.random.random() < 0.5
        path = ONCE_PREFIX if once else STREAM_PREFIX
        url = f"http://{self.site.vm(self._any_node())}:{FRONT_PORT}{path}x"
        headers = [
            ("Host", HOST),
            ("X-Chivespan-Request-Id", name),
            ("X-Chivespan-Deadline-Ms", DEADLINE_MS),
        ]
        status, body, seal = 0, None, ""
        try:
            with anyio.fail_after(ANSWER_PATIENCE_S):
                async with pool.stream("GET", url, headers=headers) as response:
                    status = response.status
                    seal = _header(response.headers, b"x-chivespan-server-seal")
                    body = b"".join([chunk async for chunk in response.aiter_stream()])
        except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
            pass  # A broken or missing answer is what the record then shows.
        self.evidence.online.append(OnlineCall(name, once, status, body, seal))

    async def _submit(self, job: Job) -> None:
        """Send a job to one node after another until one accepts it."""
        for _ in range(SUBMISSIONS):
            answer = await _answer_of(
                self.site.submit(self._any_node(), job.job_id, job.items)
            )
            job.statuses.append(0 if answer is None else answer.status)
            if job.accepted:
                return
            if not self.open and set(job.statuses) <= NOT_RUN:
                return
            await anyio.sleep(0.3)

    async def _follow(self, job: Job) -> None:
        """Read a job from any position at any node until all results are there."""
        until = time.monotonic() + SETTLE_S
        while time.monotonic() < until:
            start = self.random.randint(0, len(job.listed))
            await self._read(job, start)
            if len(job.listed) == job.items:
                job.whole = True
                return
            if self.random.random() < END_CHANCE / 4:
                await self._end(job)
                return
            await anyio.sleep(READ_PAUSE_S)
            if self.open:
                until = time.monotonic() + SETTLE_S

    async def _end(self, job: Job) -> None:
        job.end_asked = True
        for _ in range(SUBMISSIONS):
            path = f"/-/lots/{job.job_id}"
            answer = await _answer_of(self.site.call(self._any_node(), "DELETE", path))
            if answer is not None and answer.status == 200:
                job.ended_at = time.monotonic()
                return
            await anyio.sleep(0.3)

    async def _read(self, job: Job, start: int) -> None:
        path = f"/-/lots/{job.job_id}?after={start}"
        answer = await _answer_of(self.site.call(self._any_node(), "GET", path))
        if answer is None or answer.status >= 500:
            return
        if answer.status != 200:
            job.missing.append(start)
            return
        rows = json.loads(answer.body)["results"]
        if len(rows) < len(job.listed) - start:
            job.missing.append(start + len(rows))
        _note(job, start, rows)


def _note(job: Job, start: int, rows: Sequence[dict[str, Any]]) -> None:
    for position, row in enumerate(rows, start):
        result = (row["id"], row["state"], row["text"])
        if job.listed.setdefault(position, result) != result:
            job.changed.append(position)


async def _answer_of(call: Any) -> Answer | None:
    """Return the answer of a call; None where none came."""
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
