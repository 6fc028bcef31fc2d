"""Rate limits that targets state in their responses, as all nodes know them.

A limit bounds the requests that a run of a target accepts from all nodes together. It
is in force from the response that states it until one that states another or none. Of
different statements, the latest counts; nodes tell each other the age of theirs.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import timedelta

from chivespan.clock import MILLISECOND, Clock
from chivespan.logs import logger
from chivespan.nodemessages import TargetEntry, TargetLimit, TargetRun
from chivespan.sentchanges import NumberedChanges

NO_LIMIT = -1.0
# Smaller changes of a limit are ignored, as each one is told to all nodes.
IGNORED_CHANGE = 0.1
KEPT_WITHOUT_ENTRY = timedelta(seconds=60)
OWN_RESPONSE = "response"

_log = logger("limits")


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """What one response says of its target's rate limit.

    :param per_s: requests per second; None for no limit.
    """

    per_s: float | None


@dataclass(slots=True)
class _KnownLimit:
    """The latest statement of one run.

    :ivar per_s: requests per second; None when a limit is no longer in force.
    :ivar stated: when the response was received, on the monotonic clock.
    :ivar version: version of all limits that includes this one.
    :ivar last_listed: when the target's entry was last seen.
    """

    run: TargetRun
    per_s: float | None
    stated: timedelta
    version: int
    last_listed: timedelta


class RateLimits(NumberedChanges):
    """The rate limits of targets, from responses to this node and from its peers."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self._clock = clock
        self._known: dict[str, _KnownLimit] = {}
        # The part of that which is in force, in requests per second.
        self._in_force: dict[str, float] = {}

    @property
    def in_force(self) -> Mapping[str, float]:
        """The limits in force in requests per second, by target id."""
        return self._in_force

    def limit(self, entry: TargetEntry) -> float | None:
        """Return the limit of a target in requests per second; None for no limit."""
        known = self._known.get(entry.target_id)
        if known is None or known.run.started_ms < entry.started_ms:
            return None
        return known.per_s

    def record(self, entry: TargetEntry, stated: StatedLimit) -> None:
        """Record what a response to this node states."""
        run = TargetRun(target_id=entry.target_id, started_ms=entry.started_ms)
        self._apply(run, stated.per_s, self._clock.monotonic(), OWN_RESPONSE)

    def merge(self, limits: Iterable[TargetLimit], source: str) -> None:
        """Apply the statements that a peer knows of.

        :param source: where they came from, for the log.
        """
        now = self._clock.monotonic()
        for each in limits:
            per_s = None if each.per_s < 0 else each.per_s
            self._apply(each.run, per_s, now - each.age_ms * MILLISECOND, source)

    def changes_since(self, version: int) -> list[TargetLimit]:
        """Return the messages for a peer that knows all limits up to a version."""
        return list(self._changes_since(version))

    def remove_outdated(self, listed: Collection[str]) -> None:
        """Forget the limits of targets that have not been listed for a long time.

        :param listed: ids of the targets that are listed now.
        """
        now = self._clock.monotonic()
        for target_id, known in list(self._known.items()):
            if target_id in listed:
                known.last_listed = now
            elif now - known.last_listed >= KEPT_WITHOUT_ENTRY:
                del self._known[target_id]
                self._in_force.pop(target_id, None)

    def _apply(
        self, run: TargetRun, per_s: float | None, stated: timedelta, source: str
    ) -> None:
        known = self._known.get(run.target_id)
        if known is None and per_s is None:
            return
        now = self._clock.monotonic()
        stated = min(stated, now)
        if known is not None and known.run.started_ms >= run.started_ms:
            if known.run != run or stated <= known.stated:
                return
            if not _differs(known.per_s, per_s):
                known.stated = stated
                return
        version = self._number_change(source == OWN_RESPONSE)
        self._known[run.target_id] = _KnownLimit(run, per_s, stated, version, now)
        if per_s is None:
            self._in_force.pop(run.target_id, None)
        else:
            self._in_force[run.target_id] = per_s
        _log.info(
            "target_limit_changed",
            target=run.target_id,
            started_ms=run.started_ms,
            per_s=per_s,
            before=None if known is None else known.per_s,
            source=source,
            age_ms=(now - stated) // MILLISECOND,
        )

    def _changes_since(self, version: int) -> Iterator[TargetLimit]:
        now = self._clock.monotonic()
        for known in self._known.values():
            if known.version > version:
                yield TargetLimit(
                    run=known.run,
                    per_s=NO_LIMIT if known.per_s is None else known.per_s,
                    age_ms=(now - known.stated) // MILLISECOND,
                )


def _differs(known: float | None, stated: float | None) -> bool:
    """Return whether a statement differs enough to be told to all nodes."""
    if known is None or stated is None:
        return known is not stated
    return abs(stated - known) > IGNORED_CHANGE * known
