"""Selection of the entry addresses that callers use, and their lifetime."""

import itertools
import random
from collections.abc import Iterable, Sequence
from datetime import timedelta

from chivespan.callerapi import AddressAnswer
from chivespan.messages import VmState, VmView

MAX_ADDRESSES = 4


class AddressSelector:
    """Selects live entry VMs, closest first, and balances callers across them.

    :param entry_port: port assumed for a VM whose entry ports are unknown.
    :param lifetime: how long callers may cache a result; a leaving VM keeps serving
        for this long.
    :param generator: source of the random order of VMs that are equally close.
    """

    def __init__(
        self, entry_port: int, lifetime: timedelta, generator: random.Random
    ) -> None:
        self._entry_port = entry_port
        self._lifetime = lifetime
        self._generator = generator

    def select(
        self, vms: Sequence[VmView], data_centre: str, region: str
    ) -> AddressAnswer:
        """Return the addresses for a caller in or close to a data centre.

        A VM can be live while all its entry processes have stopped; such a VM is
        omitted. The first entry of every VM precedes the second entry of any VM,
        because a failure of one entry often affects its whole VM.
        """
        live = [vm for vm in vms if vm.state is VmState.live]
        local = self._shuffled(vm for vm in live if vm.data_centre == data_centre)
        same_region = self._shuffled(
            vm for vm in live if vm.data_centre != data_centre and vm.region == region
        )
        remote = self._shuffled(vm for vm in live if vm.region != region)
        return AddressAnswer(
            addresses=[*local, *same_region, *remote][:MAX_ADDRESSES],
            lifetime_ms=round(self._lifetime / timedelta(milliseconds=1)),
        )

    def _shuffled(self, vms: Iterable[VmView]) -> list[str]:
        """Return entry addresses in random order, one of each VM first."""
        by_vm = [self._vm_addresses(vm) for vm in vms]
        self._generator.shuffle(by_vm)
        rounds = itertools.zip_longest(*by_vm)
        return [
            address for round_ in rounds for address in round_ if address is not None
        ]

    def _vm_addresses(self, vm: VmView) -> list[str]:
        addresses = entry_addresses(vm, self._entry_port)
        self._generator.shuffle(addresses)
        return addresses


def entry_addresses(vm: VmView, default_port: int) -> list[str]:
    """Return the addresses of a VM's entries that accept callers.

    :param default_port: used until the VM has reported its entry ports.

    >>> vm = VmView(
    ...     vm="10.0.0.1",
    ...     data_centre="a",
    ...     region="r",
    ...     state=VmState.live,
    ...     entry_ports=[8080, 8090],
    ... )
    >>> entry_addresses(vm, 8080)
    ['10.0.0.1:8080', '10.0.0.1:8090']
    """
    ports = [default_port] if vm.entry_ports is None else vm.entry_ports
    return [f"{vm.vm}:{port}" for port in ports]
