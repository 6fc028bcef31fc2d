"""Sends requests on batch jobs to the owner of their partition and retries them.

If the owner is lost, the request goes to the next owner. If the owner can't reach the
store but this node can, this node handles the request itself; conditional appends make
that safe. A caller gets a "not done" error only if no attempt can have had an effect.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from itertools import count

import anyio

from chivespan.batchownership import PartitionOwnership
from chivespan.clock import MILLISECOND, Clock
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.fleetlinks import FleetLinks, FleetListener, Peer
from chivespan.fleetwatch import FleetWatch
from chivespan.nodemessages import BatchQuestion, BatchReply, BatchVerb

RETRY_DELAY = timedelta(milliseconds=60)
# Time allowed for a reply to travel back.
REPLY_MARGIN = timedelta(milliseconds=150)
MAX_ATTEMPT_TIME = timedelta(seconds=1.4)
# Errors after which a request may be retried.
RETRYABLE_KINDS = frozenset({ErrorKind.NOT_READY})
# Errors of an owner that can't reach the store; another node may reach it.
STORE_FAILURE_KINDS = frozenset({ErrorKind.LOG_UNAVAILABLE, ErrorKind.UNCONFIRMED})
_CHANGES = frozenset({BatchVerb.submit, BatchVerb.end})

LocalHandler = Callable[[BatchQuestion], Awaitable[BatchReply]]


class _PendingRequest:
    """A request that waits for the reply of a peer."""

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.reply: BatchReply | None = None
        self.settled = anyio.Event()


@dataclass(slots=True)
class _Attempts:
    """The outcome of the attempts at one request so far.

    :ivar changes: whether the request changes stored data.
    :ivar in_doubt: whether an attempt may have changed stored data.
    :ivar store_failure: last reply of an owner that could not reach the store.
    """

    changes: bool
    in_doubt: bool = False
    store_failure: BatchReply | None = None

    def is_final(self, reply: BatchReply) -> bool:
        """Return whether a reply is final; if it is not, record its error."""
        if reply.kind not in STORE_FAILURE_KINDS:
            return reply.kind not in RETRYABLE_KINDS
        self.store_failure = reply
        self.in_doubt |= reply.kind == ErrorKind.UNCONFIRMED
        return False

    def record_lost_reply(self) -> None:
        """Record that a peer did not reply to an attempt."""
        self.in_doubt |= self.changes

    def result(self, reply: BatchReply) -> bytes:
        """Return the body of a final reply.

        :raises ChivespanError: the error to report to the caller.
        """
        if not reply.kind:
            return reply.body
        if self.in_doubt:
            raise _unconfirmed()
        raise ChivespanError(
            ErrorKind(reply.kind),
            reply.body.decode(),
            retry_after=reply.retry_after_ms * MILLISECOND or None,
        )

    def timeout_error(self) -> ChivespanError:
        """Return the error to report when no attempt got a final reply."""
        if self.in_doubt:
            return _unconfirmed()
        if self.store_failure is not None:
            reason = self.store_failure.body.decode()
            return ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason)
        reason = "no owner of the partition answered"
        return ChivespanError(ErrorKind.NO_DISPATCHER, reason)


class BatchOwnerClient(FleetListener):
    """Sends requests to partition owners, which may be this node or a peer.

    :param handle_locally: handles a request on this node.
    """

    def __init__(
        self,
        links: FleetLinks,
        watch: FleetWatch,
        ownership: PartitionOwnership,
        clock: Clock,
        handle_locally: LocalHandler,
    ) -> None:
        self._links = links
        self._watch = watch
        self._ownership = ownership
        self._clock = clock
        self._handle_locally = handle_locally
        self._question_ids = count(1)
        self._pending: dict[int, _PendingRequest] = {}
        links.add_listener(self)

    async def ask(self, question: BatchQuestion) -> bytes:
        """Return the reply of a partition's owner.

        :raises ChivespanError: the error to report to the caller.
        """
        deadline = self._clock.monotonic() + question.patience_ms * MILLISECOND
        attempts = _Attempts(changes=question.verb in _CHANGES)
        while (left := deadline - self._clock.monotonic()) > REPLY_MARGIN:
            reply = await self._attempt(_for_one_attempt(question, left), attempts)
            if reply is not None and attempts.is_final(reply):
                return attempts.result(reply)
            await anyio.sleep(RETRY_DELAY.total_seconds())
        raise attempts.timeout_error()

    def next_question_id(self) -> int:
        """Return an id for a request, unique on this node."""
        return next(self._question_ids)

    def peer_left(self, peer: Peer) -> None:
        """Stop waiting for the replies of a peer that has left."""
        for pending in self._pending.values():
            if pending.vm == peer.node.vm:
                pending.settled.set()

    async def handle_message(self, peer: Peer, message: object) -> None:
        """Match a reply to its pending request."""
        if isinstance(message, BatchReply):
            pending = self._pending.get(message.question)
            if pending is not None:
                pending.reply = message
                pending.settled.set()

    async def _attempt(
        self, question: BatchQuestion, attempts: _Attempts
    ) -> BatchReply | None:
        """Return the reply to one attempt; None if there was no reply."""
        own_vm = self._links.own.vm
        vm = self._ownership.owner_of(question.partition)
        if vm == own_vm or (attempts.store_failure and self._watch.store_reached):
            return await self._handle_locally(question)
        peer = None if vm is None else self._links.peers.get(vm)
        if peer is None:
            return None
        reply = await self._request_peer(peer, question)
        if reply is None:
            attempts.record_lost_reply()
        return reply

    async def _request_peer(
        self, peer: Peer, question: BatchQuestion
    ) -> BatchReply | None:
        pending = _PendingRequest(peer.node.vm)
        self._pending[question.question] = pending
        try:
            if not peer.send(question):
                return None
            timeout = question.patience_ms * MILLISECOND + REPLY_MARGIN
            with anyio.move_on_after(timeout.total_seconds()):
                await pending.settled.wait()
            return pending.reply
        finally:
            del self._pending[question.question]


def _for_one_attempt(question: BatchQuestion, left: timedelta) -> BatchQuestion:
    """Return a request with a timeout that leaves time for another attempt."""
    timeout = min(left - REPLY_MARGIN, MAX_ATTEMPT_TIME)
    return replace(question, patience_ms=max(1, timeout // MILLISECOND))


def _unconfirmed() -> ChivespanError:
    reason = "it is unknown whether the change was made"
    return ChivespanError(ErrorKind.UNCONFIRMED, reason)
