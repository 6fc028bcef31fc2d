"""Bounds the memory of the request bodies that a node holds.

A body counts from the arrival of its first bytes to the end of its request, since it
may have to be sent again until then. Copies that are made while a body is sent don't
count.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from random import Random

from chivespan.errors import ChivespanError, ErrorKind
from chivespan.logs import logger

# Share of the memory of a process for all bodies together.
SHARE_OF_MEMORY = 1 / 8
# A target that takes no bytes of a body for this long has failed.
TARGET_STALL_TIME = timedelta(seconds=2)
# Most requests end within this time and free the memory of their bodies. Times between
# these two keep refused callers from returning at the same moment.
MIN_RETRY_AFTER = timedelta(milliseconds=300)
MAX_RETRY_AFTER = timedelta(seconds=1)

_log = logger("callers")


class HeldBodies:
    """The bodies of the requests that a node is receiving or serving.

    :param max_bytes: bound of all bodies together.
    :ivar total: number of bytes of all bodies that have arrived.
    """

    def __init__(self, max_bytes: int, random: Random) -> None:
        self._max_bytes = max_bytes
        self._random = random
        self.total = 0

    @contextmanager
    def hold(self, request_id: str) -> Iterator["HeldBody"]:
        """Count the body of a request until the end of the block."""
        body = HeldBody(self, request_id)
        try:
            yield body
        finally:
            self.total -= body.size

    def check_room(self, request_id: str, size: int) -> None:
        """Check that there is room for more bytes of a request's body.

        :raises ChivespanError: ``no_capacity`` if there isn't.
        """
        if self.total + size <= self._max_bytes:
            return
        _log.info(
            "body_refused",
            request=request_id,
            size=size,
            all_held_bytes=self.total,
            max_bytes=self._max_bytes,
        )
        span = MAX_RETRY_AFTER - MIN_RETRY_AFTER
        raise ChivespanError(
            ErrorKind.NO_CAPACITY,
            "node has no memory for the request body",
            retry_after=MIN_RETRY_AFTER + span * self._random.random(),
        )


class HeldBody:
    """The part of one request's body that has arrived.

    :ivar size: its size in bytes.
    """

    def __init__(self, bodies: HeldBodies, request_id: str) -> None:
        self._bodies = bodies
        self._request_id = request_id
        self.size = 0

    def check_fits(self, size: int) -> None:
        """Check that there is room for a whole body, without counting it yet.

        :raises ChivespanError: ``no_capacity`` if there isn't.
        """
        self._bodies.check_room(self._request_id, size - self.size)

    def add(self, size: int) -> None:
        """Count bytes that have arrived.

        :raises ChivespanError: ``no_capacity`` if there is no room for them.
        """
        self._bodies.check_room(self._request_id, size)
        self.size += size
        self._bodies.total += size


def max_held_bytes(memory_mb: float) -> int:
    """Return the bound in bytes for all bodies together.

    :param memory_mb: memory of the process, in units of 1,000,000 bytes.
    """
    return max(1, round(memory_mb * 1_000_000 * SHARE_OF_MEMORY))
