"""Counts of the requests that all nodes have in progress at each target.

Every node reports its own counts to the others. The sum shows where slots are free
without a central owner of slots; it is as old as the last reports.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta
from itertools import chain

import anyio

from chivespan.clock import Clock
from chivespan.nodemessages import TargetLoad


def sum_loads(reports: Iterable[Iterable[TargetLoad]]) -> list[TargetLoad]:
    """Return the sum of several nodes' counts for each target.

    >>> one = TargetLoad(target_id="t", online=1, batch=0)
    >>> sum_loads([[one], [one]])
    [TargetLoad(target_id='t', online=2, batch=0)]
    """
    online: dict[str, int] = defaultdict(int)
    batch: dict[str, int] = defaultdict(int)
    for load in chain.from_iterable(reports):
        online[load.target_id] += load.online
        batch[load.target_id] += load.batch
    return [
        TargetLoad(target_id=name, online=online[name], batch=batch[name])
        for name in sorted(online)
    ]


@dataclass(frozen=True, slots=True)
class _PeerCounts:
    """Counts that a peer reported.

    :ivar loads: the counts as reported.
    :ivar already_counted: the part of ``loads`` that is counted elsewhere.
    """

    loads: Sequence[TargetLoad]
    already_counted: Sequence[TargetLoad]


class LoadTable:
    """Counts of requests in progress: those of this node and those of its peers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reported: dict[str, timedelta] = {}
        self._own_online: dict[str, int] = defaultdict(int)
        self._own_batch: dict[str, int] = defaultdict(int)
        self._peers: dict[str, _PeerCounts] = {}
        # Totals over this node and its peers.
        self._online: dict[str, int] = defaultdict(int)
        self._batch: dict[str, int] = defaultdict(int)
        self._own_changed = anyio.Event()

    def online(self, target_id: str) -> int:
        """Return the number of online requests in progress at a target."""
        return self._online.get(target_id, 0)

    def batch(self, target_id: str) -> int:
        """Return the number of batch items in progress at a target."""
        return self._batch.get(target_id, 0)

    def total(self, target_id: str) -> int:
        """Return the number of all requests in progress at a target."""
        return self.online(target_id) + self.batch(target_id)

    def oldest_report_age(self) -> timedelta:
        """Return the age of the oldest current report; zero without peers."""
        now = self._clock.monotonic()
        return max((now - at for at in self._reported.values()), default=timedelta(0))

    def own_loads(self) -> list[TargetLoad]:
        """Return this node's own nonzero counts, in the form used in its reports."""
        targets = {*self._own_online, *self._own_batch}
        loads = (
            TargetLoad(
                target_id=target_id,
                online=self._own_online[target_id],
                batch=self._own_batch[target_id],
            )
            for target_id in sorted(targets)
        )
        return [load for load in loads if load.online or load.batch]

    def totals(self) -> list[TargetLoad]:
        """Return the nonzero counts of all nodes, in the form used in reports."""
        targets = {*self._online, *self._batch}
        loads = (
            TargetLoad(
                target_id=target_id,
                online=self.online(target_id),
                batch=self.batch(target_id),
            )
            for target_id in sorted(targets)
        )
        return [load for load in loads if load.online or load.batch]

    @contextmanager
    def track_online(self, target_id: str) -> Iterator[None]:
        """Count an online request as in progress for the duration of the block."""
        with self._track(self._own_online, self._online, target_id):
            yield

    @contextmanager
    def track_batch(self, target_id: str) -> Iterator[None]:
        """Count a batch item as in progress for the duration of the block."""
        with self._track(self._own_batch, self._batch, target_id):
            yield

    def report(
        self,
        peer: str,
        loads: Sequence[TargetLoad],
        already_counted: Sequence[TargetLoad] = (),
    ) -> None:
        """Replace the counts of one peer.

        :param already_counted: the part of ``loads`` to subtract, since this node's own
            counts already include it.
        """
        self._subtract(peer)
        self._reported[peer] = self._clock.monotonic()
        self._peers[peer] = _PeerCounts(loads, already_counted)
        self._add(loads, 1)
        self._add(already_counted, -1)

    def remove_peer(self, peer: str) -> None:
        """Drop the counts of a peer that has left or is now counted in a sum."""
        if peer in self._reported:
            del self._reported[peer]
            self._subtract(peer)

    async def wait_own_changed(self) -> None:
        """Wait until this node's own counts change."""
        await self._own_changed.wait()

    @contextmanager
    def _track(
        self, own: dict[str, int], total: dict[str, int], target_id: str
    ) -> Iterator[None]:
        own[target_id] += 1
        total[target_id] += 1
        self._notify_own_changed()
        try:
            yield
        finally:
            own[target_id] -= 1
            total[target_id] -= 1
            if not own[target_id]:
                del own[target_id]
            self._notify_own_changed()

    def _subtract(self, peer: str) -> None:
        counts = self._peers.pop(peer, None)
        if counts is not None:
            self._add(counts.loads, -1)
            self._add(counts.already_counted, 1)

    def _add(self, loads: Sequence[TargetLoad], sign: int) -> None:
        for load in loads:
            self._online[load.target_id] += load.online * sign
            self._batch[load.target_id] += load.batch * sign

    def _notify_own_changed(self) -> None:
        self._own_changed.set()
        self._own_changed = anyio.Event()
