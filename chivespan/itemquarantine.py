"""Decides which batch items may be sent, by the evidence on their prompts' parts.

An item with a part in quarantine waits at the owner of its partition until the
quarantine ends, or until it is abandoned. An item that met a crash and is a possible
cause of it waits for other requests to settle that, but not for long: it may be sound.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta
from zlib import crc32

from chivespan.clock import NO_WAIT, Clock
from chivespan.nodemessages import TargetEntry
from chivespan.quarantine import Quarantine, SuspectStatus
from chivespan.suspicion import CrashedRequest
from chivespan.targetliveness import has_ended

# Doubles with each break of the item, so that one item alone ends few targets.
SUSPECT_DELAY = timedelta(seconds=5)
MAX_DOUBLINGS = 5


@dataclass(slots=True)
class ItemBreaks:
    """The runs of one item that targets broke off.

    The evidence doesn't tell: of the requests at a crash it may keep only a few.

    :ivar last: time of the last one, on the monotonic clock.
    """

    count: int = 0
    last: timedelta = NO_WAIT

    def record(self, now: timedelta) -> None:
        """Record that a run broke off."""
        self.count += 1
        self.last = now

    def end_of_delay(self, item_id: str) -> timedelta:
        """Return until when the item waits if it may have crashed its targets."""
        if not self.count:
            return NO_WAIT
        # Items with the same part come back one by one.
        spread = 1 + crc32(item_id.encode(errors="replace")) / 2**32
        doublings = min(self.count - 1, MAX_DOUBLINGS)
        return self.last + SUSPECT_DELAY * (1 << doublings) * spread


class ItemQuarantine:
    """The evidence on parts of prompts, as far as it concerns batch items."""

    def __init__(self, quarantine: Quarantine, clock: Clock) -> None:
        self._quarantine = quarantine
        self._clock = clock

    @property
    def suspects(self) -> frozenset[str]:
        """All parts that may block an item."""
        return self._quarantine.suspects

    def blocking_part(
        self, parts: Collection[str], item_id: str, breaks: ItemBreaks
    ) -> str | None:
        """Return a part because of which an item may not be sent now, if any."""
        if (part := self._quarantine.quarantined_suspect(parts)) is not None:
            return part
        is_delayed = self._clock.monotonic() < breaks.end_of_delay(item_id)
        return next((part for part in parts if self._blocks(part, is_delayed)), None)

    def find_blocking(
        self, parts: Collection[str], item_id: str, breaks: ItemBreaks
    ) -> str | None:
        """Return the same for an item about to be sent; prolongs a quarantine."""
        part = self._quarantine.find_quarantined(parts)
        return self.blocking_part(parts, item_id, breaks) if part is None else part

    def record_answered(self, parts: Iterable[str]) -> None:
        """Record that a target answers an item with these parts."""
        self._quarantine.record_answered(parts)

    async def record_break(
        self, parts: Iterable[str], item_id: str, entry: TargetEntry
    ) -> None:
        """Record that an item got no answer; evidence only if the target has ended."""
        suspects = [part for part in parts if not self._is_answered(part)]
        if suspects and await has_ended(entry.address):
            crash = CrashedRequest(entry.target_id, entry.started_ms, item_id)
            self._quarantine.record_crash(suspects, crash)

    def _is_answered(self, part: str) -> bool:
        return self._quarantine.status(part) is SuspectStatus.ANSWERED

    def _blocks(self, part: str, is_delayed: bool) -> bool:
        if self._quarantine.pending_time([part]) > NO_WAIT:
            return True
        is_suspect = self._quarantine.status(part) is SuspectStatus.SUSPECT
        return is_delayed and is_suspect and not self._quarantine.may_resend([part])
