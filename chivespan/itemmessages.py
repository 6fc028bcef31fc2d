"""Messages by which the owner of a batch partition starts and stops items at nodes."""

from chivespan.batchledger import LedgerJob
from chivespan.batchrecords import BatchItem
from chivespan.batchschedule import Placement
from chivespan.itemrun import ItemRun
from chivespan.nodemessages import ItemHeader, ItemStart, ItemStop


def start_message(
    job: LedgerJob, run: ItemRun, placement: Placement, expected_events: int
) -> ItemStart:
    """Return the message that starts an item; short if the node holds the item.

    :param expected_events: number of events that an item usually has; 0 if unknown.
    """
    waiting = placement.item
    item = job.items[waiting.item_id]
    holds = run.vm == placement.vm
    return ItemStart(
        partition=waiting.partition,
        job_id=waiting.job_id,
        item_id=waiting.item_id,
        target_id=placement.entry.target_id,
        host=waiting.host,
        path="" if holds else item.path,
        headers=[] if holds else _headers(item),
        body=b"" if holds else item.body,
        events=[] if holds else list(run.events),
        attempt=run.attempt + 1,
        customer=job.head.customer,
        expected_events=expected_events,
        is_late=waiting.will_be_late,
    )


def stop_message(key: tuple[str, str]) -> ItemStop:
    """Return the message that stops an item.

    :param key: job id and item id.
    """
    return ItemStop(job_id=key[0], item_id=key[1])


def _headers(item: BatchItem) -> list[ItemHeader]:
    return [ItemHeader(name=each.name, value=each.value) for each in item.headers]
