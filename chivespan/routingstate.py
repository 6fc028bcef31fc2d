"""The routing table in force on this node, which only ever moves forward."""

from collections.abc import Callable

import anyio

from chivespan.errors import ChivespanError
from chivespan.logs import logger
from chivespan.routes import RoutingTable

NO_VERSION = -1

_log = logger("routing")


class RoutingState:
    """Holds the newest routing table that this run of the process has seen.

    :param decode: reads the operator's document.
    """

    def __init__(self, decode: Callable[[bytes], RoutingTable]) -> None:
        self._decode = decode
        self._table: RoutingTable | None = None
        self._document = b""
        self._refused = b""
        self._changed = anyio.Event()

    @property
    def table(self) -> RoutingTable | None:
        """The table in force; None before the first."""
        return self._table

    @property
    def version(self) -> int:
        """The version in force."""
        return NO_VERSION if self._table is None else self._table.version

    def document_newer_than(self, version: int) -> bytes:
        """Return the operator's document in force; empty when it isn't newer."""
        return self._document if self.version > version else b""

    def apply_if_newer(self, document: bytes, source: str) -> None:
        """Put a document in force if it is newer than the one that is.

        :param source: where it came from, for the log.
        """
        if document in (self._document, self._refused):
            return
        try:
            table = self._decode(document)
        except ChivespanError as error:
            self._refused = document
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
        )
        self._table, self._document = table, document
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_changed(self) -> None:
        """Wait for the next table."""
        await self._changed.wait()
