"""A small deployment on loopback: nodes of the deploy file, store and runners."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

from review.harness_3.httpio import Answer, call
from review.harness_3.runner import Runner, RunnerOptions
from review.harness_3.store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "caller.example"
FRONT, READY, CONTROL, DIRECTORY = 8161, 8167, 8166, 8164
# Those, the metrics of nodes, the store and the runners.
USED_PORTS = (FRONT, READY, CONTROL, DIRECTORY, 9464, 8169, 9000)
CONTRACTS = (
    "base",
    "drain",
    "config",
    "cost",
    "recover",
    "batch",
    "stream",
    "engine",
    "platform",
)
BOUNDS = """
seedLagS = 3
addrReuseS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4.7
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
stretchMaxMs = 5000
recoveryS = 12
passMs = 120
retryAfterS = 0
finishS = 18
statusS = 120
cancelMs = 3000
settleMs = 1000
quotaOverage = 0.1
ttl_max_s = 5
"""


def free_block() -> str:
    """Return the start of loopback addresses whose ports are free."""
    while True:
        block = f"127.{random.randint(201, 250)}.{random.randint(1, 250)}"
        try:
            for last in (*range(1, 4), *range(100, 115)):
                for port in USED_PORTS:
                    with socket.socket() as probe:
                        probe.bind((f"{block}.{last}", port))
        except OSError:
            continue
        return block


def command() -> list[str]:
    """Return the command of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["node"]["run"].split()


def route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    base = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "stream",
        "timeoutMs": 5000,
        "goalMs": 300,
        "priority": 0,
        "service": "lm",
        "maxAttempts": 2,
        "sticky": True,
        "resumable": True,
        "gapAimMs": 250,
    }
    return base | fields


def batch_route(**fields: Any) -> dict[str, Any]:
    """Return the route of batch jobs."""
    base = {
        "kind": "batch_job",
        "goalMs": 500,
        "dueMs": 18000,
        "retentionS": 60,
        "maxAttempts": 3,
        "cap": 1200000,
        "timeoutMs": 15000,
        "resumable": False,
        "gapAimMs": 0,
    }
    return route("r-batch", "/batch/", **(base | fields))


class Site:
    """The deployment of one script, with its record."""

    def __init__(
        self,
        record: Path,
        nodes: int = 3,
        zones: int = 3,
        contracts: tuple[str, ...] = (),
        memory_mb: int = 330,
    ) -> None:
        self.block = free_block()
        self.began = time.monotonic()
        self._record = record.open("w")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.nodes = list(range(1, nodes + 1))
        self.zones = [f"zone-{number}" for number in range(1, zones + 1)]
        self.store = Store(f"{self.block}.100:8169")
        self.runners: list[Runner] = []
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.contracts = [*CONTRACTS, *contracts]
        self.memory_mb = memory_mb
        self.services = [{"name": "lm", "maxConns": 300, "engine": {"slots": 8}}]

    def note(self, text: str) -> None:
        """Write a line with the time since the start into the record."""
        print(f"{time.monotonic() - self.began:8.3f} {text}", file=self._record)
        self._record.flush()

    def add_runner(self, runner_id: str, **options: Any) -> Runner:
        """Add a runner, which isn't started yet."""
        number = len(self.runners)
        zone = self.zones[number % len(self.zones)]
        settings = RunnerOptions(**({"service": "lm", "zone": zone} | options))
        address = f"{self.block}.{101 + number}:9000"
        runner = Runner(self.store, runner_id, address, settings)
        self.runners.append(runner)
        return runner

    def publish(self, version: int, *routes: dict[str, Any], **more: Any) -> None:
        """Put a configuration in force."""
        document = {
            "version": version,
            "routes": list(routes),
            "services": self.services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        value = json.dumps(document | more).encode()
        self.store.put("keyed.op", "config", value)
        self.note(f"configuration {version} acknowledged")

    def ip(self, number: int) -> str:
        """Return the address of a node's machine."""
        return f"{self.block}.{number}"

    def front(self, number: int) -> str:
        """Return the address at which a node serves clients."""
        return f"{self.ip(number)}:{FRONT}"

    def start_node(self, number: int) -> None:
        """Start a node's process."""
        path = self.folder / f"node-{number}.toml"
        path.write_text(self._settings(number))
        log = (self.folder / f"node-{number}.log").open("ab")
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env = kept | {
            "CHIVESPAN_SETTINGS": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.processes[number] = subprocess.Popen(
            command(), cwd=ROOT, env=env, stdout=log, stderr=log
        )
        self.note(f"node {number} started")

    def signal(self, number: int, signum: signal.Signals) -> None:
        """Send a signal to a node's process."""
        self.processes[number].send_signal(signum)
        self.note(f"node {number} gets {signum.name}")

    async def wait_ready(self) -> None:
        """Wait until all nodes are ready.

        :raises TimeoutError: if they aren't after 30 s.
        """
        async with asyncio.timeout(30):
            for number in self.nodes:
                while True:
                    answer = await call(
                        f"{self.ip(number)}:{READY}", "GET", "/-/readiness"
                    )
                    if answer.status == 200:
                        break
                    await asyncio.sleep(0.1)
        self.note("all nodes are ready")

    async def start(self) -> None:
        """Start store, runners and nodes, and wait until all are ready."""
        await self.store.server.up()
        for runner in self.runners:
            await runner.start()
        for number in self.nodes:
            self.start_node(number)
        await self.wait_ready()

    def logs(self, number: int) -> list[dict[str, Any]]:
        """Return the lines that a node has logged."""
        found = []
        for line in (self.folder / f"node-{number}.log").read_text().splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                found.append({"event": "text", "line": line})
        return found

    def events(self, *names: str) -> list[tuple[int, dict[str, Any]]]:
        """Return the lines of all nodes with some event names."""
        return [
            (number, line)
            for number in self.nodes
            for line in self.logs(number)
            if line.get("event") in names
        ]

    async def stop(self) -> None:
        """End all processes and servers."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for runner in self.runners:
            self._note_runs(runner)
            if runner.is_up:
                await runner.crash()
        await self.store.server.down()
        self._record.close()
        self._temporary.cleanup()

    def _note_runs(self, runner: Runner) -> None:
        """Write all requests that reached a runner into the record."""
        for run in runner.runs:
            arrived, ended = run.arrived - self.began, run.ended - self.began
            self.note(
                f"{runner.id} had {run.request_id} {run.path} from {arrived:.3f} to "
                f"{ended:.3f}: {run.outcome}"
            )

    async def submit(
        self,
        number: int,
        job: str,
        items: list[dict[str, Any]],
        prefix: str = "/batch/",
    ) -> Answer:
        """Submit a batch job at a node."""
        body = json.dumps({"items": items}).encode()
        headers = {
            "Host": HOST,
            "X-Chivespan-Request-Id": job,
            "Content-Type": "application/json",
            "X-Chivespan-Deadline-Ms": "4000",
        }
        answer = await call(self.front(number), "POST", f"{prefix}{job}", headers, body)
        self.note(f"job {job} of {len(items)} items at node {number}: {answer.status}")
        return answer

    async def page(self, number: int, job: str, after: int = 0) -> Answer:
        """Read results of a job."""
        headers = {"Host": HOST}
        target = f"/-/lots/{job}?after={after}"
        return await call(self.front(number), "GET", target, headers)

    async def results(self, number: int, job: str) -> list[dict[str, Any]] | None:
        """Return all results listed so far; None if they can't be read."""
        found: list[dict[str, Any]] = []
        while True:
            answer = await self.page(number, job, len(found))
            if answer.status != 200:
                return None
            page = json.loads(answer.body)
            if not page["results"]:
                return found
            found += page["results"]

    def _settings(self, number: int) -> str:
        ip = self.ip(number)
        zone = self.zones[(number - 1) % len(self.zones)]
        seeds = json.dumps([f"{self.ip(each)}:{CONTROL}" for each in self.nodes[:3]])
        zones = "\n".join(f'{each} = "region-1"' for each in self.zones)
        return f"""
nodeName = "edge-{number}"
role = "node"
machineClass = "edge"
serves = ["edge", "control", "directory"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
portRange = [7720, 7735]
seeds = {seeds}
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = {json.dumps(self.contracts)}
[zones]
{zones}
[listenAddrs]
front = "{ip}:{FRONT}"
ready = "{ip}:{READY}"
control = "{ip}:{CONTROL}"
directory = "{ip}:{DIRECTORY}"
[limits]
cpuShare = 0.717
cpuSpeedup = 3
memoryMb = {self.memory_mb}
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
{BOUNDS}
[platform]
address = "{self.store.address}"
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


def item(
    item_id: str, number: int, parts: str, tokens: tuple[int, int] = (540, 400)
) -> dict[str, Any]:
    """Return one item of a batch job."""
    return {
        "id": item_id,
        "path": f"/batch/{number}/91c4",
        "headers": {
            "X-Chivespan-Model": "m",
            "X-Chivespan-Token-Count": f"{tokens[0]},{tokens[1]}",
            "X-Chivespan-Prompt-Prefix": parts,
        },
        "body": "q83vEjRWeJA=",
        "tokens": sum(tokens),
    }


def run_case(main: Any) -> None:
    """Run a case and exit with its result: 0 held, 1 broken, 2 not run.

    The first argument of the program is the path of the record to write.
    """
    record = Path(sys.argv[1]).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def guarded() -> int:
        task = asyncio.current_task()
        if task is not None:
            # So that the processes are ended as well.
            for signum in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(signum, task.cancel)
        async with asyncio.timeout(110):
            return await main(record, trouble)

    try:
        code = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        code = 2
    print({0: "held", 1: "BROKEN", 2: "not run"}[code])
    sys.exit(code)
