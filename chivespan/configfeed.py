"""Replicates the configuration stream to a node, from the log and from its peers.

In each data centre a few nodes, the readers, follow the log and push new records to
all peers in the data centre. To tolerate the loss of a push or of a reader, every other
node also polls the log at intervals, and requests records from a peer whose heartbeat
reports a higher offset.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

import anyio

from chivespan.clock import Clock
from chivespan.configcopy import ConfigCopy, config_records
from chivespan.configfold import CONFIG_STREAM
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.membership import Membership
from chivespan.messages import ConfigRecords, ConfigRequest, ConfigSnapshot
from chivespan.peerlink import Backoff, Counters, PeerLink
from chivespan.placement import ranked
from chivespan.platformservices import LogPage, LogService
from chivespan.settings import NodeSettings

READERS_PER_CENTRE = 3
PAGE_RECORDS = 256
READ_WAIT = timedelta(seconds=5)
POLL_INTERVAL = timedelta(seconds=20)
PEER_SNAPSHOT_TIMEOUT = timedelta(seconds=2)
REQUEST_RETRY_DELAY = timedelta(seconds=2)
PUSH_TIMEOUT = timedelta(milliseconds=300)

SnapshotSource = Callable[[], Awaitable[ConfigSnapshot | None]]


class ConfigFeed:
    """Keeps one node's copy of the configuration up to date.

    :param snapshots: returns the newest usable snapshot from the log, or None.
    :param push: called for every change of the copy, with the message for local
        subscribers and whether to send it to peers as well.
    """

    def __init__(
        self,
        settings: NodeSettings,
        log: LogService,
        copy: ConfigCopy,
        membership: Membership,
        clock: Clock,
        counters: Counters,
        push: Callable[[ConfigRecords | ConfigSnapshot, bool], None],
        snapshots: SnapshotSource | None = None,
    ) -> None:
        self._settings = settings
        self._log = log
        self._config_copy = copy
        self._membership = membership
        self._clock = clock
        self._counters = counters
        self._push = push
        self._snapshots = snapshots
        self._random = Random()
        self._confirmed_at = clock.monotonic()
        self._requested_at: timedelta | None = None
        self._behind_since: timedelta | None = None
        self._peer_offset = -1
        self._initialized = anyio.Event()

    @property
    def age(self) -> timedelta:
        """Time since the log or a peer last confirmed that the copy is up to date."""
        return self._clock.monotonic() - self._confirmed_at

    @property
    def is_initialized(self) -> bool:
        """Whether the log or a peer has confirmed the copy since the start."""
        return self._initialized.is_set()

    @property
    def is_reader(self) -> bool:
        """Whether this node follows the log for its data centre."""
        return self._settings.vm in self._readers()[:READERS_PER_CENTRE]

    async def wait_initialized(self) -> None:
        """Wait until the log or a peer has confirmed the copy once."""
        await self._initialized.wait()

    async def run(self) -> None:
        """Follow the log as a reader, or poll it otherwise, until cancelled."""
        await self._wait_for_peers()
        delays = Backoff(self._random)
        while True:
            as_reader = self.is_reader
            try:
                page = await self._read(READ_WAIT if as_reader else timedelta(0))
            except ChivespanError as error:
                self._counters.incr("config.log_failures")
                if error.kind is ErrorKind.LOG_EXPIRED:
                    await self._restore_from_snapshot()
                await anyio.sleep(delays.next().total_seconds())
                continue
            delays.reset()
            behind = self._apply_page(page, as_reader)
            if not as_reader and not behind:
                await self._wait_for_poll()

    def apply_records(self, link: PeerLink, message: ConfigRecords) -> None:
        """Apply records from a peer, or request those missing before them."""
        if message.from_offset > self._config_copy.offset + 1:
            self._request_from(link)
            return
        new = self._config_copy.apply_records(message)
        if message.next_offset == self._config_copy.offset + 1:
            self._confirm()
        if new:
            self._push(config_records(new[0].offset - 1, new), False)

    def apply_snapshot(self, message: ConfigSnapshot) -> None:
        """Replace the copy by a peer's snapshot if that is newer."""
        self._requested_at = None
        if not self._config_copy.apply_snapshot(message):
            self._counters.incr("config.older_ignored")
            return
        self._confirm()
        self._push(message, False)

    def handle_request(self, link: PeerLink, request: ConfigRequest) -> None:
        """Send a peer or a subscriber the records it lacks, or a snapshot."""
        if self.is_initialized:
            link.send(self._config_copy.build_reply(request))

    def record_peer_offset(self, link: PeerLink, offset: int) -> None:
        """Request records from a peer whose offset is higher.

        Once initialized, only if this node has been behind for longer than
        ``PUSH_TIMEOUT``, since a push usually arrives before.
        """
        if offset <= self._config_copy.offset:
            return
        now = self._clock.monotonic()
        if self._behind_since is None or self._peer_offset <= self._config_copy.offset:
            self._behind_since = now
            self._peer_offset = offset
        if not self.is_initialized or now - self._behind_since > PUSH_TIMEOUT:
            self._request_from(link)

    def _request_from(self, link: PeerLink) -> None:
        now = self._clock.monotonic()
        if (
            self._requested_at is not None
            and now - self._requested_at < REQUEST_RETRY_DELAY
        ):
            return
        self._requested_at = now
        self._counters.incr("config.asked_peer")
        link.send(ConfigRequest(have_offset=self._config_copy.offset))

    async def _read(self, wait: timedelta) -> LogPage:
        start = self._config_copy.offset + 1
        return await self._log.read(CONFIG_STREAM, start, PAGE_RECORDS, wait)

    def _apply_page(self, page: LogPage, as_reader: bool) -> bool:
        """Apply a page; return whether the log has more records."""
        new = self._config_copy.apply(page.records)
        if new:
            self._push(config_records(new[0].offset - 1, new), as_reader)
        if page.end > self._config_copy.offset + 1:
            return True
        self._confirm()
        if as_reader and not new and self._readers()[0] == self._settings.vm:
            self._push(config_records(self._config_copy.offset, ()), True)
        return False

    def _confirm(self) -> None:
        self._confirmed_at = self._clock.monotonic()
        self._requested_at = None
        self._initialized.set()

    async def _restore_from_snapshot(self) -> None:
        """Restore the copy from a snapshot, as the log has dropped the next record."""
        self._counters.incr("config.behind_retention")
        snapshot = await self._snapshots() if self._snapshots else None
        if snapshot is not None and self._config_copy.apply_snapshot(snapshot):
            self._push(snapshot, False)

    async def _wait_for_peers(self) -> None:
        """Wait for a peer's snapshot, which costs less than a replay of the log."""
        with anyio.move_on_after(PEER_SNAPSHOT_TIMEOUT.total_seconds()):
            while len(self._membership.live_vms(self._settings.data_centre)) > 1:
                if self.is_initialized:
                    return
                await anyio.sleep(PUSH_TIMEOUT.total_seconds())

    async def _wait_for_poll(self) -> None:
        """Wait for the next poll, or until this node becomes a reader."""
        jitter = self._random.uniform(0.75, 1.25)
        with anyio.move_on_after(POLL_INTERVAL.total_seconds() * jitter):
            while not self.is_reader:
                await self._membership.wait_state_changed()

    def _readers(self) -> list[str]:
        centre = self._settings.data_centre
        return ranked(f"config/{centre}", self._membership.live_vms(centre)) or [
            self._settings.vm
        ]
