"""Replicates usage counts between the dispatchers of a data centre.

The usage that a dispatcher counted thus survives its end.
"""

from collections.abc import Callable
from datetime import timedelta

import anyio

from chivespan.codec import encode_message
from chivespan.linkmessages import Hello
from chivespan.membership import Membership
from chivespan.mesh import Mesh
from chivespan.messages import UsageCount, UsageReport
from chivespan.peerlink import PeerLink
from chivespan.placement import ranked
from chivespan.usage import UsageKey, UsageLedger, key_of

USAGE_INTERVAL = timedelta(seconds=5)
USAGE_BYTE_TIME = timedelta(microseconds=500)
SNAPSHOT_SENDERS = 2


class UsageReplicator:
    """Holds the merged usage of a data centre, as far as this node has received it.

    :param hello: this node's Hello.
    :param get_counts: returns the running totals of this node.
    """

    def __init__(
        self,
        hello: Hello,
        mesh: Mesh,
        membership: Membership,
        get_counts: Callable[[], list[UsageCount]],
    ) -> None:
        self._hello = hello
        self._mesh = mesh
        self._membership = membership
        self._get_counts = get_counts
        self._ledger = UsageLedger()
        self._reported: dict[UsageKey, UsageCount] = {}

    async def run(self) -> None:
        """Broadcast changed running totals to the peers in the data centre.

        The interval grows with the bytes just sent, which bounds the bandwidth.
        """
        interval = USAGE_INTERVAL
        while True:
            await anyio.sleep(interval.total_seconds())
            counts = self._get_counts()
            changed = [c for c in counts if self._reported.get(key_of(c)) != c]
            interval = max(USAGE_INTERVAL, self._broadcast(changed) * USAGE_BYTE_TIME)

    def merge(self, report: UsageReport) -> None:
        """Merge a peer's report."""
        self._ledger.merge(report)

    def totals(self) -> list[UsageCount]:
        """Return the usage of the data centre, including this node's current counts."""
        self._ledger.merge(self._report(self._get_counts()))
        return self._ledger.totals()

    def send_snapshot(self, link: PeerLink) -> None:
        """Send the usage so far to a new peer.

        Only the first ``SNAPSHOT_SENDERS`` nodes in the peer's rendezvous order do so.
        """
        data_centre = self._hello.data_centre
        others = [
            vm for vm in self._membership.live_vms(data_centre) if vm != link.remote.vm
        ]
        senders = ranked(link.remote.vm, others)[:SNAPSHOT_SENDERS]
        if link.remote.data_centre == data_centre and self._hello.vm in senders:
            for report in self._ledger.reports(self._hello.vm):
                link.send(report)

    def _broadcast(self, changed: list[UsageCount]) -> int:
        """Send totals to all peers in the data centre; return the bytes sent."""
        if not changed:
            return 0
        self._reported.update((key_of(count), count) for count in changed)
        report = self._report(changed)
        self._ledger.merge(report)
        frame = encode_message(report)
        links = self._mesh.local_links()
        for link in links:
            link.send_frame(frame)
        return len(frame) * len(links)

    def _report(self, counts: list[UsageCount]) -> UsageReport:
        return UsageReport(
            vm=self._hello.vm, incarnation=self._hello.incarnation, counts=counts
        )
