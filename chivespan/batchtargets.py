"""What the owner of batch partitions knows of the targets that may run its items."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from datetime import timedelta

from chivespan.batchcapacity import TargetCapacity
from chivespan.clock import Clock
from chivespan.demandsteps import ServiceDemand
from chivespan.itempacing import ItemPacer
from chivespan.nodemessages import TargetEntry
from chivespan.onlinepeak import OnlinePeak
from chivespan.targetpick import TargetPicker


class BatchTargets:
    """The room for items at targets, by their load and by recent online demand."""

    def __init__(self, picker: TargetPicker, clock: Clock) -> None:
        self._picker = picker
        self._clock = clock
        self._pacer = ItemPacer(picker, clock)
        self._peaks: dict[str, OnlinePeak] = {}
        self._demand = ServiceDemand(clock)

    def capacities(
        self, services: set[str], running: Counter[str]
    ) -> list[TargetCapacity]:
        """Return the capacities of the targets of services, and sample their demand.

        :param services: those with open items.
        :param running: number of running items of this owner, by target id.
        """
        self._pacer.forget_unlimited()
        targets = list(self._capacities(services, running))
        self._sample_demand(services, targets)
        return targets

    def rises(self) -> Mapping[str, timedelta]:
        """Return the time until the next rise of services with low demand in steps."""
        return self._demand.rises()

    def record_start(self, entry: TargetEntry) -> None:
        """Record that an item was started at a target."""
        self._pacer.record_start(entry)

    def _capacities(
        self, services: set[str], running: Counter[str]
    ) -> Iterator[TargetCapacity]:
        for service in services:
            candidates = self._picker.candidates(service)
            peak = self._online_peak(service)
            peak.record_sample(sum(candidate.online for candidate in candidates))
            weights = [self._picker.online_slots(each) for each in candidates]
            peak_share = peak.value / max(1, sum(weights))
            for candidate, weight in zip(candidates, weights, strict=True):
                entry = candidate.entry
                yield TargetCapacity(
                    entry=entry,
                    slots=candidate.slots,
                    online=candidate.online,
                    batch=max(candidate.batch, running[entry.target_id]),
                    online_peak=peak_share * weight,
                    rate_room=self._pacer.room(entry),
                    speed=candidate.speed,
                )

    def _sample_demand(
        self, services: set[str], targets: Iterable[TargetCapacity]
    ) -> None:
        """Sample the online demand of services, also for a while without open items."""
        self._demand.record_open(services)
        due = self._demand.due()
        online: Counter[str] = Counter()
        for target in targets if due else ():
            online[target.entry.service] += target.online
        for service in due:
            if service not in services:
                candidates = self._picker.candidates(service)
                online[service] = sum(each.online for each in candidates)
            self._demand.record_sample(service, online[service])

    def _online_peak(self, service: str) -> OnlinePeak:
        if service not in self._peaks:
            self._peaks[service] = OnlinePeak(self._clock)
        return self._peaks[service]
