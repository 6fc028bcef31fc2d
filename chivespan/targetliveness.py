"""Finds out whether a target has ended."""

from datetime import timedelta

import anyio

from chivespan.addresses import parse_address
from chivespan.httpcall import CONNECT_TIMEOUT
from chivespan.runningtime import fail_after_running

# A target that ends may close its connections before it stops to accept new ones.
RECHECK_DELAY = timedelta(milliseconds=50)


async def has_ended(address: str) -> bool:
    """Return whether a target refuses connections, so that its run has ended.

    A target that can't be reached at all may still be running.
    """
    if await _refuses_connections(address):
        return True
    await anyio.sleep(RECHECK_DELAY.total_seconds())
    return await _refuses_connections(address)


async def _refuses_connections(address: str) -> bool:
    parsed = parse_address(address)
    try:
        with fail_after_running(CONNECT_TIMEOUT):
            stream = await anyio.connect_tcp(parsed.host, parsed.port)
    except (OSError, RuntimeError) as error:
        return isinstance(error.__cause__ or error, ConnectionRefusedError)
    await stream.aclose()
    return False
