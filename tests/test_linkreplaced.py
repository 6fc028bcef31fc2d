"""A link that is replaced by another one takes what was on its way with it.

Both ends dial, and the end with the higher IP number leaves the link that it dialled:
what the other end has said there is never read.
"""

from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, cast

import anyio
import pytest

from chivespan.clock import SystemClock
from chivespan.codec import PROTOCOL, decode_message
from chivespan.loadboard import LoadBoard
from chivespan.loadreports import LoadReports
from chivespan.messages import Hello, Program
from chivespan.nodemessages import DataCentreNodes, LoadReport
from chivespan.remotenodes import NodeAnnouncer, RemoteNodes
from chivespan.targetsilence import TargetSilence
from tests.test_fleetlinks import member

pytestmark = pytest.mark.anyio


@dataclass
class FakeLink:
    """An open link to a node; what is sent on it is kept."""

    remote: Hello
    is_open: bool = True
    sent: list[object] = field(default_factory=list)
    ended: anyio.Event = field(default_factory=anyio.Event)

    def send_frame(self, frame: bytes) -> bool:
        self.sent.append(decode_message(frame))
        return True

    async def __aiter__(self) -> AsyncIterator[object]:
        await self.ended.wait()
        self.is_open = False
        for message in list[object]():
            yield message


def hello(vm: str, data_centre: str) -> Hello:
    return Hello(
        vm=vm,
        program=Program.node,
        data_centre=data_centre,
        region="r",
        incarnation="1",
        serving_port=8161,
        protocol=PROTOCOL,
    )


async def replaced(data_centre: str) -> FakeLink:
    """Have a link replaced before its messages were read; return the new one."""
    own = member(0, 1)
    links = own.links
    owned = LoadReport(
        config_version=1,
        leaving=False,
        store_reached=True,
        owned=[0, 1],
        link_mbps=600.0,
        sequence=0,
        silent=[],
        loads=[],
    )
    silence = TargetSilence(SystemClock())
    reports = LoadReports(links, LoadBoard(SystemClock()), lambda: owned, silence)
    node_announcer = NodeAnnouncer(links, reports, RemoteNodes(links))
    other = hello(f"{links.own.vm}9", data_centre)
    first, second = FakeLink(other), FakeLink(other)
    hold = cast(
        Callable[[FakeLink], Coroutine[Any, Any, None]], links._run_accepted_link
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(hold, first)
        await anyio.sleep(0.01)
        reports._report_loads()
        reports._send_sums()
        node_announcer.send_changes()
        tasks.start_soon(hold, second)
        await anyio.sleep(0.01)
        first.ended.set()
        await anyio.sleep(0.01)
        reports._send_sums()
        node_announcer.send_changes()
        tasks.cancel_scope.cancel()
    return second


async def test_owner_says_on_each_link_what_it_owns() -> None:
    """A node that started never heard who owned partitions: it took them (issue 17)."""
    link = await replaced("dc-0")
    said = [each for each in link.sent if isinstance(each, LoadReport)]
    assert said
    assert said[0].owned == [0, 1]


async def test_relay_says_on_each_link_which_nodes_are_live() -> None:
    """What a relay had told on a link that was left was never told again (issue 17)."""
    link = await replaced("dc-1")
    assert any(isinstance(each, DataCentreNodes) for each in link.sent)
