"""Decides which waiting batch items may not be sent, and which are given up."""

from datetime import timedelta

from chivespan.batchledger import LedgerJob
from chivespan.batchrecords import BatchItem
from chivespan.clock import Clock
from chivespan.itemquarantine import ItemQuarantine
from chivespan.itemrequest import why_unsendable
from chivespan.itemroutes import ItemRoutes, end_of_retention
from chivespan.itemrun import ItemOutcome, ItemRun
from chivespan.logs import logger
from chivespan.nodemetrics import NodeMetrics

# An item's age is told by two clocks: of the node that accepted its job, and the owner.
ABANDON_MARGIN = timedelta(seconds=10)

_log = logger("batch")


class ItemEligibility:
    """Judges the waiting items of one partition at its owner."""

    def __init__(
        self,
        routes: ItemRoutes,
        quarantine: ItemQuarantine,
        clock: Clock,
        metrics: NodeMetrics,
    ) -> None:
        self._routes = routes
        self._quarantine = quarantine
        self._clock = clock
        self._metrics = metrics

    @property
    def suspects(self) -> frozenset[str]:
        """All parts of prompts that may hold an item back."""
        return self._quarantine.suspects

    def is_unsendable(self, job: LedgerJob, item: BatchItem) -> bool:
        """Return whether no target can be sent an item, which waits to be abandoned."""
        if job.is_checked:
            return False
        reason = job.send_errors.get(item.item_id)
        if reason is None:
            reason = why_unsendable(item, job.head.host)
            job.send_errors[item.item_id] = reason
            if reason:
                self._metrics.incr("item_unsendable")
                job_id, item_id = job.job_id, item.item_id
                _log.error("item_unsendable", job=job_id, item=item_id, reason=reason)
        return bool(reason)

    def is_held_back(self, job: LedgerJob, item: BatchItem, run: ItemRun) -> bool:
        """Return whether an item may not be sent now, as it may crash its target.

        Logs each part of its prompt because of which it begins to wait.
        """
        parts = job.prompt_parts_of(item)
        part = self._quarantine.blocking_part(parts, item.item_id, run.breaks)
        if part is None:
            return False
        if run.held_back != part:
            run.held_back = part
            _log.info("item_held_back", job=job.job_id, item=item.item_id, suspect=part)
        return True

    def reason_to_abandon(self, job: LedgerJob, item: BatchItem) -> ItemOutcome | None:
        """Return why an item is to be failed without another run; None if it isn't."""
        route = self._routes.route(job, item)
        if route is None:
            has_ended = self._routes.has_ended(job, item)
            return ItemOutcome.no_route if has_ended else None
        end = end_of_retention(job, route)
        is_too_old = end is not None and self._clock.now() > end + ABANDON_MARGIN
        return ItemOutcome.too_old if is_too_old else None
