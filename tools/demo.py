"""End-to-end demo of the livestock example, run by ``make demo``.

The programs of three VMs and the stand-ins run as separate processes on loopback
addresses and are stopped at the end. Each step prints its result.
"""

import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Mapping
from contextlib import suppress
from datetime import timedelta
from pathlib import Path
from typing import TypeVar

import fire
import httpcore
import msgspec

from chivespan.addressselector import MAX_ADDRESSES
from chivespan.callerapi import (
    AddressAnswer,
    BatchJob,
    BatchModelItem,
    BatchResult,
    ChatChunk,
    CompletionAnswer,
)
from chivespan.erroranswer import ErrorAnswer
from tools.cluster import Cluster, Site, random_address_block, wait_until
from tools.exampleconfig import EXAMPLES, write_example

T = TypeVar("T")

EXAMPLE = EXAMPLES / "livestock"
DATA_CENTRES = ("hr-east-osijek", "hr-east-vukovar", "hr-east-slavonski")
REGION = "hr-east"
MODEL = "booking-lm"
OPERATOR = "ana"
OPERATOR_KEY = "demo-operator-ana"
FIXED_BLOCK = "127.7.7"
OWNER = "baranja-haulage"
OWNER_KEY = "demo-owner-baranja"
JOB_ITEMS = 40
LONG_JOB_ITEMS = 400
LONG_TOKENS = 64
FINISHED = "finished"
CANCELLED = "cancelled"
SETTLE_TIME = timedelta(seconds=1)
JOB_TIMEOUT = timedelta(seconds=60)
READY_TIMEOUT = timedelta(seconds=20)


class Demo:
    """The steps of the demo; each prints its result and fails if it is unexpected."""

    def __init__(self, cluster: Cluster, folder: Path) -> None:
        self._cluster = cluster
        self._folder = folder
        self._entries = [
            f"{spec.vm}:{port}"
            for spec in cluster.site.vms
            for port in cluster.site.entry_ports
        ]
        self._address = self._entries[0]
        self._step = 0

    def run(self) -> None:
        """Run all steps."""
        self.apply()
        self._request_addresses()
        self._complete_request()
        self._streamed_request()
        self._plain_calls()
        self._invalid_requests()
        job = self._submit_job_twice()
        self._read_results(job)
        self._cancel_job()
        self._operator_commands()

    def keep(self) -> None:
        """Apply the example's configuration and wait for the interrupt key."""
        self.apply()
        print("\nReady; stop with the interrupt key (Ctrl-C). For the command line:")
        for name, value in self._settings().items():
            print(f"export {name}={value}")
        sys.stdout.flush()
        with suppress(KeyboardInterrupt):
            signal.pause()

    def _settings(self) -> dict[str, str]:
        return {
            "CHIVESPAN_LOG_URL": self._cluster.site.log_url,
            "CHIVESPAN_OPERATOR": OPERATOR,
            "CHIVESPAN_OPERATOR_KEY": OPERATOR_KEY,
            "CHIVESPAN_ENTRY": self._address,
        }

    def apply(self) -> None:
        """Apply the example's configuration and wait until every VM is ready."""
        self._print_step("An operator checks the example and puts it in force")
        written = write_example(EXAMPLE, self._cluster.site, self._folder)
        files = [str(path) for path in written]
        self._run_operator_command("validate", *files)
        self._run_operator_command("apply", *files, "--reason=first day")
        for _ in wait_until("the configuration on every VM", READY_TIMEOUT):
            if all(self._is_ready(address) for address in self._entries):
                break

    def _is_ready(self, address: str) -> bool:
        answer = self._request("GET", "/v1/addresses", address=address)
        if answer.status != 200:
            return False
        named = len(_decode(answer, AddressAnswer).addresses)
        return named == min(len(self._entries), MAX_ADDRESSES)

    def _request_addresses(self) -> None:
        self._print_step("A caller asks any VM which address to use")
        answer = _decode(self._request("GET", "/v1/addresses"), AddressAnswer)
        print(f"use {', '.join(answer.addresses)}", end=" ")
        print(f"for {answer.lifetime_ms / 1000:.0f} s")
        self._address = answer.addresses[0]

    def _complete_request(self) -> None:
        self._print_step("An online request, answered whole")
        body = {"model": MODEL, "prompt": "Is slot 7 free?", "max_tokens": 12}
        answer = _decode(
            self._request("POST", "/v1/completions", body), CompletionAnswer
        )
        print(f"{answer.choices[0].text!r} ({answer.choices[0].finish_reason})")

    def _streamed_request(self) -> None:
        self._print_step("An online chat request, answered as a stream")
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": "Is permit 4711 valid?"}],
            "max_tokens": 8,
            "stream": True,
        }
        answer = self._request("POST", "/v1/chat/completions", body)
        events = _events(answer.content)
        chunks = [msgspec.json.decode(event, type=ChatChunk) for event in events[:-1]]
        for chunk in chunks:
            print(repr(chunk.choices[0].delta.content), end=" ")
        print(f"then {events[-1].decode()}")
        _require(events[-1] == b"[DONE]", "the stream ends with its end marker")

    def _plain_calls(self) -> None:
        self._print_step("Plain calls: a booking, never sent twice, and a permit")
        body = {"farm": "Bilje 12", "slot": 7}
        booking = self._request("POST", "/services/bookings/bookings", body)
        print(f"{booking.status} {booking.content.decode()}")
        permit = self._request("GET", "/services/bookings/permits/4711")
        print(f"{permit.status} {permit.content.decode()}")
        _require((booking.status, permit.status) == (201, 200), "both calls succeed")

    def _invalid_requests(self) -> None:
        self._print_step("Mistakes, each with its own error")
        self._invalid_request({"model": MODEL, "promt": "x"})
        self._invalid_request({"model": "no-such-model", "prompt": "x"})
        self._invalid_request({"model": MODEL, "prompt": "x"}, key="nobody's")

        lines = job_items("Route summary", 40).split(b"\n")
        lines[36] = b'{"id": "route-36", "promt": "x"}'
        path = f"/v1/batches?service={MODEL}"
        self._print_refusal(self._request("POST", path, b"\n".join(lines)))

    def _invalid_request(
        self, body: Mapping[str, object], key: str = OWNER_KEY
    ) -> None:
        self._print_refusal(self._request("POST", "/v1/completions", body, key=key))

    def _print_refusal(self, answer: httpcore.Response) -> None:
        error = _decode(answer, ErrorAnswer).error
        print(f"{answer.status} {error.code}: {error.message}; run: {error.was_run}")
        _require(error.was_run == "no", "a refused request was not run")

    def _submit_job_twice(self) -> str:
        self._print_step("A batch job, sent twice with the same key: one job")
        body = job_items("Route summary", JOB_ITEMS)
        first = self.submit(body, "evening-1")
        print(f"job {first.id}: {first.status}, {first.items} items")
        again = self.submit(body, "evening-1")
        print(f"sent again: job {again.id}, {again.items} items")
        _require(first.id == again.id, "a resubmitted job has the same id")
        return first.id

    def _read_results(self, job: str) -> None:
        self._print_step("Its state until it is finished, and its results")
        shown = ""
        for _ in wait_until("the job's end", JOB_TIMEOUT):
            state = self.state(job)
            line = f"{state.status}, {state.done} of {state.items} done"
            if line != shown:
                print(line)
            shown = line
            if state.status == FINISHED:
                break
        answer = self._request("GET", f"/v1/batches/{job}/results")
        results = [
            msgspec.json.decode(line, type=BatchResult)
            for line in answer.content.splitlines()
        ]
        for result in results[:2]:
            print(f"{result.id}: {result.text!r}")
        print(f"... {len(results)} results")
        good = sorted(result.id for result in results if result.ok)
        wanted = sorted(f"route-{number}" for number in range(JOB_ITEMS))
        _require(good == wanted, "every item has one successful result")

    def _cancel_job(self) -> None:
        self._print_step("Another job, cancelled")
        body = job_items("Loading plan", LONG_JOB_ITEMS, LONG_TOKENS)
        job = self.submit(body, "evening-2").id
        for _ in wait_until("its first result", JOB_TIMEOUT):
            if self.state(job).done:
                break
        state = self.cancel(job)
        print(f"job {job}: {state.status}, {state.done} of {state.items} done")
        _require(state.status == CANCELLED, "the job is cancelled")
        time.sleep(SETTLE_TIME.total_seconds())
        later = self.state(job)
        print(f"{SETTLE_TIME.total_seconds():g} s later: {later.done} done")
        _require(later.done == state.done, "a cancelled job gets no further results")

    def submit(self, body: bytes, key: str) -> BatchJob:
        """Submit a batch job and return its state; fail if it is not accepted."""
        answer = self._request(
            "POST", f"/v1/batches?service={MODEL}", body, idempotency_key=key
        )
        _require(answer.status == 202, f"job accepted: {answer.content.decode()}")
        return _decode(answer, BatchJob)

    def cancel(self, job: str) -> BatchJob:
        """Cancel a batch job and return its new state."""
        return _decode(self._request("POST", f"/v1/batches/{job}/cancel"), BatchJob)

    def state(self, job: str) -> BatchJob:
        """Return the state of a batch job."""
        return _decode(self._request("GET", f"/v1/batches/{job}"), BatchJob)

    def _operator_commands(self) -> None:
        self._print_step("Operators look at what happened")
        self._run_operator_command("jobs", "list", OWNER)
        self._run_operator_command("history")
        self._run_operator_command("usage")
        self._run_operator_command("status")

    def _print_step(self, text: str) -> None:
        self._step += 1
        print(f"\n{self._step}. {text}", flush=True)

    def _run_operator_command(self, *arguments: str) -> None:
        print(f"$ chivespan {' '.join(arguments)}", flush=True)
        environment = {**os.environ, **self._settings()}
        command = [sys.executable, "-m", "chivespan.operator_main", *arguments]
        subprocess.run(command, env=environment, check=True)

    def _request(
        self,
        method: str,
        path: str,
        body: object = b"",
        *,
        key: str = OWNER_KEY,
        address: str = "",
        idempotency_key: str = "",
    ) -> httpcore.Response:
        headers = [("Authorization", f"Bearer {key}")]
        if idempotency_key:
            headers.append(("Idempotency-Key", idempotency_key))
        content = body if isinstance(body, bytes) else msgspec.json.encode(body)
        url = f"http://{address or self._address}{path}"
        return httpcore.request(method, url, headers=headers, content=content)


def job_items(prompt: str, count: int, max_tokens: int = 12) -> bytes:
    """Return the items of a batch job as JSON lines."""
    items = [
        BatchModelItem(
            id=f"route-{number}", prompt=f"{prompt} {number}", max_tokens=max_tokens
        )
        for number in range(count)
    ]
    return b"".join(msgspec.json.encode(item) + b"\n" for item in items)


def _events(content: bytes) -> list[bytes]:
    """Return the data of every server-sent event of a stream."""
    blocks = content.split(b"\n\n")
    return [block.removeprefix(b"data: ") for block in blocks if block]


def _decode(answer: httpcore.Response, cls: type[T]) -> T:
    return msgspec.json.decode(answer.content, type=cls)


def _require(holds: bool, what: str) -> None:
    if not holds:
        raise SystemExit(f"FAILED: {what}")


def demo_site(block: str, engine_flags: Mapping[str, str] | None = None) -> Site:
    """Return a site with three VMs and the targets of the livestock example.

    :param block: first three octets of all addresses.
    """
    return Site(
        data_centres=DATA_CENTRES,
        region=REGION,
        block=block,
        engines=6,
        plains=3,
        engine_flags=engine_flags or {},
    )


def main(keep: bool = False) -> None:
    """Run the demo; exits with code 0 if every step has the expected result.

    :param keep: instead of running the steps, apply the example's configuration and
        wait for the interrupt key, so that requests can be sent manually.
    """
    started = time.monotonic()
    site = demo_site(FIXED_BLOCK if keep else random_address_block())
    print(f"Starting {len(DATA_CENTRES)} VMs and the stand-ins on {site.block}.x")
    with Cluster(site) as cluster, tempfile.TemporaryDirectory() as folder:
        demo = Demo(cluster, Path(folder))
        if keep:
            demo.keep()
        else:
            demo.run()
    print(f"\nAll done in {time.monotonic() - started:.1f} s; everything is stopped.")


if __name__ == "__main__":
    fire.Fire(main)
