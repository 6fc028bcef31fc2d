"""Configuration and membership as followed by the entry and batch worker of a VM.

They follow the dispatcher of their own VM, or another one of the data centre while that
is unavailable. While all are unavailable, the last state received stays in use.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from random import Random

import anyio

from chivespan.addressselector import entry_addresses
from chivespan.configcopy import ConfigCopy
from chivespan.configuration import Configuration
from chivespan.documents import Runner
from chivespan.errors import ChivespanError
from chivespan.linkmessages import SliceLoad
from chivespan.messages import (
    ConfigRecords,
    ConfigRequest,
    ConfigSnapshot,
    MembershipUpdate,
    VmState,
    VmView,
)
from chivespan.peerlink import Backoff, LinkEnd, PeerLink, dial_once
from chivespan.placement import ranked
from chivespan.platformservices import VmList
from chivespan.settings import NodeSettings
from chivespan.slices import Slice, slices_of

# Another VM's dispatcher is followed for this long; then this VM's is tried again.
REMOTE_FOLLOW_TIME = timedelta(seconds=10)


class NodeView:
    """Configuration, VMs, slices and their loads, as last received.

    :param vm_list: lists other dispatchers until one has sent the membership.
    """

    def __init__(
        self, end: LinkEnd, settings: NodeSettings, vm_list: VmList | None = None
    ) -> None:
        self._end = end
        self._settings = settings
        self._vm_list = vm_list
        self._config_copy = ConfigCopy()
        self._vms: dict[str, VmView] = {}
        self._slices: dict[str, Slice] = {}
        self._runners: dict[str, Runner] = {}
        self._loads: dict[str, SliceLoad] = {}
        self._changed = anyio.Event()
        self._ready = anyio.Event()
        self._has_configuration = False

    @property
    def configuration(self) -> Configuration:
        """The current documents."""
        return self._config_copy.configuration

    @property
    def vms(self) -> tuple[VmView, ...]:
        """All known VMs."""
        return tuple(self._vms.values())

    @property
    def slices(self) -> Mapping[str, Slice]:
        """All slices of the inventory by id."""
        return self._slices

    @property
    def loads(self) -> Mapping[str, SliceLoad]:
        """Loads by slice id, for slices whose owner has reported one."""
        return self._loads

    def live_vms(self, data_centre: str | None = None) -> list[str]:
        """Return the live VMs of one data centre, or of all."""
        return [
            view.vm
            for view in self._vms.values()
            if view.state is VmState.live and data_centre in (None, view.data_centre)
        ]

    def entries(self, data_centre: str) -> list[str]:
        """Return the addresses of the entries on the live VMs of a data centre.

        A VM that reports no entries is assumed to have one at the default port, since
        its entry may only have lost the link to the dispatcher.
        """
        default_port = self._settings.entry_port
        return [
            address
            for view in self._vms.values()
            if view.state is VmState.live and view.data_centre == data_centre
            for address in entry_addresses(view, default_port)
            or [f"{view.vm}:{default_port}"]
        ]

    def batch_vms(self) -> list[str]:
        """Return the live VMs with a running batch process, or all if none is known.

        A batch process can end or hang while the rest of its VM continues.
        """
        running = [
            view.vm
            for view in self._vms.values()
            if view.state is VmState.live and view.runs_batch
        ]
        return running or self.live_vms()

    async def wait_ready(self) -> None:
        """Wait until configuration and membership have been received once."""
        await self._ready.wait()

    async def wait_changed(self) -> None:
        """Wait for the next change of configuration, membership or loads."""
        await self._changed.wait()

    async def run(self) -> None:
        """Follow a dispatcher; never returns."""
        delays = Backoff(Random())
        while True:
            for vm in await self._dispatchers():
                if await self._follow_dispatcher(vm):
                    delays.reset()
                    break
            await anyio.sleep(delays.next().total_seconds())

    async def _follow_dispatcher(self, vm: str) -> bool:
        address = f"{vm}:{self._settings.dispatch_port}"
        if vm == self._settings.vm:
            return await dial_once(address, self._end, self._read_link)
        with anyio.move_on_after(REMOTE_FOLLOW_TIME.total_seconds()):
            return await dial_once(address, self._end, self._read_link)
        return True

    async def _read_link(self, link: PeerLink) -> None:
        link.send(ConfigRequest(have_offset=self._config_copy.offset))
        async for message in link:
            self._handle_message(link, message)

    def _handle_message(self, link: PeerLink, message: object) -> None:
        match message:
            case MembershipUpdate():
                self._apply_membership(message)
            case ConfigRecords():
                self._apply_records(link, message)
            case ConfigSnapshot():
                self._config_copy.apply_snapshot(message)
                self._configuration_changed()

    def _apply_membership(self, update: MembershipUpdate) -> None:
        if update.whole:
            self._vms.clear()
        self._vms.update((view.vm, view) for view in update.vms)
        for vm in update.gone:
            self._vms.pop(vm, None)
        self._loads = dict(_merged_loads(self._vms.values()))
        self._notify()

    def _apply_records(self, link: PeerLink, message: ConfigRecords) -> None:
        if message.from_offset > self._config_copy.offset + 1:
            link.send(ConfigRequest(have_offset=self._config_copy.offset))
            return
        self._config_copy.apply_records(message)
        self._configuration_changed()

    def _configuration_changed(self) -> None:
        self._has_configuration = True
        if self._runners != self.configuration.runners:
            self._runners = dict(self.configuration.runners)
            self._slices = slices_of(self.configuration)
        self._notify()

    def _notify(self) -> None:
        if self._has_configuration and self._vms:
            self._ready.set()
        self._changed.set()
        self._changed = anyio.Event()

    async def _dispatchers(self) -> list[str]:
        own = self._settings.vm
        others = self.live_vms(self._settings.data_centre)
        if not self._vms and self._vm_list is not None:
            others = await self._list_dispatchers(self._vm_list)
        return [own, *(vm for vm in ranked(own, others) if vm != own)]

    async def _list_dispatchers(self, vm_list: VmList) -> list[str]:
        try:
            listed = await vm_list.fetch()
        except ChivespanError:
            self._end.counters.incr("membership.list_failures")
            return []
        wanted = self._settings.data_centre
        return [each.vm for each in listed if each.data_centre == wanted]


def _merged_loads(views: Iterable[VmView]) -> Iterable[tuple[str, SliceLoad]]:
    for view in views:
        if view.state is not VmState.silent:
            yield from ((load.slice_id, load) for load in view.slices)
