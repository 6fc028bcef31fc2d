"""Evidence that one part of prompts crashes targets."""

from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TypeAlias

Run: TypeAlias = tuple[str, int]

MIN_CRASHES = 3
MIN_CRASHED_REQUESTS = 2
# Targets that end within this time may have ended together, whatever they did.
SEPARATION_TIME = timedelta(milliseconds=150)
# Long, since harmful requests may come rarely.
EVIDENCE_LIFETIME = timedelta(minutes=10)
# Counted from the last request with the part.
QUARANTINE_LIFETIME = timedelta(minutes=10)
# Targets answered the part so shortly before a crash that it isn't the cause.
ANSWER_VALIDITY = timedelta(seconds=30)
MAX_RUNS = 6
MAX_REQUESTS_OF_A_RUN = 2


@dataclass(frozen=True, slots=True, order=True)
class CrashedRequest:
    """A request that a run of a target had not begun to answer when the run ended."""

    target_id: str
    started_ms: int
    request_id: str

    @property
    def run(self) -> Run:
        """The run that ended."""
        return (self.target_id, self.started_ms)


@dataclass(slots=True)
class PartSuspicion:
    """What speaks for and against one part.

    :ivar crashes: when each crash happened, on the monotonic clock.
    :ivar answered: when a target last answered the part, as far as it was told.
    :ivar sufficient_since: since when the evidence suffices for a quarantine.
    :ivar quarantined_until: end of the quarantine; None while there is none.
    """

    crashes: dict[CrashedRequest, timedelta] = field(default_factory=dict)
    answered: timedelta | None = None
    sufficient_since: timedelta | None = None
    quarantined_until: timedelta | None = None

    @property
    def crashed_runs(self) -> int:
        """Number of runs that ended while a request with the part waited there."""
        return len({crash.run for crash in self.crashes})

    @property
    def crashed_requests(self) -> int:
        """Number of requests with the part that met a crash."""
        return len({crash.request_id for crash in self.crashes})

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known any more."""
        return not self.crashes and self.answered is None

    def separate_crashes(self, explained: Collection[Run]) -> int:
        """Return how many crashes at different times the part may have caused.

        :param explained: ended runs that another part is known to have caused.
        """
        times = sorted(
            at for crash, at in self.crashes.items() if crash.run not in explained
        )
        count = 0
        last: timedelta | None = None
        for at in times:
            if last is None or at - last >= SEPARATION_TIME:
                count += 1
                last = at
        return count

    def note_sufficient(
        self, now: timedelta, explained: Collection[Run], most: int
    ) -> None:
        """Note whether the evidence suffices, and since when.

        :param most: crashes that the strongest suspect may have caused.
        """
        crashes = self.separate_crashes(explained)
        suffices = (
            crashes >= max(MIN_CRASHES, most)
            and self.crashed_requests >= MIN_CRASHED_REQUESTS
            and self._unexplained_runs(explained) >= MIN_CRASHES
        )
        if not suffices:
            self.sufficient_since = None
        elif self.sufficient_since is None:
            self.sufficient_since = now

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

        The kept ones don't depend on the order in which they are added.
        """
        if crash in self.crashes or self.quarantined_until is not None:
            return False
        self.crashes[crash] = at
        of_run = sorted(each for each in self.crashes if each.run == crash.run)
        for surplus in of_run[MAX_REQUESTS_OF_A_RUN:]:
            del self.crashes[surplus]
        for run in sorted({each.run for each in self.crashes})[MAX_RUNS:]:
            for each in [each for each in self.crashes if each.run == run]:
                del self.crashes[each]
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
