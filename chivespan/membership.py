"""One node's view of which VMs are live, from the platform's list and its own links.

The list lags and may be unavailable. An open link shows at once that a VM is live, and
a closed link that it may be lost. The views of two nodes may differ at any time, and
nothing relies on them being equal.
"""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta

import anyio

from chivespan.clock import Clock
from chivespan.linkmessages import Heartbeat, Hello
from chivespan.messages import MembershipUpdate, VmState, VmView
from chivespan.placement import ranked
from chivespan.platformservices import ListedVm
from chivespan.settings import NodeSettings

PEERS_PER_REMOTE_CENTRE = 1
# A VM whose link closed stays live for this long, so that it can reconnect.
RECONNECT_GRACE = timedelta(milliseconds=300)
REMOVE_AFTER = timedelta(seconds=60)


@dataclass(slots=True)
class _VmRecord:
    """Everything known about one VM."""

    vm: str
    data_centre: str
    region: str
    first_seen: timedelta
    listed: VmState | None = None
    links: int = 0
    unlinked_at: timedelta | None = None
    unreachable: bool = False
    heartbeat: Heartbeat | None = None
    reported: VmView | None = None


@dataclass(frozen=True, slots=True)
class _PublishedView:
    """The last published view of a VM, and the sequence number of that change."""

    view: VmView
    sequence: int


@dataclass(slots=True)
class _Published:
    """Views and removals published to subscribers, by sequence number."""

    entries: dict[str, _PublishedView] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    sequence: int = 0


class Membership:
    """All VMs with the states that this node has detected."""

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._silence_timeout = timedelta(milliseconds=settings.peer_silence_ms)
        self._vms: dict[str, _VmRecord] = {}
        self._leaving_addresses: frozenset[str] = frozenset()
        self._target_addresses: frozenset[str] = frozenset()
        self._published = _Published()
        self._last_list: tuple[ListedVm, ...] = ()
        self._pending: set[str] = set()
        self._peers: frozenset[str] | None = None
        self._state_changed = anyio.Event()
        self._own_heartbeat = Heartbeat(config_offset=-1, leaving=False, slices=[])
        self._leaving = False
        self._get_or_add(settings.vm, settings.data_centre, settings.region)
        self.refresh()

    @property
    def leaving(self) -> bool:
        """Whether this node is leaving, by its own signal or by the list."""
        return self._leaving or self._vms[self._settings.vm].listed is VmState.leaving

    @property
    def views(self) -> Mapping[str, VmView]:
        """All VMs by IP number."""
        return {vm: entry.view for vm, entry in self._published.entries.items()}

    @property
    def leaving_addresses(self) -> frozenset[str]:
        """IP numbers that the list shows as leaving, including those of targets."""
        return self._leaving_addresses

    def live_vms(self, data_centre: str | None = None) -> list[str]:
        """Return the live VMs of one data centre, or of all."""
        return [
            entry.view.vm
            for entry in self._published.entries.values()
            if entry.view.state is VmState.live
            and data_centre in (None, entry.view.data_centre)
        ]

    def peers_to_link(self) -> frozenset[str]:
        """Return the VMs to keep links with.

        These are all VMs of the data centre and a few of each other one in the region.
        """
        if self._peers is None:
            self._peers = frozenset(self._choose_peers())
        return self._peers

    async def wait_state_changed(self) -> None:
        """Wait until a VM is added, removed or changes its state."""
        await self._state_changed.wait()

    def announce_leaving(self) -> None:
        """Publish that this node is leaving."""
        self._leaving = True
        self.refresh()

    def set_own_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Set the heartbeat of this node, and publish its content."""
        self._own_heartbeat = heartbeat
        self._publish(self._vms[self._settings.vm])

    def set_target_addresses(self, addresses: Iterable[str]) -> None:
        """Set the IP numbers of targets, which are not VMs of chivespan."""
        self._target_addresses = frozenset(addresses)
        self.refresh()

    def update_from_list(self, listed: Iterable[ListedVm]) -> None:
        """Apply the platform's list, which may be outdated."""
        entries = tuple(listed)
        if entries == self._last_list:
            return
        self._last_list = entries
        self._update_leaving(entries)
        for known in self._vms.values():
            known.listed = None
        for each in entries:
            if each.vm not in self._target_addresses:
                vm = self._get_or_add(each.vm, each.data_centre, each.region)
                vm.listed = each.state
        self.refresh()

    def link_opened(self, hello: Hello) -> None:
        """Record that a link to a VM was opened."""
        vm = self._get_or_add(hello.vm, hello.data_centre, hello.region)
        vm.links += 1
        self._set_unreachable(vm, False)
        self._publish(vm)

    def link_closed(self, hello: Hello) -> None:
        """Record that a link to a VM was closed."""
        vm = self._vms.get(hello.vm)
        if vm is not None:
            vm.links -= 1
            vm.unlinked_at = self._clock.monotonic()
            self._pending.add(vm.vm)

    def record_dial_failure(self, vm_name: str) -> None:
        """Record that a new connection to a VM failed."""
        vm = self._vms.get(vm_name)
        if vm is not None and vm.links == 0:
            self._set_unreachable(vm, True)
            vm.unlinked_at = vm.unlinked_at or self._clock.monotonic()
            self._publish(vm)

    def record_heartbeat(self, vm_name: str, heartbeat: Heartbeat) -> None:
        """Record and publish the heartbeat of a peer."""
        vm = self._vms.get(vm_name)
        if vm is not None and vm.heartbeat != heartbeat:
            vm.heartbeat = heartbeat
            self._publish(vm)

    def update_from_report(self, data_centre: str, update: MembershipUpdate) -> None:
        """Apply the view that another data centre has of its own VMs."""
        for view in update.vms:
            if view.data_centre == data_centre != self._settings.data_centre:
                vm = self._get_or_add(view.vm, view.data_centre, view.region)
                vm.reported = view
                self._publish(vm)

    def refresh_pending(self) -> None:
        """Update the VMs whose state depends on a timeout."""
        for name in list(self._pending):
            vm = self._vms.get(name)
            if vm is None or vm.links or self._is_silent(vm):
                self._pending.discard(name)
            if vm is not None:
                self._publish(vm)

    def refresh(self) -> None:
        """Update every VM, and remove those lost for too long."""
        for vm in list(self._vms.values()):
            if self._is_removable(vm):
                self._remove(vm)
            else:
                self._publish(vm)

    def changes_since(
        self, sequence: int, data_centre: str | None = None
    ) -> MembershipUpdate | None:
        """Return the changes after a sequence number; None if there are none.

        :param sequence: 0 for the complete view.
        :param data_centre: only VMs of this data centre; None for all.
        """
        published = self._published
        views = [
            entry.view
            for entry in published.entries.values()
            if entry.sequence > sequence
            and data_centre in (None, entry.view.data_centre)
        ]
        removed = [vm for vm, at in published.removed.items() if at > sequence > 0]
        if not views and not removed:
            return None
        return MembershipUpdate(vms=views, whole=sequence == 0, gone=removed)

    @property
    def sequence(self) -> int:
        """Sequence number of the latest change."""
        return self._published.sequence

    def _choose_peers(self) -> Iterator[str]:
        own = self._settings
        same_region: dict[str, list[str]] = {}
        for each in self._vms.values():
            if each.data_centre == own.data_centre and each.vm != own.vm:
                yield each.vm
            elif each.region == own.region and each.vm != own.vm:
                same_region.setdefault(each.data_centre, []).append(each.vm)
        for vms in same_region.values():
            yield from ranked(own.vm, self._reachable(vms))[:PEERS_PER_REMOTE_CENTRE]

    def _reachable(self, vms: list[str]) -> list[str]:
        """Return the VMs that are not unreachable, or all if every one is."""
        return [vm for vm in vms if not self._vms[vm].unreachable] or vms

    def _update_leaving(self, entries: Iterable[ListedVm]) -> None:
        leaving = frozenset(
            each.vm for each in entries if each.state is VmState.leaving
        )
        if leaving != self._leaving_addresses:
            self._leaving_addresses = leaving
            self._notify()

    def _get_or_add(self, vm: str, data_centre: str, region: str) -> _VmRecord:
        known = self._vms.get(vm)
        if known is None:
            known = _VmRecord(vm, data_centre, region, self._clock.monotonic())
            self._vms[vm] = known
            self._peers = None
            self._pending.add(vm)
            self._published.removed.pop(vm, None)
        return known

    def _set_unreachable(self, vm: _VmRecord, unreachable: bool) -> None:
        if vm.unreachable is not unreachable:
            vm.unreachable = unreachable
            self._peers = None

    def _remove(self, vm: _VmRecord) -> None:
        del self._vms[vm.vm]
        self._peers = None
        self._published.entries.pop(vm.vm, None)
        self._published.sequence += 1
        self._published.removed[vm.vm] = self._published.sequence
        self._notify()

    def _is_removable(self, vm: _VmRecord) -> bool:
        if vm.vm == self._settings.vm or vm.links or vm.listed:
            return False
        if vm.vm in self._target_addresses:
            return True
        last_seen = vm.unlinked_at or vm.first_seen
        return self._clock.monotonic() - last_seen > REMOVE_AFTER

    def _publish(self, vm: _VmRecord) -> None:
        view = self._view(vm)
        published = self._published
        before = published.entries.get(vm.vm)
        if before is not None and before.view == view:
            return
        published.sequence += 1
        published.entries[vm.vm] = _PublishedView(view, published.sequence)
        if before is None or before.view.state is not view.state:
            self._notify()

    def _notify(self) -> None:
        self._state_changed.set()
        self._state_changed = anyio.Event()

    def _view(self, vm: _VmRecord) -> VmView:
        heartbeat = self._heartbeat(vm)
        if heartbeat is None and vm.reported is not None:
            return replace(vm.reported, state=self._state(vm))
        known = VmView(
            vm=vm.vm,
            data_centre=vm.data_centre,
            region=vm.region,
            state=self._state(vm),
        )
        if heartbeat is None:
            return known
        return replace(
            known,
            config_offset=heartbeat.config_offset,
            slices=heartbeat.slices,
            runs_batch=heartbeat.runs_batch,
            entry_ports=heartbeat.entry_ports,
        )

    def _heartbeat(self, vm: _VmRecord) -> Heartbeat | None:
        if vm.vm == self._settings.vm:
            return self._own_heartbeat
        return vm.heartbeat if vm.links else None

    def _state(self, vm: _VmRecord) -> VmState:
        if vm.vm == self._settings.vm:
            return VmState.leaving if self.leaving else VmState.live
        announced = vm.heartbeat is not None and vm.heartbeat.leaving
        if vm.listed is VmState.leaving or (vm.links and announced):
            return VmState.leaving
        if vm.links:
            return VmState.live
        if vm.data_centre != self._settings.data_centre:
            return vm.reported.state if vm.reported else VmState.live
        return VmState.silent if self._is_silent(vm) else VmState.live

    def _is_silent(self, vm: _VmRecord) -> bool:
        if vm.unreachable:
            return True
        now = self._clock.monotonic()
        if vm.unlinked_at is not None:
            return now - vm.unlinked_at > RECONNECT_GRACE
        return now - vm.first_seen > self._silence_timeout
