"""Which entry addresses a caller should use, and for how long."""

import random
from collections.abc import Iterable, Sequence
from datetime import timedelta

from chivespan.callerapi import AddressAnswer
from chivespan.messages import VmState, VmView

MAX_ADDRESSES = 4


class AddressBook:
    """Names live entry VMs, the nearest first, spread evenly over callers.

    :param entry_port: port of chivespan-entry on every VM.
    :param lifetime: how long callers may keep an answer; a leaving VM serves on for
        this long.
    """

    def __init__(
        self, entry_port: int, lifetime: timedelta, generator: random.Random
    ) -> None:
        self._entry_port = entry_port
        self._lifetime = lifetime
        self._generator = generator

    def answer(
        self, vms: Sequence[VmView], data_centre: str, region: str
    ) -> AddressAnswer:
        """Return the addresses for a caller near a data centre.

        A VM whose entry alone has ended is live all the same, and is left out here.
        """
        live = [vm for vm in vms if vm.state is VmState.live and vm.runs_entry]
        near = self._shuffled(vm for vm in live if vm.data_centre == data_centre)
        same_region = self._shuffled(
            vm for vm in live if vm.data_centre != data_centre and vm.region == region
        )
        far = self._shuffled(vm for vm in live if vm.region != region)
        chosen = [*near, *same_region, *far][:MAX_ADDRESSES]
        return AddressAnswer(
            addresses=[f"{vm.vm}:{self._entry_port}" for vm in chosen],
            lifetime_ms=round(self._lifetime / timedelta(milliseconds=1)),
        )

    def _shuffled(self, vms: Iterable[VmView]) -> list[VmView]:
        chosen = list(vms)
        self._generator.shuffle(chosen)
        return chosen
