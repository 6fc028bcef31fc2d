"""Requests to a dispatcher with a single reply: status, usage and drain."""

import secrets
from typing import TypeVar

import anyio

from chivespan.errors import ChivespanError, ErrorKind
from chivespan.messages import (
    DrainRequest,
    StatusReply,
    StatusRequest,
    UsageCount,
    UsageReply,
    UsageRequest,
)
from chivespan.peerlink import LinkEnd, PeerLink, dial_once

T = TypeVar("T")


async def query_status(end: LinkEnd, address: str) -> StatusReply:
    """Return the status of a dispatcher: its targets, configuration offset and VMs.

    :param address: IP address and port of the dispatcher.
    :raises ChivespanError: ``no_dispatcher`` if it doesn't reply in time.
    """
    request = StatusRequest(request_id=secrets.token_hex(4))
    return await _query(end, address, request, StatusReply)


async def query_usage(end: LinkEnd, address: str) -> list[UsageCount]:
    """Return the merged usage of a dispatcher's data centre.

    :raises ChivespanError: ``no_dispatcher`` if it doesn't reply in time.
    """
    request = UsageRequest(request_id=secrets.token_hex(4))
    reply = await _query(end, address, request, UsageReply)
    return reply.counts


async def request_drain(end: LinkEnd, address: str) -> StatusReply:
    """Request a dispatcher to hand over its slices; return its status.

    :raises ChivespanError: ``no_dispatcher`` if it doesn't reply in time.
    """
    request = DrainRequest(request_id=secrets.token_hex(4))
    return await _query(end, address, request, StatusReply)


async def _query(end: LinkEnd, address: str, request: object, reply: type[T]) -> T:
    replies: list[T] = []

    async def exchange(link: PeerLink) -> None:
        link.send(request)
        async for message in link:
            if isinstance(message, reply):
                replies.append(message)
                return

    with anyio.move_on_after(end.options.silence_timeout.total_seconds()):
        await dial_once(address, end, exchange)
    if not replies:
        reason = f"dispatcher {address} did not reply in time"
        raise ChivespanError(ErrorKind.NO_DISPATCHER, reason)
    return replies[0]
