"""Which entry addresses a caller should use, and for how long."""

import itertools
import random
from collections.abc import Iterable, Sequence
from datetime import timedelta

from chivespan.callerapi import AddressAnswer
from chivespan.messages import VmState, VmView

MAX_ADDRESSES = 4


class AddressSelector:
    """Names live entry VMs, the nearest first, spread evenly over callers.

    :param entry_port: the port to name while those of a VM aren't known.
    :param lifetime: how long callers may keep an answer; a leaving VM serves on for
        this long.
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
        """Return the addresses for a caller near a data centre.

        A VM whose entries alone have ended is live all the same, and is left out here.
        Each VM is named once before any is named with the port of a second entry, as
        what takes one entry away may take all of its VM.
        """
        live = [vm for vm in vms if vm.state is VmState.live]
        near = self._shuffled(vm for vm in live if vm.data_centre == data_centre)
        same_region = self._shuffled(
            vm for vm in live if vm.data_centre != data_centre and vm.region == region
        )
        far = self._shuffled(vm for vm in live if vm.region != region)
        return AddressAnswer(
            addresses=[*near, *same_region, *far][:MAX_ADDRESSES],
            lifetime_ms=round(self._lifetime / timedelta(milliseconds=1)),
        )

    def _shuffled(self, vms: Iterable[VmView]) -> list[str]:
        """Return the addresses of some VMs' entries, one of each VM first."""
        by_vm = [self._of_vm(vm) for vm in vms]
        self._generator.shuffle(by_vm)
        turns = itertools.zip_longest(*by_vm)
        return [address for turn in turns for address in turn if address is not None]

    def _of_vm(self, vm: VmView) -> list[str]:
        addresses = entry_addresses(vm, self._entry_port)
        self._generator.shuffle(addresses)
        return addresses


def entry_addresses(vm: VmView, usual_port: int) -> list[str]:
    """Return the addresses of a VM's entries that take callers.

    :param usual_port: taken while the VM's own word isn't known.

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
    ports = [usual_port] if vm.entry_ports is None else vm.entry_ports
    return [f"{vm.vm}:{port}" for port in ports]
