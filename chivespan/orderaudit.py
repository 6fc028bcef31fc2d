"""The audit trail of orders to targets: a stream of the log that operators read.

An order is noted before it is sent. While the log is away orders go out all the same,
since an engine that has restarted must not wait for it; what couldn't be noted is
counted.
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
    """One order on the audit trail."""

    offset: int
    written_at: datetime
    order: OrderRecord


class OrderAudit:
    """Notes the orders of one node.

    :param writer: unique to this run of the process.
    """

    def __init__(
        self, log: LogService, clock: Clock, counters: Counters, writer: str
    ) -> None:
        self._log = log
        self._clock = clock
        self._counters = counters
        self._writer = writer
        self._noted = 0

    async def record(self, order: OrderRecord) -> None:
        """Append an order; count it when that fails."""
        self._noted += 1
        record_id = RecordId(writer=self._writer, sequence=self._noted)
        payload = encode_record(order, record_id, self._clock.now())
        try:
            await self._log.append(ORDER_STREAM, [payload])
        except ChivespanError:
            self._counters.incr("orders.unnoted")


async def read_orders(log: LogService, limit: int) -> list[AuditedOrder]:
    """Return the newest orders that the log still keeps, the oldest first.

    :raises ChivespanError: ``log_unavailable`` when the log gives no answer.
    """
    bounds = await log.bounds(ORDER_STREAM)
    start = max(bounds.oldest, bounds.end - limit)
    if start >= bounds.end:
        return []
    return list(_orders(await log.read(ORDER_STREAM, start, limit, NO_WAIT)))


def _orders(page: LogPage) -> Iterator[AuditedOrder]:
    for record in page.records:
        envelope = decode_envelope(record.payload)
        opened = open_envelope(envelope)
        if isinstance(opened, OrderRecord):
            yield AuditedOrder(record.offset, envelope.written_at, opened)
