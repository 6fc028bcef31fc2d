"""A caller's connection: how much of the output handed to it is unread."""

import asyncio
import fcntl
import socket
import struct
import termios
from contextlib import suppress
from typing import Any, cast

# The part of an ASGI scope that holds the connection.
EXTENSION = "chivespan.connection"
_LINGER_RESET = struct.pack("ii", 1, 0)
# Where Linux has the 64-bit number of acknowledged bytes in its tcp_info.
_BYTES_ACKED = 120


class CallerConnection:
    """The connection that a response is sent on.

    :ivar is_lost: whether it has ended, so that it holds nothing any more.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self.is_lost = False

    @property
    def buffered(self) -> int:
        """Bytes that the kernel has not accepted."""
        return 0 if self.is_lost else self._transport.get_write_buffer_size()

    @property
    def unread(self) -> int:
        """Bytes that the caller's side has not acknowledged."""
        return self.buffered + self.in_kernel

    @property
    def in_kernel(self) -> int:
        """Bytes that the kernel holds until they are acknowledged."""
        if self.is_lost:
            return 0
        try:
            queued = fcntl.ioctl(self._socket.fileno(), termios.TIOCOUTQ, b"\0" * 4)
            return int(struct.unpack("i", queued)[0])
        except (OSError, ValueError, struct.error):
            return 0

    @property
    def taken(self) -> int:
        """Bytes that the caller's side has acknowledged since the connection opened."""
        if self.is_lost:
            return 0
        try:
            info = self._socket.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, _BYTES_ACKED + 8
            )
            return int(struct.unpack_from("=Q", info, _BYTES_ACKED)[0])
        except (OSError, ValueError, struct.error):
            return 0

    def limit_buffer(self, size: int) -> None:
        """Make writers wait while more than some bytes are buffered."""
        if not self.is_lost:
            self._transport.set_write_buffer_limits(high=size, low=size)

    def reset(self) -> None:
        """Reset the connection, which also drops what the kernel holds for it."""
        if self.is_lost:
            return
        with suppress(OSError, ValueError):
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        self.is_lost = True
        self._transport.abort()

    @property
    def _socket(self) -> socket.socket:
        return cast(socket.socket, self._transport.get_extra_info("socket"))


def connection_of(scope: Any) -> CallerConnection | None:
    """Return the connection of a request; None if its server doesn't tell."""
    found = scope.get("extensions", {}).get(EXTENSION, {}).get("connection")
    return cast(CallerConnection | None, found)
