"""The programs that follow a dispatcher: which of its VM are there, which leave."""

from collections.abc import Iterator

import anyio

from chivespan.messages import Heartbeat, Program
from chivespan.peerlink import PeerLink


class Subscribers:
    """Links of the programs that take configuration and membership from here.

    Most are of this VM; those of a VM whose dispatcher is away follow from there.
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._links: set[PeerLink] = set()
        self._leaving: set[PeerLink] = set()
        self._ended = anyio.Event()

    def __iter__(self) -> Iterator[PeerLink]:
        return iter(self._links)

    def __contains__(self, link: object) -> bool:
        return link in self._links

    @property
    def runs_batch(self) -> bool:
        """Whether this VM's batch worker follows; if not, others do without it."""
        return any(link.remote.program is Program.batch for link in self._own())

    @property
    def entry_ports(self) -> list[int]:
        """Ports of this VM's entries that take callers and don't leave."""
        ports = {
            link.remote.serving_port
            for link in self._own()
            if link.remote.program is Program.entry and link not in self._leaving
        }
        return sorted(ports)

    def add(self, link: PeerLink) -> None:
        """Take in a program that asked to follow."""
        self._links.add(link)

    def discard(self, link: PeerLink) -> None:
        """Forget a program whose link ended."""
        self._links.discard(link)
        self._leaving.discard(link)
        self._ended.set()

    def record_heartbeat(self, link: PeerLink, heartbeat: Heartbeat) -> None:
        """Take a program's heartbeat, which tells whether it leaves."""
        if heartbeat.leaving and link in self._links:
            self._leaving.add(link)

    async def wait_local_ended(self) -> None:
        """Wait until no program of this VM follows any more."""
        while any(self._own()):
            self._ended = anyio.Event()
            await self._ended.wait()

    def _own(self) -> Iterator[PeerLink]:
        return (link for link in self._links if link.remote.vm == self._vm)
