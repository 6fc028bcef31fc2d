"""A client of the batch interface that records what the test oracle checks."""

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import anyio

from tests.callers import Caller
from tests.oracle import ItemRead, ObservedJob

POLL_S = 0.05
RETRY_DELAY_S = 0.2
ENDED_STATUSES = ("finished", "cancelled")


@dataclass(frozen=True)
class Submission:
    """A job to submit.

    :param prompts: prompt by item id; for a plain service, the request body instead.
    """

    key: str
    prompts: Mapping[str, str]
    max_tokens: int
    service: str = "lm"

    def _line(self, key: str, prompt: str) -> dict[str, object]:
        if self.service == "lm":
            return {"id": key, "prompt": prompt, "max_tokens": self.max_tokens}
        return {"id": key, "method": "POST", "path": "/bookings", "body": prompt}

    @property
    def body(self) -> bytes:
        """The request body, in JSON lines."""
        lines = [self._line(key, prompt) for key, prompt in self.prompts.items()]
        return "\n".join(json.dumps(line) for line in lines).encode()


@dataclass(frozen=True)
class Submitted:
    """The answer to a submission: a job id, or an error code."""

    job_id: str = ""
    code: str = ""
    retry_after_ms: int | None = None


@dataclass
class JobCaller:
    """Submits jobs through one entry and reads their results."""

    caller: Caller
    ids: dict[str, str] = field(default_factory=dict)

    async def submit(self, job: Submission) -> Submitted:
        """Submit a job once."""
        answer = await self._json(
            "POST",
            f"/v1/batches?service={job.service}",
            job.body,
            {"idempotency-key": job.key},
        )
        if "error" in answer:
            error = answer["error"]
            return Submitted("", error["code"], error["retry_after_ms"])
        self.ids[job.key] = answer["id"]
        return Submitted(answer["id"])

    async def submit_until_accepted(self, job: Submission) -> Submitted:
        """Submit a job with its key, retrying until it is accepted."""
        with anyio.fail_after(20):
            while True:
                submitted = await self.submit(job)
                if submitted.job_id:
                    return submitted
                await anyio.sleep(RETRY_DELAY_S)

    async def wait_ended(self, job_id: str, within_s: float) -> str:
        """Wait until a job has ended and return its status."""
        with anyio.fail_after(within_s):
            while True:
                answer = await self._json("GET", f"/v1/batches/{job_id}")
                if answer.get("status") in ENDED_STATUSES:
                    return str(answer["status"])
                await anyio.sleep(POLL_S)

    async def results(self, job_id: str) -> list[ItemRead]:
        """Read a job's results, retrying until a read is complete."""
        with anyio.fail_after(20):
            while True:
                lines = await self._lines(job_id)
                if lines is not None and not any("error_code" in x for x in lines):
                    return [_item_read(line) for line in lines]
                await anyio.sleep(RETRY_DELAY_S)

    async def results_or_code(self, job_id: str) -> str:
        """Read a job's results once; return the error code, empty for none."""
        for line in await self._lines(job_id) or []:
            if "error_code" in line:
                return str(line["error_code"])
        return ""

    async def cancel_until_confirmed(self, job_id: str) -> float:
        """Cancel a job, retrying until confirmed; return the wall time of the reply."""
        with anyio.fail_after(20):
            while True:
                answer = await self._json("POST", f"/v1/batches/{job_id}/cancel")
                if answer.get("status") == "cancelled":
                    return time.time()
                await anyio.sleep(RETRY_DELAY_S)

    async def finish(self, job: Submission, within_s: float) -> ObservedJob:
        """Wait until a job has finished and read its results twice."""
        job_id = self.ids[job.key]
        assert await self.wait_ended(job_id, within_s) == "finished"
        reads = [await self.results(job_id), await self.results(job_id)]
        return ObservedJob(job_id, job.prompts, job.max_tokens, reads)

    async def _lines(self, job_id: str) -> list[dict[str, Any]] | None:
        answer = await self.caller.send("GET", f"/v1/batches/{job_id}/results")
        if answer is None:
            return None
        lines = [json.loads(line) for line in answer.content.splitlines()]
        return [_with_error_code(line) for line in lines]

    async def _json(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> dict[str, Any]:
        answer = await self.caller.send(method, path, body, headers)
        if answer is None:
            return {"error": {"code": "lost", "retry_after_ms": None}}
        parsed: dict[str, Any] = json.loads(answer.content)
        return parsed


def _with_error_code(line: dict[str, Any]) -> dict[str, Any]:
    """Replace a line that reports an error of the whole response by its code."""
    if "id" not in line:
        return {"error_code": line["error"]["code"]}
    return line


def _item_read(line: dict[str, Any]) -> ItemRead:
    return ItemRead(line["id"], line["ok"], line.get("text") or "")
