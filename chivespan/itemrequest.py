"""The request that executes a batch item at a target."""

from collections.abc import Iterator, Sequence
from datetime import timedelta

from chivespan.exchange import Call
from chivespan.nodemessages import ItemHeader, ItemStart
from chivespan.platform import wire
from chivespan.responseparser import Header

METHOD = "POST"
RUN_TIME = timedelta(seconds=30)
MAX_RUN_BYTES = 16 * 1024 * 1024
# A sound target may fall silent for a second or so, also before it starts an item.
HEAD_TIMEOUT = timedelta(seconds=2.5)


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


def header_pairs(headers: Sequence[ItemHeader]) -> list[tuple[str, str]]:
    """Return the names and values of an item's own headers."""
    return [(header.name, header.value) for header in headers]


def encoded_headers(start: ItemStart) -> Iterator[Header]:
    """Yield an item's own headers as bytes, with lower-case names."""
    for header in start.headers:
        yield header.name.lower().encode(), header.value.encode(errors="replace")
