"""Loopback addresses that no other test process of this machine uses."""

import socket
from functools import cache

# Second numbers of loopback addresses; tests use some lower ones directly.
BLOCKS = range(128, 200)
LOCK_PORT = 8160

_locks: list[socket.socket] = []


@cache
def own_block() -> str:
    """Return the first two numbers of addresses that only this process uses.

    :raises OSError: if all blocks are in use.
    """
    for number in BLOCKS:
        block = f"127.{number}"
        # Bound until this process ends.
        lock = socket.socket()
        try:
            lock.bind((f"{block}.255.254", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        _locks.append(lock)
        return block
    raise OSError("other test processes use all blocks of addresses")
