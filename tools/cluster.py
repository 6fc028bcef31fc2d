"""Runs a small deployment on loopback addresses: the programs of VMs and stand-ins.

The demo, the process tests and the benchmarks use it. Each program and each stand-in
host is a process of its own; only processes started here are stopped.
"""

import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path
from types import TracebackType

import httpcore
import msgspec

from standins.journal import Entry
from standins.vmlist import VmEntry

ENTRY_PORT = 8080
ENTRY_PORT_STEP = 10
DISPATCH_PORT = 8081
BATCH_PORT = 8082
ENGINE_PORT = 9000
LOG_PORT = 9001
VM_LIST_PORT = 9002
WEIGHTS_PORT = 9003

START_TIMEOUT = timedelta(seconds=20)
STOP_TIMEOUT = timedelta(seconds=10)
POLL = timedelta(milliseconds=20)
LOG_TAIL_BYTES = 4000

PROGRAM_PORTS = {"dispatch": DISPATCH_PORT, "batch": BATCH_PORT, "entry": ENTRY_PORT}


def random_address_block() -> str:
    """Return the first three octets of a random block of loopback addresses.

    Parallel deployments on one machine get different blocks with high probability.
    """
    generator = random.SystemRandom()
    return f"127.{generator.randrange(16, 250)}.{generator.randrange(1, 250)}"


@dataclass(frozen=True)
class VmSpec:
    """Address, data centre and region of one VM."""

    vm: str
    data_centre: str
    region: str


@dataclass(frozen=True)
class Site:
    """Description of a deployment.

    :param block: first three octets of all addresses.
    :param data_centres: data centre of each VM, in order.
    :param engines: number of engine stand-ins.
    :param plains: number of plain service stand-ins.
    :param entries: number of entry processes of each VM, the first on the default port.
    :param settings: additional settings of all programs, by name.
    :param engine_flags: flags of the engine stand-ins.
    :param log_flags: flags of the log stand-in.
    :param programs: programs that run on each VM.
    :param modules: module and first arguments that replace a program, by program.
    """

    data_centres: Sequence[str]
    region: str
    block: str = "127.0.0"
    engines: int = 2
    plains: int = 0
    entries: int = 1
    peer_key: str = "peer-key"
    settings: Mapping[str, str] = field(default_factory=dict)
    engine_flags: Mapping[str, str] = field(default_factory=dict)
    log_flags: Mapping[str, str] = field(default_factory=dict)
    programs: Sequence[str] = tuple(PROGRAM_PORTS)
    modules: Mapping[str, Sequence[str]] = field(default_factory=dict)

    @property
    def vms(self) -> tuple[VmSpec, ...]:
        """The VMs; the last octet of their addresses counts from 1."""
        return tuple(
            VmSpec(f"{self.block}.{number}", data_centre, self.region)
            for number, data_centre in enumerate(self.data_centres, 1)
        )

    @property
    def entry_ports(self) -> tuple[int, ...]:
        """Ports of the entry processes on each VM."""
        return tuple(ENTRY_PORT + ENTRY_PORT_STEP * n for n in range(self.entries))

    @property
    def engine_addresses(self) -> tuple[str, ...]:
        """Addresses of the engines."""
        return tuple(
            f"{self.block}.{101 + n}:{ENGINE_PORT}" for n in range(self.engines)
        )

    @property
    def plain_addresses(self) -> tuple[str, ...]:
        """Addresses of the plain services."""
        return tuple(
            f"{self.block}.{201 + n}:{ENGINE_PORT}" for n in range(self.plains)
        )

    @property
    def log_url(self) -> str:
        """Base URL of the log service."""
        return f"http://{self.block}.250:{LOG_PORT}"

    @property
    def vm_list_url(self) -> str:
        """Base URL of the VM list."""
        return f"http://{self.block}.250:{VM_LIST_PORT}"

    @property
    def weights_url(self) -> str:
        """Base URL of the weight store."""
        return f"http://{self.block}.250:{WEIGHTS_PORT}"


class Process:
    """A child process whose output goes to a file."""

    def __init__(self, name: str, arguments: Sequence[str], output: Path) -> None:
        self.name = name
        self.output = output
        with output.open("ab") as sink:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=sink,
                stderr=sink,
                env=dict(os.environ),
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    @property
    def running(self) -> bool:
        """Whether the process has not exited."""
        return self._popen.poll() is None

    @property
    def exit_code(self) -> int | None:
        """The exit code, or None while the process runs."""
        return self._popen.poll()

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its exit."""
        self._popen.kill()
        self._popen.wait()

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the process with SIGCONT."""
        self._popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful shutdown with SIGTERM."""
        self._popen.send_signal(signal.SIGTERM)

    def wait(self, timeout: timedelta = STOP_TIMEOUT) -> int:
        """Wait for the process to exit and return its exit code."""
        return self._popen.wait(timeout.total_seconds())

    def tail(self) -> str:
        """Return the last ``LOG_TAIL_BYTES`` bytes of the output."""
        return self.output.read_bytes()[-LOG_TAIL_BYTES:].decode(errors="replace")


def _flags(options: Mapping[str, str]) -> list[str]:
    return [f"--{name}={value}" for name, value in options.items()]


def _accepts(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=1).close()
    except OSError:
        return False
    return True


class Cluster:
    """The processes of a deployment; a context manager that starts and stops them."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self._directory = tempfile.TemporaryDirectory(prefix="chivespan-")
        self._processes: dict[str, Process] = {}

    @property
    def processes(self) -> Mapping[str, Process]:
        """All processes by name, including those that have exited."""
        return self._processes

    def __enter__(self) -> "Cluster":
        try:
            self.start_stand_ins()
            for spec in self.site.vms:
                self.start_vm(spec)
            self.wait_ready()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if error is not None:
            print(self.logs(), file=sys.stderr)
        self.stop()

    def start_stand_ins(self) -> None:
        """Start the stand-ins of the platform and the targets and wait for them."""
        site = self.site
        self.run("log", "standins.logservice", site.log_url, site.log_flags)
        self.run("vmlist", "standins.vmlist", site.vm_list_url, {})
        self.run("weights", "standins.weightstore", site.weights_url, {})
        targets = {
            "engines": ",".join(site.engine_addresses),
            "plains": ",".join(site.plain_addresses),
        }
        self._start(
            "targets", ["standins.fleet", *_flags(targets | dict(site.engine_flags))]
        )
        urls = (site.log_url, site.vm_list_url, site.weights_url)
        waited = [url.removeprefix("http://") for url in urls]
        waited += [*site.engine_addresses, *site.plain_addresses]
        self._wait_for(waited)
        self.list_vms([VmEntry(p.vm, p.data_centre, p.region) for p in site.vms])

    def run(
        self, name: str, module: str, url: str, flags: Mapping[str, str]
    ) -> Process:
        """Start one stand-in that listens on the address of a URL."""
        address = {"address": url.removeprefix("http://")}
        return self._start(name, [module, *_flags(address | dict(flags))])

    def start_vm(self, spec: VmSpec) -> None:
        """Start all programs of a VM."""
        for program in self.site.programs:
            self.start_program(spec, program)
        if "entry" in self.site.programs:
            for port in self.site.entry_ports[1:]:
                self.start_program(spec, "entry", entry_port=port)

    def start_program(
        self,
        spec: VmSpec,
        program: str,
        words: Sequence[str] = (),
        entry_port: int = ENTRY_PORT,
    ) -> Process:
        """Start one program of a VM, with all settings passed as flags.

        :param words: module and first arguments that replace the program; if empty,
            those of the site are used.
        :param entry_port: port of the entry; not the default for an additional entry.
        """
        suffix = f"-{entry_port}" if entry_port != ENTRY_PORT else ""
        site = self.site
        settings = {
            "vm": spec.vm,
            "data_centre": spec.data_centre,
            "region": spec.region,
            "log_url": site.log_url,
            "vm_list_url": site.vm_list_url,
            "peer_key": site.peer_key,
            "entry_port": str(entry_port),
        }
        flags = _flags(settings | dict(site.settings))
        words = words or site.modules.get(program, (f"chivespan.{program}_main",))
        return self._start(f"{spec.vm}/{program}{suffix}", [*words, *flags])

    def wait_ready(self) -> None:
        """Wait until every started program accepts connections."""
        self._wait_for(
            f"{spec.vm}:{PROGRAM_PORTS[program]}"
            for spec in self.site.vms
            for program in self.site.programs
            if f"{spec.vm}/{program}" in self._processes
        )
        self._wait_for(
            f"{spec.vm}:{port}"
            for spec in self.site.vms
            for port in self.site.entry_ports[1:]
        )

    def process(self, name: str) -> Process:
        """Return a process by name.

        :param name: name of a stand-in, or VM and program as in ``127.0.0.1/entry``;
            the name of an additional entry ends in its port, as in
            ``127.0.0.1/entry-8090``.
        """
        return self._processes[name]

    def vm_processes(self, vm: str) -> list[Process]:
        """Return all processes of a VM."""
        found = self._processes.items()
        return [process for name, process in found if name.startswith(f"{vm}/")]

    def list_vms(self, vms: Sequence[VmEntry]) -> None:
        """Replace the VM list."""
        put(f"{self.site.vm_list_url}/vms", vms)

    def journal(self, address: str) -> list[Entry]:
        """Return the journal of a target stand-in."""
        answer = httpcore.request("GET", f"http://{address}/journal")
        lines = answer.content.splitlines()
        return [msgspec.json.decode(line, type=Entry) for line in lines]

    def set_faults(self, url: str, faults: object) -> None:
        """Replace the active faults of a stand-in."""
        put(f"{url}/faults", faults)

    def logs(self) -> str:
        """Return the exit code and the end of the output of every process."""
        return "\n".join(
            f"--- {name} (exit code {process.exit_code})\n{process.tail()}"
            for name, process in self._processes.items()
        )

    def stop(self) -> None:
        """Kill all running processes and delete their output."""
        running = [each for each in self._processes.values() if each.running]
        for process in running:
            process.kill()
        self._directory.cleanup()

    def _start(self, name: str, arguments: Sequence[str]) -> Process:
        output = Path(self._directory.name) / name.replace("/", "-")
        self._processes[name] = Process(name, arguments, output)
        return self._processes[name]

    def _wait_for(self, addresses: Iterator[str] | Sequence[str]) -> None:
        deadline = time.monotonic() + START_TIMEOUT.total_seconds()
        for address in addresses:
            while not _accepts(address):
                ended = [p.name for p in self._processes.values() if p.exit_code]
                if time.monotonic() > deadline or ended:
                    reason = f"{address} not ready; exited: {ended}\n{self.logs()}"
                    raise TimeoutError(reason)
                time.sleep(POLL.total_seconds())


def put(url: str, value: object) -> None:
    """Send a value as JSON with PUT.

    :raises RuntimeError: if the response status is not 200.
    """
    answer = httpcore.request("PUT", url, content=msgspec.json.encode(value))
    if answer.status != 200:
        raise RuntimeError(f"{url}: {answer.status}")


def wait_until(what: str, timeout: timedelta = START_TIMEOUT) -> Iterator[timedelta]:
    """Yield the elapsed time periodically until the caller leaves the loop.

    :param what: description of the awaited condition, for the error message.
    :raises TimeoutError: after ``timeout``.
    """
    started = time.monotonic()
    while (passed := timedelta(seconds=time.monotonic() - started)) < timeout:
        yield passed
        time.sleep(POLL.total_seconds())
    raise TimeoutError(f"waited {timeout.total_seconds():.0f} s for {what}")


@contextmanager
def frozen(processes: Sequence[Process]) -> Iterator[None]:
    """Suspend processes for the duration of the block."""
    for process in processes:
        process.freeze()
    try:
        yield
    finally:
        for process in processes:
            process.thaw()
