"""Watches the batch programs of VMs that come before this one as owners of partitions.

A VM counts as live by its control program. Where the batch program alone has died or
gone silent there, the next VM must take its partitions over; a wrong guess costs double
work only.
"""

from datetime import timedelta
from random import Random

import anyio
from anyio.abc import TaskGroup

from chivespan.peerlink import Backoff, LinkEnd, PeerLink, dial_once

GRACE = timedelta(seconds=2)


class BatchWatch:
    """Links to some VMs' batch programs; ``run`` must be going.

    :param port: port of the batch program on every VM.
    """

    def __init__(self, end: LinkEnd, port: int, grace: timedelta = GRACE) -> None:
        self._end = end
        self._port = port
        self._grace = grace
        self._down_since: dict[str, timedelta | None] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._tasks: TaskGroup | None = None

    @property
    def silent(self) -> frozenset[str]:
        """The watched VMs whose batch program was away for longer than a moment."""
        now = self._end.clock.monotonic()
        return frozenset(
            vm
            for vm, since in self._down_since.items()
            if since is not None and now - since > self._grace
        )

    async def run(self) -> None:
        """Hold the links until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    def watch(self, vms: frozenset[str]) -> None:
        """Watch these VMs and no others."""
        if self._tasks is None:
            return
        for vm in self._scopes.keys() - vms:
            self._scopes.pop(vm).cancel()
            del self._down_since[vm]
        for vm in vms - self._scopes.keys():
            scope = self._scopes[vm] = anyio.CancelScope()
            self._down_since[vm] = self._end.clock.monotonic()
            self._tasks.start_soon(self._hold_link, vm, scope)

    async def _hold_link(self, vm: str, scope: anyio.CancelScope) -> None:
        async def listen(link: PeerLink) -> None:
            self._down_since[vm] = None
            async for _ in link:
                pass

        delays = Backoff(Random())
        with scope:
            while True:
                if await dial_once(f"{vm}:{self._port}", self._end, listen):
                    self._down_since[vm] = self._end.clock.monotonic()
                    delays.reset()
                await anyio.sleep(delays.next().total_seconds())
