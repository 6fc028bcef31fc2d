"""A small deployment on loopback: nodes as processes, and stand-ins around them."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from review.harness.http import Answer, call
from review.harness.runner import Run, Runner
from review.harness.store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "nony24.example"
FRONT, CONTROL, DIRECTORY, READY, STORE = 8161, 8166, 8164, 8167, 8169
METRICS = 9464
START_TIMEOUT_S = 20.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A script may run for 120 s in all.
TIME_LIMIT_S = 115.0


class CouldNotRun(Exception):
    """The case could not be played."""


@dataclass
class Node:
    """One process of the system."""

    name: str
    ip: str
    settings: Path
    process: asyncio.subprocess.Process | None = None
    lines: list[dict[str, Any]] = field(default_factory=list)
    ends: list[int] = field(default_factory=list)

    def logged(self, event: str) -> list[dict[str, Any]]:
        """Return the log lines of an event."""
        return [line for line in self.lines if line.get("event") == event]


class Site:
    """The nodes, the store, the runners and the record of what was seen.

    :ivar trouble: whether the case's disruption is to be made.
    """

    def __init__(
        self, case: str, trouble: bool, bounds: dict[str, Any] | None = None
    ) -> None:
        self.trouble = trouble
        self._started: list[asyncio.subprocess.Process] = []
        self.store = Store()
        self.runners: list[Runner] = []
        self.nodes: list[Node] = []
        self.runs: list[Run] = []
        self.began = time.monotonic()
        self._bounds = _BOUNDS | (bounds or {})
        self._block = _free_block()
        self._folder = Path(tempfile.mkdtemp(prefix="chivespan-case-"))
        self._record = (ROOT / "review" / case / "record.txt").open("w")
        self._run_command = _run_command()
        self.note(f"trouble {int(self.trouble)}")

    def note(self, text: str) -> None:
        """Write a line to the record, with the time since the start."""
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self._record.write(line + "\n")
        self._record.flush()

    async def start(self, nodes: int, config: dict[str, Any]) -> None:
        """Start store and nodes, and wait until all nodes are ready."""
        await self.store.start(f"{self._block}.100", STORE)
        self.publish(config)
        for number in range(1, nodes + 1):
            self.nodes.append(self._new_node(number))
        for node in self.nodes:
            await self.launch(node)
        for node in self.nodes:
            await self.wait_ready(node)

    async def add_runner(self, service: str, **options: Any) -> Runner:
        """Start one more runner."""
        number = len(self.runners)
        runner = Runner(
            f"i-{number:08x}",
            service,
            f"{self._block}.{101 + number}",
            self.store,
            self.runs,
            **options,
        )
        await runner.start()
        self.runners.append(runner)
        return runner

    def publish(self, config: dict[str, Any]) -> None:
        """Put a configuration in force, as the operator does."""
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.note(f"configuration {config['version']} acknowledged")

    async def launch(self, node: Node) -> None:
        """Start a node's process by the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CHIVESPAN_SETTINGS"] = str(node.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        node.process = await asyncio.create_subprocess_exec(
            *self._run_command,
            cwd=ROOT,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=None if os.environ.get("SHOW") else asyncio.subprocess.DEVNULL,
            limit=1 << 22,
        )
        self._started.append(node.process)
        self.note(f"{node.name} started as process {node.process.pid}")
        node_task = asyncio.ensure_future(self._follow(node, node.process))
        _TASKS.add(node_task)
        node_task.add_done_callback(_TASKS.discard)

    async def _follow(self, node: Node, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            try:
                node.lines.append(json.loads(line))
            except ValueError:
                continue
        code = await process.wait()
        node.ends.append(code)
        self.note(f"{node.name} ended with {code}")

    async def wait_ready(self, node: Node) -> None:
        """Wait until a node says that it is ready."""
        until = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until:
            answer = await call(node.ip, READY, "GET", "/-/readiness", timeout_s=1.0)
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{node.name} doesn't become ready")

    def send_signal(self, node: Node, number: signal.Signals) -> None:
        """Send a signal to a node's process."""
        assert node.process is not None
        self.note(f"{number.name} to {node.name}")
        if node.process.returncode is None:
            node.process.send_signal(number)

    async def request(
        self,
        node: Node,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 6.0,
    ) -> Answer:
        """Send a client's request to a node."""
        sent = {"Host": HOST} | (headers or {})
        return await call(node.ip, FRONT, method, path, sent, body, timeout_s)

    async def submit(self, path: str, job_id: str, items: list[dict[str, Any]]) -> bool:
        """Submit a batch job as a client does, at up to two nodes."""
        body = json.dumps({"items": items}).encode()
        headers = {
            "X-Chivespan-Request-Id": job_id,
            "Content-Type": "application/json",
            "X-Chivespan-Deadline-Ms": "4000",
        }
        for node in random.sample(self.nodes, min(4, len(self.nodes))):
            answer = await self.request(node, "POST", path, headers, body)
            self.note(f"job {job_id} at {node.name}: {answer.status}")
            if answer.status == 202:
                return True
            await asyncio.sleep(0.3)
        return False

    async def page(self, node: Node, job_id: str) -> tuple[int, dict[str, Any]]:
        """Read a batch job from the start; return the status and the page."""
        answer = await self.request(node, "GET", f"/-/lots/{job_id}?after=0")
        page = json.loads(answer.body) if answer.status == 200 else {}
        return answer.status, page

    def note_runs(self, *, prefix: str = "") -> None:
        """Write what the runners have run to the record."""
        for run in self.runs:
            if run.path.startswith(prefix):
                self.note(
                    f"run at {run.at - self.began:.3f}: {run.request_id} {run.path} "
                    f"by {run.runner} of {run.service}, status {run.status}, "
                    f"after event {run.resumed_after}"
                )

    async def end(self) -> None:
        """End all processes that this site has started."""
        for process in self._started:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        ended = sum(process.returncode is not None for process in self._started)
        self.note(f"processes started {len(self._started)}, ended {ended}")
        shutil.rmtree(self._folder, ignore_errors=True)
        if folder := os.environ.get("LOGS"):
            for node in self.nodes:
                text = "\n".join(map(json.dumps, node.lines))
                (Path(folder) / f"{node.name}.jsonl").write_text(text)

    def _new_node(self, number: int) -> Node:
        ip = f"{self._block}.{number}"
        path = self._folder / f"node-{number}.toml"
        path.write_text(self._settings(number, ip))
        return Node(f"edge-z-1-{number}", ip, path)

    def _settings(self, number: int, ip: str) -> str:
        bounds = "\n".join(f"{name} = {value}" for name, value in self._bounds.items())
        return f"""
nodeName = "edge-z-1-{number}"
role = "node"
machineClass = "edge"
serves = ["edge","control","directory"]
ip = "{ip}"
zone = "z-1"
region = "r-1"
portRange = [7720,7735]
seeds = ["{self._block}.1:{CONTROL}","{self._block}.2:{CONTROL}"]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine"]
[zones]
z-1 = "r-1"
[listenAddrs]
front = "{ip}:{FRONT}"
ready = "{ip}:{READY}"
control = "{ip}:{CONTROL}"
directory = "{ip}:{DIRECTORY}"
[limits]
cpuShare = 0.717
cpuSpeedup = 3
memoryMb = 330
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
{bounds}
[platform]
address = "{self._block}.100:{STORE}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = 24
appendMs = 1.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
retentionS = 20
partMb = 200
ttlMinMs = 1000
"""


_TASKS: set["asyncio.Task[None]"] = set()
_BOUNDS: dict[str, Any] = {
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


def batch_route(
    prefix: str, service: str, name: str = "r-batch", **fields: Any
) -> dict[str, Any]:
    """Return a route of batch jobs, with the figures of the site's sheet."""
    base = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "batch_job",
        "timeoutMs": 15000,
        "goalMs": 500,
        "priority": 2,
        "service": service,
        "maxAttempts": 3,
        "sticky": True,
        "resumable": True,
        "gapAimMs": 250,
        "dueMs": 18000,
        "retentionS": 60,
        "cap": 1200000,
    }
    return base | fields


def stream_route(prefix: str, service: str, name: str, **fields: Any) -> dict[str, Any]:
    """Return a route of streams, with the figures of the site's sheet."""
    base = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "stream",
        "timeoutMs": 5000,
        "goalMs": 300,
        "priority": 0,
        "service": service,
        "maxAttempts": 1,
        "sticky": True,
        "resumable": False,
        "gapAimMs": 250,
    }
    return base | fields


def configuration(
    version: int, services: list[str], routes: list[dict[str, Any]], slots: int = 8
) -> dict[str, Any]:
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": 310,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": slots, "kvCapacity": 72000},
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def batch_item(item_id: str, path: str) -> dict[str, Any]:
    """Return an item of a batch job."""
    return {
        "id": item_id,
        "path": path,
        "headers": {
            "X-Chivespan-Model": "m",
            "X-Chivespan-Token-Count": "350,231",
            "X-Chivespan-Prompt-Prefix": f"9c2e41:100,{item_id[:8]}:250",
        },
        "body": "q83vEjRWeJA=",
        "tokens": 581,
    }


def main(case: str, play: Callable[[Site], Awaitable[bool]], **options: Any) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    The first argument of the command is 0 to leave out the disruption.
    """
    code = NOT_RUN
    try:
        site = Site(case, sys.argv[1:] != ["0"], **options)
        code = asyncio.run(_main(site, play))
    except (Exception, KeyboardInterrupt):
        traceback.print_exc()
    raise SystemExit(code)


async def _main(site: Site, play: Callable[[Site], Awaitable[bool]]) -> int:
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(asyncio.wait_for(play(site), TIME_LIMIT_S))
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    code = NOT_RUN
    try:
        code = BROKEN if await task else HELD
    except (Exception, asyncio.CancelledError) as error:
        site.note(f"could not run: {error!r}")
    finally:
        await site.end()
        site.note(f"exit {code}")
        # Callers that are still at work don't keep the script from ending.
        os._exit(code)
    return code


def _run_command() -> list[str]:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    program, *arguments = str(deploy["roles"]["node"]["run"]).split(" ")
    return [shutil.which(program) or sys.executable, *arguments]


def _free_block() -> str:
    """Return the start of loopback addresses on which all ports needed are free."""
    for _ in range(50):
        block = f"127.{random.randint(64, 120)}.{random.randint(1, 250)}"
        if all(_is_free(f"{block}.{last}", port) for last, port in _WANTED):
            return block
    raise CouldNotRun("no free addresses")


_WANTED = [
    *((last, port) for last in range(1, 9) for port in (FRONT, CONTROL, METRICS)),
    (100, STORE),
    (101, 9000),
]


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
