"""Results of batch calls whose owners are lost or can't reach the store."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from chivespan.batchownerclient import BatchOwnerClient
from chivespan.clock import NO_WAIT, SystemClock
from chivespan.errors import SHORT_RETRY_AFTER, ChivespanError, ErrorKind
from chivespan.fleetlinks import FleetLinks, Peer
from chivespan.nodemessages import BatchQuestion, BatchReply, BatchVerb
from tests.factories import node

pytestmark = pytest.mark.anyio
OWN, OWNER = "10.0.0.1", "10.0.0.2"


def reply(question: BatchQuestion, kind: str) -> BatchReply:
    return BatchReply(
        question=question.question, kind=kind, body=b"b", retry_after_ms=0
    )


class ClientHarness:
    """A client on one node and a peer owner with scripted replies.

    :param peer_error: returns the error kind of the peer's reply; empty for success,
        None for no reply.
    :param local_error: error kind of replies handled locally; empty for success.
    """

    def __init__(
        self, peer_error: Callable[[BatchQuestion], str | None], local_error: str = ""
    ):
        self.local_error = local_error
        self.handled_locally = 0
        self.reached = True
        self._peer_error = peer_error
        peer = SimpleNamespace(node=node(OWNER), send=self._send)
        self.peer = cast(Peer, peer)
        links = SimpleNamespace(
            own=node(OWN), peers={OWNER: peer}, add_listener=lambda _: None
        )
        self.questions = BatchOwnerClient(
            cast(FleetLinks, links),
            cast(Any, SimpleNamespace(store_reached=True)),
            cast(Any, SimpleNamespace(owner_of=lambda _: OWNER)),
            SystemClock(),
            self._handle_locally,
        )

    async def ask(self, verb: BatchVerb = BatchVerb.submit) -> bytes:
        question = BatchQuestion(
            question=self.questions.next_question_id(),
            verb=verb,
            partition=0,
            host="h",
            route="r",
            job_id="j",
            item_id="",
            start=0,
            wait_ms=0,
            body=b"",
            patience_ms=700,
        )
        return await self.questions.ask(question)

    def _send(self, question: BatchQuestion) -> bool:
        kind = self._peer_error(question)
        asked = self.questions._pending[question.question]
        if kind is not None:
            asked.reply = reply(question, kind)
        asked.settled.set()
        return True

    async def _handle_locally(self, question: BatchQuestion) -> BatchReply:
        await anyio.lowlevel.checkpoint()
        self.handled_locally += 1
        return reply(question, self.local_error)


async def test_request_is_handled_locally_if_the_owner_cannot_reach_the_store() -> None:
    harness = ClientHarness(lambda _: ErrorKind.LOG_UNAVAILABLE.value)
    assert await harness.ask() == b"b"
    assert harness.handled_locally == 1


async def test_refusal_after_a_lost_reply_is_reported_as_unconfirmed() -> None:
    """The lost owner may have appended the job before it was lost."""
    replies = iter([None, ErrorKind.OWNER_LIMIT.value])
    harness = ClientHarness(lambda _: next(replies))
    with pytest.raises(ChivespanError) as raised:
        await harness.ask()
    assert raised.value.kind is ErrorKind.UNCONFIRMED


async def test_refusal_at_the_first_attempt_is_reported_unchanged() -> None:
    harness = ClientHarness(lambda _: ErrorKind.OWNER_LIMIT.value)
    with pytest.raises(ChivespanError) as raised:
        await harness.ask()
    assert raised.value.kind is ErrorKind.OWNER_LIMIT


async def test_submission_is_unconfirmed_if_the_owner_never_replies() -> None:
    harness = ClientHarness(lambda _: None)
    with pytest.raises(ChivespanError) as raised:
        await harness.ask()
    assert raised.value.kind is ErrorKind.UNCONFIRMED
    with pytest.raises(ChivespanError) as raised:
        await harness.ask(BatchVerb.page)
    assert raised.value.properties.status == 503


async def test_unconfirmed_reply_outweighs_a_local_refusal() -> None:
    harness = ClientHarness(
        lambda _: ErrorKind.UNCONFIRMED.value,
        local_error=ErrorKind.LOG_UNAVAILABLE.value,
    )
    with pytest.raises(ChivespanError) as raised:
        await harness.ask()
    assert raised.value.kind is ErrorKind.UNCONFIRMED


def test_zero_retry_after_differs_from_a_missing_one() -> None:
    immediate = ChivespanError(ErrorKind.LEAVING, "", retry_after=NO_WAIT)
    assert immediate.retry_after == NO_WAIT
    assert ChivespanError(ErrorKind.LEAVING, "").retry_after == SHORT_RETRY_AFTER
