"""Snapshots of the configuration in the log, so that it outlives the log's retention.

One VM writes them, the first in rendezvous order of those it sees live. Two writers at
once, or a late one, do no harm: readers take the newest that still fits.
"""

from datetime import timedelta

import anyio

from chivespan.clock import Clock
from chivespan.configcopy import ConfigCopy
from chivespan.configfold import CONFIG_STREAM, ConfigFold
from chivespan.errors import ChivespanError
from chivespan.logs import logger
from chivespan.membership import Membership
from chivespan.messages import ConfigSnapshot
from chivespan.peerlink import Counters
from chivespan.placement import select_owner
from chivespan.platformservices import LogService
from chivespan.settings import NodeSettings
from chivespan.snapshots import SnapshotStore

CHECK_INTERVAL = timedelta(seconds=15)
LONGEST_INTERVAL = timedelta(hours=1)
SNAPSHOTS_IN_RETENTION = 8
SNAPSHOT_RECORDS = 500

_log = logger("config")


class ConfigSnapshots:
    """Reads snapshots of the configuration, and writes them where it is this VM's turn.

    :param writer: unique to this run of the process.
    """

    def __init__(
        self,
        settings: NodeSettings,
        log: LogService,
        copy: ConfigCopy,
        membership: Membership,
        clock: Clock,
        counters: Counters,
        writer: str,
    ) -> None:
        self._settings = settings
        self._store = SnapshotStore(log, CONFIG_STREAM, writer)
        self._copy = copy
        self._membership = membership
        self._clock = clock
        self._counters = counters
        log_keeps = timedelta(minutes=settings.log_keep_minutes)
        self._interval = min(LONGEST_INTERVAL, log_keeps / SNAPSHOTS_IN_RETENTION)
        self._written_at: timedelta | None = None
        self._as_of = -1

    async def newest(self) -> ConfigSnapshot | None:
        """Return the newest snapshot that can be replayed from, or nothing."""
        try:
            state = await self._store.newest_state()
            if state is None:
                return None
            as_of = ConfigFold.from_snapshot(state).offset
        except ChivespanError as error:
            self._counters.incr("config.snapshot_failures")
            _log.warning("no snapshot to start from", reason=error.message)
            return None
        return ConfigSnapshot(as_of=as_of, snapshot=state)

    async def run(self) -> None:
        """Write a snapshot whenever one is due and it is this VM's turn."""
        while True:
            await anyio.sleep(CHECK_INTERVAL.total_seconds())
            if self._is_due():
                await self.write()

    async def write(self) -> None:
        """Write a snapshot now; a failure is made good at the next check."""
        try:
            now = self._clock.now()
            self._as_of = await self._store.write(self._copy.fold, now)
        except ChivespanError:
            self._counters.incr("config.snapshot_failures")
            return
        self._written_at = self._clock.monotonic()
        self._counters.incr("config.snapshots_written")

    def _is_due(self) -> bool:
        """Return whether to write: also without changes, since the log forgets."""
        writer = select_owner(CONFIG_STREAM, self._membership.live_vms())
        if writer != self._settings.vm or self._copy.offset < 0:
            return False
        if self._written_at is None:
            return True
        age = self._clock.monotonic() - self._written_at
        fresh = self._copy.offset - self._as_of
        return age >= self._interval or fresh >= SNAPSHOT_RECORDS
