"""Maintains one link to every peer selected by membership."""

from datetime import timedelta
from random import Random

import anyio
from anyio.abc import TaskGroup

from chivespan.clock import Clock
from chivespan.membership import Membership
from chivespan.peerlink import Backoff, LinkEnd, LinkHandler, PeerLink, dial_once
from chivespan.settings import NodeSettings

CHECK_INTERVAL = timedelta(milliseconds=250)
# Delay before the VM with the higher IP number dials, to avoid duplicate links.
SECOND_DIALLER_DELAY = timedelta(milliseconds=200)


class Mesh:
    """Links to peers, dialled by either end.

    Of two VMs in a data centre the one with the lower IP number dials first; the other
    dials only if no link has been opened within a delay. A link between data centres is
    dialled by the VM that needs the other's membership view.

    :param handler: reads a link that this process has dialled.
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
    def linked_peer_count(self) -> int:
        """Number of peers that have a link."""
        return len(self._links)

    @property
    def links(self) -> list[PeerLink]:
        """One open link per linked peer."""
        return [next(iter(links)) for links in self._links.values() if links]

    def local_links(self) -> list[PeerLink]:
        """Return the links to peers in this data centre."""
        centre = self._settings.data_centre
        return [link for link in self.links if link.remote.data_centre == centre]

    async def run(self) -> None:
        """Dial peers; never returns."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._membership.refresh_pending()
                self._dial_new(tasks)
                with anyio.move_on_after(CHECK_INTERVAL.total_seconds()):
                    await self._membership.wait_state_changed()

    async def run_link(self, link: PeerLink, handler: LinkHandler) -> None:
        """Register a link that either end has dialled, and run a handler on it."""
        links = self._links.setdefault(link.remote.vm, set())
        links.add(link)
        self._membership.link_opened(link.remote)
        self._drop_duplicate_link(link.remote.vm)
        try:
            await handler(link)
        finally:
            links.discard(link)
            if not links:
                self._links.pop(link.remote.vm, None)
            self._membership.link_closed(link.remote)
            self._link_ended.set()
            self._link_ended = anyio.Event()

    def _dial_new(self, tasks: TaskGroup) -> None:
        for vm in self._membership.peers_to_link():
            if vm not in self._dialling:
                self._dialling.add(vm)
                tasks.start_soon(self._maintain_link, vm)

    async def _maintain_link(self, vm: str) -> None:
        address = f"{vm}:{self._settings.dispatch_port}"
        delays = Backoff(Random())
        await self._delay_if_second_dialler(vm)
        while vm in self._membership.peers_to_link():
            if self._has_local_link(vm):
                await self._wait_local_link_ended(vm)
                await self._delay_if_second_dialler(vm)
                continue
            opened = await dial_once(address, self._end, self._run_dialled_link)
            if opened:
                delays.reset()
            else:
                self._membership.record_dial_failure(vm)
            await anyio.sleep(delays.next().total_seconds())
        self._dialling.discard(vm)

    async def _delay_if_second_dialler(self, vm: str) -> None:
        if not self._dials_first(vm):
            await anyio.sleep(SECOND_DIALLER_DELAY.total_seconds())

    async def _wait_local_link_ended(self, vm: str) -> None:
        while self._has_local_link(vm):
            await self._link_ended.wait()

    async def _run_dialled_link(self, link: PeerLink) -> None:
        vm = link.remote.vm
        self._dialled[vm] = link
        try:
            await self.run_link(link, self._handler)
        finally:
            del self._dialled[vm]

    def _dials_first(self, vm: str) -> bool:
        return self._settings.vm < vm

    def _is_local(self, link: PeerLink) -> bool:
        return link.remote.data_centre == self._settings.data_centre

    def _has_local_link(self, vm: str) -> bool:
        """Return whether a link to a peer in this data centre exists."""
        return any(self._is_local(link) for link in self._links.get(vm, ()))

    def _drop_duplicate_link(self, vm: str) -> None:
        """Close the dialled link if the peer that dials first has opened one too."""
        own = self._dialled.get(vm)
        if own is None or self._dials_first(vm) or not self._is_local(own):
            return
        if len(self._links.get(vm, ())) > 1:
            own.abort()
