"""Evidence that a part of prompts, or a request, crashes targets."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TypeAlias

from chivespan.clock import NO_WAIT

Run: TypeAlias = tuple[str, int]

# A target that ends as it begins to answer may still send one event.
READS_OF_AN_ANSWER = 2
MIN_CRASHES = 3
# So many ended runs need fewer different times.
MANY_RUNS = 5
MIN_CRASHES_OF_MANY_RUNS = 2
# A sound request is rarely sent so often, and seldom without an answer.
MIN_CRASHES_OF_REQUEST = 2
# A request that met fewer is most likely sound.
MIN_LASTING_RUNS = 2
# A part is the cause only if different requests with it crash targets.
MIN_CRASHED_REQUESTS = 2
# A part that comes with a harmful request must have crashed so many other targets.
MIN_CRASHES_WITHOUT_REQUEST = 2
# Targets that end within this time may have ended together, whatever they did.
SEPARATION_TIME = timedelta(milliseconds=150)
# Long, since harmful requests may come rarely.
EVIDENCE_LIFETIME = timedelta(minutes=10)
# Counted from the last request with the part.
QUARANTINE_LIFETIME = timedelta(minutes=10)
# Targets answered the part so shortly before a crash that it isn't the cause.
ANSWER_VALIDITY = timedelta(seconds=30)
MAX_CRASHES = 24


@dataclass(frozen=True, slots=True, order=True)
class CrashedRequest:
    """A request that a run of a target had not begun to answer when the run ended.

    :param fingerprint: the same for all attempts to send it; empty for batch items.
    """

    target_id: str
    started_ms: int
    request_id: str
    fingerprint: str = ""

    @property
    def run(self) -> Run:
        """The run that ended."""
        return (self.target_id, self.started_ms)


@dataclass(frozen=True, slots=True)
class ExplainedRuns:
    """Ended runs whose cause is known.

    :param by_parts: those that met a part in quarantine.
    :param by_requests: those that met a request in quarantine.
    """

    by_parts: Collection[Run] = ()
    by_requests: Collection[Run] = ()


@dataclass(slots=True)
class Suspicion:
    """What speaks for and against one suspect.

    :ivar is_request: whether the suspect is a whole request, not a part of a prompt.
    :ivar crashes: when each crash happened, on the monotonic clock.
    :ivar answered: when a target last answered it, as far as this node was told.
    :ivar sufficient_since: since when the evidence suffices for a quarantine.
    :ivar quarantined_until: end of the quarantine; None while there is none.
    :ivar version: version of all evidence that includes the last change of this one.
    """

    is_request: bool = False
    crashes: dict[CrashedRequest, timedelta] = field(default_factory=dict)
    answered: timedelta | None = None
    sufficient_since: timedelta | None = None
    quarantined_until: timedelta | None = None
    version: int = 0

    @property
    def crashed_runs(self) -> int:
        """Number of runs that ended while a request with the suspect waited there."""
        return len({crash.run for crash in self.crashes})

    @property
    def crashed_requests(self) -> int:
        """Number of different requests with the suspect that met a crash."""
        return len({crash.fingerprint or crash.request_id for crash in self.crashes})

    @property
    def newest_crash(self) -> timedelta:
        """Time of the last crash."""
        return max(self.crashes.values(), default=NO_WAIT)

    @property
    def must_last(self) -> bool:
        """Whether the evidence is kept beyond the life of all processes."""
        if self.quarantined_until is not None:
            return True
        return self.crashed_runs >= (MIN_LASTING_RUNS if self.is_request else 1)

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known any more."""
        return not self.crashes and self.answered is None

    def separate_crashes(self, explained: Collection[Run] = ()) -> int:
        """Return how many crashes at different times the suspect may have caused.

        :param explained: ended runs that have another cause.
        """
        unexplained = {
            crash: at
            for crash, at in self.crashes.items()
            if crash.run not in explained
        }
        return len(_groups(unexplained))

    def explains(self, other: "Suspicion") -> bool:
        """Return whether this part was there at each crash of another one."""
        return self.crashes.keys() >= other.crashes.keys()

    def note_sufficient(
        self, now: timedelta, explained: ExplainedRuns, most: int
    ) -> None:
        """Note whether the evidence suffices, and since when.

        :param most: crashes that the strongest suspect may have caused.
        """
        if not self._suffices(explained, most):
            self.sufficient_since = None
        elif self.sufficient_since is None:
            self.sufficient_since = now

    def _suffices(self, explained: ExplainedRuns, most: int) -> bool:
        crashes = self.separate_crashes(explained.by_parts)
        runs = self._unexplained_runs(explained.by_parts)
        needed = MIN_CRASHES_OF_MANY_RUNS if runs >= MANY_RUNS else MIN_CRASHES
        if self.is_request:
            needed = MIN_CRASHES_OF_REQUEST
        if crashes < max(needed, most) or runs < MIN_CRASHES:
            return False
        if self.is_request:
            return True
        if self.crashed_requests < MIN_CRASHED_REQUESTS:
            return False
        is_shared = any(crash.run in explained.by_requests for crash in self.crashes)
        known = {*explained.by_parts, *explained.by_requests}
        return (
            not is_shared or self.separate_crashes(known) >= MIN_CRASHES_WITHOUT_REQUEST
        )

    def voids_crash(self, at: timedelta) -> bool:
        """Return whether the last answer voids a crash at some time as evidence."""
        return self.answered is not None and at < self.answered + ANSWER_VALIDITY

    def apply_answer(self, answered: timedelta) -> int:
        """Record an answer; return how many crashes it voids."""
        if self.answered is None or answered > self.answered:
            self.answered = answered
        voided = [crash for crash, at in self.crashes.items() if self.voids_crash(at)]
        for crash in voided:
            del self.crashes[crash]
        if not self.crashes:
            self.sufficient_since = None
            self.quarantined_until = None
        return len(voided)

    def add_crash(self, crash: CrashedRequest, at: timedelta) -> bool:
        """Add a crash; return whether it is kept and is new.

        Of too many, one of the largest group at about the same time is dropped, since
        crashes at different times say more.
        """
        if crash in self.crashes:
            return False
        self.crashes[crash] = at
        if len(self.crashes) > MAX_CRASHES:
            largest = max(_groups(self.crashes), key=len)
            del self.crashes[max(largest)]
        return crash in self.crashes

    def quarantine_has_ended(self, now: timedelta) -> bool:
        """Return whether a quarantine's time is over."""
        return self.quarantined_until is not None and self.quarantined_until <= now

    def drop_expired(self, now: timedelta) -> None:
        """Forget what is too old, but keep the crashes behind a quarantine."""
        if self.answered is not None and now - self.answered >= EVIDENCE_LIFETIME:
            self.answered = None
        if self.quarantine_has_ended(now):
            self.quarantined_until = None
            self.sufficient_since = None
            self.crashes.clear()
        if self.quarantined_until is None:
            self.crashes = {
                crash: at
                for crash, at in self.crashes.items()
                if now - at < EVIDENCE_LIFETIME
            }

    def _unexplained_runs(self, explained: Collection[Run]) -> int:
        return len({crash.run for crash in self.crashes} - set(explained))


def _groups(crashes: Mapping[CrashedRequest, timedelta]) -> list[list[CrashedRequest]]:
    """Return the crashes grouped by time; each group has those that may be one."""
    groups: list[list[CrashedRequest]] = []
    first: timedelta | None = None
    for crash, at in sorted(crashes.items(), key=lambda item: (item[1], item[0])):
        if first is None or at - first >= SEPARATION_TIME:
            groups.append([])
            first = at
        groups[-1].append(crash)
    return groups
