"""The audit trail of orders to targets: a stream of the log for operators.

An order is recorded before it is sent. Orders are also sent while the log is
unavailable, since a restarted engine must not wait for the log; orders that could not
be recorded are counted.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime

from chivespan.clock import NO_WAIT, Clock
from chivespan.envelope import decode_envelope, encode_record, open_envelope
from chivespan.errors import ChivespanError
from chivespan.peerlink import Counters
from chivespan.platformservices import LogPage, LogService
from chivespan.records import OrderRecord, RecordId

ORDER_STREAM = "orders"


@dataclass(frozen=True, slots=True)
class AuditedOrder:
    """One order in the audit trail."""

    offset: int
    written_at: datetime
    order: OrderRecord


class OrderAudit:
    """Records the orders of one node.

    :param writer: unique id of this process instance.
    """

    def __init__(
        self, log: LogService, clock: Clock, counters: Counters, writer: str
    ) -> None:
        self._log = log
        self._clock = clock
        self._counters = counters
        self._writer = writer
        self._recorded = 0

    async def record(self, order: OrderRecord) -> None:
        """Append an order; a failure is only counted."""
        self._recorded += 1
        record_id = RecordId(writer=self._writer, sequence=self._recorded)
        payload = encode_record(order, record_id, self._clock.now())
        try:
            await self._log.append(ORDER_STREAM, [payload])
        except ChivespanError:
            self._counters.incr("orders.unnoted")


async def read_orders(log: LogService, limit: int) -> list[AuditedOrder]:
    """Return the newest orders that the log retains, in chronological order.

    :raises ChivespanError: ``log_unavailable`` if the log does not respond.
    """
    bounds = await log.bounds(ORDER_STREAM)
    start = max(bounds.oldest, bounds.end - limit)
    if start >= bounds.end:
        return []
    return list(_decode_orders(await log.read(ORDER_STREAM, start, limit, NO_WAIT)))


def _decode_orders(page: LogPage) -> Iterator[AuditedOrder]:
    for record in page.records:
        envelope = decode_envelope(record.payload)
        opened = open_envelope(envelope)
        if isinstance(opened, OrderRecord):
            yield AuditedOrder(record.offset, envelope.written_at, opened)
