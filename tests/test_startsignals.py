"""Signals that come while a node's process is starting."""

import signal
import subprocess
import sys
from pathlib import Path

import anyio
import pytest

from standins.platformtarget import TargetOptions, TargetStandIn
from tests.fleet import ROOT, fleet

pytestmark = pytest.mark.anyio

HANGUP_INTERVAL_S = 0.02
HANGUP_BIT = 1 << (signal.SIGHUP - 1)


def is_default(pid: int) -> bool:
    """Return whether SIGHUP would still end a process."""
    with open(f"/proc/{pid}/status") as status:
        fields = dict(line.split(":", 1) for line in status)
    masks = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
    return not masks & HANGUP_BIT


# Guards against: SIGHUP ends a process that is starting, by the signal's default effect
# (issue 37).
async def test_hangup_while_a_node_starts_does_not_end_it(tmp_path: Path) -> None:
    target = TargetStandIn(TargetOptions(target_id="i-1", events=2))
    async with fleet(tmp_path, 0, target) as (site, tasks):
        await site.launch(1, tasks)
        process = site.processes[1]
        with anyio.fail_after(5):
            while is_default(process.pid):
                await anyio.sleep(0.001)
        sent = 0
        while not site.has_started(1):
            process.send_signal(signal.SIGHUP)
            sent += 1
            await anyio.sleep(HANGUP_INTERVAL_S)
            assert process.returncode is None, "SIGHUP has ended the process"
        await site.wait_ready(1)
        assert sent > 1
        assert site.events(1, "reloaded"), "the settings were not read again"
        assert await site.stop(1) == 0


# Guards against: imports before SIGHUP is ignored, which take most of a start.
def test_entry_point_imports_nothing_that_takes_time() -> None:
    code = "import sys, chivespan.node_main; print(*sys.modules)"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True
    )
    modules = result.stdout.decode().split()
    own = {name for name in modules if name.startswith("chivespan")}
    assert own == {"chivespan", "chivespan.node_main"}
    assert not {"anyio", "uvloop", "asyncio", "logbook"} & set(modules)
