"""Finds out whether a server has taken all that was written to a connection.

A response without a stated end is complete when its connection ends in order. A server
that closes it before it has taken the whole request has broken off instead: it resets
the connection when more of the request arrives, which a client that has already read
the end doesn't notice.
"""

import fcntl
import socket
import struct
import termios
from datetime import timedelta
from typing import Protocol

import anyio

POLL_INTERVAL_S = 0.005
# The server may take the rest of a long request more slowly than it answers.
STALL_TIME = timedelta(milliseconds=500)
_COUNT = struct.Struct("i")


class Connection(Protocol):
    """The part of a socket that is looked at."""

    def fileno(self) -> int:
        """Return the file descriptor."""
        ...

    def getsockopt(self, level: int, option: int, /) -> int:
        """Return the value of an option."""
        ...


async def is_all_taken(connection: Connection | None) -> bool:
    """Return whether the server has taken all bytes; wait while it takes some.

    :param connection: the socket; None if the transport has lost it.
    """
    if connection is None:
        return False
    last_count = -1
    stalled_since = anyio.current_time()
    while not _is_lost(connection):
        count = _unacknowledged_bytes(connection)
        if count == 0:
            # It may have been reset since.
            return not _is_lost(connection)
        now = anyio.current_time()
        if count != last_count:
            last_count, stalled_since = count, now
        if now - stalled_since >= STALL_TIME.total_seconds():
            return False
        await anyio.sleep(POLL_INTERVAL_S)
    return False


def _is_lost(connection: Connection) -> bool:
    """Return whether the connection has been reset, or closed on this side."""
    try:
        return connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
    except (AttributeError, OSError):
        return True


def _unacknowledged_bytes(connection: Connection) -> int:
    """Return how many bytes the server hasn't acknowledged; 0 if that isn't known."""
    try:
        content = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size))
    except (OSError, ValueError):
        return 0
    return int(_COUNT.unpack(content)[0])
