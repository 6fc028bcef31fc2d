"""CPU time and memory of a site's programs, read from ``/proc``."""

import os
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from tools.cluster import PROGRAM_PORTS, Cluster, Process

NANOSECONDS = 1e9
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class SchedStat:
    """Seconds that a process ran and that it waited on a run queue."""

    ran: float
    waited: float

    def since(self, earlier: "SchedStat") -> "SchedStat":
        """Return the difference from an earlier reading."""
        return SchedStat(self.ran - earlier.ran, self.waited - earlier.waited)


def schedstat_of(pid: int | str) -> SchedStat:
    """Return the scheduler statistics of a process; ``self`` is this process."""
    ran, waited, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    return SchedStat(int(ran) / NANOSECONDS, int(waited) / NANOSECONDS)


def schedstats(cluster: Cluster) -> dict[str, SchedStat]:
    """Return the scheduler statistics of all running site processes and this one."""
    found = {
        name: schedstat_of(process.pid)
        for name, process in cluster.processes.items()
        if process.running
    }
    return {**found, "bench": schedstat_of("self")}


def cpu_seconds(process: Process) -> float:
    """Return the CPU seconds that a process has used, or 0 if it has ended."""
    if not process.running:
        return 0.0
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(process: Process) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def programs_cpu(cluster: Cluster) -> dict[str, float]:
    """Return the CPU seconds of all VMs' processes, summed by program."""
    return {
        program: sum(map(cpu_seconds, _processes(cluster, program)))
        for program in PROGRAM_PORTS
    }


def _processes(cluster: Cluster, program: str) -> Iterable[Process]:
    for place in cluster.site.vms:
        yield cluster.process(f"{place.vm}/{program}")
