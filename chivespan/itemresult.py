"""Records why a batch item got its result, and where its time went."""

from datetime import datetime

from chivespan.batchchanges import WriteResult
from chivespan.batchledger import LedgerJob
from chivespan.clock import MILLISECOND, Clock
from chivespan.itemrun import ItemOutcome, ItemRun
from chivespan.itemtimes import ItemPhase, ItemTimes
from chivespan.logs import logger
from chivespan.nodemetrics import NodeMetrics

_log = logger("batch")


def record_listed(
    result: WriteResult,
    run: ItemRun | None,
    job: LedgerJob | None,
    owner_since: datetime,
    clock: Clock,
    metrics: NodeMetrics,
) -> None:
    """Record a result that the store has.

    :param run: the item's state at the owner of its partition; None if another node
        became the owner while the result was being written.
    :param owner_since: when this node became the owner.
    """
    times = ItemTimes(clock.monotonic()) if run is None else run.times
    times.enter(ItemPhase.listing, clock.monotonic())
    for phase, spent in times.spent.items():
        metrics.record_item_phase(phase.value, spent)
    outcome = _outcome(result, run)
    metrics.record_item_outcome(outcome)
    age = None if job is None else clock.now() - job.submitted
    _log.info(
        "item_listed",
        job=result.job_id,
        item=result.item_id,
        outcome=outcome,
        failed_attempts=0 if run is None else len(run.failed_attempts),
        age_ms=None if age is None else age // MILLISECOND,
        runs=times.runs,
        lost_events=times.lost_events,
        taken_over=job is not None and job.submitted < owner_since,
        **times.milliseconds(),
    )


def _outcome(result: WriteResult, run: ItemRun | None) -> str:
    """Return the outcome; of an item without a run, what its result says."""
    if run is not None and run.outcome is not None:
        return run.outcome.value
    return ItemOutcome.done.value if result.done else "given_up"
