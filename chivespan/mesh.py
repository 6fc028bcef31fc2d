"""Keeps one link with every peer that membership names."""

from datetime import timedelta
from random import Random

import anyio
from anyio.abc import TaskGroup

from chivespan.clock import Clock
from chivespan.membership import Membership
from chivespan.peerlink import Backoff, LinkEnd, LinkHandler, PeerLink, dial_once
from chivespan.settings import NodeSettings

CHECK_INTERVAL = timedelta(milliseconds=250)
YIELD_TO_DIALLER = timedelta(milliseconds=200)


class Mesh:
    """Links with peers, dialled by either end.

    Of two VMs in a data centre the one with the lower IP number dials first; the other
    dials where that hasn't led to a link in time. Links with other data centres are
    dialled by whoever wants to know about them.

    :param handler: reads a link that was dialled here.
    """

    def __init__(
        self,
        settings: NodeSettings,
        end: LinkEnd,
        membership: Membership,
        handler: LinkHandler,
    ) -> None:
        self._settings = settings
        self._end = end
        self._membership = membership
        self._handler = handler
        self._links: dict[str, set[PeerLink]] = {}
        self._dialled: dict[str, PeerLink] = {}
        self._dialling: set[str] = set()
        self._clock: Clock = end.clock
        self._link_ended = anyio.Event()

    @property
    def count(self) -> int:
        """How many peers have a link."""
        return len(self._links)

    @property
    def links(self) -> list[PeerLink]:
        """One open link for every peer that has one."""
        return [next(iter(links)) for links in self._links.values() if links]

    def links_here(self) -> list[PeerLink]:
        """Return the links with peers of this data centre."""
        centre = self._settings.data_centre
        return [link for link in self.links if link.remote.data_centre == centre]

    async def run(self) -> None:
        """Dial peers for ever."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._membership.tick()
                self._dial_new(tasks)
                with anyio.move_on_after(CHECK_INTERVAL.total_seconds()):
                    await self._membership.wait_state_changed()

    async def hold(self, link: PeerLink, handler: LinkHandler) -> None:
        """Run a handler over a link that either end dialled."""
        links = self._links.setdefault(link.remote.vm, set())
        links.add(link)
        self._membership.linked(link.remote)
        self._drop_second_link(link.remote.vm)
        try:
            await handler(link)
        finally:
            links.discard(link)
            if not links:
                self._links.pop(link.remote.vm, None)
            self._membership.unlinked(link.remote)
            self._link_ended.set()
            self._link_ended = anyio.Event()

    def _dial_new(self, tasks: TaskGroup) -> None:
        for vm in self._membership.peers_to_link():
            if vm not in self._dialling:
                self._dialling.add(vm)
                tasks.start_soon(self._keep, vm)

    async def _keep(self, vm: str) -> None:
        address = f"{vm}:{self._settings.dispatch_port}"
        delays = Backoff(Random())
        await self._yield_to_dialler(vm)
        while vm in self._membership.peers_to_link():
            if self._has_link_from(vm):
                await self._wait_link_from_ended(vm)
                await self._yield_to_dialler(vm)
                continue
            opened = await dial_once(address, self._end, self._hold_dialled)
            if opened:
                delays.reset()
            else:
                self._membership.unreachable(vm)
            await anyio.sleep(delays.next().total_seconds())
        self._dialling.discard(vm)

    async def _yield_to_dialler(self, vm: str) -> None:
        if not self._dials_first(vm):
            await anyio.sleep(YIELD_TO_DIALLER.total_seconds())

    async def _wait_link_from_ended(self, vm: str) -> None:
        while self._has_link_from(vm):
            await self._link_ended.wait()

    async def _hold_dialled(self, link: PeerLink) -> None:
        vm = link.remote.vm
        self._dialled[vm] = link
        try:
            await self.hold(link, self._handler)
        finally:
            del self._dialled[vm]

    def _dials_first(self, vm: str) -> bool:
        return self._settings.vm < vm

    def _is_here(self, link: PeerLink) -> bool:
        return link.remote.data_centre == self._settings.data_centre

    def _has_link_from(self, vm: str) -> bool:
        """Return whether a peer of this data centre has dialled already."""
        return any(self._is_here(link) for link in self._links.get(vm, ()))

    def _drop_second_link(self, vm: str) -> None:
        """End the own link where the peer that dials first has made one too."""
        own = self._dialled.get(vm)
        if own is None or self._dials_first(vm) or not self._is_here(own):
            return
        if len(self._links.get(vm, ())) > 1:
            own.abort()
