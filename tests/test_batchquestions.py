"""What callers are told of batch calls whose owners are lost or cut off the store."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from chivespan.batchquestions import BatchQuestions
from chivespan.clock import NO_WAIT, SystemClock
from chivespan.errors import SOON, ChivespanError, ErrorKind
from chivespan.fleetlinks import FleetLinks, Peer
from chivespan.nodemessages import BatchQuestion, BatchReply, BatchVerb
from tests.factories import node

pytestmark = pytest.mark.anyio
OWN, OWNER = "10.0.0.1", "10.0.0.2"


def reply(question: BatchQuestion, kind: str) -> BatchReply:
    return BatchReply(
        question=question.question, kind=kind, body=b"b", retry_after_ms=0
    )


class Site:
    """One node that asks, and an owner at a peer whose replies a test decides."""

    def __init__(self, at_peer: Callable[[BatchQuestion], str | None], here: str = ""):
        self.here = here
        self.asked_here = 0
        self.reached = True
        self._at_peer = at_peer
        peer = SimpleNamespace(node=node(OWNER), send=self._send)
        self.peer = cast(Peer, peer)
        links = SimpleNamespace(
            own=node(OWN), peers={OWNER: peer}, add_listener=lambda _: None
        )
        self.questions = BatchQuestions(
            cast(FleetLinks, links),
            cast(Any, SimpleNamespace(store_reached=True)),
            cast(Any, SimpleNamespace(owner_of=lambda _: OWNER)),
            SystemClock(),
            self._answer_here,
        )

    async def ask(self, verb: BatchVerb = BatchVerb.submit) -> bytes:
        question = BatchQuestion(
            question=self.questions.new_question(),
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
        kind = self._at_peer(question)
        asked = self.questions._asked[question.question]
        if kind is not None:
            asked.reply = reply(question, kind)
        asked.settled.set()
        return True

    async def _answer_here(self, question: BatchQuestion) -> BatchReply:
        await anyio.lowlevel.checkpoint()
        self.asked_here += 1
        return reply(question, self.here)


async def test_owner_that_cant_reach_the_store_is_passed_over() -> None:
    site = Site(lambda _: ErrorKind.LOG_UNAVAILABLE.value)
    assert await site.ask() == b"b"
    assert site.asked_here == 1


async def test_refusal_behind_a_lost_owner_is_not_called_not_done() -> None:
    """The owner may have appended the job before it was lost."""
    replies = iter([None, ErrorKind.OWNER_LIMIT.value])
    site = Site(lambda _: next(replies))
    with pytest.raises(ChivespanError) as told:
        await site.ask()
    assert told.value.kind is ErrorKind.UNCONFIRMED


async def test_refusal_without_doubt_is_told_as_it_is() -> None:
    site = Site(lambda _: ErrorKind.OWNER_LIMIT.value)
    with pytest.raises(ChivespanError) as told:
        await site.ask()
    assert told.value.kind is ErrorKind.OWNER_LIMIT


async def test_owner_that_never_answers_leaves_a_submission_in_doubt() -> None:
    site = Site(lambda _: None)
    with pytest.raises(ChivespanError) as told:
        await site.ask()
    assert told.value.kind is ErrorKind.UNCONFIRMED
    with pytest.raises(ChivespanError) as told:
        await site.ask(BatchVerb.page)
    assert told.value.answer.status == 503


async def test_doubt_of_an_owner_outlasts_a_refusal_here() -> None:
    site = Site(
        lambda _: ErrorKind.UNCONFIRMED.value, here=ErrorKind.LOG_UNAVAILABLE.value
    )
    with pytest.raises(ChivespanError) as told:
        await site.ask()
    assert told.value.kind is ErrorKind.UNCONFIRMED


def test_time_of_none_to_come_back_is_not_taken_for_a_missing_one() -> None:
    at_once = ChivespanError(ErrorKind.LEAVING, "", retry_after=NO_WAIT)
    assert at_once.retry_after == NO_WAIT
    assert ChivespanError(ErrorKind.LEAVING, "").retry_after == SOON
