"""Questions to a dispatcher that need one answer: status, usage, and to leave."""

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
    """Return what a dispatcher owns and has in force.

    :param address: IP number and port of the dispatcher.
    :raises ChivespanError: ``no_dispatcher`` when no answer came in time.
    """
    request = StatusRequest(request_id=secrets.token_hex(4))
    return await _query(end, address, request, StatusReply)


async def query_usage(end: LinkEnd, address: str) -> list[UsageCount]:
    """Return the merged usage of a dispatcher's data centre.

    :raises ChivespanError: ``no_dispatcher`` when no answer came in time.
    """
    request = UsageRequest(request_id=secrets.token_hex(4))
    reply = await _query(end, address, request, UsageReply)
    return reply.counts


async def request_drain(end: LinkEnd, address: str) -> StatusReply:
    """Tell a dispatcher that its VM is to leave.

    :raises ChivespanError: ``no_dispatcher`` when no answer came in time.
    """
    request = DrainRequest(request_id=secrets.token_hex(4))
    return await _query(end, address, request, StatusReply)


async def _query(end: LinkEnd, address: str, request: object, reply: type[T]) -> T:
    replies: list[T] = []

    async def converse(link: PeerLink) -> None:
        link.send(request)
        async for message in link:
            if isinstance(message, reply):
                replies.append(message)
                return

    with anyio.move_on_after(end.options.silence_timeout.total_seconds()):
        await dial_once(address, end, converse)
    if not replies:
        reason = f"dispatcher {address} gave no answer"
        raise ChivespanError(ErrorKind.NO_DISPATCHER, reason)
    return replies[0]
