"""The fleet of processes that tests start leaves none behind."""

import os
import signal
from pathlib import Path

import pytest

from tests import fleet as fleet_module
from tests.fleet import Fleet, fleet

pytestmark = pytest.mark.anyio


def is_running(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


# Guards against: nodes that are left behind when one of them has ended by itself; they
# hold their addresses, and tests of later runs fail.
async def test_all_nodes_end_when_one_has_ended_by_itself(tmp_path: Path) -> None:
    async with fleet(tmp_path, 3) as (site, _):
        pids = [process.pid for process in site.processes.values()]
        first = site.processes[1]
        first.send_signal(signal.SIGKILL)
        await first.wait()
    assert not any(map(is_running, pids))


# Guards against: the same when the nodes don't become ready.
async def test_all_nodes_end_when_they_do_not_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    started: list[Fleet] = []

    async def fail(site: Fleet, number: int) -> None:
        started.append(site)
        raise TimeoutError

    monkeypatch.setattr(fleet_module.Fleet, "wait_ready", fail)
    with pytest.raises(BaseExceptionGroup):
        async with fleet(tmp_path, 2):
            raise AssertionError("the fleet did start")
    pids = [process.pid for process in started[0].processes.values()]
    assert pids
    assert not any(map(is_running, pids))
