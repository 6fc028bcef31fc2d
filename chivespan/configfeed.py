"""Brings the configuration stream to a node: from the log, and from its peers.

A few readers in each data centre follow the log and push what is new to all peers
there. Every node also reads the log itself now and then, and asks a peer whose
heartbeat shows a higher offset, so that a lost push or a lost reader costs little.
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
PEERS_FIRST = timedelta(seconds=2)
ASK_AGAIN = timedelta(seconds=2)
PUSH_PATIENCE = timedelta(milliseconds=300)

SnapshotSource = Callable[[], Awaitable[ConfigSnapshot | None]]


class ConfigFeed:
    """Keeps one node's copy of the configuration fresh.

    :param snapshots: gives the newest usable snapshot from the log, or nothing.
    :param push: told of every change of the copy: the message for local followers,
        and whether peers are to get it too.
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
        self._copy = copy
        self._membership = membership
        self._clock = clock
        self._counters = counters
        self._push = push
        self._snapshots = snapshots
        self._random = Random()
        self._confirmed_at = clock.monotonic()
        self._asked_at: timedelta | None = None
        self._behind_since: timedelta | None = None
        self._ahead_offset = -1
        self._initialized = anyio.Event()

    @property
    def age(self) -> timedelta:
        """Time since the log or a peer last confirmed that nothing newer exists."""
        return self._clock.monotonic() - self._confirmed_at

    @property
    def is_initialized(self) -> bool:
        """Whether the log or a peer has answered since the start."""
        return self._initialized.is_set()

    @property
    def is_reader(self) -> bool:
        """Whether this node follows the log for its data centre."""
        return self._settings.vm in self._readers()[:READERS_PER_CENTRE]

    async def wait_initialized(self) -> None:
        """Wait for the first answer from the log or a peer."""
        await self._initialized.wait()

    async def run(self) -> None:
        """Follow the log for ever."""
        await self._let_peers_go_first()
        delays = Backoff(self._random)
        while True:
            reader = self.is_reader
            try:
                page = await self._read(READ_WAIT if reader else timedelta(0))
            except ChivespanError as error:
                self._counters.incr("config.log_failures")
                if error.kind is ErrorKind.LOG_EXPIRED:
                    await self._start_anew()
                await anyio.sleep(delays.next().total_seconds())
                continue
            delays.reset()
            behind = self._take_page(page, reader)
            if not reader and not behind:
                await self._pause()

    def apply_records(self, link: PeerLink, message: ConfigRecords) -> None:
        """Take records that a peer sent."""
        if message.from_offset > self._copy.offset + 1:
            self._ask(link)
            return
        new = self._copy.apply_records(message)
        if message.next_offset == self._copy.offset + 1:
            self._confirm()
        if new:
            self._push(config_records(new[0].offset - 1, new), False)

    def apply_snapshot(self, message: ConfigSnapshot) -> None:
        """Take a peer's whole configuration, if it is newer."""
        self._asked_at = None
        if not self._copy.apply_snapshot(message):
            self._counters.incr("config.older_ignored")
            return
        self._confirm()
        self._push(message, False)

    def handle_request(self, link: PeerLink, request: ConfigRequest) -> None:
        """Send an asker what it lacks."""
        if self.is_initialized:
            link.send(self._copy.build_reply(request))

    def record_peer_offset(self, link: PeerLink, offset: int) -> None:
        """Ask a peer that has been ahead for longer than a push takes."""
        if offset <= self._copy.offset:
            return
        now = self._clock.monotonic()
        if self._behind_since is None or self._ahead_offset <= self._copy.offset:
            self._behind_since = now
            self._ahead_offset = offset
        if not self.is_initialized or now - self._behind_since > PUSH_PATIENCE:
            self._ask(link)

    def _ask(self, link: PeerLink) -> None:
        now = self._clock.monotonic()
        if self._asked_at is not None and now - self._asked_at < ASK_AGAIN:
            return
        self._asked_at = now
        self._counters.incr("config.asked_peer")
        link.send(ConfigRequest(have_offset=self._copy.offset))

    async def _read(self, wait: timedelta) -> LogPage:
        start = self._copy.offset + 1
        return await self._log.read(CONFIG_STREAM, start, PAGE_RECORDS, wait)

    def _take_page(self, page: LogPage, reader: bool) -> bool:
        """Apply a page; return whether the log has more."""
        new = self._copy.apply(page.records)
        if new:
            self._push(config_records(new[0].offset - 1, new), reader)
        if page.end > self._copy.offset + 1:
            return True
        self._confirm()
        if reader and not new and self._readers()[0] == self._settings.vm:
            self._push(config_records(self._copy.offset, ()), True)
        return False

    def _confirm(self) -> None:
        self._confirmed_at = self._clock.monotonic()
        self._asked_at = None
        self._initialized.set()

    async def _start_anew(self) -> None:
        """Get over a hole: the log no longer has the next record."""
        self._counters.incr("config.behind_retention")
        snapshot = await self._snapshots() if self._snapshots else None
        if snapshot is not None and self._copy.apply_snapshot(snapshot):
            self._push(snapshot, False)

    async def _let_peers_go_first(self) -> None:
        """Give peers time to send a snapshot, which costs less than a replay."""
        with anyio.move_on_after(PEERS_FIRST.total_seconds()):
            while len(self._membership.live_vms(self._settings.data_centre)) > 1:
                if self.is_initialized:
                    return
                await anyio.sleep(PUSH_PATIENCE.total_seconds())

    async def _pause(self) -> None:
        """Wait for the next poll, or until this node becomes a reader."""
        share = self._random.uniform(0.75, 1.25)
        with anyio.move_on_after(POLL_INTERVAL.total_seconds() * share):
            while not self.is_reader:
                await self._membership.wait_state_changed()

    def _readers(self) -> list[str]:
        centre = self._settings.data_centre
        return ranked(f"config/{centre}", self._membership.live_vms(centre)) or [
            self._settings.vm
        ]
