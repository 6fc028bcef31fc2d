"""Puts callers' questions on batch jobs to the owner of their partition.

A question whose owner is lost is put to the next one. An owner that can't reach the
store is passed over where this node reaches it: conditional appends make that safe.
Whatever was tried, a caller is told "not done" only when that is certain.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from itertools import count

import anyio

from chivespan.batchplacement import BatchPlacement
from chivespan.clock import MILLISECOND, Clock
from chivespan.errors import ChivespanError, ErrorKind
from chivespan.fleetlinks import FleetLinks, FleetListener, Peer
from chivespan.fleetwatch import FleetWatch
from chivespan.nodemessages import BatchQuestion, BatchReply, BatchVerb

ASK_AGAIN_PAUSE = timedelta(milliseconds=60)
ANSWER_MARGIN = timedelta(milliseconds=150)
LONGEST_TRY = timedelta(seconds=1.4)
# Kinds after which the same question may be put to an owner again.
ASK_AGAIN = frozenset({ErrorKind.NOT_READY})
# Kinds of an owner that can't reach the store, where another node may.
STORE_TROUBLE = frozenset({ErrorKind.LOG_UNAVAILABLE, ErrorKind.UNCONFIRMED})
_CHANGES = frozenset({BatchVerb.submit, BatchVerb.end})

AnswerHere = Callable[[BatchQuestion], Awaitable[BatchReply]]


class _Asked:
    """A question that waits for a peer's reply."""

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.reply: BatchReply | None = None
        self.settled = anyio.Event()


@dataclass(slots=True)
class _Attempts:
    """What came of the tries at one question so far.

    :ivar in_doubt: whether one of them may have changed something.
    :ivar trouble: the last reply of an owner that could not reach the store.
    """

    changes: bool
    in_doubt: bool = False
    trouble: BatchReply | None = None

    def is_final(self, reply: BatchReply) -> bool:
        """Return whether a reply is the answer; else note what it says."""
        if reply.kind not in STORE_TROUBLE:
            return reply.kind not in ASK_AGAIN
        self.trouble = reply
        self.in_doubt |= reply.kind == ErrorKind.UNCONFIRMED
        return False

    def lost(self) -> None:
        """Note that a peer was asked and didn't answer."""
        self.in_doubt |= self.changes

    def told(self, reply: BatchReply) -> bytes:
        """Return what the caller gets.

        :raises ChivespanError: what the caller is told instead.
        """
        if not reply.kind:
            return reply.body
        if self.in_doubt:
            raise _in_doubt()
        raise ChivespanError(
            ErrorKind(reply.kind),
            reply.body.decode(),
            retry_after=reply.retry_after_ms * MILLISECOND or None,
        )

    def out_of_time(self) -> ChivespanError:
        """Return what the caller is told when no try brought an answer."""
        if self.in_doubt:
            return _in_doubt()
        if self.trouble is not None:
            reason = self.trouble.body.decode()
            return ChivespanError(ErrorKind.LOG_UNAVAILABLE, reason)
        reason = "no owner of the partition answered"
        return ChivespanError(ErrorKind.NO_DISPATCHER, reason)


class BatchQuestions(FleetListener):
    """Asks owners, here or at peers.

    :param answer_here: answers a question on this node.
    """

    def __init__(
        self,
        links: FleetLinks,
        watch: FleetWatch,
        placement: BatchPlacement,
        clock: Clock,
        answer_here: AnswerHere,
    ) -> None:
        self._links = links
        self._watch = watch
        self._placement = placement
        self._clock = clock
        self._answer_here = answer_here
        self._numbers = count(1)
        self._asked: dict[int, _Asked] = {}
        links.add_listener(self)

    async def ask(self, question: BatchQuestion) -> bytes:
        """Return the answer of a partition's owner.

        :raises ChivespanError: what the caller is told instead.
        """
        until = self._clock.monotonic() + question.patience_ms * MILLISECOND
        attempts = _Attempts(changes=question.verb in _CHANGES)
        while (left := until - self._clock.monotonic()) > ANSWER_MARGIN:
            reply = await self._try(_shortened(question, left), attempts)
            if reply is not None and attempts.is_final(reply):
                return attempts.told(reply)
            await anyio.sleep(ASK_AGAIN_PAUSE.total_seconds())
        raise attempts.out_of_time()

    def new_question(self) -> int:
        """Return the number of the next question."""
        return next(self._numbers)

    def peer_left(self, peer: Peer) -> None:
        """Wait no longer for its replies."""
        for asked in self._asked.values():
            if asked.vm == peer.node.vm:
                asked.settled.set()

    async def handle_message(self, peer: Peer, message: object) -> None:
        """Take a reply."""
        if isinstance(message, BatchReply):
            asked = self._asked.get(message.question)
            if asked is not None:
                asked.reply = message
                asked.settled.set()

    async def _try(
        self, question: BatchQuestion, attempts: _Attempts
    ) -> BatchReply | None:
        """Return the reply to one try; None where there was none."""
        own_vm = self._links.own.vm
        vm = self._placement.owner_of(question.partition)
        if vm == own_vm or (attempts.trouble and self._watch.store_reached):
            return await self._answer_here(question)
        peer = None if vm is None else self._links.peers.get(vm)
        if peer is None:
            return None
        reply = await self._ask_peer(peer, question)
        if reply is None:
            attempts.lost()
        return reply

    async def _ask_peer(self, peer: Peer, question: BatchQuestion) -> BatchReply | None:
        asked = _Asked(peer.node.vm)
        self._asked[question.question] = asked
        try:
            if not peer.send(question):
                return None
            patience = question.patience_ms * MILLISECOND + ANSWER_MARGIN
            with anyio.move_on_after(patience.total_seconds()):
                await asked.settled.wait()
            return asked.reply
        finally:
            del self._asked[question.question]


def _shortened(question: BatchQuestion, left: timedelta) -> BatchQuestion:
    """Return a question for one try, so that time for another is left."""
    patience = min(left - ANSWER_MARGIN, LONGEST_TRY)
    return replace(question, patience_ms=max(1, patience // MILLISECOND))


def _in_doubt() -> ChivespanError:
    reason = "whether the change was made isn't known"
    return ChivespanError(ErrorKind.UNCONFIRMED, reason)
