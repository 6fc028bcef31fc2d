"""Why an item got its result is on its log line and in a metric."""

from dataclasses import replace
from datetime import timedelta

import anyio
import logbook
import pytest

from chivespan.batchrecords import BatchResult
from chivespan.itemeligibility import ABANDON_MARGIN
from chivespan.itemroutes import ROUTE_END_DELAY
from chivespan.itemrun import ItemOutcome
from chivespan.nodemessages import ItemState
from tests.fleet import batch_route
from tests.test_batchowner import OwnerHarness, status
from tests.test_ledgerstore import SUBMITTED

pytestmark = pytest.mark.anyio

ROUTE = batch_route(pathPrefix="/b/", maxAttempts=1, retentionS=60)
TOO_LARGE = 3_000_000


async def end_item(harness: OwnerHarness, outcome: ItemOutcome) -> None:
    """Let the only item get its result for the given reason."""
    if outcome is ItemOutcome.too_old:
        harness.clock.advance(timedelta(seconds=60) + 2 * ABANDON_MARGIN)
    elif outcome is ItemOutcome.no_route:
        harness.configure(2, batch_route(pathPrefix="/c/"))
        harness.owner.fail_abandoned_items()
        harness.clock.advance(ROUTE_END_DELAY)
    else:
        harness.start("n1")
    states = {
        ItemOutcome.impossible: ItemState.impossible,
        ItemOutcome.attempts_failed: ItemState.failed,
        ItemOutcome.done: ItemState.done,
        ItemOutcome.too_large: ItemState.done,
    }
    if outcome in states:
        text = ["x" * TOO_LARGE] if outcome is ItemOutcome.too_large else ["x"]
        ended = replace(status(states[outcome]), text=text)
        harness.owner.handle_status("n1", ended)
    harness.owner.fail_abandoned_items()


async def results(harness: OwnerHarness) -> list[BatchResult]:
    """Return the results of the only job, once there is one."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.ledger.run)
        tasks.start_soon(harness.owner.write_results)
        with anyio.fail_after(5):
            while harness.ledger.ledger.jobs["j"].is_open:
                await anyio.sleep(0.001)
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    return harness.ledger.ledger.jobs["j"].results


# Guards against: a line that says that an item was given up, but not why, so that the
# causes of results that come too soon can't be told apart (issue 37).
@pytest.mark.parametrize("outcome", ItemOutcome)
async def test_outcome_is_on_the_line_of_the_item(outcome: ItemOutcome) -> None:
    harness = OwnerHarness()
    harness.clock.advance(SUBMITTED - harness.clock.now())
    await harness.accept(1)
    harness.configure(1, ROUTE)
    await end_item(harness, outcome)
    with logbook.TestHandler() as log:
        (result,) = await results(harness)
    lines = [each.kwargs for each in log.records if each.msg == "item_listed"]
    assert [line["outcome"] for line in lines] == [outcome]
    assert result.done is (outcome is ItemOutcome.done)
    text = harness.metrics.text().decode()
    assert f'chivespan_items_total{{outcome="{outcome}"}} 1.0' in text
