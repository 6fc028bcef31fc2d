"""The share of the fleet's nodes whose usage of quotas reaches this node.

A node admits only this share of each quota, as nodes that it doesn't hear may admit the
rest. Nodes that are gone are forgotten in time, but a node that hears at most half of
the others takes itself for the one that is cut off: it forgets later, and uses less.
"""

from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field, replace
from datetime import timedelta

from chivespan.clock import Clock

# Windows of the quota after which a node that isn't heard is no longer counted, if a
# majority is heard, and otherwise.
FORGET_WINDOWS = 3
FORGET_WINDOWS_OF_MINORITY = 12
# Windows after which a node without a majority uses only the overage of its share. The
# majority takes over its part one window later.
YIELD_WINDOWS = 2
# The first sums of a new relay lack nodes, so a smaller number is ignored for so long.
# A flood that starts during this time can exceed a quota.
HOLD_TIME = timedelta(milliseconds=400)
# Without an update for so long this process didn't run, and others may have taken its
# part over. Updates come every 0.15 s or more often.
STALL_TIME = timedelta(seconds=1)
# Links that were closed meanwhile are known to be closed by then.
RESUME_TIME = timedelta(milliseconds=500)
MIN_SHARE = 1e-6


@dataclass(frozen=True, slots=True)
class Hearing:
    """What a node hears at one time.

    :ivar count: nodes whose usage reaches it, itself included.
    :ivar names: those of them that are known by name; a sum only says how many it
        covers.
    :ivar listed: the nodes that the list of nodes names.
    :ivar leaving: linked nodes that have announced their end.
    :ivar staying: linked nodes that have not.
    """

    count: int
    names: AbstractSet[str]
    listed: AbstractSet[str]
    leaving: AbstractSet[str] = field(default_factory=frozenset)
    staying: AbstractSet[str] = field(default_factory=frozenset)


class HeardNodes:
    """Tracks which nodes are known and how many are heard.

    :param own: name of this node.
    :param window: window in which requests are counted against a quota.
    :param overage: share by which a quota may be exceeded.
    """

    def __init__(
        self, clock: Clock, own: str, window: timedelta, overage: float
    ) -> None:
        self._clock = clock
        self._own = own
        self._window = window
        self._overage = overage
        self._started = self._last_majority = clock.monotonic()
        self._updated: timedelta | None = None
        self._resumed: timedelta | None = None
        self._heard = 1
        self._fewer_since: timedelta | None = None
        self._last_heard: dict[str, timedelta] = {}
        self._listed: AbstractSet[str] = frozenset()
        # Listed nodes that no longer count.
        self._forgotten: set[str] = set()
        # Nodes that are still heard, but end as planned.
        self._ending: AbstractSet[str] = frozenset()

    @property
    def heard(self) -> int:
        """Number of nodes heard, this one included."""
        return self._heard

    @property
    def known(self) -> int:
        """Number of nodes that count as nodes of the fleet, this one included."""
        names = len(self._last_heard) + (self._own not in self._last_heard)
        return max(names, self._heard)

    def share(self) -> float:
        """Return the share of each quota that this node may use, above 0 up to 1."""
        now = self._clock.monotonic()
        if self._updated is None:
            return max(self._overage, MIN_SHARE)
        heard = 1 if now - self._updated >= STALL_TIME else self._heard
        share = heard / self.known
        if not self._is_majority(heard) and self._has_yielded(now):
            share *= self._overage
        return max(share, MIN_SHARE)

    def update(self, hearing: Hearing) -> None:
        """Apply what this node hears; called several times a second."""
        now = self._clock.monotonic()
        is_first = self._updated is None
        if self._updated is not None and now - self._updated >= STALL_TIME:
            self._resume(now, now - self._updated)
        self._updated = now
        if self._is_resuming(now):
            hearing = replace(hearing, count=1, names=frozenset())
        self._note_names(hearing, self._started if is_first else now)
        self._set_heard(hearing.count, now)
        if self._is_majority(self._heard):
            self._last_majority = now
        self._forget_lost(now)

    def _resume(self, now: timedelta, stalled: timedelta) -> None:
        """Begin anew after a time in which this process didn't run."""
        self._resumed = now
        self._heard = 1
        self._last_heard = {vm: at + stalled for vm, at in self._last_heard.items()}

    def _is_resuming(self, now: timedelta) -> bool:
        return self._resumed is not None and now - self._resumed < RESUME_TIME

    def _set_heard(self, count: int, now: timedelta) -> None:
        """Set the number of nodes heard; a smaller one has effect after a while."""
        if count >= self._heard:
            self._heard = count
            self._fewer_since = None
        elif self._fewer_since is None:
            self._fewer_since = now
        elif now - self._fewer_since >= HOLD_TIME:
            self._heard = count
            self._fewer_since = None

    def _note_names(self, hearing: Hearing, first_seen: timedelta) -> None:
        heard = hearing.names | {self._own}
        now = self._clock.monotonic()
        self._forgotten -= heard
        self._forgotten &= hearing.listed
        self._last_heard.update(dict.fromkeys(heard, now))
        for name in hearing.listed - self._forgotten:
            self._last_heard.setdefault(name, first_seen)
        # A node removes itself from the list when it begins to end.
        ending = self._ending | (self._listed - hearing.listed) | hearing.leaving
        ending -= hearing.staying | (hearing.listed - self._listed)
        self._listed = hearing.listed
        self._ending = ending & heard
        for name in ending - heard:
            self._forget(name)

    def _forget_lost(self, now: timedelta) -> None:
        majority = self._is_majority(self._heard)
        windows = FORGET_WINDOWS if majority else FORGET_WINDOWS_OF_MINORITY
        limit = now - windows * self._window
        for name in [vm for vm, at in self._last_heard.items() if at <= limit]:
            self._forget(name)

    def _forget(self, name: str) -> None:
        self._last_heard.pop(name, None)
        if name in self._listed:
            self._forgotten.add(name)

    def _is_majority(self, heard: int) -> bool:
        return heard * 2 > self.known

    def _has_yielded(self, now: timedelta) -> bool:
        return now - self._last_majority >= YIELD_WINDOWS * self._window
