"""Programs that subscribe to a dispatcher for configuration and membership."""

from collections.abc import Iterator

import anyio

from chivespan.linkmessages import Heartbeat, Program
from chivespan.peerlink import PeerLink


class Subscribers:
    """Links of the programs that receive configuration and membership from this node.

    Most run on this VM; a program whose own VM has no running dispatcher subscribes to
    one of another VM.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._links: set[PeerLink] = set()
        self._leaving: set[PeerLink] = set()
        self._link_ended = anyio.Event()

    def __iter__(self) -> Iterator[PeerLink]:
        return iter(self._links)

    def __contains__(self, link: object) -> bool:
        return link in self._links

    @property
    def runs_batch(self) -> bool:
        """Whether this VM's batch worker is subscribed; if not, it owns no streams."""
        return any(link.remote.program is Program.batch for link in self._local_links())

    @property
    def entry_ports(self) -> list[int]:
        """Serving ports of this VM's entries, except those that are draining."""
        ports = {
            link.remote.serving_port
            for link in self._local_links()
            if link.remote.program is Program.entry and link not in self._leaving
        }
        return sorted(ports)

    def add(self, link: PeerLink) -> None:
        """Add the link of a program that requested the configuration."""
        self._links.add(link)

    def discard(self, link: PeerLink) -> None:
        """Remove a link that was closed."""
        self._links.discard(link)
        self._leaving.discard(link)
        self._link_ended.set()

    def record_heartbeat(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        """Record a program's heartbeat, which says whether it is draining."""
        if heartbeat.leaving and link in self._links:
            self._leaving.add(link)

    async def wait_local_ended(self) -> None:
        """Wait until no program of this VM is subscribed."""
        while any(self._local_links()):
            self._link_ended = anyio.Event()
            await self._link_ended.wait()

    def _local_links(self) -> Iterator[PeerLink]:
        return (link for link in self._links if link.remote.vm == self._vm)
