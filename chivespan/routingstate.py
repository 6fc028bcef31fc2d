"""Current routing table of this node; only a newer version replaces it."""

from collections.abc import Callable

import anyio

from chivespan.clock import MILLISECOND
from chivespan.errors import ChivespanError
from chivespan.logs import logger
from chivespan.routes import RoutingTable

NO_VERSION = -1

_log = logger("routing")


class RoutingState:
    """Holds the newest routing table received since the process started.

    :param decode: parses the operator's document.
    """

    def __init__(self, decode: Callable[[bytes], RoutingTable]) -> None:
        self._decode = decode
        self._table: RoutingTable | None = None
        self._document = b""
        self._rejected = b""
        self._changed = anyio.Event()

    @property
    def table(self) -> RoutingTable | None:
        """The current table; None before the first."""
        return self._table

    @property
    def version(self) -> int:
        """The version of the current table; ``NO_VERSION`` before the first."""
        return NO_VERSION if self._table is None else self._table.version

    def document_newer_than(self, version: int) -> bytes:
        """Return the current document; empty if it isn't newer than a version."""
        return self._document if self.version > version else b""

    def apply_if_newer(self, document: bytes, source: str) -> None:
        """Apply a document if its version is newer than the current one.

        A document that can't be parsed is logged once and ignored.

        :param source: the origin of the document, for the log.
        """
        if document in (self._document, self._rejected):
            return
        try:
            table = self._decode(document)
        except ChivespanError as error:
            self._rejected = document
            _log.error("routing_unreadable", source=source, reason=error.message)
            return
        if table.version <= self.version:
            return
        _log.info(
            "routing_in_force",
            version=table.version,
            replaces=self.version,
            source=source,
            routes=len(table.routes),
            customer_keys=table.customers.key_count if table.customers else 0,
            idle_timeout_ms=table.limits.idle_timeout // MILLISECOND,
        )
        self._table, self._document = table, document
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_changed(self) -> None:
        """Wait until the table is replaced."""
        await self._changed.wait()
