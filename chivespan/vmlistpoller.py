"""Polls the platform's VM list at a bounded cost."""

from datetime import timedelta

import anyio

from chivespan.errors import ChivespanError
from chivespan.logs import logger
from chivespan.membership import Membership
from chivespan.peerlink import Counters
from chivespan.platformservices import ListedVm, VmList

LIST_INTERVAL = timedelta(seconds=1)
POLL_DELAY_PER_VM = timedelta(milliseconds=22)

_log = logger("membership")


class VmListPoller:
    """Passes the list to membership; a long changed list delays the next poll."""

    def __init__(
        self, vm_list: VmList, membership: Membership, counters: Counters
    ) -> None:
        self._vm_list = vm_list
        self._membership = membership
        self._counters = counters
        self._last: tuple[ListedVm, ...] | None = None
        self._list_available = True

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            interval = LIST_INTERVAL
            try:
                listed = await self._vm_list.fetch()
            except ChivespanError as error:
                self._record_failure(error)
            else:
                self._list_available = True
                if listed is not self._last:
                    self._membership.update_from_list(listed)
                    interval = max(interval, len(listed) * POLL_DELAY_PER_VM)
                self._last = listed
            await anyio.sleep(interval.total_seconds())

    def _record_failure(self, error: ChivespanError) -> None:
        self._counters.incr("membership.list_failures")
        if self._list_available:
            _log.warning("cannot fetch the VM list", reason=error.message)
        self._list_available = False
