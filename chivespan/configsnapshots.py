"""Snapshots of the configuration, which preserve it beyond the log's retention.

One VM writes them: the first in rendezvous order of those it considers live. Concurrent
or delayed writers are safe, because readers choose the snapshot by its offset: the
newest one from which the log can still be replayed.
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
MAX_INTERVAL = timedelta(hours=1)
SNAPSHOTS_PER_RETENTION = 8
SNAPSHOT_RECORDS = 500

_log = logger("config")


class ConfigSnapshots:
    """Reads snapshots of the configuration, and writes them if this VM is the writer.

    :param writer: writer id, unique to this run of the process.
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
        self._config_copy = copy
        self._membership = membership
        self._clock = clock
        self._counters = counters
        log_retention = timedelta(minutes=settings.log_keep_minutes)
        self._interval = min(MAX_INTERVAL, log_retention / SNAPSHOTS_PER_RETENTION)
        self._last_written: timedelta | None = None
        self._as_of = -1

    async def newest(self) -> ConfigSnapshot | None:
        """Return the newest snapshot from which the log can be replayed, or None."""
        try:
            state = await self._store.newest_state()
            if state is None:
                return None
            as_of = ConfigFold.from_snapshot(state).offset
        except ChivespanError as error:
            self._counters.incr("config.snapshot_failures")
            _log.warning("snapshot not loaded", reason=error.message)
            return None
        return ConfigSnapshot(as_of=as_of, snapshot=state)

    async def run(self) -> None:
        """Write a snapshot whenever one is due and this VM is the writer."""
        while True:
            await anyio.sleep(CHECK_INTERVAL.total_seconds())
            if self._is_due():
                await self.write()

    async def write(self) -> None:
        """Write a snapshot now; after a failure, the next check tries again."""
        try:
            now = self._clock.now()
            self._as_of = await self._store.write(self._config_copy.fold, now)
        except ChivespanError:
            self._counters.incr("config.snapshot_failures")
            return
        self._last_written = self._clock.monotonic()
        self._counters.incr("config.snapshots_written")

    def _is_due(self) -> bool:
        """Return whether this VM should write a snapshot.

        One is due periodically even without changes, because the retention of the log
        drops snapshots too.
        """
        writer = select_owner(CONFIG_STREAM, self._membership.live_vms())
        if writer != self._settings.vm or self._config_copy.offset < 0:
            return False
        if self._last_written is None:
            return True
        age = self._clock.monotonic() - self._last_written
        records_since = self._config_copy.offset - self._as_of
        return age >= self._interval or records_since >= SNAPSHOT_RECORDS
