"""The request that executes a batch item at a target."""

from collections.abc import Iterable, Iterator, Sequence
from datetime import timedelta

from chivespan.batchrecords import BatchHeader, BatchItem
from chivespan.httpcall import Call, InvalidRequest, check_request
from chivespan.nodemessages import ItemHeader, ItemStart
from chivespan.platform import wire
from chivespan.responseparser import Header

METHOD = "POST"
RUN_TIME = timedelta(seconds=30)
MAX_RUN_BYTES = 16 * 1024 * 1024
# A sound target may fall silent for a second or so, also before it starts an item.
HEAD_TIMEOUT = timedelta(seconds=2.5)
# Stand for what only a run of an item knows.
_ANY_TARGET_ID = "any"
_ANY_EVENT = 1


def item_call(
    start: ItemStart, address: str, events: int, customers_known: bool
) -> Call:
    """Return the request for one run of an item.

    :param address: of its target.
    :param events: number of events that the item has from earlier runs.
    :param customers_known: whether the configuration names customers.
    """
    headers = wire.item_headers(
        header_pairs(start.headers),
        start.item_id,
        start.host,
        start.target_id,
        RUN_TIME,
        events,
        customer=start.customer,
        customers_known=customers_known,
    )
    return Call(
        address=address,
        method=METHOD,
        target=start.path.encode(),
        headers=headers,
        body=start.body,
        head_timeout=HEAD_TIMEOUT,
        body_timeout=RUN_TIME,
        max_body_bytes=MAX_RUN_BYTES,
    )


def check_items(items: Iterable[BatchItem], host: str) -> None:
    """Check that the requests of a job's items can be sent.

    :param host: that of the job.
    :raises InvalidRequest: which names the first item that can't.
    """
    for item in items:
        if reason := why_unsendable(item, host):
            raise InvalidRequest(f"item {item.item_id!r} can't be sent: {reason}")


def why_unsendable(item: BatchItem, host: str) -> str:
    """Return why an item's request can never be sent; empty if it can.

    An item whose response couldn't be recognized can't be sent either.
    """
    if not item.path.startswith("/"):
        return "its path doesn't begin with a slash"
    # Spaces around a value aren't part of it, so a target would return another id.
    if not item.item_id or item.item_id != item.item_id.strip(" \t"):
        return "its id is empty, or begins or ends with a space"
    headers = wire.item_headers(
        header_pairs(item.headers),
        item.item_id,
        host,
        _ANY_TARGET_ID,
        RUN_TIME,
        _ANY_EVENT,
    )
    try:
        check_request(METHOD, item.path.encode(), headers)
    except InvalidRequest as error:
        return error.message
    return ""


def header_pairs(
    headers: Sequence[BatchHeader] | Sequence[ItemHeader],
) -> list[tuple[str, str]]:
    """Return the names and values of an item's own headers."""
    return [(header.name, header.value) for header in headers]


def encoded_headers(start: ItemStart) -> Iterator[Header]:
    """Yield an item's own headers as bytes, with lower-case names."""
    for header in start.headers:
        yield header.name.lower().encode(), header.value.encode(errors="replace")
