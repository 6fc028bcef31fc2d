"""Shares what this node counted with the dispatchers of its data centre."""

from collections.abc import Callable
from datetime import timedelta

import anyio

from chivespan.codec import encode_message
from chivespan.membership import Membership
from chivespan.mesh import Mesh
from chivespan.messages import Hello, UsageCount, UsageReport
from chivespan.peerlink import PeerLink
from chivespan.placement import ranked
from chivespan.usage import UsageKey, UsageLedger, key_of

USAGE_INTERVAL = timedelta(seconds=5)
USAGE_BYTE_TIME = timedelta(microseconds=500)
USAGE_GREETERS = 2


class UsageShare:
    """The merged usage of a data centre, as far as this node has heard.

    :param own: this node's Hello.
    :param counted: gives the running totals of this node.
    """

    def __init__(
        self,
        own: Hello,
        mesh: Mesh,
        membership: Membership,
        counted: Callable[[], list[UsageCount]],
    ) -> None:
        self._own = own
        self._mesh = mesh
        self._membership = membership
        self._counted = counted
        self._ledger = UsageLedger()
        self._reported: dict[UsageKey, UsageCount] = {}

    async def run(self) -> None:
        """Send the running totals that changed to the data centre's peers.

        What was sent sets when to send again, so that the rate stays bounded.
        """
        interval = USAGE_INTERVAL
        while True:
            await anyio.sleep(interval.total_seconds())
            counts = self._counted()
            changed = [c for c in counts if self._reported.get(key_of(c)) != c]
            interval = max(USAGE_INTERVAL, self._send(changed) * USAGE_BYTE_TIME)

    def take(self, report: UsageReport) -> None:
        """Take a peer's report."""
        self._ledger.take(report)

    def totals(self) -> list[UsageCount]:
        """Return the usage of the data centre, this node's own up to now."""
        self._ledger.take(self._report(self._counted()))
        return self._ledger.totals()

    def greet(self, link: PeerLink) -> None:
        """Give a newcomer the usage so far, if this node is one of its greeters."""
        here = self._own.data_centre
        others = [vm for vm in self._membership.live_vms(here) if vm != link.remote.vm]
        greeters = ranked(link.remote.vm, others)[:USAGE_GREETERS]
        if link.remote.data_centre == here and self._own.vm in greeters:
            for report in self._ledger.reports(self._own.vm):
                link.send(report)

    def _send(self, changed: list[UsageCount]) -> int:
        """Send totals to all peers here; return the bytes that took."""
        if not changed:
            return 0
        self._reported.update((key_of(count), count) for count in changed)
        report = self._report(changed)
        self._ledger.take(report)
        frame = encode_message(report)
        links = self._mesh.local_links()
        for link in links:
            link.send_frame(frame)
        return len(frame) * len(links)

    def _report(self, counts: list[UsageCount]) -> UsageReport:
        return UsageReport(
            vm=self._own.vm, incarnation=self._own.incarnation, counts=counts
        )
