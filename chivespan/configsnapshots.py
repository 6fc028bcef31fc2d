"""Finds the newest snapshot of the configuration, for a node that fell behind the log.

The snapshots are written by the batch program of the one VM that owns the stream.
"""

from chivespan.codec import decode
from chivespan.configfold import CONFIG_STREAM
from chivespan.errors import ChivespanError
from chivespan.messages import ConfigSnapshot
from chivespan.platform import LogService
from chivespan.records import ConfigState
from chivespan.snapshots import SnapshotStore


class ConfigSnapshots:
    """Reads the configuration's snapshots; meets ``configfeed.SnapshotSource``."""

    def __init__(self, log: LogService) -> None:
        self._store = SnapshotStore(log, CONFIG_STREAM, writer="")

    async def __call__(self) -> ConfigSnapshot | None:
        """Return the newest snapshot that the log can be replayed from.

        None when there is none, or the log gives no answer now.
        """
        try:
            state = await self._store.newest_state()
        except ChivespanError:
            return None
        if state is None:
            return None
        as_of = decode(state, ConfigState).offset
        return ConfigSnapshot(as_of=as_of, snapshot=state)
