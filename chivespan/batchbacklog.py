"""Logs the input of an owner's scheduling decisions once a second."""

from collections.abc import Mapping, Sequence
from datetime import datetime, timedelta

from chivespan.batchcapacity import CapacityPolicy, TargetCapacity
from chivespan.batchschedule import WaitingItem, is_behind_schedule
from chivespan.clock import MILLISECOND, Clock
from chivespan.logs import logger

LOG_INTERVAL = timedelta(seconds=1)

_log = logger("batch")


class BacklogLog:
    """Logs the backlog and counts the items started since the previous line."""

    def __init__(self, clock: Clock, capacity_policy: CapacityPolicy) -> None:
        self._clock = clock
        self._capacity_policy = capacity_policy
        self._written = clock.monotonic()
        self._started = 0

    @property
    def is_due(self) -> bool:
        """Whether the log interval has passed since the last line."""
        return self._clock.monotonic() - self._written >= LOG_INTERVAL

    def started(self, items: int) -> None:
        """Count items that were started."""
        self._started += items

    def write(
        self,
        waiting: Sequence[WaitingItem],
        running: int,
        targets: Sequence[TargetCapacity],
        now: datetime,
        rises: Mapping[str, timedelta],
    ) -> None:
        """Write the line, unless no item is waiting or running.

        :param rises: time until the next rise of demand, of services where it is known.
        """
        started, self._started = self._started, 0
        self._written = self._clock.monotonic()
        if not waiting and not running:
            return
        behind_schedule = is_behind_schedule(waiting, targets, now)
        longest = max((each.remaining for each in waiting), default=timedelta(0))
        _log.info(
            "batch_backlog",
            waiting=len(waiting),
            too_late=sum(each.will_be_late for each in waiting),
            longest_run_ms=longest // MILLISECOND,
            first_due_ms=_until_first_due(waiting, now) // MILLISECOND,
            running=running,
            next_rise_ms=min(rises.values()) // MILLISECOND if rises else None,
            started=started,
            in_a_hurry=behind_schedule,
            room=sum(
                max(0, self._capacity_policy(each, behind_schedule=behind_schedule))
                for each in targets
            ),
            targets=len(targets),
            slots=sum(each.slots for each in targets),
            free=sum(each.free for each in targets),
            reserved=sum(each.reserved for each in targets),
            online=sum(each.online for each in targets),
            online_peak=round(sum(each.online_peak for each in targets)),
            batch=sum(each.batch for each in targets),
        )


def _until_first_due(waiting: Sequence[WaitingItem], now: datetime) -> timedelta:
    """Return the time until the earliest deadline; negative once it has passed."""
    return min((each.due - now for each in waiting), default=timedelta(0))
