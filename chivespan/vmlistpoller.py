"""Reads the platform's VM list again and again, at a bounded cost."""

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
    """Tells membership what the list says; a large new answer delays the next read."""

    def __init__(
        self, vm_list: VmList, membership: Membership, counters: Counters
    ) -> None:
        self._vm_list = vm_list
        self._membership = membership
        self._counters = counters
        self._last: tuple[ListedVm, ...] | None = None
        self._answering = True

    async def run(self) -> None:
        """Read the list for ever."""
        while True:
            interval = LIST_INTERVAL
            try:
                listed = await self._vm_list.fetch()
            except ChivespanError as error:
                self._note_failure(error)
            else:
                self._answering = True
                if listed is not self._last:
                    self._membership.update_from_list(listed)
                    interval = max(interval, len(listed) * POLL_DELAY_PER_VM)
                self._last = listed
            await anyio.sleep(interval.total_seconds())

    def _note_failure(self, error: ChivespanError) -> None:
        self._counters.incr("membership.list_failures")
        if self._answering:
            _log.warning("the VM list gives no answer", reason=error.message)
        self._answering = False
