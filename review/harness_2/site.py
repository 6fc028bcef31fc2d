"""A small deployment on loopback: nodes as processes, stand-ins, a record."""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from review.harness_2.runner import Runner
from review.harness_2.store import PORT as STORE_PORT
from review.harness_2.store import Store
from review.harness_2.wire import Answer, call

ROOT = Path(__file__).resolve().parents[2]
HOST = "nony24.example"
SERVICE = "booking-lm"
ZONE = "hr-east-osijek"
FRONT, READY, CONTROL, DIRECTORY = 8161, 8167, 8166, 8164
FIRST_RUNNER, FIRST_STORE = 50, 200
# The command of the deploy file.
COMMAND = ["-S", "-m", "chivespan.node_main"]
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4.7,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "stretchMaxMs": 5000,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "finishS": 18,
    "statusS": 120,
    "cancelMs": 3000,
    "settleMs": 1000,
    "quotaOverage": 0.1,
    "ttl_max_s": 5,
}


CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "recover",
    "batch",
    "stream",
    "engine",
    "platform",
]


def items(prefix: str, path: str, count: int) -> list[dict[str, Any]]:
    """Return the items of a batch job.

    :param prefix: of the ids of the items.
    :param path: of the items, without their last part.
    """
    return [
        {
            "id": f"{prefix}{number:04x}",
            "path": f"{path}{number}",
            "headers": {
                "X-Chivespan-Model": "m",
                "X-Chivespan-Token-Count": "350,600",
                "X-Chivespan-Prompt-Prefix": f"d1:100,{prefix}{number:04x}:250",
            },
            "body": base64.b64encode(f"body of {prefix}{number}".encode()).decode(),
            "tokens": 950,
        }
        for number in range(count)
    ]


def stream_route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route for streams."""
    base: dict[str, Any] = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "stream",
        "timeoutMs": 5000,
        "goalMs": 300,
        "priority": 0,
        "service": SERVICE,
        "maxAttempts": 2,
        "sticky": True,
        "resumable": True,
        "gapAimMs": 250,
    }
    return base | fields


def batch_route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route for batch jobs."""
    base = {
        "kind": "batch_job",
        "timeoutMs": 15000,
        "goalMs": 500,
        "priority": 2,
        "maxAttempts": 3,
        "dueMs": 18000,
        "retentionS": 60,
        "cap": 1_200_000,
    }
    return stream_route(name, prefix, **(base | fields))


class Site:
    """The deployment.

    :param nodes: number of nodes.
    :param runners: number of runners.
    """

    def __init__(self, folder: Path, nodes: int, runners: int) -> None:
        self.block = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.nodes = range(1, nodes + 1)
        self.zones = dict.fromkeys(self.nodes, ZONE)
        self.link_mbps = dict.fromkeys(self.nodes, 1000.0)
        self.store = Store()
        self.runners = [
            Runner(f"i-{number:08x}", f"{self.block}.{FIRST_RUNNER + number}")
            for number in range(runners)
        ]
        self.routes = [
            stream_route("slot-confirm", "/confirm/"),
            stream_route("permit-check", "/permit/", resumable=False, maxAttempts=1),
            batch_route("route-digest", "/digest/"),
        ]
        self.version = 0
        self.runner_zone = ZONE
        self.began = time.time()
        self._folder = folder
        self._lines: list[str] = []
        self._processes: dict[int, asyncio.subprocess.Process] = {}
        self._logs: list[Any] = []

    def vm(self, node: int) -> str:
        """Return a node's IP number."""
        return f"{self.block}.{node}"

    def front(self, node: int) -> tuple[str, int]:
        """Return the address at which a node takes requests."""
        return self.vm(node), FRONT

    def note(self, text: str, at: float | None = None) -> None:
        """Add a line to the record."""
        seconds = (at or time.time()) - self.began
        self._lines.append(f"{seconds:8.3f} s  {text}")

    def publish(self, **fields: Any) -> None:
        """Put the next version of the configuration in force."""
        self.version += 3
        document = {
            "version": self.version,
            "routes": self.routes,
            "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConns": 310}],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.put("keyed.op", "config", json.dumps(document | fields).encode())

    async def start_runner(self, runner: Runner) -> None:
        """Start a run of a runner, which then lists itself."""
        await runner.start()
        self.store.put(
            "keyed.servers", runner.runner_id, runner.entry(SERVICE, self.runner_zone)
        )

    async def open(self) -> None:
        """Start stand-ins and nodes; return when all nodes are ready."""
        for node in self.nodes:
            await self.store.serve(f"{self.block}.{FIRST_STORE + node}", node)
        self.publish()
        for runner in self.runners:
            await self.start_runner(runner)
        for node in self.nodes:
            await self.launch(node)
        await self.wait_ready(*self.nodes)

    async def launch(self, node: int) -> None:
        """Start a node's process."""
        path = self._folder / f"{node}.toml"
        path.write_text(self._settings(node))
        log = (self._folder / f"{node}.log").open("ab")
        self._logs.append(log)
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["CHIVESPAN_SETTINGS"] = str(path)
        self._processes[node] = await asyncio.create_subprocess_exec(
            sys.executable, *COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        self.note(f"node {node} is started")

    async def wait_ready(self, *nodes: int, within_s: float = 20.0) -> None:
        """Wait until nodes answer that they are ready."""
        limit = time.time() + within_s
        for node in nodes:
            address = (self.vm(node), READY)
            while (
                await call(address, "GET", "/-/readiness", {"Host": "x"})
            ).status != 200:
                if time.time() > limit:
                    raise TimeoutError(f"node {node} isn't ready")
                await asyncio.sleep(0.05)

    def send_signal(self, node: int, number: signal.Signals) -> None:
        """Send a signal to a node's process."""
        self.note(f"node {node} gets {number.name}")
        self._processes[node].send_signal(number)

    async def wait_end(self, node: int) -> int:
        """Wait until a node's process has ended; return its exit status."""
        status = await self._processes.pop(node).wait()
        self.note(f"node {node} has ended with status {status}")
        return status

    def has_ended(self, node: int) -> bool:
        """Return whether a node's process has ended by itself."""
        return self._processes[node].returncode is not None

    def log(self, node: int) -> list[dict[str, Any]]:
        """Return the log lines of a node, over all its processes."""
        lines = (self._folder / f"{node}.log").read_bytes().splitlines()
        return [json.loads(line) for line in lines if line.startswith(b"{")]

    async def request(
        self,
        node: int,
        path: str,
        request_id: str,
        parts: str = "a1:100,b2:100,c3:250",
        timeout_s: float = 6.0,
        **headers: str,
    ) -> Answer:
        """Send a request for a stream as a client does; the answer is recorded."""
        fields = {
            "Host": HOST,
            "X-Chivespan-Request-Id": request_id,
            "X-Chivespan-Model": "m",
            "X-Chivespan-Token-Count": "450,60",
            "X-Chivespan-Prompt-Prefix": parts,
            "X-Chivespan-Deadline-Ms": "5000",
        }
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        self.note(f"request {request_id} is sent to node {node}")
        address = self.front(node)
        body = b"prompt of " + request_id.encode()
        answer = await call(address, "POST", path, fields, body, timeout_s)
        end = "whole" if answer.whole else f"not whole ({answer.error})"
        self.note(f"request {request_id} is answered {answer.status}, {end}")
        return answer

    async def submit(
        self, node: int, path: str, job_id: str, items: list[dict[str, Any]]
    ) -> Answer:
        """Submit a batch job at a node; the answer is recorded."""
        fields = {
            "Host": HOST,
            "X-Chivespan-Request-Id": job_id,
            "Content-Type": "application/json",
            "X-Chivespan-Deadline-Ms": "4000",
        }
        body = json.dumps({"items": items}).encode()
        self.note(f"job {job_id} of {len(items)} items is sent to node {node}")
        answer = await call(self.front(node), "POST", path, fields, body, 5.5)
        self.note(f"job {job_id} is answered {answer.status} {answer.error}")
        return answer

    async def job_call(
        self, node: int, method: str, target: str, wait_ms: int = 0
    ) -> Answer:
        """Read a batch job or an item's body, or end a job; the answer is recorded."""
        fields = {"Host": HOST}
        if wait_ms:
            fields["X-Chivespan-Wait-Ms"] = str(wait_ms)
        answer = await call(self.front(node), method, target, fields, b"", 5.5)
        self.note(
            f"{method} {target} at node {node} is answered {answer.status} "
            f"{answer.error}{answer.body[:100]!r}"
        )
        return answer

    def write_record(self, path: Path) -> None:
        """Write what was sent, answered and run, by time."""
        for runner in self.runners:
            for each in runner.arrivals:
                ran = "and is run" if each.ran else "and isn't run"
                self.note(
                    f"request {each.request_id} reaches runner {runner.runner_id} "
                    f"after event {each.last_event} {ran}, "
                    f"{each.events} events, {each.ended}",
                    each.at,
                )
        path.write_text("\n".join(sorted(self._lines)) + "\n")

    def keep_logs(self) -> None:
        """Copy the nodes' logs to the folder named by ``KEEP_LOGS``, if any."""
        if keep := os.environ.get("KEEP_LOGS"):
            for log in self._folder.glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())

    async def close(self) -> None:
        """End all processes that were started."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            await process.wait()
        for log in self._logs:
            log.close()

    def _settings(self, node: int) -> str:
        vm = self.vm(node)
        bounds = "\n".join(f"{name} = {value}" for name, value in BOUNDS.items())
        zones = "\n".join(f'{zone} = "hr-east"' for zone in set(self.zones.values()))
        seeds = json.dumps([f"{self.vm(each)}:{CONTROL}" for each in self.nodes][:3])
        return f"""
nodeName = "edge-{node}"
role = "node"
machineClass = "edge"
serves = ["edge","control","directory"]
ip = "{vm}"
zone = "{self.zones[node]}"
region = "hr-east"
portRange = [7720,7735]
seeds = {seeds}
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = {json.dumps(CONTRACTS)}
[zones]
{zones}
[listenAddrs]
front = "{vm}:{FRONT}"
ready = "{vm}:{READY}"
control = "{vm}:{CONTROL}"
directory = "{vm}:{DIRECTORY}"
[limits]
cpuShare = 0.717
cpuSpeedup = 3
memoryMb = 330
maxFds = 8200
linkMbps = {self.link_mbps[node]}
diskMb = 0
[bounds]
{bounds}
[platform]
address = "{self.block}.{FIRST_STORE + node}:{STORE_PORT}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 24
appendMs = 1.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
retentionS = 300
partMb = 200
ttlMinMs = 1000
"""


def run_case(
    record: Path,
    nodes: int,
    runners: int,
    play: Any,
    prepare: Any = None,
    within_s: float = 110.0,
) -> int:
    """Play a case and return the exit status of its script.

    On SIGTERM or SIGINT the processes are ended, and the case could not run.

    :param record: file to which the record is written.
    :param play: plays the case on a site; returns what was broken, empty for nothing.
    :param prepare: changes the site before it is started.
    """

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            site = Site(Path(temporary), nodes, runners)
            broken: list[str] | None = None
            if prepare is not None:
                prepare(site)
            try:
                async with asyncio.timeout(within_s):
                    await site.open()
                    broken = await play(site)
            except (Exception, asyncio.CancelledError) as error:
                site.note(f"the case could not run: {error!r}")
            finally:
                await site.close()
            verdict = "could not run" if broken is None else "; ".join(broken)
            site.note(f"verdict: {verdict or 'the rule held'}")
            site.write_record(record)
            site.keep_logs()
            print(verdict or "the rule held")
            return 2 if broken is None else int(bool(broken))

    return asyncio.run(run())
